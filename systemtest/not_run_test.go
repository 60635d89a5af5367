package systemtest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/emulator/desk"
)

// permanentCodes are the codes of refusals that a retry of the same request gets
// again.
var permanentCodes = map[string]bool{
	"bad_request": true, "unauthorized": true, "forbidden": true, "not_found": true, "too_large": true,
	"idempotency_key_required": true, "idempotency_key_mismatch": true, "idempotency_key_expired": true,
	"crashes_backend_servers": true,
}

// linkStages returns, for each stage of the request path, the groups of links
// that fail together: a link between two entries, from an entry to one agent,
// from an entry to all agents, and from an agent to its backend server.
func (c *cluster) linkStages() [][][]*proxy {
	stages := make([][][]*proxy, 4)
	for _, e := range c.entries {
		for _, to := range c.entries {
			if e != to {
				stages[0] = append(stages[0], []*proxy{c.links[e.id+">"+to.id]})
			}
		}
		var all []*proxy
		for _, b := range c.backends() {
			l := c.links[e.id+">"+b.agent.id]
			stages[1] = append(stages[1], []*proxy{l})
			all = append(all, l)
		}
		stages[2] = append(stages[2], all)
	}
	for _, b := range c.backends() {
		stages[3] = append(stages[3], []*proxy{b.link})
	}
	return stages
}

// linkFaults are the failures of one link.
var linkFaults = []struct {
	name string
	run  func(p *proxy, r *rand.Rand)
}{
	{"cut", func(p *proxy, _ *rand.Rand) { p.cut() }},
	{"break", func(p *proxy, _ *rand.Rand) { p.closeAll() }},
	{"freeze requests", func(p *proxy, _ *rand.Rand) { p.freeze(toServer) }},
	{"freeze responses", func(p *proxy, _ *rand.Rand) { p.freeze(toClient) }},
	{"drop responses", func(p *proxy, r *rand.Rand) { p.dropResponses(1 + r.IntN(4)) }},
	// Requests arrive and run, and their responses are lost.
	{"freeze responses and cut", func(p *proxy, _ *rand.Rand) {
		p.freeze(toClient)
		time.Sleep(50 * time.Millisecond)
		p.cut()
	}},
	{"split", func(p *proxy, r *rand.Rand) {
		p.splitWrites()
		p.setDelay(direction(r.IntN(2)), randomDuration(r, time.Millisecond, 20*time.Millisecond))
	}},
}

// responseStats counts the responses of a test.
type responseStats struct {
	mu       sync.Mutex
	byResult map[result]int
	slowest  time.Duration
	retries  int
}

// add counts a response. It reports a refusal as not run that is late or lacks
// Retry-After as a test error.
func (y *responseStats) add(t *testing.T, a response, again bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.byResult[a.result]++
	if again {
		y.retries++
	}
	if a.result != resultNotRun {
		return
	}
	y.slowest = max(y.slowest, a.elapsed)
	if a.elapsed > maxRefusalTime {
		t.Errorf("refusal as not run: got %+v, want it within %v", a, maxRefusalTime)
	}
	if a.retryAfter <= 0 && !permanentCodes[a.code] {
		t.Errorf("refusal as not run: got %+v without Retry-After, want one", a)
	}
}

// Guards against a refusal as not run that is false, late or without Retry-After,
// while connections at every stage of the request path fail under load. A caller
// retries a request that was refused as not run.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, engines: 2, desks: 2})
		c.waitReady()
		for _, b := range c.desks {
			// Longer runs make it likely that a fault hits a request in progress.
			b.desk.Inject(desk.Faults{DelayMS: 20})
		}
		stats := &responseStats{byResult: map[result]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l := c.client([]string{"trails", "farm"}[n%2])
				for i := 0; !stop.Load(); i++ {
					c.sendUntilRun(t, l, stats, n, i)
				}
			}()
		}
		stages := c.linkStages()
		for _, k := range r.Perm(len(stages) * len(linkFaults)) {
			groups, f := stages[k%len(stages)], linkFaults[k/len(stages)]
			t.Logf("stage %d: %s", k%len(stages), f.name)
			group := groups[r.IntN(len(groups))]
			for _, p := range group {
				f.run(p, r)
			}
			time.Sleep(randomDuration(r, 100*time.Millisecond, 600*time.Millisecond))
			for _, p := range group {
				p.heal()
			}
		}
		c.heal()
		stop.Store(true)
		wg.Wait()
		events := c.collect()
		checkAll(t, events)
		if err := checkReplyIntegrity(events); err != nil {
			t.Error(err)
		}
		t.Logf("responses %v, %d retries, slowest refusal after %v", stats.byResult, stats.retries, stats.slowest.Round(time.Millisecond))
		if stats.byResult[resultOK] == 0 || stats.byResult[resultNotRun] == 0 {
			t.Errorf("got responses %v, want replies and refusals", stats.byResult)
		}
	})
}

// sendUntilRun sends one request and retries it while it is refused as not run,
// up to 5 attempts.
func (c *cluster) sendUntilRun(t *testing.T, l *client, stats *responseStats, n, i int) {
	for resends := 0; resends < 5; resends++ {
		e := c.entries[(n+i+resends)%len(c.entries)]
		var a response
		if n%4 < 2 {
			a = l.book(e, fmt.Sprintf("%s-%d-%d", l.org, n, i))
		} else {
			a = l.complete(e, fmt.Sprintf("prompt %d %d", n, i), 10)
		}
		stats.add(t, a, resends > 0)
		if a.result != resultNotRun {
			return
		}
		time.Sleep(min(a.retryAfter, 300*time.Millisecond))
	}
}
