package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// Guards against gateways that return to an older configuration or miss a new one.
// A gateway that starts while the store rejects calls must get the configuration
// from other gateways.
func TestConfigurationComesFromPeersToo(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	first := d.startReady()
	second := d.startReady()
	d.store.SetFault(metastore.FaultUnavailable)
	third := d.startReady()
	d.store.SetFault(metastore.FaultNone)
	d.keys = []string{"key-c"}
	d.publish()
	for i, p := range []*process{first, second, third} {
		eventually(t, fmt.Sprintf("gateway %d accepts the new key", i), func() bool {
			return send(newRequest(p, http.MethodGet, "/lookup/1", "key-c", "")).status == http.StatusOK
		})
		if got, want := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status, http.StatusUnauthorized; got != want {
			t.Errorf("gateway %d, revoked key: got %d, want %d", i, got, want)
		}
	}
	// A late write of an older version must have no effect.
	d.version -= 2
	d.keys = []string{"key-a"}
	d.publish()
	time.Sleep(300 * time.Millisecond)
	if got, want := send(newRequest(first, http.MethodGet, "/lookup/1", "key-c", "")).status, http.StatusOK; got != want {
		t.Errorf("newest key after an old version: got %d, want %d", got, want)
	}
}

// Guards against new requests to servers that are draining or gone, or whose
// failure domain is drained.
func TestNoNewWorkForLeavingServers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	a := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
	p := d.startReady()
	serve := func(n int) {
		for range n {
			if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.status != http.StatusOK {
				t.Errorf("status: got %d, want 200", got.status)
			}
		}
	}
	serve(10)
	d.announce("d1", "desk", "draining")
	time.Sleep(400 * time.Millisecond)
	before := len(a.Runs())
	serve(10)
	if got, want := len(a.Runs()), before; got != want {
		t.Errorf("runs at the draining server: got %d, want %d", got, want)
	}
	d.store.Put("keyed.op", "evacuate/z1", []byte("{}"))
	eventually(t, "the failure domain is drained", func() bool {
		return send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status == http.StatusServiceUnavailable
	})
	d.store.Put("keyed.op", "evacuate/z1", nil)
	eventually(t, "the failure domain is in service again", func() bool {
		return send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status == http.StatusOK
	})
}

// Guards against invalid server records that keep valid ones from being used.
func TestUnreadableServerRecords(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	for i, value := range []string{"{", "[]", `{"service":7}`, `{"service":"desk","addr":"nowhere","state":"ready"}`,
		`{"service":"desk","addr":"10.0.0.1:1","state":"dancing"}`, "\x00\xff"} {
		d.store.Put("keyed.servers", fmt.Sprintf("bad-%d", i), []byte(value))
	}
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	p := d.startReady()
	for range 5 {
		if got, want := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status, http.StatusOK; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
	}
}

// Guards against a gateway that stops serving during an outage of the store, or that
// cannot continue when records have been trimmed meanwhile.
func TestServiceGoesOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	for _, fault := range []metastore.Fault{metastore.FaultUnavailable, metastore.FaultTooManyRequests, metastore.FaultReset, metastore.FaultHang} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
			p := d.startReady()
			d.store.SetFault(fault)
			time.Sleep(300 * time.Millisecond)
			if got, want := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status, http.StatusOK; got != want {
				t.Errorf("status during the outage: got %d, want %d", got, want)
			}
			d.store.SetFault(metastore.FaultNone)
			d.keys = []string{"key-n"}
			d.publish()
			d.store.Trim("keyed.op")
			d.store.Trim("keyed.servers")
			eventually(t, "the new key is accepted", func() bool {
				return send(newRequest(p, http.MethodGet, "/lookup/1", "key-n", "")).status == http.StatusOK
			})
		})
	}
}

// Guards against a changed format of member records, which other tools read.
func TestMembersAreRegisteredInTheStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	p := d.startReady()
	find := func() string {
		resp, err := http.Get(d.http.URL + "/log-newest?topic=keyed.nutmegnotch-members&part=0")
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		var page struct {
			Items []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"items"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&page); err != nil || len(page.Items) == 0 {
			return fmt.Sprint(err)
		}
		return page.Items[0].Key + "=" + string(page.Items[0].Value)
	}
	want := "gateway-0=" + p.peer
	eventually(t, "the gateway is registered in the store", func() bool { return find() == want })
}
