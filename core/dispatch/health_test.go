package dispatch_test

import (
	"testing"
	"time"

	"nutmegnotch/core/dispatch"
)

// Guards against a failing server that is preferred again because of replies that may
// have broken off.
func TestUnverifiedReplyIsNoSuccess(t *testing.T) {
	cases := []struct {
		name    string
		outcome dispatch.Outcome
		want    string
	}{
		{"served", dispatch.OutcomeServed, "s0"},
		{"unverified", dispatch.OutcomeUnverified, "s1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(2, 4, false)
			for range 10 {
				d.Finished("s", backend("s0"), 0, dispatch.OutcomeFailed, start)
			}
			for range 100 {
				d.Finished("s", backend("s0"), 0, c.outcome, start)
			}
			d.SetPeerLoad("other", map[string]int{"s1": 2}, start)
			if v, ok := d.Offer(request(1, 0), start); !ok || v.Server.ID != c.want {
				t.Errorf("server after %s replies: got %+v, want %s", c.name, v, c.want)
			}
		})
	}
}

// Guards against a server that stays excluded although it replies again.
func TestUnverifiedReplyEndsExclusion(t *testing.T) {
	d := newDispatcher(1, 4, false)
	d.Finished("s", backend("s0"), 0, dispatch.OutcomeUnreachable, start)
	if v, ok := d.Offer(request(1, 0), start); ok && v.Rejected == "" {
		t.Fatalf("unreachable server: got %+v, want it excluded", v)
	}
	later := start.Add(time.Second)
	d.Finished("s", backend("s0"), 0, dispatch.OutcomeUnverified, later)
	for id := range uint64(2) {
		if v, ok := d.Offer(request(10+id, time.Second), later); !ok || v.Server.ID != "s0" {
			t.Errorf("request %d after a reply: got %+v %v, want s0", id, v, ok)
		}
	}
}
