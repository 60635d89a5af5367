package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Bounds of the retries of a request that crashes servers: at most crashRetries
// runs begin later than crashSettleTime after the third crash.
const (
	crashRetries    = 3
	crashSettleTime = time.Second
	crashTarget     = "/lookup/crash"
)

// addServers starts n servers of a service that end when they run a request with
// the text crash, unless cfg has another one.
func (d *deployment) addServers(n int, service string, cfg runner.ProcessConfig) {
	d.t.Helper()
	for range n {
		c := cfg
		i := len(d.servers)
		c.ID, c.Body = fmt.Sprintf("%s-%d", service, i), "found"
		if c.CrashMarker == "" {
			c.CrashMarker = "crash"
		}
		c.Service, c.Zone, c.Store = service, "z1", d.store
		if c.ExpiryDelay == 0 {
			c.ExpiryDelay, c.RestartDelay = 500*time.Millisecond, 300*time.Millisecond
		}
		p, err := runner.NewProcess(c)
		if err != nil {
			d.t.Fatalf("start server: %v", err)
		}
		d.servers = append(d.servers, p)
	}
}

// crashes returns the times of all crashes, in order.
func (d *deployment) crashes() []time.Time {
	var out []time.Time
	for _, p := range d.servers {
		out = append(out, p.Crashes()...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashesBy returns the times of the crashes that requests have caused, in order.
func (d *deployment) crashesBy(match func(target string) bool) []time.Time {
	var out []time.Time
	for _, p := range d.servers {
		out = append(out, p.CrashesBy(match)...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// crashRuns returns the number of runs of the crashing request, and how many of
// them began later than crashSettleTime after the third crash.
func (d *deployment) crashRuns() (all, late int) {
	ends := d.crashes()
	for _, p := range d.servers {
		for _, r := range p.Runs() {
			if !strings.Contains(r.Target+r.Body, "crash") {
				continue
			}
			all++
			if len(ends) >= 3 && r.At.After(ends[2].Add(crashSettleTime)) {
				late++
			}
		}
	}
	return all, late
}

// refusedAsCrashing reports whether a request was refused since it crashes servers.
func refusedAsCrashing(a answer) bool {
	return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "crashes_backend_servers")
}

// sendUntilRefused sends copies of the crashing request to a gateway until it is
// refused.
func (d *deployment) sendUntilRefused(p *process) {
	d.t.Helper()
	eventually(d.t, "the request is refused", func() bool {
		return refusedAsCrashing(send(newRequest(p, http.MethodGet, crashTarget, "key-a", "")))
	})
	if got := len(d.crashes()); got < 3 {
		d.t.Fatalf("crashes before the refusal: got %d, want at least 3", got)
	}
}

// Guards against a request that crashes servers and is sent on because its crashes
// are not recognised, wherever in the run the server ends.
func TestCrashesAreCountedAtEachPointOfARun(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, method, path string
		point              runner.CrashPoint
		servers            int
		keepID             bool
	}{
		{"lookup before the reply", http.MethodGet, crashTarget, runner.CrashBeforeReply, 6, false},
		{"lookup after the head", http.MethodGet, crashTarget, runner.CrashAfterHead, 6, false},
		{"lookup in the body", http.MethodGet, crashTarget, runner.CrashInBody, 6, false},
		{"lookup silently", http.MethodGet, crashTarget, runner.CrashSilently, 14, false},
		{"lookup in a body without a length", http.MethodGet, crashTarget, runner.CrashInUnframedBody, 6, false},
		{"booking before the reply", http.MethodPost, "/book/crash", runner.CrashBeforeReply, 6, false},
		{"booking in the body", http.MethodPost, "/book/crash", runner.CrashInBody, 6, false},
		{"stream before the reply", http.MethodPost, "/draft/crash", runner.CrashBeforeReply, 6, false},
		{"stream after the head", http.MethodPost, "/draft/crash", runner.CrashAfterHead, 6, false},
		{"stream in an event", http.MethodPost, "/draft/crash", runner.CrashInBody, 6, false},
		{"stream in an event, without chunks", http.MethodPost, "/draft/crash", runner.CrashInUnframedBody, 6, false},
		{"stream silently", http.MethodPost, "/draft/crash", runner.CrashSilently, 14, false},
		{"two servers that keep their ids", http.MethodGet, crashTarget, runner.CrashBeforeReply, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			cfg := runner.ProcessConfig{Config: runner.Config{CrashPoint: c.point}, KeepID: c.keepID}
			copies, gap, left := 50, 100*time.Millisecond, 400
			if c.point == runner.CrashSilently {
				// Callers leave before the server answers again, and each copy before the next one.
				copies, gap, left = 12, 400*time.Millisecond, 200
				cfg.ExpiryDelay, cfg.RestartDelay = 800*time.Millisecond, 900*time.Millisecond
			}
			service := "desk"
			if strings.HasPrefix(c.path, "/draft/") {
				service, cfg.Events, cfg.EventInterval = "model", 6, 10*time.Millisecond
			}
			d.addServers(c.servers, service, cfg)
			gateways := []*process{d.startReady(), d.startReady()}
			eventually(t, "the gateways are connected", d.connected)
			var wg sync.WaitGroup
			for i := range copies {
				r := newRequest(gateways[i%2], c.method, c.path, "key-a", "")
				r.Header.Set("Nutmegnotch-Deadline-Ms", strconv.Itoa(left))
				wg.Go(func() { send(r) })
				time.Sleep(gap)
			}
			wg.Wait()
			all, late := d.crashRuns()
			if got := len(d.crashes()); got < 3 {
				t.Fatalf("crashes: got %d, want at least 3", got)
			}
			if late > crashRetries {
				t.Errorf("runs later than %v after the third crash: got %d (%d in all), want at most %d", crashSettleTime, late, all, crashRetries)
			}
			for i, p := range gateways {
				if got := send(newRequest(p, c.method, c.path, "key-a", "")); !refusedAsCrashing(got) {
					t.Errorf("last copy at gateway %d: got %d %q (%v), want a refusal as crashing", i, got.status, got.body, got.err)
				}
			}
		})
	}
}

// Guards against copies that waited in the queue when the request was found to
// crash servers, and were sent all the same.
func TestQueuedCopiesOfACrashingRequest(t *testing.T) {
	t.Parallel()
	const busyTime = 2 * time.Second
	d := newDeployment(t)
	d.routes[0]["timeout_ms"], d.routes[0]["max_attempts"] = 10_000, 1
	d.publish()
	later := func(path string) *http.Request {
		r := newRequest(d.gateways[0], http.MethodGet, path, "key-a", "")
		r.Header.Set("Nutmegnotch-Deadline-Ms", "10000")
		return r
	}
	cfg := runner.ProcessConfig{Slots: 1, ExpiryDelay: 300 * time.Millisecond, RestartDelay: time.Minute,
		Config: runner.Config{CrashPoint: runner.CrashBeforeReply, ProcessingTime: busyTime}}
	d.addServers(6, "desk", cfg)
	d.startReady()
	var wg sync.WaitGroup
	for i := range 18 {
		r := later(fmt.Sprintf("/lookup/%d", i))
		wg.Go(func() { send(r) })
	}
	eventually(t, "each server runs a request", func() bool {
		return !slices.ContainsFunc(d.servers, func(s *runner.Process) bool { return len(s.Runs()) == 0 })
	})
	cfg.ProcessingTime = 200 * time.Millisecond
	d.addServers(3, "desk", cfg)
	time.Sleep(300 * time.Millisecond)
	for range 45 {
		r := later(crashTarget)
		wg.Go(func() { send(r) })
	}
	wg.Wait()
	if got := len(d.crashes()); got < 3 {
		t.Fatalf("crashes: got %d, want at least 3", got)
	}
	if all, late := d.crashRuns(); late > crashRetries {
		t.Errorf("runs later than %v after the third crash: got %d (%d in all), want at most %d", crashSettleTime, late, all, crashRetries)
	}
}

// Guards against a request that is refused as crashing although no server has
// ended, or although its servers ended for another reason.
func TestInnocentRequestIsNotRefusedAsCrashing(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults []runner.Fault
	}{
		{"half served, a quarter reset, a quarter broken off", []runner.Fault{runner.FaultReset, runner.FaultNone, runner.FaultTruncated, runner.FaultNone}},
		{"all reset", []runner.Fault{runner.FaultReset}},
		{"all broken off", []runner.Fault{runner.FaultTruncated}},
		{"all without a valid reply", []runner.Fault{runner.FaultGarbage}},
		{"all without a reply", []runner.Fault{runner.FaultHang}},
		{"all without a length", []runner.Fault{runner.FaultCloseDelimited}},
		{"all without a length and broken off", []runner.Fault{runner.FaultCloseDelimitedCut}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			for i := range 12 {
				d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "found"}, "desk").Fail(slices.Repeat(c.faults, 20)...)
			}
			p := d.startReady()
			for i := range 60 {
				r := newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")
				r.Header.Set("Nutmegnotch-Deadline-Ms", "200")
				if got := send(r); refusedAsCrashing(got) {
					t.Fatalf("copy %d: got %d %q, want it forwarded", i, got.status, got.body)
				}
			}
		})
	}
	ends := []struct {
		name string
		// copies is their number, and gap the time between the ends of two servers.
		copies int
		gap    time.Duration
	}{
		{"all servers end at the same moment", 12, 0},
		{"all servers end in turn, and copies are moved", 8, 20 * time.Millisecond},
	}
	for _, c := range ends {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			d.addServers(6, "desk", runner.ProcessConfig{Config: runner.Config{ProcessingTime: 300 * time.Millisecond}})
			p := d.startReady()
			var wg sync.WaitGroup
			for range c.copies {
				r := newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")
				wg.Go(func() { send(r) })
			}
			eventually(t, "each server runs a copy", func() bool {
				return !slices.ContainsFunc(d.servers, func(s *runner.Process) bool { return len(s.Runs()) == 0 })
			})
			for _, s := range d.servers {
				s.Runner().Crash(false)
				time.Sleep(c.gap)
			}
			wg.Wait()
			time.Sleep(crashSettleTime)
			for i := range 3 {
				if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.status != http.StatusOK {
					t.Errorf("copy %d after the servers are back: got %d %q (%v), want 200", i, got.status, got.body, got.err)
				}
			}
		})
	}
}

// Guards against copies that crash one server each because all of them are sent at
// the same moment, before any crash is known.
func TestCopiesAtTheSameMoment(t *testing.T) {
	t.Parallel()
	const copies = 20
	d := newDeployment(t)
	d.publish()
	d.addServers(24, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashBeforeReply, ProcessingTime: 200 * time.Millisecond}})
	gateways := []*process{d.startReady(), d.startReady()}
	eventually(t, "the gateways are connected", d.connected)
	wave := func() {
		var wg sync.WaitGroup
		for i := range copies {
			r := newRequest(gateways[i%2], http.MethodGet, crashTarget, "key-a", "")
			wg.Go(func() { send(r) })
		}
		wg.Wait()
	}
	wave()
	time.Sleep(2 * crashSettleTime)
	for range 3 {
		wave()
	}
	if all, late := d.crashRuns(); late > crashRetries {
		t.Errorf("runs later than %v after the third crash: got %d (%d in all), want at most %d", crashSettleTime, late, all, crashRetries)
	}
}
