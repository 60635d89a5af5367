package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

var seeds = flag.Int("seeds", 2, "number of seeds of tests with random faults")

// Timing of the random faults.
const (
	faultsTime = 9 * time.Second
	// calmTime is how long a gateway and the store must have been without a fault
	// for a run to count.
	calmTime = 1500 * time.Millisecond
	// popularTarget is the target of a request that is sent often. While servers end
	// one after the other, it may be refused for maxRefusal.
	popularTarget = "/lookup/popular"
	maxRefusal    = time.Second
	// sentToHeader names the gateway to which a copy was sent.
	sentToHeader = "X-Sent-To"
	// badPartTarget begins the targets of requests that have only crashPart in common.
	badPartTarget = "/lookup/bad-"
	crashPart     = "crash-part"
)

// faultWindow is a time in which a gateway, or all of them if it is -1, had a fault.
type faultWindow struct {
	gateway  int
	from, to time.Time
}

// crashCourse is a run of random faults. Each gateway has a number that it keeps when
// it restarts.
type crashCourse struct {
	*deployment
	rng    *rand.Rand
	mu     sync.Mutex
	faults []faultWindow
	slots  []*process
	link   *isolation
	// unmarked adds replies that end with their connection, and returns of the store from
	// copies, to the faults.
	unmarked bool
	// byPart makes requests crash servers by crashPart, no two of them alike.
	byPart bool
	// refused and served hold the times of answers to the popular request: refusals as
	// crashing, and replies.
	refused, served []time.Time
	wg              sync.WaitGroup
	// starting is held while a gateway is started.
	starting sync.Mutex
}

// fault runs f and records a fault of a gateway from now until f returns.
func (c *crashCourse) fault(gateway int, f func()) {
	from := time.Now()
	c.mu.Lock()
	i := len(c.faults)
	c.faults = append(c.faults, faultWindow{gateway, from, from.Add(time.Hour)})
	c.mu.Unlock()
	f()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[i].to = time.Now()
}

// calm reports whether a gateway and the store had been without a fault for calmTime.
func (c *crashCourse) calm(gateway int, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.faults {
		if (f.gateway == gateway || f.gateway < 0) && at.After(f.from) && at.Before(f.to.Add(calmTime)) {
			return false
		}
	}
	return true
}

func (c *crashCourse) gateway(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots[i]
}

// sendTo sends a request to a gateway in the background.
func (c *crashCourse) sendTo(i int, path string) {
	r := newRequest(c.gateway(i), http.MethodGet, path, "key-a", "")
	c.setParts(r, path)
	r.Header.Set(sentToHeader, strconv.Itoa(i))
	r.Header.Set("Nutmegnotch-Deadline-Ms", "1500")
	c.wg.Go(func() {
		got := send(r)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case path != popularTarget:
		case refusedAsCrashing(got):
			c.refused = append(c.refused, time.Now())
		case got.status == http.StatusOK:
			c.served = append(c.served, time.Now())
		}
	})
}

// setParts sets the parts of the prompt. All requests share the first one.
func (c *crashCourse) setParts(r *http.Request, path string) {
	switch {
	case !c.byPart:
	case c.isCause(path):
		r.Header.Set("Nutmegnotch-Prompt-Prefix", "a1:40,"+crashPart+":90,own:9")
	case path == popularTarget:
		r.Header.Set("Nutmegnotch-Prompt-Prefix", "a1:40,b2:90,own:9")
	default:
		r.Header.Set("Nutmegnotch-Prompt-Prefix", "a1:40,"+path+":90,own:9")
	}
}

// isCause reports whether requests with a target crash servers.
func (c *crashCourse) isCause(target string) bool {
	if c.byPart {
		return strings.HasPrefix(target, badPartTarget)
	}
	return target == crashTarget
}

// cause returns the target of the n-th request that crashes servers.
func (c *crashCourse) cause(n int) string {
	if c.byPart {
		return badPartTarget + strconv.Itoa(n)
	}
	return crashTarget
}

// causeRequest returns a request that crashes servers.
func (c *crashCourse) causeRequest(gateway, n int) *http.Request {
	r := newRequest(c.gateway(gateway), http.MethodGet, c.cause(n), "key-a", "")
	c.setParts(r, c.cause(n))
	return r
}

// settledCrashes is the number of crashes after which the bound of late runs counts.
func (c *crashCourse) settledCrashes() int {
	if c.byPart {
		return partCrashes
	}
	return 3
}

// longestRefusal returns the longest time from a refusal of the popular request to the
// next reply.
func (c *crashCourse) longestRefusal() time.Duration {
	longest := time.Duration(0)
	for _, at := range c.refused {
		next := time.Now()
		for _, s := range c.served {
			if s.After(at) && s.Before(next) {
				next = s
			}
		}
		longest = max(longest, next.Sub(at))
	}
	return longest
}

// inject starts a random fault.
func (c *crashCourse) inject() {
	pause := time.Duration(200+c.rng.IntN(1000)) * time.Millisecond
	i := c.rng.IntN(len(c.slots))
	server := c.servers[c.rng.IntN(len(c.servers))].Runner()
	kinds := 6
	if c.unmarked {
		kinds = 8
	}
	switch c.rng.IntN(kinds) {
	case 0:
		if i == len(c.slots)-1 {
			// Its link to the store is its own.
			return
		}
		c.wg.Go(func() {
			c.fault(i, func() {
				old := c.gateway(i)
				old.stop()
				<-old.done
				c.starting.Lock()
				defer c.starting.Unlock()
				p := c.startReady()
				c.mu.Lock()
				defer c.mu.Unlock()
				c.slots[i] = p
			})
		})
	case 1:
		faults := []metastore.Fault{metastore.FaultUnavailable, metastore.FaultReset, metastore.FaultHang, metastore.FaultLostResponse}
		c.store.SetFault(faults[c.rng.IntN(len(faults))])
		c.wg.Go(func() {
			c.fault(-1, func() { time.Sleep(pause) })
			c.store.SetFault(metastore.FaultNone)
		})
	case 2:
		c.link.cut.Store(true)
		c.wg.Go(func() {
			c.fault(len(c.slots)-1, func() { time.Sleep(pause) })
			c.link.cut.Store(false)
		})
	case 3:
		server.Crash(c.rng.IntN(3) == 0)
	case 4:
		server.Fail(runner.FaultReset, runner.FaultTruncated, runner.FaultReset, runner.FaultGarbage, runner.FaultReset)
	case 5:
		server.Fail(runner.FaultHang, runner.FaultNotRun, runner.FaultError)
	case 6:
		server.Fail(runner.FaultCloseDelimited, runner.FaultCloseDelimitedCut, runner.FaultCloseDelimitedEmpty, runner.FaultCloseDelimitedReset)
	case 7:
		age, order := time.Duration(c.rng.IntN(2000))*time.Millisecond, rand.New(rand.NewPCG(c.rng.Uint64(), 1))
		c.wg.Go(func() {
			c.fault(-1, func() { c.store.WriteAgain(c.store.Restore(age), pause, order) })
		})
	}
}

// lateRuns returns the runs of the crashing request that count against the rule.
func (c *crashCourse) lateRuns() (late int) {
	ends, settled := c.crashesBy(c.isCause), c.settledCrashes()
	if len(ends) < settled {
		return 0
	}
	for _, p := range c.servers {
		for _, r := range p.Runs() {
			i, err := strconv.Atoi(r.Header.Get(sentToHeader))
			if err == nil && c.isCause(r.Target) && r.At.After(ends[settled-1].Add(calmTime)) && c.calm(i, r.At) {
				late++
			}
		}
	}
	return late
}

// logIfFailed logs what the gateways knew of crashes.
func (c *crashCourse) logIfFailed(t *testing.T) {
	if !t.Failed() {
		return
	}
	for i, p := range c.gateways {
		for _, l := range p.logs.All() {
			if strings.Contains(l.Message, "crash") || strings.Contains(l.Message, "request cleared") {
				t.Log(i, l.Time.Format("05.000"), l.Message, l.ContextMap())
			}
		}
	}
}

// Guards against crashing requests that are sent on, and others that are refused as
// crashing, when faults of gateways, store and servers come in series and overlap.
func TestCrashingRequestUnderFaults(t *testing.T) {
	t.Parallel()
	variants := []struct {
		name             string
		unmarked, byPart bool
	}{{"seed", false, false}, {"unmarked-seed", true, false}, {"part-seed", true, true}}
	for run := range len(variants) * *seeds {
		seed, v := run/len(variants), variants[run%len(variants)]
		t.Run(fmt.Sprintf("%s-%d", v.name, seed+1), func(t *testing.T) {
			t.Parallel()
			c := &crashCourse{deployment: newDeployment(t), rng: rand.New(rand.NewPCG(uint64(seed+1), 19)), link: &isolation{}, unmarked: v.unmarked, byPart: v.byPart}
			defer c.logIfFailed(t)
			c.publish()
			points := []runner.CrashPoint{runner.CrashBeforeReply, runner.CrashAfterHead, runner.CrashInBody, runner.CrashSilently}
			if v.unmarked {
				points = append(points, runner.CrashInUnframedBody, runner.CrashInUnframedBody)
			}
			c.addServers(6+c.rng.IntN(8), "desk", runner.ProcessConfig{KeepID: c.rng.IntN(2) == 0, Slots: 4,
				RestartDelay: time.Duration(300+c.rng.IntN(900)) * time.Millisecond, ExpiryDelay: 700 * time.Millisecond,
				Config: runner.Config{CrashPoint: points[c.rng.IntN(len(points))], ProcessingTime: 15 * time.Millisecond}})
			for range 2 + c.rng.IntN(2) {
				c.slots = append(c.slots, c.startReady())
			}
			c.link.members.Store(c.rng.IntN(2) == 0)
			c.slots = append(c.slots, c.startIsolated(c.link))
			begun := time.Now()
			nextCrash, nextFault := begun, begun.Add(500*time.Millisecond)
			for n := 0; time.Since(begun) < faultsTime; n++ {
				c.sendTo(c.rng.IntN(len(c.slots)), popularTarget)
				c.sendTo(c.rng.IntN(len(c.slots)), fmt.Sprintf("/lookup/%d", n))
				if now := time.Now(); now.After(nextCrash) {
					c.sendTo(c.rng.IntN(len(c.slots)), c.cause(n))
					nextCrash = now.Add(time.Duration(50+c.rng.IntN(300)) * time.Millisecond)
				}
				if now := time.Now(); now.After(nextFault) && now.Before(begun.Add(faultsTime-2*time.Second)) {
					c.inject()
					nextFault = now.Add(time.Duration(100+c.rng.IntN(700)) * time.Millisecond)
				}
				time.Sleep(40 * time.Millisecond)
			}
			c.wg.Wait()
			time.Sleep(calmTime)
			if late := c.lateRuns(); late > crashRetries {
				t.Errorf("runs by calm gateways later than %v after crash %d: got %d, want at most %d", calmTime, c.settledCrashes(), late, crashRetries)
			}
			if got := c.longestRefusal(); got > maxRefusal {
				t.Errorf("another request was refused as crashing: got for %v, want at most %v", got, maxRefusal)
			}
			for i := range c.slots {
				eventually(t, fmt.Sprintf("gateway %d refuses the crashing request", i), func() bool {
					return refusedAsCrashing(send(c.causeRequest(i, -1)))
				})
				eventually(t, fmt.Sprintf("gateway %d serves another request", i), func() bool {
					return send(newRequest(c.gateway(i), http.MethodGet, popularTarget, "key-a", "")).status == http.StatusOK
				})
			}
		})
	}
}
