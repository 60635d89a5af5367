package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against a request that ends one server after the other: once it has ended
// three, no gateway sends it on, also those that have not sent it themselves.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	const crashes = 3
	d := newDeployment(t)
	d.publish()
	var runners []*runner.Runner
	for i := range 6 {
		r := d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "found"}, "desk")
		// Longer than the test, so that each run of it would be seen.
		r.Fail(slices.Repeat([]runner.Fault{runner.FaultReset}, 10)...)
		runners = append(runners, r)
	}
	first, second := d.startReady(), d.startReady()
	eventually(t, "the gateways know each other", d.connected)
	runs := func() int {
		n := 0
		for _, r := range runners {
			n += len(r.Runs())
		}
		return n
	}
	for range 2 {
		send(newRequest(first, http.MethodGet, "/lookup/crash", "key-a", ""))
	}
	if got := runs(); got < crashes {
		t.Fatalf("runs at first: got %d, want at least %d", got, crashes)
	}
	refused := func(p *process) bool {
		return send(newRequest(p, http.MethodGet, "/lookup/crash", "key-a", "")).status == http.StatusServiceUnavailable
	}
	// The news goes from gateway to gateway at once.
	time.Sleep(300 * time.Millisecond)
	before := runs()
	for _, p := range []*process{second, first} {
		if !refused(p) {
			t.Error("request that has ended three servers: got sent on, want refused")
		}
	}
	if got := runs(); got != before {
		t.Errorf("further runs of a request that has ended three servers: got %d, want 0", got-before)
	}
	if got := send(newRequest(second, http.MethodGet, "/lookup/other", "key-a", "")); got.status == http.StatusServiceUnavailable {
		t.Error("another request: got refused, want sent on")
	}
}

// Guards against gateways that each spend the whole budget of repeats.
func TestRepeatsStayInTheBudgetOfAllGateways(t *testing.T) {
	t.Parallel()
	const requests, ratio, slack = 60, 0.2, 12
	d := newDeployment(t)
	d.tunable.RetryRatio, d.tunable.RetrySlack = ratio, slack
	d.publish()
	var runners []*runner.Runner
	for i := range 4 {
		r := d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "found"}, "desk")
		r.Fail(slices.Repeat([]runner.Fault{runner.FaultError}, 2*requests)...)
		runners = append(runners, r)
	}
	gateways := []*process{d.startReady(), d.startReady(), d.startReady()}
	eventually(t, "the gateways know each other", d.connected)
	// They divide the slack at the next of their messages, which are 100 ms apart.
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
