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

// noRepeat are the codes of refusals that a repeat of the same request meets
// again.
var noRepeat = map[string]bool{
	"bad_request": true, "unauthorized": true, "forbidden": true, "not_found": true, "too_large": true,
	"idempotency_key_required": true, "idempotency_key_mismatch": true, "idempotency_key_expired": true,
	"crashes_backend_servers": true,
}

// linkStages returns, for each stage of a request's way, the groups of links
// that fail together: between two entries, from an entry to one agent and to all
// agents, and from an agent to its backend server.
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

// linkFaults are the failures of one connection.
var linkFaults = []struct {
	name string
	run  func(p *proxy, r *rand.Rand)
}{
	{"cut", func(p *proxy, _ *rand.Rand) { p.cut() }},
	{"break", func(p *proxy, _ *rand.Rand) { p.closeAll() }},
	{"freeze requests", func(p *proxy, _ *rand.Rand) { p.freeze(toServer) }},
	{"freeze answers", func(p *proxy, _ *rand.Rand) { p.freeze(toClient) }},
	{"drop answers", func(p *proxy, r *rand.Rand) { p.dropResponses(1 + r.IntN(4)) }},
	// Requests get through and run, and what tells of it is lost.
	{"freeze answers and cut", func(p *proxy, _ *rand.Rand) {
		p.freeze(toClient)
		time.Sleep(50 * time.Millisecond)
		p.cut()
	}},
	{"split", func(p *proxy, r *rand.Rand) {
		p.splitWrites()
		p.setDelay(direction(r.IntN(2)), randomDuration(r, time.Millisecond, 20*time.Millisecond))
	}},
}

// tally counts the answers of a test.
type tally struct {
	mu      sync.Mutex
	n       map[result]int
	slowest time.Duration
	resent  int
}

func (y *tally) add(t *testing.T, a answer, again bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.n[a.result]++
	if again {
		y.resent++
	}
	if a.result != resultNotRun {
		return
	}
	y.slowest = max(y.slowest, a.elapsed)
	if a.elapsed > refusalBound {
		t.Errorf("refusal as not run: got %+v, want it within %v", a, refusalBound)
	}
	if a.retry <= 0 && !noRepeat[a.code] {
		t.Errorf("refusal as not run: got %+v without Retry-After, want one", a)
	}
}

// Guards against a "not run" that is false, late or without Retry-After, while
// connections at every stage of a request's way fail under load. A caller that
// gets "not run" sends the request again.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, engines: 2, desks: 2})
		c.waitReady()
		for _, b := range c.desks {
			// Long runs give faults something to cut.
			b.desk.Inject(desk.Faults{DelayMS: 20})
		}
		y := &tally{n: map[result]int{}}
		var stop atomic.Bool
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l := c.client([]string{"trails", "farm"}[n%2])
				for i := 0; !stop.Load(); i++ {
					c.sendUntilRun(t, l, y, n, i)
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
		t.Logf("answers %v, %d sent again, slowest refusal after %v", y.n, y.resent, y.slowest.Round(time.Millisecond))
		if y.n[resultOK] == 0 || y.n[resultNotRun] == 0 {
			t.Errorf("got answers %v, want replies and refusals", y.n)
		}
	})
}

// sendUntilRun sends one request and sends it again while it gets "not run".
func (c *cluster) sendUntilRun(t *testing.T, l *client, y *tally, n, i int) {
	for again := 0; again < 5; again++ {
		e := c.entries[(n+i+again)%len(c.entries)]
		var a answer
		if n%4 < 2 {
			a = l.book(e, fmt.Sprintf("%s-%d-%d", l.org, n, i))
		} else {
			a = l.complete(e, fmt.Sprintf("prompt %d %d", n, i), 10)
		}
		y.add(t, a, again > 0)
		if a.result != resultNotRun {
			return
		}
		time.Sleep(min(a.retry, 300*time.Millisecond))
	}
}
