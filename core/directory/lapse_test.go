package directory_test

import (
	"testing"
	"time"

	"nutmegnotch/core/directory"
)

// Guards against servers that have left and stay in use as if their records had lapsed,
// and against servers that are dropped because their records have lapsed.
func TestRemovalsAroundAnOutage(t *testing.T) {
	const s = time.Second
	remove := func(d *directory.Directory, at time.Duration) { apply(t, d, rec("a", "", 9), at) }
	cases := []struct {
		name string
		run  func(d *directory.Directory)
		// keptUntil is when the server is dropped; 0 means that it is dropped with its removal.
		keptUntil time.Duration
	}{
		{"removed in an outage of all", func(d *directory.Directory) {
			remove(d, 2*s)
			d.StoreAnswered(now.Add(4 * s))
		}, 6 * s},
		{"removed after it", func(d *directory.Directory) {
			d.StoreAnswered(now.Add(4 * s))
			remove(d, 5*s)
		}, 6 * s},
		{"removed after it, reported before", func(d *directory.Directory) {
			d.StoreAnswered(now.Add(4 * s))
			apply(t, d, rec("a", "ready", 8), 4*s)
			remove(d, 5*s)
		}, 6 * s},
		{"removed after it, reported since", func(d *directory.Directory) {
			d.StoreAnswered(now.Add(4 * s))
			apply(t, d, rec("a", "ready", 8), 4*s+1)
			remove(d, 5*s)
		}, 0},
		{"another process is back before", func(d *directory.Directory) {
			remove(d, 2*s)
			d.OtherAnswered(now.Add(3 * s))
			d.StoreAnswered(now.Add(4 * s))
		}, 5 * s},
		{"another process was back before, as is told later", func(d *directory.Directory) {
			remove(d, 2*s)
			d.StoreAnswered(now.Add(4 * s))
			d.OtherAnswered(now.Add(3 * s))
		}, 5 * s},
		{"another process has read the store all the while", func(d *directory.Directory) {
			d.OtherAnswered(now.Add(s / 2))
			remove(d, 3*s)
			d.StoreAnswered(now.Add(4 * s))
		}, 0},
		{"another process has read the store before the outage", func(d *directory.Directory) {
			d.OtherAnswered(now.Add(-s))
			remove(d, 3*s)
			d.StoreAnswered(now.Add(4 * s))
		}, 6 * s},
		{"a further outage", func(d *directory.Directory) {
			d.StoreAnswered(now.Add(1 * s))
			d.StoreFailed(now.Add(2 * s))
			remove(d, 3*s)
			d.StoreAnswered(now.Add(8 * s))
		}, 10 * s},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := directory.New(decoder{})
			apply(t, d, rec("a", "ready", 1), -s)
			d.StoreFailed(now)
			tc.run(d)
			if got, want := usable(d) != "", tc.keptUntil > 0; got != want {
				t.Errorf("usable after the removal: got %t, want %t", got, want)
			}
			d.Expire(now.Add(tc.keptUntil - 1))
			if got, want := usable(d) != "", tc.keptUntil > 0; got != want {
				t.Errorf("usable before %v: got %t, want %t", tc.keptUntil, got, want)
			}
			d.Expire(now.Add(tc.keptUntil))
			if got := usable(d); got != "" {
				t.Errorf("usable after %v: got %q, want none", tc.keptUntil, got)
			}
		})
	}
}
