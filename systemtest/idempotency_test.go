package systemtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"nutmegnotch/core/claim"
	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/platformlog"
)

// maxRefusalTime is the longest permitted time until a refusal. Requests that
// cannot run must be refused at once, which the tests take to mean within 3 s.
const maxRefusalTime = 3 * time.Second

// bookingAttempt is one response to a booking and its operation in the history.
type bookingAttempt struct {
	key      string
	response response
	op       porcupine.Operation
}

// bookOnce sends one key through one entry.
func (c *cluster) bookOnce(n int, key string) bookingAttempt {
	call := time.Now()
	a := c.client("trails").book(c.entries[n%len(c.entries)], key)
	return bookingAttempt{key, a, porcupine.Operation{ClientId: n, Input: bookingInput{key}, Call: call.UnixNano(),
		Output: bookingOutput{a.result, a.booking}, Return: time.Now().UnixNano()}}
}

// bookConcurrently sends every key through all entries at the same time.
func (c *cluster) bookConcurrently(keys []string) []bookingAttempt {
	list := make([]bookingAttempt, len(keys)*len(c.entries))
	var wg sync.WaitGroup
	for i := range list {
		wg.Add(1)
		go func() { defer wg.Done(); list[i] = c.bookOnce(i%len(c.entries), keys[i/len(c.entries)]) }()
	}
	wg.Wait()
	return list
}

// waitOutcomes repeats every key until it gets a booking or the outcome is
// reported as unknown.
func (c *cluster) waitOutcomes(t *testing.T, keys []string) []bookingAttempt {
	t.Helper()
	var list []bookingAttempt
	for i, key := range keys {
		eventually(t, key+" has an outcome", func() bool {
			a := c.bookOnce(i+len(list), key)
			list = append(list, a)
			return a.response.result == resultOK || a.response.code == "outcome_unknown"
		})
	}
	return list
}

// numberedKeys returns n keys with a prefix.
func numberedKeys(prefix string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return keys
}

// scenario is a failure at a chosen moment while bookings are in progress. Its
// name is a part of the idempotency keys.
type scenario struct {
	name string
	// before runs before the bookings are sent, during while they are in progress,
	// and after clears the faults.
	before, during, after func(c *cluster, r *rand.Rand)
	// mustBook requires a booking for each key in the end.
	mustBook bool
}

func scenarios() []scenario {
	nothing := func(*cluster, *rand.Rand) {}
	slowLog := func(c *cluster, _ *rand.Rand) { c.log.SetFaults(platformlog.Faults{DelayMS: 150}) }
	slowDesks := func(ms int64) func(c *cluster, r *rand.Rand) {
		return func(c *cluster, _ *rand.Rand) {
			for _, b := range c.desks {
				b.desk.Inject(desk.Faults{DelayMS: ms})
			}
		}
	}
	heal := func(c *cluster, r *rand.Rand) { c.heal(); slowDesks(0)(c, r) }
	return []scenario{
		{"the same key at all entries", nothing, nothing, nothing, true},
		{"lost answers of appends", func(c *cluster, _ *rand.Rand) {
			c.log.SetFaults(platformlog.Faults{LoseAppendAnswers: 8})
		}, nothing, heal, true},
		{"batcher killed while claims are open", slowLog, func(c *cluster, r *rand.Rand) {
			time.Sleep(randomDuration(r, 20*time.Millisecond, 300*time.Millisecond))
			restart(c.entries[r.IntN(len(c.entries))])
		}, heal, false},
		{"entry and agent killed together", slowDesks(300), func(c *cluster, r *rand.Rand) {
			time.Sleep(randomDuration(r, 20*time.Millisecond, 400*time.Millisecond))
			var wg sync.WaitGroup
			for _, p := range []*proc{c.entries[r.IntN(len(c.entries))], c.desks[r.IntN(len(c.desks))].agent} {
				wg.Add(1)
				go func() { defer wg.Done(); restart(p) }()
			}
			wg.Wait()
		}, heal, false},
		{"answers of the desks lost", func(c *cluster, _ *rand.Rand) {
			for _, b := range c.desks {
				b.link.dropResponses(4)
			}
		}, nothing, heal, false},
	}
}

func restart(p *proc) {
	p.kill()
	p.start()
}

// Guards against a booking that runs twice when the log, the batcher, its agent
// or its backend server fails at a critical moment and the key is sent again.
func TestBookingAtTargetedFaults(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, desks: 3})
		c.waitReady()
		var ops []porcupine.Operation
		for _, s := range scenarios() {
			keys := numberedKeys(s.name, 8)
			s.before(c, r)
			injected := make(chan struct{})
			go func() { defer close(injected); s.during(c, r) }()
			list := c.bookConcurrently(keys)
			<-injected
			s.after(c, r)
			for _, p := range c.procs() {
				eventually(t, p.id+" is ready after "+s.name, p.ready)
			}
			list = append(list, c.waitOutcomes(t, keys)...)
			booked := 0
			for _, a := range list[len(keys)*len(c.entries):] {
				if a.response.result == resultOK {
					booked++
				}
			}
			t.Logf("%s: %d operations, %d of %d keys booked", s.name, len(list), booked, len(keys))
			if s.mustBook && booked != len(keys) {
				t.Errorf("%s: got %d bookings, want %d", s.name, booked, len(keys))
			}
			for _, a := range list {
				ops = append(ops, a.op)
			}
		}
		checkAll(t, c.collect())
		if !linearizable(bookingModel, ops) {
			t.Error("replies to a key name different bookings")
		}
	})
}

// Guards against a claim that runs twice, at its agent or at another one, when
// the agents are paused between claim and run for longer than the deadline.
func TestBookingWithPausedAgents(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, desks: 3})
		c.waitReady()
		keys := numberedKeys("paused", 30)
		c.log.SetFaults(platformlog.Faults{DelayMS: 150})
		injected := make(chan struct{})
		go func() {
			defer close(injected)
			time.Sleep(randomDuration(r, 100*time.Millisecond, 500*time.Millisecond))
			for _, b := range c.desks {
				b.agent.signal(syscall.SIGSTOP)
			}
			// The request timeout of the service is 10 s.
			time.Sleep(11 * time.Second)
			for _, b := range c.desks {
				b.agent.signal(syscall.SIGCONT)
			}
		}()
		list := c.bookConcurrently(keys)
		<-injected
		c.heal()
		list = append(list, c.waitOutcomes(t, keys)...)
		var ops []porcupine.Operation
		for _, a := range list {
			ops = append(ops, a.op)
		}
		checkAll(t, c.collect())
		if !linearizable(bookingModel, ops) {
			t.Error("replies to a key name different bookings")
		}
		t.Logf("%d operations", len(ops))
	})
}

// Guards against bookings that wait for the log during an outage instead of
// being refused, and against keys that cannot be booked after it.
func TestBookingDuringLogOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []string{platformlog.OutageHang, platformlog.OutageRefuse} {
		t.Run(outage, func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 3, desks: 3})
			c.waitReady()
			c.log.SetFaults(platformlog.Faults{Outage: outage})
			keys := numberedKeys("outage", 20)
			end := time.Now().Add(5 * time.Second)
			refused, longest := 0, time.Duration(0)
			for n := 0; time.Now().Before(end); n++ {
				for _, a := range c.bookConcurrently(keys[n%len(keys):][:1]) {
					checkRefusal(t, a.response)
					refused++
					longest = max(longest, a.response.elapsed)
				}
			}
			c.heal()
			for _, a := range c.waitOutcomes(t, keys) {
				if a.response.code == "outcome_unknown" {
					t.Errorf("after the outage: got %+v, want a booking", a.response)
				}
			}
			checkAll(t, c.collect())
			t.Logf("%d refusals, the slowest after %v", refused, longest.Round(time.Millisecond))
		})
	}
}

// checkRefusal requires a refusal as not run, in time and with Retry-After.
func checkRefusal(t *testing.T, a response) {
	t.Helper()
	if a.result != resultNotRun || a.retryAfter <= 0 || a.elapsed > maxRefusalTime {
		t.Errorf("got %+v, want not run with Retry-After within %v", a, maxRefusalTime)
	}
}

// Guards against a key that is accepted for a request with another body, during
// and after the run of the first.
func TestBookingKeyWithAnotherBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, desks: 2})
	c.waitReady()
	for _, b := range c.desks {
		b.desk.Inject(desk.Faults{DelayMS: 1000})
	}
	l := c.client("trails")
	first := make(chan response, 1)
	go func() { first <- l.bookMule(c.entries[0], "k", "m1") }()
	eventually(t, "the booking runs", func() bool { return len(c.bookings()) == 1 })
	other := func(when string) {
		for _, e := range c.entries {
			a := l.bookMule(e, "k", "m2")
			if a.status != http.StatusUnprocessableEntity || a.result != resultNotRun || a.code != "idempotency_key_mismatch" {
				t.Errorf("another body %s: got %+v, want 422 not run", when, a)
			}
		}
	}
	other("during the run")
	if a := <-first; a.result != resultOK {
		t.Errorf("first body: got %+v, want a booking", a)
	}
	other("after the run")
	if n := len(c.bookings()); n != 1 {
		t.Errorf("bookings: got %d, want 1", n)
	}
	checkAll(t, c.collect())
}

// bookings returns the bookings that ran at all desks.
func (c *cluster) bookings() []desk.Run {
	var list []desk.Run
	for _, b := range c.desks {
		for _, r := range b.desk.Runs() {
			if r.Kind == desk.KindBooking {
				list = append(list, r)
			}
		}
	}
	return list
}

// Guards against a second run of a booking whose claim the log has lost, because it has
// come back from an older copy and gives out the offsets again.
func TestBookingWhenTheLogLosesClaims(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, desks: 2})
	c.waitReady()
	l := c.client("trails")
	const keys = 8
	for i := range keys {
		if a := l.book(c.entries[i%2], fmt.Sprintf("lost-%d", i)); a.result != resultOK {
			t.Fatalf("booking %d: got %+v, want a booking", i, a)
		}
	}
	// The settings of the processes leave claims.partitions at its default.
	for p := range 4 {
		c.log.SetFaults(platformlog.Faults{LostStream: claim.Stream(p)})
	}
	for i := range keys {
		for _, e := range c.entries {
			if a := l.book(e, fmt.Sprintf("lost-%d", i)); a.result == resultUnknown {
				t.Logf("repeat of booking %d at %s: %+v", i, e.id, a)
			}
		}
	}
	if n := len(c.bookings()); n != keys {
		t.Errorf("bookings: got %d, want %d", n, keys)
	}
	checkAll(t, c.collect())
}
