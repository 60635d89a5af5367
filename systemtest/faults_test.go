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

// seeds is the number of seeds that the tests with random faults run. The seeds
// are 1 to this number.
var seeds = flag.Int("seeds", 1, "number of seeds of random fault schedules")

// eachSeed runs a test once per seed. Several seeds run in parallel, up to the
// flag -parallel.
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

// phaseFaultDuration is the time during which a phase injects faults.
const phaseFaultDuration = 6 * time.Second

// eachPhase runs one phase of faults per seed, one after the other, on the
// cluster of a test. The phases share the cluster, since its start takes longer
// than a phase.
func eachPhase(t *testing.T, run func(seed uint64, r *rand.Rand)) {
	t.Helper()
	for n := 0; n < *seeds && !t.Failed(); n++ {
		seed := uint64(n + 1)
		t.Logf("seed %d", seed)
		run(seed, rand.New(rand.NewPCG(seed, seed)))
	}
}

// fault is a kind of failure; its name is logged.
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

// between returns a random duration from lo up to, but not including, hi.
func randomDuration(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.Int64N(int64(hi-lo)))
}

// commonFaults returns the failures under which the invariants must hold.
func commonFaults() []fault {
	return []fault{
		{"kill and restart", func(c *cluster, r *rand.Rand) {
			p := pickProc(c, r)
			p.faultMu.Lock()
			defer p.faultMu.Unlock()
			p.kill()
			time.Sleep(randomDuration(r, 10*time.Millisecond, 2*time.Second))
			p.start()
		}},
		{"pause longer than every timeout", func(c *cluster, r *rand.Rand) {
			p := pickProc(c, r)
			p.faultMu.Lock()
			defer p.faultMu.Unlock()
			p.signal(syscall.SIGSTOP)
			time.Sleep(randomDuration(r, 4*time.Second, 7*time.Second))
			p.signal(syscall.SIGCONT)
		}},
		{"isolate a process", func(c *cluster, r *rand.Rand) {
			links := c.linksOf(pickProc(c, r).id)
			for _, l := range links {
				l.cut()
			}
			time.Sleep(randomDuration(r, 500*time.Millisecond, 5*time.Second))
			for _, l := range links {
				l.heal()
			}
		}},
		{"cut a link", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.cut()
			time.Sleep(randomDuration(r, 100*time.Millisecond, 4*time.Second))
			l.heal()
		}},
		{"freeze one direction", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.freeze(direction(r.IntN(2)))
			time.Sleep(randomDuration(r, 100*time.Millisecond, 5*time.Second))
			l.heal()
		}},
		{"break connections", func(c *cluster, r *rand.Rand) { pickLink(c, r).closeAll() }},
		{"slow link and split writes", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.setDelay(direction(r.IntN(2)), randomDuration(r, 5*time.Millisecond, 50*time.Millisecond))
			l.splitWrites()
			time.Sleep(randomDuration(r, 100*time.Millisecond, 2*time.Second))
			l.heal()
		}},
		{"drop responses", func(c *cluster, r *rand.Rand) {
			l := pickLink(c, r)
			l.dropResponses(1 + r.IntN(3))
			time.Sleep(randomDuration(r, 100*time.Millisecond, time.Second))
			l.heal()
		}},
		{"lose responses to appends", func(c *cluster, r *rand.Rand) {
			c.log.SetFaults(platformlog.Faults{LoseAppendAnswers: 1 + r.IntN(4)})
		}},
		{"log outage", func(c *cluster, r *rand.Rand) {
			c.log.SetFaults(platformlog.Faults{Outage: []string{platformlog.OutageHang, platformlog.OutageRefuse}[r.IntN(2)]})
			time.Sleep(randomDuration(r, 500*time.Millisecond, 5*time.Second))
			c.log.SetFaults(platformlog.Faults{})
		}},
	}
}

// backendFaults returns the failures between an agent and its backend server.
func backendFaults() []fault {
	return []fault{
		{"isolate a backend server", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.cut()
			time.Sleep(randomDuration(r, 100*time.Millisecond, 2*time.Second))
			l.heal()
		}},
		{"freeze a backend server's link", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.freeze(direction(r.IntN(2)))
			time.Sleep(randomDuration(r, 100*time.Millisecond, 3*time.Second))
			l.heal()
		}},
		{"break a backend server's connections", func(c *cluster, r *rand.Rand) { pickBackend(c, r).link.closeAll() }},
		{"split and drop a backend server's responses", func(c *cluster, r *rand.Rand) {
			l := pickBackend(c, r).link
			l.splitWrites()
			l.dropResponses(1 + r.IntN(3))
			time.Sleep(randomDuration(r, 100*time.Millisecond, time.Second))
			l.heal()
		}},
	}
}

func pickBackend(c *cluster, r *rand.Rand) *backend {
	all := c.backends()
	return all[r.IntN(len(all))]
}

// injectFaults runs random faults, at most two at a time, until stop is closed.
// It then clears all faults of the log and the links.
func injectFaults(t *testing.T, c *cluster, r *rand.Rand, faults []fault, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for worker := range 2 {
		workerRand := rand.New(rand.NewPCG(r.Uint64(), uint64(worker)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(randomDuration(workerRand, 100*time.Millisecond, 800*time.Millisecond)):
				}
				f := faults[workerRand.IntN(len(faults))]
				t.Logf("fault worker %d: %s", worker, f.name)
				f.run(c, workerRand)
			}
		}()
	}
	wg.Wait()
	c.heal()
}
