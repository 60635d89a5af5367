package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"nutmegnotch/core/dispatch"
)

// step is the time between two events of a server in these tests.
const step = 50 * time.Millisecond

// occupied returns a dispatcher whose engines have a request each.
func occupied(t *testing.T, n int) *dispatch.Dispatcher {
	t.Helper()
	d := newDispatcher(n, 10, true)
	for i := range uint64(n) {
		if v, ok := d.Offer(request(i, 0), start); !ok || v.Rejected != "" {
			t.Fatalf("request %d: got %+v %v, want a server", i, v, ok)
		}
	}
	return d
}

// Guards against callers that wait for an engine on a frozen host until their
// patience ends, while the other ranks of its group serve.
func TestSilentServerIsLeftOut(t *testing.T) {
	d := occupied(t, 3)
	d.ObserveEvent("s", "s0", step, 200*time.Millisecond, start)
	var got []string
	var found time.Duration
	for at := step; at <= 800*time.Millisecond; at += step {
		now := start.Add(at)
		for _, id := range []string{"s1", "s2"} {
			d.ObserveEvent("s", id, step, 200*time.Millisecond, now)
		}
		if list := d.DetectUnresponsive(now); len(list) > 0 && found == 0 {
			got, found = list, at
		}
	}
	if !slices.Equal(got, []string{"s0"}) || found > 600*time.Millisecond {
		t.Fatalf("silent servers: got %v after %v, want s0 within 600ms", got, found)
	}
	now := start.Add(found)
	for i := range uint64(4) {
		if v, _ := d.Offer(request(100+i, found), now); v.Server.ID == "s0" {
			t.Error("request goes to the silent server, want another one")
		}
	}
	d.ObserveEvent("s", "s0", step, 200*time.Millisecond, now)
	used := map[string]bool{}
	for i := range uint64(16) {
		v, _ := d.Offer(request(200+i, found), now)
		used[v.Server.ID] = true
	}
	if !used["s0"] {
		t.Error("server that speaks again gets no request, want one")
	}
}

// Guards against an engine that is left out while it reads long prompts.
func TestServerWithoutFirstEventIsNotSilentYet(t *testing.T) {
	d := occupied(t, 3)
	for at := step; at < 1200*time.Millisecond; at += step {
		now := start.Add(at)
		for _, id := range []string{"s1", "s2"} {
			d.ObserveEvent("s", id, step, 200*time.Millisecond, now)
		}
		switch got := d.DetectUnresponsive(now); {
		case at < 450*time.Millisecond && len(got) > 0:
			t.Fatalf("silent servers after %v without a first event: got %v, want none", at, got)
		case len(got) > 0:
			return
		}
	}
	t.Error("silent servers after 1.2s without a first event: got none, want s0")
}

// Guards against requests at a slow engine, which every pass of its group waits
// for: it gets fewer than the others.
func TestSlowServerGetsFewerRequests(t *testing.T) {
	d := newDispatcher(3, 10, true)
	dep, list := servers(3, 10, true)
	for i := range list {
		list[i].Address = list[i].ID
	}
	d.SetServers(dep, list, start)
	d.SetEngineState("s1", 4, true, start)
	got := map[string]int{}
	for i := range uint64(9) {
		v, _ := d.Offer(request(i, 0), start)
		got[v.Server.ID]++
	}
	if got["s1"] > 1 {
		t.Errorf("requests at an engine that takes 4 times as long: got %d of 9, want at most 1", got["s1"])
	}
	later := start.Add(10 * time.Second)
	for i := range uint64(9) {
		v, _ := d.Offer(request(100+i, 10*time.Second), later)
		got[v.Server.ID]++
	}
	if got["s1"] < 4 {
		t.Errorf("requests at an engine that is not slow any more: got %d of 18, want at least 4", got["s1"])
	}
}

// Guards against a group that is left nearly empty because its slowest engine
// makes every pause too long: its streams are late in any case, and fewer of
// them serve nobody.
func TestSlowGroupIsStillUsed(t *testing.T) {
	const n, slots, most = 3, 10, 100 * time.Millisecond
	d := newDispatcher(n, slots, true)
	dep, list := servers(n, slots, true)
	for i := range list {
		list[i].Address = list[i].ID
	}
	d.SetServers(dep, list, start)
	d.SetEngineState("s0", 7, true, start)
	// A pass takes 7 times the usual 18 ms and 1 ms for each request.
	now, running := start, 0
	for id := range uint64(200) {
		now = now.Add(step)
		for i := range max(n, running) {
			d.ObserveEvent("s", list[i%n].ID, 126*time.Millisecond+time.Duration(running)*time.Millisecond, most, now)
		}
		d.SetEngineState("s0", 7, true, now)
		if v, ok := d.Offer(request(id, now.Sub(start)), now); ok && v.Rejected == "" {
			running++
		}
	}
	if running < 20 {
		t.Errorf("streams at a slow group: got %d of %d slots used, want at least 20", running, n*slots)
	}
}

// Guards against requests that are moved from rank to rank while their whole
// group stalls, and just after it has got on.
func TestStalledGroupIsNotSilent(t *testing.T) {
	d := occupied(t, 3)
	now := start
	for range 10 {
		now = now.Add(step)
		for _, id := range []string{"s0", "s1", "s2"} {
			d.ObserveEvent("s", id, step, 200*time.Millisecond, now)
		}
	}
	for range 80 {
		now = now.Add(step)
		if got := d.DetectUnresponsive(now); len(got) > 0 {
			t.Fatalf("silent servers in a group that stalls: got %v, want none", got)
		}
	}
	for range 4 {
		now = now.Add(step)
		d.ObserveEvent("s", "s1", step, 200*time.Millisecond, now)
		if got := d.DetectUnresponsive(now); len(got) > 0 {
			t.Fatalf("silent servers just after a stall: got %v, want none", got)
		}
	}
}
