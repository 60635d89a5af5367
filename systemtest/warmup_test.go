package systemtest

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/emulator/engine"
)

// coldTokens is the token limit of a server that has just started. It must equal
// ColdTokens of the service in publishDefaults.
const coldTokens = 3000

// warmUpEngine returns the options of an engine that is warm after few requests
// and much slower while cold. Its restart takes slightly longer than the 200 ms
// between two probes of the agent.
func warmUpEngine() engine.Options {
	return engine.Options{TokensPerSecond: 1000, Slowdown: 0.002, MemoryTokens: 60000, ColdTokens: 4000, WarmTokens: 3000,
		ColdFactor: 5, RestartTime: 250 * time.Millisecond, Models: []string{modelName}}
}

// agentStatus is an agent's status of its backend server.
type agentStatus struct {
	LimitTokens int64 `json:"limit_tokens"`
	HeldCount   int   `json:"held_count"`
}

// agentStatus reads the status of an agent, or the zero value without a
// response.
func (c *cluster) agentStatus(p *proc) agentStatus {
	var s struct {
		Agent agentStatus `json:"agent"`
	}
	if c.call(p, http.MethodGet, "/status", nil, &s) != http.StatusOK {
		return agentStatus{}
	}
	return s.Agent
}

// tokenLimit returns the current token limit of an agent, which warm-up raises.
func (c *cluster) tokenLimit(p *proc) int64 { return c.agentStatus(p).LimitTokens }

// heldRequests returns the number of requests at an agent's backend server.
func (c *cluster) heldRequests(p *proc) int { return c.agentStatus(p).HeldCount }

// startCompletions sends completions through all entries from several callers
// until stop is set. The wait group covers the callers.
func (c *cluster) startCompletions(callers, tokens int, stop *atomic.Bool) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := c.client([]string{"trails", "farm"}[n%2])
			for i := 0; !stop.Load(); i++ {
				if l.complete(c.entries[(n+i)%len(c.entries)], fmt.Sprintf("ask %p %d %d", stop, n, i), tokens).result != resultOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	return wg
}

// warmUp loads the engines until the token limit of every agent is above a value.
func (c *cluster) warmUp(t *testing.T, above int64) {
	t.Helper()
	var stop atomic.Bool
	wg := c.startCompletions(60, 30, &stop)
	eventually(t, "all backend servers are warm", func() bool {
		for _, b := range c.models {
			if c.tokenLimit(b.agent) <= above {
				return false
			}
		}
		return true
	})
	stop.Store(true)
	wg.Wait()
}

// burst sends requests through all entries at once, which together need far more
// than the capacity of cold servers.
func (c *cluster) burst(n, tokens int) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.client([]string{"trails", "farm"}[i%2]).complete(c.entries[i%len(c.entries)], fmt.Sprintf("burst %d", i), tokens)
		}()
	}
	return wg
}

// crashes returns the number of crashes of all engines.
func (c *cluster) crashes() int {
	n := 0
	for _, b := range c.models {
		n += b.engine.Crashes()
	}
	return n
}

// Guards against backend servers that crash under overload because all entries
// send to them at once after all have restarted, also when two entries have stale
// state of the servers.
func TestRestartedServersGetWhatTheyBear(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"entries with stale pictures", func(c *cluster) {
			for _, b := range c.models {
				c.links["entry-1>"+b.agent.id].freeze(toClient)
				c.links["entry-2>"+b.agent.id].freeze(toClient)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 3, engines: 3, engine: warmUpEngine()})
			c.waitReady()
			c.warmUp(t, 8*coldTokens)
			before := c.crashes()
			tt.fault(c)
			for _, b := range c.models {
				b.engine.Inject(engine.Faults{Crash: true})
			}
			wantCrashes := before + len(c.models)
			// Callers retry until after the restart. Requests sent before it fail at
			// once and put no load on the servers.
			var stop atomic.Bool
			wg := c.startCompletions(90, 900, &stop)
			time.Sleep(4 * time.Second)
			for _, l := range c.links {
				l.heal()
			}
			stop.Store(true)
			wg.Wait()
			if before != 0 || c.crashes() != wantCrashes {
				t.Errorf("crashes: got %d before and %d after the restart of %d engines, want none but the restarts",
					before, c.crashes()-before, len(c.models))
			}
			c.warmUp(t, coldTokens)
			if got := c.crashes(); got != wantCrashes {
				t.Errorf("crashes while the servers warm up again: got %d, want 0", got-wantCrashes)
			}
		})
	}
}

// Guards against a warm server that turns cold without a restart and still gets
// the work of a warm one. The fault is visible only from the first completion
// after it, so a server that holds more than its cold capacity at that moment may
// crash once. It may not crash again, and one that holds less may not crash.
func TestServerThatTurnsColdGetsLess(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name            string
		callers, tokens int
		allowed         int
	}{
		{"holds less than the cold limit", 3, 50, 0},
		{"holds more than the cold limit", 60, 600, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 3, engines: 2, engine: warmUpEngine()})
			c.waitReady()
			c.warmUp(t, 8*coldTokens)
			var stop atomic.Bool
			wg := c.startCompletions(tt.callers, tt.tokens, &stop)
			time.Sleep(time.Second)
			before := c.crashes()
			for _, b := range c.models {
				b.engine.Inject(engine.Faults{Cold: true})
			}
			for _, b := range c.models {
				eventually(t, b.agent.id+" has the cold limit", func() bool { return c.tokenLimit(b.agent) == coldTokens })
			}
			untilDetected := c.crashes()
			burst := c.burst(60, 900)
			stop.Store(true)
			wg.Wait()
			burst.Wait()
			c.warmUp(t, coldTokens)
			t.Logf("crashes: %d before the fault, %d until it was detected, %d in total", before, untilDetected, c.crashes())
			if before != 0 || untilDetected > tt.allowed*len(c.models) || c.crashes() != untilDetected {
				t.Errorf("crashes: got %d before the fault, %d until it was detected, %d after, want 0, at most %d each, 0",
					before, untilDetected-before, c.crashes()-untilDetected, tt.allowed)
			}
		})
	}
}
