package dispatch_test

import (
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
)

// grouped returns a dispatcher with the engines of one group, whose agents have
// said that it does not serve.
func grouped(n int) *dispatch.Dispatcher {
	d := dispatch.New("z0", 1)
	dep, list := servers(n, 10, true)
	for i := range list {
		list[i].Address = list[i].ID
		list[i].Place = core.RankPlace{Group: "g", Rank: i, Size: n}
	}
	d.SetEngineState("s0", 1, false, start)
	d.SetServers(dep, list, start)
	return d
}

// Guards against callers that come back during an outage of a group and are
// turned away for good, though the group serves again while they still wait.
func TestReturningCallerWaitsForGroup(t *testing.T) {
	d := grouped(3)
	fresh, returning := request(1, 0), request(2, 0)
	returning.CallerRetry = true
	if v, ok := d.Offer(fresh, start); !ok || v.Rejected != dispatch.ReasonNoServer || v.RetryAfter < 2*time.Second {
		t.Errorf("first attempt during an outage: got %+v %v, want %s at once and a late return", v, ok, dispatch.ReasonNoServer)
	}
	if v, ok := d.Offer(returning, start); ok {
		t.Fatalf("caller that has come back during an outage: got %+v, want a wait", v)
	}
	now := start.Add(time.Second)
	if got := d.DispatchWaiting(now); len(got) != 0 {
		t.Errorf("verdicts before the group serves: got %+v, want none", got)
	}
	d.SetEngineState("s1", 1, true, now)
	got := d.DispatchWaiting(now)
	if len(got) != 1 || got[0].RequestID != returning.ID || got[0].Rejected != "" {
		t.Errorf("verdicts once the group serves: got %+v, want a server for request %d", got, returning.ID)
	}
}

// Guards against callers that come back during an outage and are turned away
// because of others that wait already, or by the rate of completions before it.
func TestReturningCallersWaitTogether(t *testing.T) {
	d := grouped(3)
	for i := range uint64(5) {
		r := request(i, time.Duration(i)*10*time.Millisecond)
		r.CallerRetry = true
		if i == 1 {
			// Seen by others that serve a little, which is forgotten in seconds.
			d.Finished("s", "s0", 100, dispatch.OutcomeServed, start)
			d.SetEngineState("s0", 1, false, start)
		}
		if v, ok := d.Offer(r, r.Arrived); ok {
			t.Errorf("caller %d that has come back during an outage: got %+v, want a wait", i, v)
		}
	}
	fresh := request(9, 100*time.Millisecond)
	fresh.Objective = fresh.Arrived.Add(time.Hour)
	if v, ok := d.Offer(fresh, fresh.Arrived); !ok || v.Rejected == "" && v.Server.ID == "" {
		t.Errorf("first attempt behind them: got %+v %v, want a verdict at once", v, ok)
	}
	now := start.Add(500 * time.Millisecond)
	d.SetEngineState("s1", 1, true, now)
	if got := d.DispatchWaiting(now); len(got) != 5 {
		t.Errorf("verdicts once the group serves: got %d, want 5", len(got))
	}
}

// Guards against a caller that is held although it waits no longer.
func TestReturningCallerIsRejectedInTime(t *testing.T) {
	d := grouped(3)
	r := request(1, 0)
	r.CallerRetry = true
	if v, ok := d.Offer(r, start); ok {
		t.Fatalf("caller that has come back during an outage: got %+v, want a wait", v)
	}
	got := d.DispatchWaiting(r.GiveUp)
	if len(got) != 1 || got[0].Rejected != dispatch.ReasonTooLate {
		t.Errorf("verdicts when the caller gives up: got %+v, want %s", got, dispatch.ReasonTooLate)
	}
}

// Guards against requests that are used to find out whether a group serves and
// whose callers do not come back, and against too many of the others.
func TestOutageIsProbedByFirstAttempts(t *testing.T) {
	d := grouped(3)
	sent := 0
	for at := time.Duration(0); at < time.Second; at += 20 * time.Millisecond {
		r := request(uint64(at), at)
		r.CallerRetry = at%(40*time.Millisecond) == 0
		v, ok := d.Offer(r, start.Add(at))
		if ok && v.Rejected == "" {
			sent++
			if r.CallerRetry {
				t.Errorf("request of a caller that has come back, at %v: got %s, want a wait", at, v.Server.ID)
			}
			d.Finished("s", v.Server.ID, r.Tokens, dispatch.OutcomeShed, start.Add(at))
		}
	}
	if sent < 4 || sent > 12 {
		t.Errorf("requests sent in a second of an outage: got %d, want 4 to 12", sent)
	}
}

// Guards against a server that keeps getting requests though another one runs at
// its address.
func TestMisdirectedServerIsLeftOut(t *testing.T) {
	d := newDispatcher(1, 10, true)
	v, _ := d.Offer(request(1, 0), start)
	d.Finished("s", v.Server.ID, 100, dispatch.OutcomeMisdirected, start)
	if v, _ = d.Offer(request(2, 0), start.Add(time.Second)); v.Rejected != dispatch.ReasonNoServer {
		t.Errorf("request after another server has replied: got %+v, want %s", v, dispatch.ReasonNoServer)
	}
}
