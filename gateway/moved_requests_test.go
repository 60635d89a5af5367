package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// movedRequests are requests at an engine that falls silent for a time, and the only
// other engine with free places.
type movedRequests struct {
	path    string
	begun   bool
	silence time.Duration
	// breakOther makes the other engine fail.
	breakOther func(b *runner.Runner)
	// hang makes the first engine silent for ever, and patience, unless it is 0, is how long
	// callers wait.
	hang     bool
	patience time.Duration
}

// movedCount is the number of requests at the engine that falls silent.
const movedCount = 4

// send returns the answers to the requests, and the runs of the two engines.
func (m movedRequests) send(t *testing.T) (answers []answer, silent, other []runner.Run) {
	const events, interval, known = 20, 50 * time.Millisecond, 300 * time.Millisecond
	d := newDeployment(t)
	d.reloadable.RetryRatio, d.reloadable.RetrySlack = 1, 400
	d.routes[0]["service"] = "model"
	for _, i := range []int{0, 2} {
		d.routes[i]["timeout_ms"] = 8000
	}
	d.engine = map[string]any{"slots": 8, "kv_capacity": 280000, "step_ms": 5, "stride": 1, "usual": map[string]any{"prompt": 100, "answer": 100}}
	d.publish()
	add := func(id string, slots int, cfg runner.Config) *runner.Runner {
		cfg.ID = id
		r, err := runner.New(cfg)
		if err != nil {
			t.Fatalf("start runner: %v", err)
		}
		d.runners[id] = r
		d.store.PutJSON("keyed.servers", id, map[string]any{"service": "model", "addr": r.Address(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": slots, "state": "ready", "born": 1, "seq": 100})
		return r
	}
	cfg := runner.Config{Events: events, EventInterval: interval, ProcessingTime: 50 * time.Millisecond}
	if m.path == "/lookup/1" {
		cfg = runner.Config{Body: "found", ProcessingTime: 300 * time.Millisecond}
	}
	// An engine with a single place, which is taken, goes on with its stream meanwhile.
	busy := add("busy", 1, runner.Config{Events: 200, EventInterval: 20 * time.Millisecond})
	p := d.startReady()
	var wg sync.WaitGroup
	defer wg.Wait()
	request := func(path string) answer {
		r := newRequest(p, http.MethodPost, path, "key-a", "write")
		r.Header.Set("Nutmegnotch-Deadline-Ms", "8000")
		if m.patience > 0 && path == m.path {
			return readPatiently(r, m.patience).answer
		}
		return send(r)
	}
	wg.Go(func() { request("/draft/busy") })
	eventually(t, "the busy engine runs a stream", func() bool { return len(busy.Runs()) == 1 })
	a := add("silent", 8, cfg)
	if m.hang {
		failAll(a, runner.FaultHang)
	}
	time.Sleep(known)
	var mu sync.Mutex
	var moved sync.WaitGroup
	for range movedCount {
		moved.Go(func() {
			got := request(m.path)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
		})
	}
	eventually(t, "the requests run", func() bool { return len(a.Runs()) == movedCount })
	if m.begun {
		time.Sleep(4 * interval)
	}
	a.FallSilent(m.silence)
	b := add("other", 8, cfg)
	m.breakOther(b)
	moved.Wait()
	if m.hang {
		time.Sleep(known)
	}
	return answers, a.Runs(), b.Runs()
}

// failAll makes an engine fail all requests that may be moved.
func failAll(r *runner.Runner, f runner.Fault) {
	for range movedCount {
		r.Fail(f)
	}
}

// Guards against requests that are cut off or fail because the server to which they were
// moved rejects or fails them, although the silent server goes on in time.
func TestSilentServerKeepsWhatTheOtherFails(t *testing.T) {
	t.Parallel()
	fail := func(f runner.Fault) func(*runner.Runner) {
		return func(b *runner.Runner) { failAll(b, f) }
	}
	for _, s := range []struct {
		name, path, want string
		begun            bool
	}{
		{"stream", "/draft/1", wantStream(20), true},
		{"stream without an event", "/draft/1", wantStream(20), false},
		{"lookup", "/lookup/1", "found", false},
	} {
		for _, c := range []struct {
			name       string
			breakOther func(*runner.Runner)
		}{
			{"nothing", func(*runner.Runner) {}},
			{"not run", fail(runner.FaultNotRun)},
			{"paused", func(b *runner.Runner) { b.Pause(5*time.Second, "5") }},
			{"reset", fail(runner.FaultReset)},
			{"garbage", fail(runner.FaultGarbage)},
			{"error", fail(runner.FaultError)},
			{"no answer", fail(runner.FaultHang)},
			{"silent too", func(b *runner.Runner) { b.FallSilent(4 * time.Second) }},
			{"refused", func(b *runner.Runner) { b.Close() }},
		} {
			t.Run(s.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				answers, silent, other := movedRequests{path: s.path, begun: s.begun, silence: 1300 * time.Millisecond, breakOther: c.breakOther}.send(t)
				for _, got := range answers {
					if got.err != nil || got.status != http.StatusOK || got.body != s.want {
						t.Errorf("got %d (%v) with %d bytes, want 200 and all %d", got.status, got.err, len(got.body), len(s.want))
					}
				}
				if len(silent) > movedCount || len(other) > movedCount {
					t.Errorf("runs: got %d and %d, want at most %d each", len(silent), len(other), movedCount)
				}
				if c.name == "nothing" && len(other) != movedCount {
					t.Errorf("runs at the other engine: got %d, want %d", len(other), movedCount)
				}
			})
		}
	}
}

// Guards against pieces that are missing or come twice, and runs that go on in vain, when a
// silent server goes on at about the time at which another one takes its streams.
func TestSilentServerGoesOnWhileAnotherTakes(t *testing.T) {
	t.Parallel()
	for _, s := range []struct {
		name  string
		begun bool
	}{{"stream", true}, {"stream without an event", false}} {
		for silence := 400 * time.Millisecond; silence <= 700*time.Millisecond; silence += 25 * time.Millisecond {
			t.Run(s.name+"/"+silence.String(), func(t *testing.T) {
				t.Parallel()
				answers, silent, other := movedRequests{path: "/draft/1", begun: s.begun, silence: silence, breakOther: func(*runner.Runner) {}}.send(t)
				for _, got := range answers {
					if got.err != nil || got.status != http.StatusOK || got.body != wantStream(20) {
						t.Errorf("got %d (%v) %q, want 200 and all events", got.status, got.err, got.body)
					}
				}
				cancelled := 0
				for _, r := range append(silent, other...) {
					if r.Cancelled {
						cancelled++
					}
				}
				if got := len(silent) + len(other) - cancelled; got != movedCount {
					t.Errorf("runs that went on to their end: got %d of %d, want %d", got, len(silent)+len(other), movedCount)
				}
			})
		}
	}
}

// Guards against runs that go on at a silent server, or at the one that was to take over,
// after the caller has left or the other has taken the request.
func TestRunsOfMovedRequestsEnd(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		fault      runner.Fault
		// cancelled is the number of runs that must be cancelled at the other engine.
		cancelled int
	}{
		{"stream, callers leave", "/draft/1", runner.FaultHang, movedCount},
		{"lookup, callers leave", "/lookup/1", runner.FaultHang, movedCount},
		{"stream, the other takes it", "/draft/1", runner.FaultNone, 0},
		{"lookup, the other takes it", "/lookup/1", runner.FaultNone, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, silent, other := movedRequests{path: c.path, hang: true, patience: 1500 * time.Millisecond,
				breakOther: func(b *runner.Runner) { failAll(b, c.fault) }}.send(t)
			for _, r := range silent {
				if !r.Cancelled {
					t.Errorf("run of %s at the silent engine: got it not cancelled", r.ID)
				}
			}
			cancelled := 0
			for _, r := range other {
				if r.Cancelled {
					cancelled++
				}
			}
			if len(other) != movedCount || cancelled != c.cancelled {
				t.Errorf("other engine: got %d runs, %d cancelled, want %d, %d", len(other), cancelled, movedCount, c.cancelled)
			}
		})
	}
}
