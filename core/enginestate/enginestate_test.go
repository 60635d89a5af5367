package enginestate_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core/enginestate"
)

// Guards against a changed state that waits, and against repetitions that are passed on
// one by one or by every gateway.
func TestRelay(t *testing.T) {
	const agent, gateway, take = "agent", "gateway", "take"
	open := enginestate.State{Address: "e1", Pace: 1, Open: true}
	closed := enginestate.State{Address: "e1", Pace: 1}
	other := enginestate.State{Address: "e2", Pace: 3, Open: true}
	near := enginestate.State{Address: "e2", Pace: 3.1, Open: true}
	type step struct {
		ms   int
		what string
		// state is what was heard, and want what is passed on.
		state enginestate.State
		want  []enginestate.State
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"a change goes at once", []step{{0, agent, closed, nil}, {0, take, enginestate.State{}, []enginestate.State{closed}}, {20, take, enginestate.State{}, nil}}},
		{"repetitions wait for each other", []step{
			{0, agent, closed, nil}, {0, agent, other, nil}, {0, take, enginestate.State{}, []enginestate.State{closed, other}},
			{1000, agent, closed, nil}, {1400, agent, near, nil}, {1480, take, enginestate.State{}, nil},
			{1500, take, enginestate.State{}, []enginestate.State{closed, near}}, {2000, take, enginestate.State{}, nil}}},
		{"two others have passed it on", []step{
			{0, agent, closed, nil}, {5, gateway, closed, nil}, {6, gateway, closed, nil}, {20, take, enginestate.State{}, nil},
			{1000, agent, closed, nil}, {1500, take, enginestate.State{}, []enginestate.State{closed}}}},
		{"one other has passed it on", []step{
			{0, agent, closed, nil}, {5, gateway, closed, nil}, {20, take, enginestate.State{}, []enginestate.State{closed}}}},
		{"others are first", []step{
			{0, gateway, closed, nil}, {1, agent, closed, nil}, {20, take, enginestate.State{}, nil}, {501, take, enginestate.State{}, []enginestate.State{closed}}}},
		{"others pass on the state before", []step{
			{0, agent, open, nil}, {5, gateway, closed, nil}, {6, gateway, closed, nil}, {7, agent, open, nil}, {20, take, enginestate.State{}, []enginestate.State{open}}}},
		{"its own earlier message may come last", []step{
			{0, agent, closed, nil}, {0, take, enginestate.State{}, []enginestate.State{closed}},
			{100, agent, open, nil}, {101, gateway, open, nil}, {102, gateway, open, nil}, {120, take, enginestate.State{}, []enginestate.State{open}}}},
		{"states of other gateways are not passed on", []step{{0, gateway, closed, nil}, {1000, take, enginestate.State{}, nil}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, begun := enginestate.New(), time.Now()
			for i, s := range c.steps {
				now := begun.Add(time.Duration(s.ms) * time.Millisecond)
				switch s.what {
				case agent:
					r.FromAgent(s.state, now)
				case gateway:
					r.FromGateway(s.state, now)
				case take:
					if got := r.Take(now); !slices.Equal(got, s.want) {
						t.Errorf("step %d, after %d ms: got %v, want %v", i, s.ms, got, s.want)
					}
				}
			}
		})
	}
}

// Guards against states of engines that have gone and fill the memory.
func TestRelayForgets(t *testing.T) {
	r, now := enginestate.New(), time.Now()
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		r.FromAgent(enginestate.State{Address: fmt.Sprint(i), Pace: 1}, now)
		r.Take(now)
	}
	if got, want := r.Len(), 110; got > want {
		t.Errorf("states: got %d, want at most %d, those of the last 11 s", got, want)
	}
}

// Guards against a group out of service whose states cost each gateway a message to
// each other one per rank and report, and against states that some gateway does not get.
func TestRelayedMessagesOfAClosedGroup(t *testing.T) {
	const gateways, ranks, chosen, seconds = 54, 192, 8, 10
	relays := make([]*enginestate.Relay, gateways)
	heardAt := make([][]time.Time, gateways)
	begun := time.Now()
	for i := range relays {
		relays[i] = enginestate.New()
		heardAt[i] = slices.Repeat([]time.Time{begun.Add(time.Second)}, ranks)
	}
	broadcasts, longest := 0, time.Duration(0)
	heard := func(g, rank int, now time.Time) {
		longest = max(longest, now.Sub(heardAt[g][rank]))
		heardAt[g][rank] = now
	}
	for ms := 0; ms < seconds*1000; ms++ {
		now := begun.Add(time.Duration(ms) * time.Millisecond)
		for rank := range ranks {
			// Each agent repeats its state every second.
			if ms%1000 != rank*37%1000 {
				continue
			}
			for k := range chosen {
				g := (rank*7 + k*5) % gateways
				relays[g].FromAgent(enginestate.State{Address: fmt.Sprint(rank), Pace: 1}, now)
				heard(g, rank, now)
			}
		}
		for g, r := range relays {
			// Gateways tick every 20 ms, at moments of their own.
			if ms%20 != g*3%20 {
				continue
			}
			states := r.Take(now)
			if len(states) == 0 {
				continue
			}
			broadcasts++
			for o, other := range relays {
				if o == g {
					continue
				}
				for _, s := range states {
					rank := 0
					if _, err := fmt.Sscan(s.Address, &rank); err != nil {
						t.Fatal(err)
					}
					other.FromGateway(s, now)
					heard(o, rank, now)
				}
			}
		}
	}
	perSecond := float64(broadcasts) / gateways / seconds
	t.Logf("%.1f broadcasts per gateway and second, longest time between two reports of a rank %v", perSecond, longest)
	if want := 4.0; perSecond > want {
		t.Errorf("broadcasts per gateway and second: got %.1f, want at most %.1f", perSecond, want)
	}
	if want := 2 * time.Second; longest > want {
		t.Errorf("longest time between two reports of a rank at a gateway: got %v, want at most %v", longest, want)
	}
}
