package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// storeReturn is the time after the return of the store from which its records have to be
// in force (stable_window_ms of the sheets).
const storeReturn = 3 * time.Second

// outages are faults of the store with the time after a change of the configuration at
// which they begin, and how long they last.
var outages = []struct {
	name         string
	fault        metastore.Fault
	after, lasts time.Duration
}{
	{"silent", metastore.FaultHang, 680 * time.Millisecond, 5800 * time.Millisecond},
	{"silent for less than a read", metastore.FaultHang, 100 * time.Millisecond, 2500 * time.Millisecond},
	{"busy", metastore.FaultUnavailable, 0, 4300 * time.Millisecond},
	{"reset", metastore.FaultReset, 0, 4300 * time.Millisecond},
}

// Guards against gateways that act on an old configuration long after the return of the
// store, since a read that was sent before it is never answered.
func TestConfigurationIsReadAfterAnOutage(t *testing.T) {
	t.Parallel()
	for _, o := range outages {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.storeTimeout = time.Second
			d.publish()
			d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
			p := d.startReady()
			d.keys = []string{"key-a", "key-b"}
			d.publish()
			time.Sleep(o.after)
			d.store.SetFault(o.fault)
			time.Sleep(o.lasts)
			d.store.SetFault(metastore.FaultNone)
			back := time.Now()
			d.keys = []string{"key-b"}
			d.publish()
			time.Sleep(time.Until(back.Add(storeReturn)))
			got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
			if got.status != http.StatusUnauthorized {
				t.Errorf("withdrawn key %v after the return of the store: got %d, want 401", storeReturn, got.status)
			}
		})
	}
}

// Guards against gateways that use a server which leaves right after the return of the
// store, as if its record had lapsed in the outage.
func TestServerThatLeavesAfterAnOutageIsNotUsed(t *testing.T) {
	t.Parallel()
	const leavesAfter = 900 * time.Millisecond
	for _, o := range outages {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.storeTimeout = time.Second
			d.publish()
			leaving := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
			d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
			p := d.startReady()
			time.Sleep(o.after)
			d.store.SetFault(o.fault)
			time.Sleep(o.lasts)
			d.store.SetFault(metastore.FaultNone)
			back := time.Now()
			time.Sleep(leavesAfter)
			d.store.Put("keyed.servers", "d1", nil)
			time.Sleep(time.Until(back.Add(storeReturn)))
			before := len(leaving.Runs())
			for range 20 {
				send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
			}
			if got, want := len(leaving.Runs()), before; got != want {
				t.Errorf("runs at the server that has left, %v after the return of the store: got %d, want 0", storeReturn, got-want)
			}
		})
	}
}

// Guards against a gateway that is cut off from the store and uses a server that has left,
// although another gateway reads the store and tells it.
func TestServerThatLeavesDuringACutIsNotUsed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	leaving := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
	d.startReady()
	link := &isolation{}
	p := d.startIsolated(link)
	eventually(t, "the gateways are connected", d.connected)
	link.cut.Store(true)
	time.Sleep(storeReturn)
	d.store.Put("keyed.servers", "d1", nil)
	const drainTime = 2 * time.Second
	time.Sleep(drainTime)
	before := len(leaving.Runs())
	for range 20 {
		send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
	}
	if got, want := len(leaving.Runs()), before; got != want {
		t.Errorf("runs at the server that has left, %v after the removal of its record: got %d, want 0", drainTime, got-want)
	}
}
