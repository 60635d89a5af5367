package expertmap

import (
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
)

// orderOnLink is an order on its way over the link of the leader.
type orderOnLink struct {
	AddressedOrder
	arrives, timesOut time.Time
	timedOut          bool
}

// proposeMap starts a change to a map with five experts for each rank and set.
func proposeMap(t *testing.T, ranks, sets, experts int) (*groupModel, *ChangeCoordinator, time.Time) {
	t.Helper()
	g, now := newGroupModel(ranks), time.Unix(1_000_000, 0)
	c := NewChangeCoordinator(0, ranks, 7)
	now = runWithoutFaults(g, c, now, 2, true)
	layout := make(Layout, ranks)
	for r := range layout {
		layout[r] = make([][]int, sets)
		for s := range layout[r] {
			for n := range 5 {
				layout[r][s] = append(layout[r][s], (5*r+n)%experts)
			}
		}
	}
	c.SetCurrent(layout)
	now = now.Add(time.Millisecond)
	if !c.Propose(layout, now) {
		t.Fatal("propose: got false, want true")
	}
	return g, c, now
}

// Guards against a leader that sends the map to all ranks at once: on a narrow link,
// most orders then time out and are sent again, and no change of map takes effect.
func TestMapsFitTheLinkOfTheLeader(t *testing.T) {
	const tick, ticksPerPass, rtt, timeout = 5 * time.Millisecond, 6, 3 * time.Millisecond, 300 * time.Millisecond
	cases := []struct {
		name                 string
		ranks, sets, experts int
		bytesPerSecond       float64
	}{
		{"12 ranks, 20 Mbit/s", 12, 3, 96, 2.5e6},
		{"24 ranks, 8 Mbit/s", 24, 16, 96, 1e6},
		{"63 ranks, 8 Mbit/s", 63, 8, 252, 1e6},
		{"64 ranks, 6 Mbit/s", 64, 12, 256, 0.75e6},
	}
	for _, tc := range cases {
		g, c, start := proposeMap(t, tc.ranks, tc.sets, tc.experts)
		c.SetMaxPrepareBytes(int(tc.bytesPerSecond / 20))
		// Counts and reports of ranks take the rest of the link.
		transfer := time.Duration(float64(len(c.encodedTarget())) / (0.4 * tc.bytesPerSecond) * float64(time.Second))
		within := transfer*time.Duration(tc.ranks)*5/4 + 200*time.Millisecond
		now, linkFree := start, start
		var sent []*orderOnLink
		for n := 1; now.Sub(start) < prepareTimeout && c.Applied == 0; n++ {
			now = now.Add(tick)
			sent = slices.DeleteFunc(sent, func(o *orderOnLink) bool {
				if !o.timedOut && !now.Before(o.timesOut) {
					o.timedOut = true
					c.HandleResult(o.AddressedOrder, core.OrderUnknown, now)
				}
				if now.Before(o.arrives) {
					return false
				}
				if res := g.execute(o.AddressedOrder); !o.timedOut {
					c.HandleResult(o.AddressedOrder, res, now)
				}
				return true
			})
			for r := range g.ranks {
				c.HandleReport(r, g.report(r), now)
			}
			for _, a := range c.Poll(now) {
				if linkFree.Before(now) {
					linkFree = now
				}
				if a.Order.Kind == core.OrderPrepare {
					linkFree = linkFree.Add(transfer)
				}
				sent = append(sent, &orderOnLink{AddressedOrder: a, arrives: linkFree.Add(rtt), timesOut: now.Add(timeout)})
			}
			if n%ticksPerPass == 0 {
				g.begin()
			}
		}
		if got := now.Sub(start); c.Applied != 1 || got > within {
			t.Errorf("%s: %d changes took effect after %v, want 1 within %v", tc.name, c.Applied, got, within)
		}
	}
}

// Guards against ranks without an answer that use up all maps that may be on their way.
func TestSilentRanksDoNotKeepMapsFromOthers(t *testing.T) {
	const ranks, silent = 63, 10
	_, c, now := proposeMap(t, ranks, 8, 252)
	reached := map[int]bool{}
	for range 15 {
		now = now.Add(300 * time.Millisecond)
		for _, a := range c.Poll(now) {
			reached[a.Rank] = true
			res := core.OrderApplied
			if a.Rank < silent {
				res = core.OrderUnknown
			}
			c.HandleResult(a, res, now)
		}
	}
	if got := len(reached); got != ranks {
		t.Errorf("ranks that were sent the map: got %d, want %d", got, ranks)
	}
}
