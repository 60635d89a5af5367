package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against new requests to a server that has said in an answer that it leaves,
// although the store says that it is ready, and against streams that are cut off by it.
func TestServerThatSaysItLeaves(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		path   string
		events int
		fault  runner.Fault
	}{
		{"in a plain reply", "/lookup/1", 0, runner.FaultNone},
		{"in a rejection", "/lookup/1", 0, runner.FaultNotRun},
		{"in an error", "/lookup/1", 0, runner.FaultError},
		{"in a stream", "/draft/1", 20, runner.FaultNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			service := "desk"
			if c.events > 0 {
				service = "model"
			}
			cfg := runner.Config{Body: "ok", Events: c.events, EventInterval: 20 * time.Millisecond}
			var servers []*runner.Runner
			for i := range 2 {
				cfg.ID = fmt.Sprintf("s%d", i)
				servers = append(servers, d.addRunner(cfg, service))
			}
			gateways := []*process{d.startReady(), d.startReady()}
			eventually(t, "the gateways are connected", d.connected)
			ask := func(p *process) answer { return send(newRequest(p, http.MethodGet, c.path, "key-a", "")) }
			// A stream that runs at the leaving server is served to its end.
			leaving := servers[0]
			leaving.Fail(c.fault)
			leaving.Leave()
			for range 20 {
				if got := ask(gateways[0]); got.status != http.StatusOK || got.err != nil {
					t.Fatalf("request: got %d (%v), want 200", got.status, got.err)
				}
				if gateways[0].logs.FilterMessage("server says that it leaves").Len() > 0 {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
			d.announce("s0", service, "ready")
			time.Sleep(200 * time.Millisecond)
			late := d.startReady()
			eventually(t, "the late gateway is connected", d.connected)
			time.Sleep(100 * time.Millisecond)
			before := len(leaving.Runs())
			for _, p := range append(gateways, late) {
				for range 5 {
					if got := ask(p); got.status != http.StatusOK {
						t.Errorf("request: got %d (%v), want 200", got.status, got.err)
					}
				}
			}
			if got := len(leaving.Runs()); got != before {
				t.Errorf("runs at the leaving server: got %d more, want 0", got-before)
			}
			// A new process under the id begins anew.
			d.store.PutJSON("keyed.servers", "s0", map[string]any{
				"service": service, "addr": leaving.Address(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "born": 2, "seq": 1,
			})
			d.announce("s1", service, "draining")
			eventually(t, "the new process is used", func() bool { ask(gateways[1]); return len(leaving.Runs()) > before })
		})
	}
}

// Guards against requests to a server that has asked this gateway for a pause.
func TestServerThatAsksForAPause(t *testing.T) {
	t.Parallel()
	const pause = 1500 * time.Millisecond
	d := newDeployment(t)
	d.publish()
	s := d.addRunner(runner.Config{ID: "s0", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "s1", Body: "ok"}, "desk")
	p := d.startReady()
	s.Pause(pause, strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
	var wg sync.WaitGroup
	begun := time.Now()
	for time.Since(begun) < pause+500*time.Millisecond {
		wg.Go(func() {
			if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.status != http.StatusOK {
				t.Errorf("request: got %d %q (%v), want it served by the other server", got.status, got.body, got.err)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	rejected := s.Rejected()
	if len(rejected) == 0 {
		t.Fatal("rejections: got 0, want at least one")
	}
	for _, r := range rejected {
		if after := r.At.Sub(rejected[0].At); after > 500*time.Millisecond {
			t.Errorf("request %v after the pause was asked for, want none later than 500ms", after)
		}
	}
	if len(s.Runs()) == 0 {
		t.Error("runs after the pause: got 0, want some")
	}
}

// Guards against a pause that ends when the record of its server goes and comes back.
func TestPauseOutlivesTheRecordOfItsServer(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	cases := []struct {
		name string
		// gap is how long the record is gone, times how often.
		gap   time.Duration
		times int
	}{
		{"once", 400 * time.Millisecond, 1},
		{"for a moment, several times", 60 * time.Millisecond, 4},
		{"for most of the pause", 2 * time.Second, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			var servers []*runner.Runner
			for i := range 3 {
				servers = append(servers, d.addRunner(runner.Config{ID: fmt.Sprintf("s%d", i), Body: "ok"}, "desk"))
			}
			p := d.startReady()
			paused := servers[0]
			paused.Pause(200*time.Millisecond, "3")
			var wg sync.WaitGroup
			wg.Go(func() {
				time.Sleep(300 * time.Millisecond)
				for range c.times {
					d.store.Put("keyed.servers", "s0", nil)
					time.Sleep(c.gap)
					d.announce("s0", "desk", "ready")
					time.Sleep(150 * time.Millisecond)
				}
			})
			begun := time.Now()
			for time.Since(begun) < pause+800*time.Millisecond {
				wg.Go(func() { send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")) })
				time.Sleep(8 * time.Millisecond)
			}
			wg.Wait()
			rejected := paused.Rejected()
			if len(rejected) == 0 {
				t.Fatal("rejections: got 0, want at least one")
			}
			from, to := rejected[0].At.Add(500*time.Millisecond), rejected[0].At.Add(pause)
			late := 0
			for _, r := range rejected {
				if r.At.After(from) {
					late++
				}
			}
			after := 0
			for _, r := range paused.Runs() {
				switch {
				case r.At.After(to):
					after++
				case r.At.After(from):
					late++
				}
			}
			if late > 2 {
				t.Errorf("requests during the pause, later than 500ms after its begin: got %d, want at most 2", late)
			}
			if after == 0 {
				t.Error("requests after the pause: got 0, want some")
			}
		})
	}
}

// Guards against callers that are told to come back before a server is open again, or
// that wait although none opens inside their deadline.
func TestCallersOfPausedServers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	servers := []*runner.Runner{d.addRunner(runner.Config{ID: "s0", Body: "ok"}, "desk"), d.addRunner(runner.Config{ID: "s1", Body: "ok"}, "desk")}
	p := d.startReady()
	pauseAll := func(seconds float64) {
		for _, s := range servers {
			s.Pause(time.Duration(seconds*float64(time.Second)), fmt.Sprint(seconds))
		}
		send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
	}
	pauseAll(0.8)
	begun := time.Now()
	if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.status != http.StatusOK || time.Since(begun) < 500*time.Millisecond {
		t.Errorf("request while all are paused: got %d after %v, want 200 after the pause", got.status, time.Since(begun))
	}
	pauseAll(8)
	begun = time.Now()
	got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "servers_paused") || err != nil || after < 7 || after > 8 {
		t.Errorf("request while all are paused for long: got %d %q with Retry-After %q, want 503 servers_paused and nearly 8", got.status, got.body, got.header.Get("Retry-After"))
	}
	if took := time.Since(begun); took > 500*time.Millisecond {
		t.Errorf("rejection: got it after %v, want it at once", took)
	}
}

// Guards against a stream that is cut off since its server has said that it leaves.
func TestStreamOfALeavingServerGoesOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	s := d.addRunner(runner.Config{ID: "s0", Events: 10, EventInterval: 30 * time.Millisecond}, "model")
	p := d.startReady()
	resp, err := http.DefaultClient.Do(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.Leave()
	if got := send(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write")); got.body != wantStream(10) {
		t.Errorf("stream whose head says that the server leaves: got %q (%v), want all events", got.body, got.err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != wantStream(10) {
		t.Errorf("stream from before: got %q (%v), want all events", body, err)
	}
	if got := send(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write")); got.status != http.StatusServiceUnavailable {
		t.Errorf("request after it: got %d, want 503", got.status)
	}
}
