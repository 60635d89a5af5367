package directory

import (
	"fmt"
	"testing"
	"time"

	"nutmegnotch/core"
)

// Guards against requests that end at another timeout than the longest of their route that
// was in force since their arrival.
func TestLongestTimeout(t *testing.T) {
	t.Parallel()
	const short, long, none, gone = 500 * time.Millisecond, 3 * time.Second, 0, -1
	cases := []struct {
		name string
		// versions holds the timeout of the route in each version, one second apart. gone
		// means that the version does not have the route.
		versions []time.Duration
		// renamed is the version, from 0, from which the route has another name; 0 is none.
		renamed int
		// arrived is when the request arrives after the first version, under which it is
		// admitted by the version in force then.
		arrived time.Duration
		want    time.Duration
	}{
		{"one version", []time.Duration{short}, 0, 0, short},
		{"unlimited", []time.Duration{none}, 0, 0, none},
		{"raised", []time.Duration{short, long}, 0, 0, long},
		{"lowered", []time.Duration{long, short}, 0, 0, long},
		{"sent after it was lowered", []time.Duration{long, short}, 0, time.Second, short},
		{"raised and lowered", []time.Duration{short, long, short}, 0, 0, long},
		{"raised and lowered before", []time.Duration{short, long, short}, 0, 2 * time.Second, short},
		{"between two raises", []time.Duration{long, short, 2 * short, short}, 0, 1500 * time.Millisecond, 2 * short},
		{"removed", []time.Duration{short, none}, 0, 0, none},
		{"removed and stated", []time.Duration{short, none, short}, 0, 0, none},
		{"removed and stated before", []time.Duration{short, none, short, short}, 0, 2500 * time.Millisecond, short},
		{"lowered in steps", []time.Duration{4 * short, 3 * short, 2 * short, short}, 0, 1500 * time.Millisecond, 3 * short},
		{"raised in steps", []time.Duration{short, 2 * short, 3 * short, 2 * short}, 0, 500 * time.Millisecond, 3 * short},
		{"gone", []time.Duration{short, gone}, 0, 0, short},
		{"raised and gone", []time.Duration{short, long, gone}, 0, 0, long},
		{"gone and back", []time.Duration{short, gone, long, short}, 0, 0, long},
		{"renamed and raised", []time.Duration{short, long}, 1, 0, long},
		{"renamed, raised and lowered", []time.Duration{short, long, short}, 1, 0, long},
		{"raised and renamed", []time.Duration{short, long, short}, 2, 0, long},
		{"renamed and lowered", []time.Duration{long, short}, 1, 0, long},
	}
	begun := time.Unix(1000, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var timeouts *Timeouts
			var route core.Route
			for i, timeout := range tc.versions {
				d := &core.Deployment{Routes: []core.Route{{Name: "other", Host: "h", PathPrefix: "/other/", Timeout: time.Hour}}}
				if timeout != gone {
					r := core.Route{Name: "r", Host: "h", PathPrefix: "/r/", Timeout: timeout}
					if tc.renamed > 0 && i >= tc.renamed {
						r.Name = "renamed"
					}
					d.Routes = append(d.Routes, r)
				}
				at := time.Duration(i) * time.Second
				if tc.arrived >= at && timeout != gone {
					route = d.Routes[1]
				}
				timeouts = timeouts.Next(d, NewRoutes(d), begun.Add(at))
			}
			got := timeouts.Longest(route, "h:80", "/r/1", begun.Add(tc.arrived))
			if got != tc.want {
				t.Errorf("longest timeout: got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against memory that grows with the number of versions of the configuration.
func TestPastTimeoutsAreForgotten(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	var timeouts *Timeouts
	for i := range 1000 {
		d := &core.Deployment{Routes: []core.Route{
			{Name: "kept", Timeout: time.Duration(1+i%7) * time.Second},
			{Name: "falling", Timeout: time.Duration(2000-i) * time.Millisecond},
			{Name: fmt.Sprint("new-", i), Timeout: time.Second},
		}}
		timeouts = timeouts.Next(d, NewRoutes(d), now)
		now = now.Add(100 * time.Millisecond)
	}
	// Timeouts of 2 s at most, with a version each 0.1 s.
	const want = 25
	if got := len(timeouts.byName); got > want {
		t.Errorf("routes: got %d, want at most %d", got, want)
	}
	for name, r := range timeouts.byName {
		if got := len(r.past); got > want {
			t.Errorf("past timeouts of %q: got %d, want at most %d", name, got, want)
		}
	}
	d := &core.Deployment{}
	timeouts = timeouts.Next(d, NewRoutes(d), now)
	timeouts = timeouts.Next(d, NewRoutes(d), now.Add(time.Minute))
	if got := len(timeouts.byName); got != 0 {
		t.Errorf("routes a minute after the last one has gone: got %d, want 0", got)
	}
}
