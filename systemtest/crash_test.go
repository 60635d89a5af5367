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

// Guards against a request that crashes backend servers without end, and
// against innocent requests beside it that are refused for good or never get to
// run again.
func TestCrashingRequestIsConvicted(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, engines: 4, desks: 1})
		c.waitReady()
		y := &tally{n: map[result]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for n := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.innocent(t, y, n, &stop)
			}()
		}
		time.Sleep(randomDuration(r, 1500*time.Millisecond, 2500*time.Millisecond))
		convicted := c.sendCrashing(t, r)
		// The crashes have made suspects, which must all get their replies.
		time.Sleep(8 * time.Second)
		stop.Store(true)
		wg.Wait()
		crashes := 0
		for _, b := range c.models {
			crashes += b.engine.Crashes()
		}
		t.Logf("%d crashes, answers to innocent requests %v, %d sent again", crashes, y.n, y.resent)
		c.logDrains(t)
		if crashes > 3 {
			t.Errorf("crashes: got %d, want at most 3", crashes)
		}
		if !convicted {
			t.Error("crashing request: got no 422 at every entry, want it")
		}
		if err := checkNotRun(c.collect()); err != nil {
			t.Error(err)
		}
	})
}

// sendCrashing sends the crashing request through all entries, at once at first
// and then in turn, until each refuses it for good.
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

// innocent sends prompts of its own and repeats each until it has its reply.
// Half of the prompts are the same for all.
func (c *cluster) innocent(t *testing.T, y *tally, n int, stop *atomic.Bool) {
	l := c.client("trails")
	for i := 0; !stop.Load(); i++ {
		prompt := fmt.Sprintf("innocent %d %d", n, i)
		if i%2 == 0 {
			prompt = "popular prompt"
		}
		start := time.Now()
		for again := 0; ; again++ {
			a := l.complete(c.entries[(n+i+again)%len(c.entries)], prompt, 40)
			y.add(t, a, again > 0)
			if a.result == resultOK {
				break
			}
			if a.code == "crashes_backend_servers" {
				t.Errorf("innocent request %q: got %+v, want it not refused for good", prompt, a)
				return
			}
			if time.Since(start) > 20*time.Second {
				t.Errorf("innocent request %q: got %+v still after %v, want a reply", prompt, a, time.Since(start))
				return
			}
			time.Sleep(min(max(a.retry, 20*time.Millisecond), time.Second))
		}
	}
}

// logDrains logs what exclusive requests waited and how many were refused.
func (c *cluster) logDrains(t *testing.T) {
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
	t.Logf("exclusive requests: %.0f admitted, %.0f refused, waited %.0f ms in all", admitted, refused, wait)
}

// Guards against an innocent suspect that is refused again and again on a busy
// server, which is never empty by itself.
func TestSuspectRunsOnBusyServer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, desks: 1, engine: engine.Options{TokensPerSecond: 200, Slowdown: 0.01,
		MemoryTokens: 100000, ColdTokens: 8000, ColdFactor: 1, RestartTime: 300 * time.Millisecond, CrashMarker: "CRASH", Models: []string{modelName}}})
	c.waitReady()
	var stop atomic.Bool
	var wg sync.WaitGroup
	var good atomic.Int64
	for n := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := c.client("trails")
			for i := 0; !stop.Load(); i++ {
				if l.complete(c.entries[n%2], fmt.Sprintf("load %d %d", n, i), 60).result == resultOK {
					good.Add(1)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	l := c.client("farm")
	cut := make(chan answer, 1)
	go func() { cut <- l.complete(c.entries[0], "innocent suspect", 400) }()
	time.Sleep(800 * time.Millisecond)
	c.models[0].engine.Inject(engine.Faults{Crash: true})
	t.Logf("first attempt: %+v", <-cut)
	eventually(t, "the agent is ready", c.models[0].agent.ready)
	before, start := good.Load(), time.Now()
	tries := 0
	for a := (answer{}); a.result != resultOK; tries++ {
		a = l.complete(c.entries[tries%2], "innocent suspect", 400)
		if a.result == resultNotRun && a.elapsed > refusalBound {
			t.Errorf("refusal of the suspect: got %+v, want it within %v", a, refusalBound)
		}
		if time.Since(start) > 15*time.Second {
			t.Errorf("innocent suspect: got %+v still after %v and %d tries, want a reply", a, time.Since(start), tries)
			break
		}
		time.Sleep(min(max(a.retry, 20*time.Millisecond), time.Second))
	}
	t.Logf("suspect had its reply after %v and %d tries; %d other replies meanwhile",
		time.Since(start).Round(time.Millisecond), tries, good.Load()-before)
	c.logDrains(t)
	stop.Store(true)
	wg.Wait()
}

// Guards against an innocent request that is refused for good because its only
// fault was to run alone when a backend server or its connection failed.
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
			done := make(chan answer, 1)
			go func() { done <- l.complete(c.entries[0], failure.name, 200) }()
			var on *backend
			eventually(t, "the request runs", func() bool {
				for _, b := range c.models {
					if runs := b.engine.Runs(); len(runs) > 0 && runs[len(runs)-1].Tokens > 0 && runs[len(runs)-1].Outcome == engine.OutcomeRunning {
						on = b
					}
				}
				return on != nil
			})
			failure.run(on)
			first := <-done
			eventually(t, "the agent is ready", on.agent.ready)
			for _, e := range c.entries {
				if a := l.complete(e, failure.name, 200); a.result != resultOK {
					t.Errorf("repeat at %s after %+v: got %+v, want a reply", e.id, first, a)
				}
			}
		})
	}
}
