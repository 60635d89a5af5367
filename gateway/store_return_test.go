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
