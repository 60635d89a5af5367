package dispatch_test

import (
	"testing"
	"time"

	"nutmegnotch/core/dispatch"
)

// Guards against requests to a server that wants none for a time, and against callers
// that wait in vain or come back too early.
func TestPausedServersGetNothing(t *testing.T) {
	cases := []struct {
		name string
		// pauses are those of the servers s0 and s1.
		pauses []time.Duration
		at     time.Duration
		want   string
		// wait reports that the request is queued; retryAfter is that of a rejection.
		wait       bool
		retryAfter time.Duration
	}{
		{"one is paused", []time.Duration{time.Second}, 0, "s1", false, 0},
		{"its pause is over", []time.Duration{time.Second, 9 * time.Second}, time.Second, "s0", false, 0},
		{"one opens inside the deadline", []time.Duration{time.Second, 9 * time.Second}, 0, "", true, 0},
		{"none opens inside the deadline", []time.Duration{6 * time.Second, 5 * time.Second}, time.Second, "", false, 4 * time.Second},
		{"a shorter pause does not end a longer one", []time.Duration{6 * time.Second, 6 * time.Second}, 3 * time.Second, "", false, 3 * time.Second},
		{"a pause without end is bounded", []time.Duration{1 << 60, 1 << 60}, time.Second, "", false, dispatch.MaxPause - time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(2, 4, false)
			for i, p := range c.pauses {
				d.Pause("s", backend([]string{"s0", "s1"}[i]), p, start)
				d.Pause("s", backend([]string{"s0", "s1"}[i]), p/2, start)
			}
			v, decided := d.Offer(request(1, c.at), start.Add(c.at))
			if decided == c.wait || v.Server.ID != c.want {
				t.Fatalf("offer: got %+v, decided %t, want server %q, queued %t", v, decided, c.want, c.wait)
			}
			if c.retryAfter > 0 && (v.Rejected != dispatch.ReasonPaused || v.RetryAfter != c.retryAfter || d.RetryAfter("s", start.Add(c.at)) != c.retryAfter) {
				t.Errorf("rejection: got %+v and Retry-After %v, want %s and %v", v, d.RetryAfter("s", start.Add(c.at)), dispatch.ReasonPaused, c.retryAfter)
			}
			if c.wait {
				if got := d.DispatchWaiting(start.Add(time.Second)); len(got) != 1 || got[0].Server.ID != "s0" {
					t.Errorf("after the pause: got %+v, want server s0", got)
				}
			}
		})
	}
}

// Guards against a request that waits although its deadline passes before a server
// opens, because another one that can wait stands before it.
func TestWaitingForPausedServers(t *testing.T) {
	d := newDispatcher(1, 4, false)
	d.Pause("s", backend("s0"), time.Second, start)
	patient, hasty := request(1, 0), request(2, 0)
	hasty.QueueDeadline = start.Add(1100 * time.Millisecond)
	for _, r := range []dispatch.Request{patient, hasty} {
		if v, decided := d.Offer(r, start); decided {
			t.Fatalf("request %d: got %+v, want it queued", r.ID, v)
		}
	}
	d.Pause("s", backend("s0"), 1500*time.Millisecond, start)
	got := d.DispatchWaiting(start.Add(100 * time.Millisecond))
	if len(got) != 1 || got[0].RequestID != 2 || got[0].Rejected != dispatch.ReasonPaused || got[0].RetryAfter != 1400*time.Millisecond {
		t.Errorf("decisions after a longer pause: got %+v, want the hasty request rejected until 1.5s", got)
	}
}

// Guards against a server that gets all its requests at once after a pause.
func TestRequestsComeBackGradually(t *testing.T) {
	d := newDispatcher(1, 8, false)
	// A reply to a request from before the pause does not count.
	d.Pause("s", backend("s0"), time.Second, start)
	d.Finished("s", backend("s0"), 0, dispatch.OutcomeServed, start)
	at := start.Add(time.Second)
	id := uint64(0)
	for _, want := range []int{1, 2, 4, 9} {
		sent := 0
		for range 20 {
			id++
			r := request(id, time.Second)
			r.QueueDeadline = at.Add(time.Hour)
			if v, ok := d.Offer(r, at); ok && v.Rejected == "" {
				sent++
			} else {
				d.RemoveWaiting("s", id)
			}
		}
		if sent != want {
			t.Errorf("requests at the server: got %d, want %d", sent, want)
		}
		for range sent {
			d.Finished("s", backend("s0"), 100, dispatch.OutcomeCancelled, at)
		}
		d.Finished("s", backend("s0"), 0, dispatch.OutcomeServed, at)
	}
}

// Guards against a pause asked of another gateway that closes a server here.
func TestPauseOfAnotherGatewayIsAHint(t *testing.T) {
	d := newDispatcher(2, 4, false)
	d.PeerPaused("s0", time.Second, start)
	got := map[string]int{}
	for i := range uint64(8) {
		if v, ok := d.Offer(request(i, 0), start); ok && v.Rejected == "" {
			got[v.Server.ID]++
		}
	}
	if got["s1"] <= got["s0"] || got["s0"] == 0 {
		t.Errorf("requests by server: got %v, want most of them but not all at s1", got)
	}
}

// Guards against a server whose state is forgotten when its record goes and comes back,
// although its process is the same.
func TestServerKeepsItsStateWhileItIsNotListed(t *testing.T) {
	again := func(d *dispatch.Dispatcher, startedUnixMS int64) {
		dep, list := servers(1, 4, false)
		d.SetServers(dep, nil, start.Add(100*time.Millisecond))
		list[0].StartedUnixMS = startedUnixMS
		d.SetServers(dep, list, start.Add(200*time.Millisecond))
	}
	cases := []struct {
		name   string
		before func(d *dispatch.Dispatcher)
		// at is when one more request is offered.
		at time.Duration
	}{
		{"pause", func(d *dispatch.Dispatcher) { d.Pause("s", backend("s0"), 3*time.Second, start) }, time.Second},
		{"open requests", func(d *dispatch.Dispatcher) {
			for i := range uint64(5) {
				d.Offer(request(i, 0), start)
			}
		}, time.Second},
		{"failed connections", func(d *dispatch.Dispatcher) {
			for i := range uint64(4) {
				d.Offer(request(i, 0), start)
				d.Finished("s", backend("s0"), 100, dispatch.OutcomeUnreachable, start)
			}
		}, 500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher(1, 4, false)
			c.before(d)
			again(d, 0)
			if v, decided := d.Offer(request(99, c.at), start.Add(c.at)); decided && v.Rejected == "" {
				t.Errorf("same process: got the request sent to %q, want it queued or rejected", v.Server.ID)
			}
			d = newDispatcher(1, 4, false)
			c.before(d)
			again(d, 1)
			if v, decided := d.Offer(request(99, c.at), start.Add(c.at)); !decided || v.Rejected != "" {
				t.Errorf("another process: got %+v, decided %t, want the request sent", v, decided)
			}
		})
	}
}
