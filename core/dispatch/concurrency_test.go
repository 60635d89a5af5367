package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a group whose passes become too long because each of many gateways has
// too few streams there to measure them.
func TestLimitOfAGroupWithFewOwnStreams(t *testing.T) {
	const (
		servers, slots, step = 12, 12, 10 * time.Millisecond
		maxGap               = 200 * time.Millisecond
	)
	cases := []struct {
		name string
		// own and others are the streams of this gateway and of the others, and gap the time
		// between two events of each.
		own, others int
		gap         time.Duration
		// want reports whether a further request is sent.
		want bool
	}{
		{"passes in time", 3, 97, 60 * time.Millisecond, true},
		{"long passes, many own streams", 12, 88, 260 * time.Millisecond, false},
		{"long passes, few own streams", 3, 97, 260 * time.Millisecond, false},
		{"long passes, few of all streams", 3, 7, 260 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(servers, slots, true)
			loads := map[string]int{}
			for i := range c.others {
				loads[fmt.Sprintf("s%d", i%servers)]++
			}
			d.SetPeerLoad("other", loads, start)
			var own []string
			for i := range c.own {
				v, ok := d.Offer(request(uint64(i), 0), start)
				if !ok || v.Rejected != "" {
					t.Fatalf("own stream %d: got %+v %v, want a server", i, v, ok)
				}
				own = append(own, v.Server.ID)
			}
			length := 4 * c.gap
			for at := step; at <= length; at += step {
				now := start.Add(at)
				for i, id := range own {
					// Streams do not get their events at the same time, as after changes of load.
					if (at+time.Duration(i)*c.gap/time.Duration(c.own))/step%(c.gap/step) == 0 {
						d.ObserveEvent("s", id, c.gap, maxGap, now)
					}
				}
				d.SetPeerLoad("other", loads, now)
			}
			v, ok := d.Offer(request(100, length), start.Add(length))
			if got := ok && v.Rejected == ""; got != c.want {
				t.Errorf("got a further request sent %v (%+v), want %v", got, v, c.want)
			}
		})
	}
}
