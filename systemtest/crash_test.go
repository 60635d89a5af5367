package systemtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/emulator/engine"
)

// Guards against a request that crashes one backend server after the other, and
// against harmless requests that run beside it and are then blocked or never
// served.
func TestCrashingRequestIsBlocked(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, engines: 4, desks: 1})
		c.waitReady()
		stats := &responseStats{byResult: map[result]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for n := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.sendHarmless(t, stats, n, &stop)
			}()
		}
		time.Sleep(randomDuration(r, 1500*time.Millisecond, 2500*time.Millisecond))
		blocked := c.sendCrashing(t, r)
		// Requests that ran during a crash are suspects. Each must still be served.
		time.Sleep(8 * time.Second)
		stop.Store(true)
		wg.Wait()
		crashes := 0
		for _, b := range c.models {
			crashes += b.engine.Crashes()
		}
		t.Logf("%d crashes, responses to harmless requests %v, %d retries", crashes, stats.byResult, stats.retries)
		c.logExclusive(t)
		if crashes > 3 {
			t.Errorf("crashes: got %d, want at most 3", crashes)
		}
		if !blocked {
			t.Error("crashing request: not every entry refused it with 422, want all")
		}
		if err := checkNotRun(c.collect()); err != nil {
			t.Error(err)
		}
	})
}

// sendCrashing sends the crashing request through a random set of entries
// concurrently, and then through all in turn until each has refused it with 422.
// It returns false if that takes longer than waitTimeout.
func (c *cluster) sendCrashing(t *testing.T, r *rand.Rand) bool {
	l := c.client("farm")
	var wg sync.WaitGroup
	for _, e := range c.entries {
		if r.IntN(2) == 0 {
			wg.Add(1)
			go func() { defer wg.Done(); l.complete(e, "CRASH", 10) }()
		}
	}
	wg.Wait()
	refused := map[string]bool{}
	end := time.Now().Add(waitTimeout)
	for n := 0; len(refused) < len(c.entries) && time.Now().Before(end); n++ {
		e := c.entries[n%len(c.entries)]
		a := l.complete(e, "CRASH", 10)
		t.Logf("crashing request at %s: %d %s after %v", e.id, a.status, a.code, a.elapsed.Round(time.Millisecond))
		if a.result == resultOK {
			t.Errorf("crashing request: got %+v, want no reply", a)
		}
		if a.status == http.StatusUnprocessableEntity {
			refused[e.id] = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return len(refused) == len(c.entries)
}

// sendHarmless sends harmless completions and repeats each until it is served.
// Every second prompt is the same for all callers.
func (c *cluster) sendHarmless(t *testing.T, stats *responseStats, n int, stop *atomic.Bool) {
	l := c.client("trails")
	for i := 0; !stop.Load(); i++ {
		prompt := fmt.Sprintf("innocent %d %d", n, i)
		if i%2 == 0 {
			prompt = "popular prompt"
		}
		start := time.Now()
		for resends := 0; ; resends++ {
			a := l.complete(c.entries[(n+i+resends)%len(c.entries)], prompt, 40)
			stats.add(t, a, resends > 0)
			if a.result == resultOK {
				break
			}
			if a.code == "crashes_backend_servers" {
				t.Errorf("harmless request %q: got %+v, want it not blocked", prompt, a)
				return
			}
			if time.Since(start) > 20*time.Second {
				t.Errorf("harmless request %q: still got %+v after %v, want a reply", prompt, a, time.Since(start))
				return
			}
			time.Sleep(min(max(a.retryAfter, 20*time.Millisecond), time.Second))
		}
	}
}

// logExclusive logs how many exclusive requests the agents admitted and refused,
// and how long they waited in total.
func (c *cluster) logExclusive(t *testing.T) {
	var admitted, refused, wait float64
	for _, b := range c.models {
		var v struct {
			Agent map[string]float64 `json:"agent"`
		}
		c.call(b.agent, http.MethodGet, "/debug/vars", nil, &v)
		admitted += v.Agent["exclusive_admitted"]
		refused += v.Agent["exclusive_refused"]
		wait += v.Agent["exclusive_wait_ms"]
	}
	t.Logf("exclusive requests: %.0f admitted, %.0f refused, waited %.0f ms in total", admitted, refused, wait)
}

// Guards against a harmless suspect that is refused forever. A suspect must run
// alone, and a busy server becomes idle only if it stops admitting other work.
func TestSuspectRunsOnBusyServer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, desks: 1, engine: engine.Options{TokensPerSecond: 200, Slowdown: 0.01,
		MemoryTokens: 100000, ColdTokens: 8000, ColdFactor: 1, RestartTime: 300 * time.Millisecond, CrashMarker: "CRASH", Models: []string{modelName}}})
	c.waitReady()
	var stop atomic.Bool
	var wg sync.WaitGroup
	var served atomic.Int64
	for n := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := c.client("trails")
			for i := 0; !stop.Load(); i++ {
				if l.complete(c.entries[n%2], fmt.Sprintf("load %d %d", n, i), 60).result == resultOK {
					served.Add(1)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	l := c.client("farm")
	firstAttempt := make(chan response, 1)
	go func() { firstAttempt <- l.complete(c.entries[0], "innocent suspect", 400) }()
	time.Sleep(800 * time.Millisecond)
	c.models[0].engine.Inject(engine.Faults{Crash: true})
	t.Logf("first attempt: %+v", <-firstAttempt)
	eventually(t, "the agent is ready", c.models[0].agent.ready)
	before, start := served.Load(), time.Now()
	tries := 0
	for a := (response{}); a.result != resultOK; tries++ {
		a = l.complete(c.entries[tries%2], "innocent suspect", 400)
		if a.result == resultNotRun && a.elapsed > maxRefusalTime {
			t.Errorf("refusal of the suspect: got %+v, want it within %v", a, maxRefusalTime)
		}
		if time.Since(start) > 15*time.Second {
			t.Errorf("harmless suspect: still got %+v after %v and %d tries, want a reply", a, time.Since(start), tries)
			break
		}
		time.Sleep(min(max(a.retryAfter, 20*time.Millisecond), time.Second))
	}
	t.Logf("suspect served after %v and %d tries; %d other replies meanwhile",
		time.Since(start).Round(time.Millisecond), tries, served.Load()-before)
	c.logExclusive(t)
	stop.Store(true)
	wg.Wait()
}

// Guards against a harmless request that is blocked because it was the only
// request on a backend server when the server or its connection failed.
func TestLoneRequestSurvivesChanceFailure(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 2, desks: 1})
	c.waitReady()
	for _, failure := range []struct {
		name string
		run  func(b *backend)
	}{
		{"crash by chance", func(b *backend) { b.engine.Inject(engine.Faults{Crash: true}) }},
		{"connections cut", func(b *backend) { b.link.cut(); time.Sleep(time.Second); b.link.heal() }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			l := c.client("farm")
			done := make(chan response, 1)
			go func() { done <- l.complete(c.entries[0], failure.name, 200) }()
			var runningOn *backend
			eventually(t, "the request runs", func() bool {
				for _, b := range c.models {
					if runs := b.engine.Runs(); len(runs) > 0 && runs[len(runs)-1].Tokens > 0 && runs[len(runs)-1].Outcome == engine.OutcomeRunning {
						runningOn = b
					}
				}
				return runningOn != nil
			})
			failure.run(runningOn)
			first := <-done
			eventually(t, "the agent is ready", runningOn.agent.ready)
			for _, e := range c.entries {
				if a := l.complete(e, failure.name, 200); a.result != resultOK {
					t.Errorf("repeat at %s after %+v: got %+v, want a reply", e.id, first, a)
				}
			}
		})
	}
}
