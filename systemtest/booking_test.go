package systemtest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Guards against a booking that runs twice, and against a request that is
// refused as not run and runs. Processes are killed and paused and lose
// connections to each other, to their backend servers and to the log.
func TestBookingRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		c := newCluster(t, clusterConfig{entries: 3, desks: 3})
		c.waitReady()
		stop := make(chan struct{})
		injected := make(chan struct{})
		go func() { defer close(injected); injectFaults(t, c, r, append(commonFaults(), backendFaults()...), stop) }()
		ops := c.bookAll(t, 60, 15*time.Second)
		close(stop)
		<-injected
		for _, p := range c.procs() {
			eventually(t, p.id+" is ready again", p.ready)
		}
		ops = append(ops, c.bookAll(t, 60, time.Second)...)
		checkAll(t, c.collect())
		if !linearizable(bookingModel, ops) {
			t.Error("replies to a key name different bookings")
		}
		ok := 0
		for _, op := range ops {
			if op.Output.(bookingOutput).result == resultOK {
				ok++
			}
		}
		t.Logf("%d operations, %d with a booking", len(ops), ok)
		if ok == 0 {
			t.Error("got no booking, want some")
		}
	})
}

// bookAll sends each key through all entries concurrently, and repeats it until
// it is booked or the time limit has passed.
func (c *cluster) bookAll(t *testing.T, keys int, limit time.Duration) []porcupine.Operation {
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	start := time.Now()
	l := c.client("trails")
	for k := range keys {
		key := fmt.Sprintf("key-%d", k)
		for n, e := range c.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(k) * limit / time.Duration(2*keys))
				for first := true; first || time.Since(start) < limit; first = false {
					call := time.Now()
					a := l.book(e, key)
					mu.Lock()
					ops = append(ops, porcupine.Operation{ClientId: n, Input: bookingInput{key}, Call: call.UnixNano(),
						Output: bookingOutput{a.result, a.booking}, Return: time.Now().UnixNano()})
					mu.Unlock()
					if a.result == resultOK {
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	wg.Wait()
	return ops
}
