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

	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/platformlog"
)

// refusalBound is the longest time to a refusal: "at once" is read as 3 s.
const refusalBound = 3 * time.Second

// attempt is one answer to a booking with its place in time.
type attempt struct {
	key    string
	answer answer
	op     porcupine.Operation
}

// bookOnce sends one key through one entry.
func (c *cluster) bookOnce(n int, key string) attempt {
	call := time.Now()
	a := c.client("trails").book(c.entries[n%len(c.entries)], key)
	return attempt{key, a, porcupine.Operation{ClientId: n, Input: bookingInput{key}, Call: call.UnixNano(),
		Output: bookingOutput{a.result, a.booking}, Return: time.Now().UnixNano()}}
}

// bookAtOnce sends every key through all entries at the same time.
func (c *cluster) bookAtOnce(keys []string) []attempt {
	list := make([]attempt, len(keys)*len(c.entries))
	var wg sync.WaitGroup
	for i := range list {
		wg.Add(1)
		go func() { defer wg.Done(); list[i] = c.bookOnce(i%len(c.entries), keys[i/len(c.entries)]) }()
	}
	wg.Wait()
	return list
}

// settle repeats every key until its booking or its unknown outcome is known.
func (c *cluster) settle(t *testing.T, keys []string) []attempt {
	t.Helper()
	var list []attempt
	for i, key := range keys {
		eventually(t, key+" has an outcome", func() bool {
			a := c.bookOnce(i+len(list), key)
			list = append(list, a)
			return a.answer.result == resultOK || a.answer.code == "outcome_unknown"
		})
	}
	return list
}

func keysOf(prefix string, n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return keys
}

// scenario is a failure at a chosen moment of bookings that are under way.
type scenario struct {
	name string
	// before sets the stage, during acts while the bookings are under way, and
	// after restores.
	before, during, after func(c *cluster, r *rand.Rand)
	// mustBook tells that each key must end with a booking.
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

// Guards against a booking that runs twice when the part that it depends on
// fails at the worst moment and the key is sent again.
func TestBookingAtTargetedFaults(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, desks: 3})
		c.waitReady()
		var ops []porcupine.Operation
		for _, s := range scenarios() {
			keys := keysOf(s.name, 8)
			s.before(c, r)
			acted := make(chan struct{})
			go func() { defer close(acted); s.during(c, r) }()
			list := c.bookAtOnce(keys)
			<-acted
			s.after(c, r)
			for _, p := range c.procs() {
				eventually(t, p.id+" is ready after "+s.name, p.ready)
			}
			list = append(list, c.settle(t, keys)...)
			booked := 0
			for _, a := range list[len(keys)*len(c.entries):] {
				if a.answer.result == resultOK {
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
			t.Error("answers of a key do not fit one booking")
		}
	})
}

// Guards against a claim that an agent runs again, or that another runs for it,
// when the agent is stopped between claim and run for longer than the deadline.
func TestBookingWithPausedAgents(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, desks: 3})
		c.waitReady()
		keys := keysOf("paused", 30)
		c.log.SetFaults(platformlog.Faults{DelayMS: 150})
		acted := make(chan struct{})
		go func() {
			defer close(acted)
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
		list := c.bookAtOnce(keys)
		<-acted
		c.heal()
		list = append(list, c.settle(t, keys)...)
		var ops []porcupine.Operation
		for _, a := range list {
			ops = append(ops, a.op)
		}
		checkAll(t, c.collect())
		if !linearizable(bookingModel, ops) {
			t.Error("answers of a key do not fit one booking")
		}
		t.Logf("%d operations", len(ops))
	})
}

// Guards against bookings that wait for the log during an outage, and against
// keys that stay blocked after it.
func TestBookingDuringLogOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []string{platformlog.OutageHang, platformlog.OutageRefuse} {
		t.Run(outage, func(t *testing.T) {
			c := newCluster(t, clusterConfig{entries: 3, desks: 3})
			c.waitReady()
			c.log.SetFaults(platformlog.Faults{Outage: outage})
			keys := keysOf("outage", 20)
			end := time.Now().Add(5 * time.Second)
			refused, longest := 0, time.Duration(0)
			for n := 0; time.Now().Before(end); n++ {
				for _, a := range c.bookAtOnce(keys[n%len(keys):][:1]) {
					checkRefusal(t, a.answer)
					refused++
					longest = max(longest, a.answer.elapsed)
				}
			}
			c.heal()
			for _, a := range c.settle(t, keys) {
				if a.answer.code == "outcome_unknown" {
					t.Errorf("after the outage: got %+v, want a booking", a.answer)
				}
			}
			checkAll(t, c.collect())
			t.Logf("%d refusals, the slowest after %v", refused, longest.Round(time.Millisecond))
		})
	}
}

// checkRefusal reports an answer that is not a prompt refusal as not run with a
// time to come back.
func checkRefusal(t *testing.T, a answer) {
	t.Helper()
	if a.result != resultNotRun || a.retry <= 0 || a.elapsed > refusalBound {
		t.Errorf("got %+v, want not run with Retry-After within %v", a, refusalBound)
	}
}

// Guards against a key that is used again for another request, during and after
// the first.
func TestBookingKeyWithAnotherBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, desks: 2})
	c.waitReady()
	for _, b := range c.desks {
		b.desk.Inject(desk.Faults{DelayMS: 1000})
	}
	l := c.client("trails")
	first := make(chan answer, 1)
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
