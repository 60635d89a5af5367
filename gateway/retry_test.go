package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against a request that crashes one server after the other. After three
// crashes no gateway may forward it, including gateways that never sent it.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	const crashes = 3
	d := newDeployment(t)
	d.publish()
	d.addServers(6, "desk", runner.ProcessConfig{ExpiryDelay: 100 * time.Millisecond, RestartDelay: time.Minute,
		Config: runner.Config{CrashPoint: runner.CrashBeforeReply}})
	first, second := d.startReady(), d.startReady()
	eventually(t, "the gateways are connected", d.connected)
	runs := func() int {
		n := 0
		for _, s := range d.servers {
			n += len(s.Runs())
		}
		return n
	}
	for range 2 {
		send(newRequest(first, http.MethodGet, "/lookup/crash", "key-a", ""))
	}
	if got := runs(); got < crashes {
		t.Fatalf("runs at first: got %d, want at least %d", got, crashes)
	}
	rejected := func(p *process) bool {
		return send(newRequest(p, http.MethodGet, "/lookup/crash", "key-a", "")).status == http.StatusServiceUnavailable
	}
	// Crashes are broadcast to the other gateways immediately.
	time.Sleep(300 * time.Millisecond)
	before := runs()
	for _, p := range []*process{second, first} {
		if !rejected(p) {
			t.Error("request that has crashed three servers: got forwarded, want rejected")
		}
	}
	if got := runs(); got != before {
		t.Errorf("further runs of a request that has crashed three servers: got %d, want 0", got-before)
	}
	if got := send(newRequest(second, http.MethodGet, "/lookup/other", "key-a", "")); got.status == http.StatusServiceUnavailable {
		t.Error("another request: got rejected, want forwarded")
	}
}

// Guards against gateways that each spend the whole shared retry budget.
func TestRepeatsStayInTheBudgetOfAllGateways(t *testing.T) {
	t.Parallel()
	const requests, ratio, slack = 60, 0.2, 12
	d := newDeployment(t)
	d.reloadable.RetryRatio, d.reloadable.RetrySlack = ratio, slack
	d.publish()
	var runners []*runner.Runner
	for i := range 4 {
		r := d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "found"}, "desk")
		r.Fail(slices.Repeat([]runner.Fault{runner.FaultError}, 2*requests)...)
		runners = append(runners, r)
	}
	gateways := []*process{d.startReady(), d.startReady(), d.startReady()}
	eventually(t, "the gateways are connected", d.connected)
	// The gateways divide the slack at their next heartbeats, which are 100 ms apart.
	time.Sleep(400 * time.Millisecond)
	for i := range requests {
		send(newRequest(gateways[i%len(gateways)], http.MethodGet, fmt.Sprintf("/lookup/%d", i), "key-a", ""))
	}
	arrivals := 0
	for _, r := range runners {
		arrivals += len(r.Runs())
	}
	if most := requests + int(ratio*requests) + slack; arrivals < requests || arrivals > most {
		t.Errorf("arrivals of %d requests at servers that fail: got %d, want %d to %d", requests, arrivals, requests, most)
	}
}

// Guards against gateways that spend their part of the shared retry budget anew after
// each restart.
func TestRepeatsStayInTheBudgetOverRestarts(t *testing.T) {
	t.Parallel()
	const requests, ratio, slack = 60, 0.2, 12
	d := newDeployment(t)
	d.reloadable.RetryRatio, d.reloadable.RetrySlack, d.reloadable.Grace = ratio, slack, time.Second
	d.publish()
	var runners []*runner.Runner
	for i := range 4 {
		r := d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "found"}, "desk")
		r.Fail(slices.Repeat([]runner.Fault{runner.FaultError}, 2*requests)...)
		runners = append(runners, r)
	}
	for range 3 {
		d.startReady()
	}
	begun := time.Now()
	for i := range requests {
		if i%10 == 9 {
			d.restart(i / 10 % len(d.gateways))
		}
		send(newRequest(d.gateways[i%len(d.gateways)], http.MethodGet, fmt.Sprintf("/lookup/%d", i), "key-a", ""))
	}
	if took := time.Since(begun); took > d.reloadable.RetryWindow {
		t.Fatalf("requests took %v, want them within one window of %v", took, d.reloadable.RetryWindow)
	}
	arrivals := 0
	for _, r := range runners {
		arrivals += len(r.Runs())
	}
	if most := requests + int(ratio*requests) + slack; arrivals < requests || arrivals > most {
		t.Errorf("arrivals of %d requests at servers that fail: got %d, want %d to %d", requests, arrivals, requests, most)
	}
}
