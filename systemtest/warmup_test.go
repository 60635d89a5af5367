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

// coldTokens is the warm-up limit of a server that has just started, as
// publishDefaults sets it.
const coldTokens = 3000

// warmEngine is warm after few requests and much slower while it is cold. It
// restarts in a little more than the 200 ms between two probes of the agent.
func warmEngine() engine.Options {
	return engine.Options{TokensPerSecond: 1000, Slowdown: 0.002, MemoryTokens: 60000, ColdTokens: 4000, WarmTokens: 3000,
		ColdFactor: 5, RestartTime: 250 * time.Millisecond, Models: []string{modelName}}
}

// agentStatus is what an agent says of its backend server.
type agentStatus struct {
	LimitTokens int64 `json:"limit_tokens"`
	HeldCount   int   `json:"held_count"`
}

// agentStatus asks an agent; the zero value means that there was no answer.
func (c *cluster) agentStatus(p *proc) agentStatus {
	var s struct {
		Agent agentStatus `json:"agent"`
	}
	if c.call(p, http.MethodGet, "/status", nil, &s) != http.StatusOK {
		return agentStatus{}
	}
	return s.Agent
}

// limit returns the warm-up limit of an agent.
func (c *cluster) limit(p *proc) int64 { return c.agentStatus(p).LimitTokens }

// held returns the number of requests that an agent's backend server holds.
func (c *cluster) held(p *proc) int { return c.agentStatus(p).HeldCount }

// ask sends completions through all entries from so many callers until stop.
func (c *cluster) ask(callers, tokens int, stop *atomic.Bool) *sync.WaitGroup {
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

// warm loads the engines until all agents have their whole limit.
func (c *cluster) warm(t *testing.T, above int64) {
	t.Helper()
	var stop atomic.Bool
	wg := c.ask(60, 30, &stop)
	eventually(t, "all backend servers are warm", func() bool {
		for _, b := range c.models {
			if c.limit(b.agent) <= above {
				return false
			}
		}
		return true
	})
	stop.Store(true)
	wg.Wait()
}

// burst sends requests that together need far more than cold servers bear from
// all entries at once.
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

// crashes adds up the crashes of all engines.
func (c *cluster) crashes() int {
	n := 0
	for _, b := range c.models {
		n += b.engine.Crashes()
	}
	return n
}

// Guards against backend servers that collapse because all entries send to them
// at once after all have restarted, with entries whose picture is stale.
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
			c := newCluster(t, clusterConfig{entries: 3, engines: 3, engine: warmEngine()})
			c.waitReady()
			c.warm(t, 8*coldTokens)
			before := c.crashes()
			tt.fault(c)
			for _, b := range c.models {
				b.engine.Inject(engine.Faults{Crash: true})
			}
			injected := before + len(c.models)
			// Callers try again until after the restart: what is sent before it
			// fails at once and loads nothing.
			var stop atomic.Bool
			wg := c.ask(90, 900, &stop)
			time.Sleep(4 * time.Second)
			for _, l := range c.links {
				l.heal()
			}
			stop.Store(true)
			wg.Wait()
			if before != 0 || c.crashes() != injected {
				t.Errorf("crashes: got %d before and %d after the restart of %d engines, want none but the restarts",
					before, c.crashes()-before, len(c.models))
			}
			c.warm(t, coldTokens)
			if got := c.crashes(); got != injected {
				t.Errorf("crashes while service comes back: got %d, want 0", got-injected)
			}
		})
	}
}

// Guards against a server that seemed warm, turns cold without warning and goes
// on getting the work of a warm one. Between the fault and the first completion
// that shows it, nobody can know, so a server that holds more than it bears cold
// at the moment of the fault may collapse once. It may not collapse again, and
// one that holds less may not collapse at all.
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
			c := newCluster(t, clusterConfig{entries: 3, engines: 2, engine: warmEngine()})
			c.waitReady()
			c.warm(t, 8*coldTokens)
			var stop atomic.Bool
			wg := c.ask(tt.callers, tt.tokens, &stop)
			time.Sleep(time.Second)
			before := c.crashes()
			for _, b := range c.models {
				b.engine.Inject(engine.Faults{Cold: true})
			}
			for _, b := range c.models {
				eventually(t, b.agent.id+" is held to the cold limit", func() bool { return c.limit(b.agent) == coldTokens })
			}
			seen := c.crashes()
			burst := c.burst(60, 900)
			stop.Store(true)
			wg.Wait()
			burst.Wait()
			c.warm(t, coldTokens)
			t.Logf("crashes: %d before the fault, %d until it was seen, %d in all", before, seen, c.crashes())
			if before != 0 || seen > tt.allowed*len(c.models) || c.crashes() != seen {
				t.Errorf("crashes: got %d before the fault, %d until it was seen, %d after, want 0, at most %d each, 0",
					before, seen-before, c.crashes()-seen, tt.allowed)
			}
		})
	}
}
