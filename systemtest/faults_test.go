package systemtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/emulator/platformlog"
)

// seeds is the number of seeds that the tests with random faults run. CI runs
// the fixed first ones.
var seeds = flag.Int("seeds", 1, "number of seeds of random fault schedules")

// eachSeed runs a test under fixed seeds. Several seeds run side by side, as
// many as the flag -parallel permits.
func eachSeed(t *testing.T, run func(t *testing.T, r *rand.Rand)) {
	t.Helper()
	for n := range *seeds {
		seed := uint64(n + 1)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			if *seeds > 1 {
				t.Parallel()
			}
			t.Logf("seed %d", seed)
			run(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

// faultTime is how long faults go on in one phase.
const faultTime = 6 * time.Second

// eachPhase runs one phase of faults after the other on the cluster of a test,
// each under a fixed seed. A start of a cluster takes longer than a phase.
func eachPhase(t *testing.T, run func(seed uint64, r *rand.Rand)) {
	t.Helper()
	for n := 0; n < *seeds && !t.Failed(); n++ {
		seed := uint64(n + 1)
		t.Logf("seed %d", seed)
		run(seed, rand.New(rand.NewPCG(seed, seed)))
	}
}

// fault is one kind of failure with a name for the log.
type fault struct {
	name string
	run  func(c *cluster, r *rand.Rand)
}

// pickProc returns a random process.
func pickProc(c *cluster, r *rand.Rand) *proc {
	all := c.procs()
	return all[r.IntN(len(all))]
}

// pickLink returns a random proxied link.
func pickLink(c *cluster, r *rand.Rand) *proxy {
	keys := make([]string, 0, len(c.links))
	for key := range c.links {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return c.links[keys[r.IntN(len(keys))]]
}

func between(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.Int64N(int64(hi-lo)))
}

// commonFaults are the failures that any test of invariants must survive.
func commonFaults() []fault {
	return []fault{
		{"kill and restart", func(c *cluster, r *rand.Rand) {
			p := pickProc(c, r)
			p.fault.Lock()
			defer p.fault.Unlock()
			p.kill()
			time.Sleep(between(r, 10*time.Millisecond, 2*time.Second))
			p.start()
		}},
		{"pause longer than every time-out", func(c *cluster, r *rand.Rand) {
			p := pickProc(c, r)
			p.fault.Lock()
			defer p.fault.Unlock()
			p.signal(syscall.SIGSTOP)
			time.Sleep(between(r, 4*time.Second, 7*time.Second))
			p.signal(syscall.SIGCONT)
		}},
		{"cut a process off", func(c *cluster, r *rand.Rand) {
			links := c.linksOf(pickProc(c, r).id)
			for _, l := range links {
				l.cut()
			}
			time.Sleep(between(r, 500*time.Millisecond, 5*time.Second))
			for _, l := range links {
				l.heal()
			}
		}},
		{"cut a link", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.cut()
			time.Sleep(between(r, 100*time.Millisecond, 4*time.Second))
			l.heal()
		}},
		{"freeze one direction", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.freeze(direction(r.IntN(2)))
			time.Sleep(between(r, 100*time.Millisecond, 5*time.Second))
			l.heal()
		}},
		{"break connections", func(c *cluster, r *rand.Rand) { pickLink(c, r).breakAll() }},
		{"slow link and split writes", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.slow(direction(r.IntN(2)), between(r, 5*time.Millisecond, 50*time.Millisecond))
			l.splitWrites()
			time.Sleep(between(r, 100*time.Millisecond, 2*time.Second))
			l.heal()
		}},
		{"drop answers", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.dropAnswers(1 + r.IntN(3))
			time.Sleep(between(r, 100*time.Millisecond, time.Second))
			l.heal()
		}},
		{"lose answers of appends", func(c *cluster, r *rand.Rand) {
			c.log.SetFaults(platformlog.Faults{LoseAppendAnswers: 1 + r.IntN(4)})
		}},
		{"log outage", func(c *cluster, r *rand.Rand) {
			c.log.SetFaults(platformlog.Faults{Outage: []string{platformlog.OutageHang, platformlog.OutageRefuse}[r.IntN(2)]})
			time.Sleep(between(r, 500*time.Millisecond, 5*time.Second))
			c.log.SetFaults(platformlog.Faults{})
		}},
	}
}

// backendFaults are failures between an agent and its backend server.
func backendFaults() []fault {
	return []fault{
		{"cut off a backend server", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.cut()
			time.Sleep(between(r, 100*time.Millisecond, 2*time.Second))
			l.heal()
		}},
		{"freeze a backend server's link", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.freeze(direction(r.IntN(2)))
			time.Sleep(between(r, 100*time.Millisecond, 3*time.Second))
			l.heal()
		}},
		{"break a backend server's connections", func(c *cluster, r *rand.Rand) { pickBackend(c, r).link.breakAll() }},
		{"split and drop a backend server's answers", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.splitWrites()
			l.dropAnswers(1 + r.IntN(3))
			time.Sleep(between(r, 100*time.Millisecond, time.Second))
			l.heal()
		}},
	}
}

func pickBackend(c *cluster, r *rand.Rand) *backend {
	all := c.backends()
	return all[r.IntN(len(all))]
}

// injectFaults runs random faults, at most two at a time, until stop is closed,
// and heals everything.
func injectFaults(t *testing.T, c *cluster, r *rand.Rand, faults []fault, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for lane := range 2 {
		lr := rand.New(rand.NewPCG(r.Uint64(), uint64(lane)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(between(lr, 100*time.Millisecond, 800*time.Millisecond)):
				}
				f := faults[lr.IntN(len(faults))]
				t.Logf("lane %d: %s", lane, f.name)
				f.run(c, lr)
			}
		}()
	}
	wg.Wait()
	c.heal()
}
