package dispatch_test

import (
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
)

// newGroupDispatcher returns a dispatcher with the engines of one group that does
// not serve, as reported by an agent.
func newGroupDispatcher(n int) *dispatch.Dispatcher {
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

// Guards against the rejection of a caller's retry during an outage of a group
// that serves again while the caller still waits.
func TestReturningCallerWaitsForGroup(t *testing.T) {
	d := newGroupDispatcher(3)
	fresh, returning := request(1, 0), request(2, 0)
	returning.CallerRetry = true
	if v, ok := d.Offer(fresh, start); !ok || v.Rejected != dispatch.ReasonNoServer || v.RetryAfter < 2*time.Second {
		t.Errorf("first attempt during an outage: got %+v %v, want %s at once with a long Retry-After", v, ok, dispatch.ReasonNoServer)
	}
	if v, ok := d.Offer(returning, start); ok {
		t.Fatalf("caller's retry during an outage: got %+v, want a wait", v)
	}
	now := start.Add(time.Second)
	if got := d.DispatchWaiting(now); len(got) != 0 {
		t.Errorf("decisions before the group serves: got %+v, want none", got)
	}
	d.SetEngineState("s1", 1, true, now)
	got := d.DispatchWaiting(now)
	if len(got) != 1 || got[0].RequestID != returning.ID || got[0].Rejected != "" {
		t.Errorf("decisions once the group serves: got %+v, want a server for request %d", got, returning.ID)
	}
}

// Guards against callers' retries that are rejected during an outage because other
// requests are waiting already, or because of the completion rate before it.
func TestReturningCallersWaitTogether(t *testing.T) {
	d := newGroupDispatcher(3)
	for i := range uint64(5) {
		r := request(i, time.Duration(i)*10*time.Millisecond)
		r.CallerRetry = true
		if i == 1 {
			// A completion gives a low completion rate, which decays within seconds.
			d.Finished("s", backend("s0"), 100, dispatch.OutcomeServed, start)
			d.SetEngineState("s0", 1, false, start)
		}
		if v, ok := d.Offer(r, r.Arrived); ok {
			t.Errorf("retry of caller %d during an outage: got %+v, want a wait", i, v)
		}
	}
	fresh := request(9, 100*time.Millisecond)
	fresh.Objective = fresh.Arrived.Add(time.Hour)
	if v, ok := d.Offer(fresh, fresh.Arrived); !ok || v.Rejected == "" && v.Server.ID == "" {
		t.Errorf("first attempt after the retries: got %+v %v, want a decision at once", v, ok)
	}
	now := start.Add(500 * time.Millisecond)
	d.SetEngineState("s1", 1, true, now)
	if got := d.DispatchWaiting(now); len(got) != 5 {
		t.Errorf("decisions once the group serves: got %d, want 5", len(got))
	}
}

// Guards against a caller's retry that is still queued after its queue deadline.
func TestReturningCallerIsRejectedInTime(t *testing.T) {
	d := newGroupDispatcher(3)
	r := request(1, 0)
	r.CallerRetry = true
	if v, ok := d.Offer(r, start); ok {
		t.Fatalf("caller's retry during an outage: got %+v, want a wait", v)
	}
	got := d.DispatchWaiting(r.QueueDeadline)
	if len(got) != 1 || got[0].Rejected != dispatch.ReasonTooLate {
		t.Errorf("decisions at the queue deadline: got %+v, want %s", got, dispatch.ReasonTooLate)
	}
}

// Guards against outage probes with requests whose callers may not retry again,
// and against too many probes.
func TestOutageIsProbedByFirstAttempts(t *testing.T) {
	d := newGroupDispatcher(3)
	sent := 0
	for at := time.Duration(0); at < time.Second; at += 20 * time.Millisecond {
		r := request(uint64(at), at)
		r.CallerRetry = at%(40*time.Millisecond) == 0
		v, ok := d.Offer(r, start.Add(at))
		if ok && v.Rejected == "" {
			sent++
			if r.CallerRetry {
				t.Errorf("caller's retry at %v: got %s, want a wait", at, v.Server.ID)
			}
			d.Finished("s", v.Server, r.Tokens, dispatch.OutcomeShed, start.Add(at))
		}
	}
	if sent < 4 || sent > 12 {
		t.Errorf("requests sent in a second of an outage: got %d, want 4 to 12", sent)
	}
}

// Guards against a server that keeps getting requests although another server runs
// at its address.
func TestMisdirectedServerIsLeftOut(t *testing.T) {
	d := newDispatcher(1, 10, true)
	v, _ := d.Offer(request(1, 0), start)
	d.Finished("s", v.Server, 100, dispatch.OutcomeMisdirected, start)
	if v, _ = d.Offer(request(2, 0), start.Add(time.Second)); v.Rejected != dispatch.ReasonNoServer {
		t.Errorf("request after another server has replied: got %+v, want %s", v, dispatch.ReasonNoServer)
	}
}

// Guards against many gateways that fill a group which does not serve with requests to find
// out whether it does, and against gateways that use it late once it does.
func TestManyGatewaysProbeAClosedGroup(t *testing.T) {
	const (
		closed, length, step = 3 * time.Second, 6 * time.Second, 10 * time.Millisecond
		perSecond            = 10
	)
	cases := []struct {
		gateways int
		// reported is set if the engines' agents report when the group serves.
		reported bool
		// probes bounds the requests to the closed group in a second. Those of few gateways
		// have a least interval.
		probes int
		// back is when each gateway has to use the group, after it serves.
		back time.Duration
	}{
		{4, true, 45, 200 * time.Millisecond},
		{54, true, 120, 200 * time.Millisecond},
		{54, false, 120, 2 * time.Second},
		{1600, false, 1600, 2200 * time.Millisecond},
	}
	for _, c := range cases {
		var list []*dispatch.Dispatcher
		for i := range c.gateways {
			d := dispatch.New("z0", uint64(i))
			d.SetSharers(dispatch.Sharers{Gateways: c.gateways, Index: i})
			dep, servers := servers(3, 1000, true)
			for i := range servers {
				servers[i].Address = servers[i].ID
				servers[i].Place = core.RankPlace{Group: "g", Rank: i, Size: 3}
			}
			d.SetEngineState("s0", 1, false, start)
			d.SetServers(dep, servers, start)
			list = append(list, d)
		}
		sends, late := 0, 0
		for at := time.Duration(0); at < length; at += step {
			now := start.Add(at)
			for i, d := range list {
				switch {
				case at < closed && at%time.Second == 0:
					d.SetEngineState("s0", 1, false, now)
				case at == closed && c.reported:
					d.SetEngineState("s0", 1, true, now)
				}
				if (at/step+time.Duration(i))%(time.Second/perSecond/step) != 0 {
					continue
				}
				v, ok := d.Offer(request(uint64(at/step), at), now)
				switch {
				case ok && v.Rejected == "" && at < closed:
					sends++
					d.Finished("s", v.Server, 100, dispatch.OutcomeShed, now)
				case ok && v.Rejected == "":
					d.Finished("s", v.Server, 100, dispatch.OutcomeServed, now)
				case at >= closed+c.back:
					late++
				}
			}
		}
		if got := sends / int(closed/time.Second); got > c.probes {
			t.Errorf("%d gateways, requests to the closed group in a second: got %d, want at most %d", c.gateways, got, c.probes)
		}
		if late > 0 {
			t.Errorf("%d gateways, reported %v: got %d requests not served later than %v after the group serves, want 0", c.gateways, c.reported, late, c.back)
		}
	}
}
