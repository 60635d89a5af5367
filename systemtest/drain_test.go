package systemtest

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/platformlog"
)

// drainBound is the brief's "a few seconds".
const drainBound = 3 * time.Second

// load sends requests of both services from several callers until stop.
func (c *cluster) load(callers int, stop *atomic.Bool) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := c.client([]string{"trails", "farm"}[n%2])
			for i := 0; !stop.Load(); i++ {
				e := c.entries[(n+i)%len(c.entries)]
				var a answer
				if len(c.desks) > 0 && i%2 == 0 {
					a = l.book(e, fmt.Sprintf("load-%d-%d", n, i))
				} else if len(c.models) > 0 {
					a = l.complete(e, fmt.Sprintf("prompt %d %d", n, i), 10)
				}
				if a.result != resultOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	return wg
}

// Guards against new work in a failure domain that operators took out, while an
// entry and an agent of it cannot read the log and while the log goes down
// right after the change was accepted.
func TestDrainedDomainGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
	}{
		{"no fault", func(*cluster) {}},
		{"entry and agent cut from the log", func(c *cluster) {
			c.links["entry-2>log"].cut()
			c.links["model-1>log"].cut()
		}},
		{"entry cut from everything but agents", func(c *cluster) {
			for key, l := range c.links {
				if strings.Contains(key, "entry-2") && (strings.Contains(key, "log") || strings.Count(key, "entry") == 2) {
					l.cut()
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, sizes{entries: 3, engines: 3, desks: 3})
			c.ready()
			var stop atomic.Bool
			wg := c.load(8, &stop)
			time.Sleep(500 * time.Millisecond)
			tt.fault(c)
			c.setDomain(c.entries[0], "d1", core.DomainDrained)
			c.log.SetFaults(platformlog.Faults{Outage: platformlog.OutageHang})
			time.Sleep(2 * drainBound)
			c.log.SetFaults(platformlog.Faults{})
			for _, l := range c.links {
				l.heal()
			}
			stop.Store(true)
			wg.Wait()
			events := c.collect()
			checkAll(t, events)
			if err := checkNoNewWork(events, drainBound); err != nil {
				t.Error(err)
			}
			var before, after int
			for _, e := range events {
				if e.kind == eventRunStart && e.domain == "d1" {
					before++
				}
				if e.kind == eventRunStart && e.domain != "d1" {
					after++
				}
			}
			t.Logf("%d runs in d1, %d elsewhere", before, after)
			if before == 0 || after == 0 {
				t.Errorf("got %d runs in d1 and %d elsewhere, want some of both", before, after)
			}
		})
	}
}
