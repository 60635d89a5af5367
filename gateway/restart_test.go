package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// Guards against a server that has left, or a key that was withdrawn, which is in use
// again after gateways have restarted one by one while the store does not answer, so that
// each knows only what its peers know.
func TestRestartsDoNotBringBackWhatIsGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault metastore.Fault
	}{
		{"store rejects calls", metastore.FaultUnavailable},
		{"store does not answer", metastore.FaultHang},
		{"store answers", metastore.FaultNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.keys = []string{"key-a", "key-b"}
			d.publish()
			leaving := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
			gone := d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
			d.addRunner(runner.Config{ID: "d3", Body: "ok"}, "desk")
			for range 3 {
				d.startReady()
			}
			eventually(t, "gateways are connected", d.connected)
			d.announce("d1", "desk", "draining")
			d.store.Put("keyed.servers", "d2", nil)
			d.keys = []string{"key-a"}
			d.publish()
			withdrawn := func(p *process) int {
				return send(newRequest(p, http.MethodGet, "/lookup/1", "key-b", "")).status
			}
			for i, p := range d.gateways {
				eventually(t, fmt.Sprintf("gateway %d refuses the key", i), func() bool { return withdrawn(p) == http.StatusUnauthorized })
			}
			time.Sleep(300 * time.Millisecond)
			before := len(leaving.Runs()) + len(gone.Runs())
			d.store.SetFault(c.fault)
			for i := range d.gateways {
				p := d.restart(i)
				for range 10 {
					if got := withdrawn(p); got != http.StatusUnauthorized {
						t.Errorf("withdrawn key at gateway %d after its restart: got %d, want 401", i, got)
					}
					if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status; got != http.StatusOK {
						t.Errorf("request at gateway %d after its restart: got %d, want 200", i, got)
					}
				}
			}
			if got := len(leaving.Runs()) + len(gone.Runs()) - before; got > 0 {
				t.Errorf("runs at servers that leave or have left: got %d, want none", got)
			}
		})
	}
}

// Guards against a gateway that does not end when it is stopped while it starts.
func TestStopDuringAStart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault metastore.Fault
		after time.Duration
	}{
		{"at once", metastore.FaultNone, 0},
		{"while the configuration is read", metastore.FaultHang, 100 * time.Millisecond},
		{"while the store rejects calls", metastore.FaultUnavailable, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			d.store.SetFault(c.fault)
			p := d.start()
			time.Sleep(c.after)
			begun := time.Now()
			p.stop()
			<-p.done
			if got, want := time.Since(begun), d.reloadable.Grace; got > want {
				t.Errorf("stop: took %v, want at most the grace of %v", got, want)
			}
		})
	}
}

// Guards against a withdrawn key, or a server that has left, which is in use again after all
// gateways have restarted at the same time while the store does not answer.
func TestAllGatewaysRestartWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.keys = []string{"key-a", "key-b"}
	d.publish()
	leaving := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
	for range 3 {
		d.startReady()
	}
	eventually(t, "gateways are connected", d.connected)
	d.announce("d1", "desk", "draining")
	d.keys = []string{"key-a"}
	d.publish()
	status := func(p *process, key string) int {
		return send(newRequest(p, http.MethodGet, "/lookup/1", key, "")).status
	}
	for i, p := range d.gateways {
		eventually(t, fmt.Sprintf("gateway %d refuses the key", i), func() bool { return status(p, "key-b") == http.StatusUnauthorized })
	}
	time.Sleep(300 * time.Millisecond)
	before := len(leaving.Runs())
	d.store.SetFault(metastore.FaultUnavailable)
	for range d.stopAll() {
		d.start()
	}
	for i, p := range d.gateways {
		eventually(t, fmt.Sprintf("gateway %d answers", i), func() bool { return status(p, "key-a") != 0 })
		for _, key := range []string{"key-a", "key-b"} {
			if got := status(p, key); got != http.StatusServiceUnavailable {
				t.Errorf("%s at gateway %d while nobody knows a configuration: got %d, want 503", key, i, got)
			}
		}
	}
	d.store.SetFault(metastore.FaultNone)
	for i, p := range d.gateways {
		eventually(t, fmt.Sprintf("gateway %d serves", i), func() bool { return status(p, "key-a") == http.StatusOK })
		if got := status(p, "key-b"); got != http.StatusUnauthorized {
			t.Errorf("withdrawn key at gateway %d after the store is back: got %d, want 401", i, got)
		}
	}
	if got := len(leaving.Runs()) - before; got > 0 {
		t.Errorf("runs at the server that leaves: got %d, want none", got)
	}
}
