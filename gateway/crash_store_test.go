package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// crashRecords returns the keys of the crash records in the store.
func (d *deployment) crashRecords() []string {
	d.t.Helper()
	resp, err := http.Get(d.http.URL + "/log-newest?topic=keyed.nutmegnotch-crashes&part=0")
	if err != nil {
		d.t.Fatal(err)
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Key string `json:"key"`
		} `json:"items"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		d.t.Fatal(err)
	}
	var out []string
	for _, i := range page.Items {
		out = append(out, i.Key)
	}
	return out
}

// Guards against crashes that are not saved because the store was away, or that stay
// in the store after a server has served the request.
func TestCrashRecordsFollowWhatIsKnown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addServers(2, "desk", runner.ProcessConfig{RestartDelay: 2500 * time.Millisecond, ExpiryDelay: 200 * time.Millisecond,
		Config: runner.Config{ProcessingTime: 300 * time.Millisecond}})
	p := d.startReady()
	d.store.SetFault(metastore.FaultUnavailable)
	done := make(chan answer)
	go func() { done <- send(newRequest(p, http.MethodPost, "/book/1", "key-a", "pay")) }()
	eventually(t, "a server runs the request", func() bool { return len(d.servers[0].Runs())+len(d.servers[1].Runs()) > 0 })
	for _, s := range d.servers {
		s.Runner().Crash(false)
	}
	if got := <-done; got.status != http.StatusBadGateway {
		t.Fatalf("request whose server ended: got %d %q (%v), want 502", got.status, got.body, got.err)
	}
	time.Sleep(1500 * time.Millisecond)
	d.store.SetFault(metastore.FaultNone)
	eventually(t, "the crash is in the store", func() bool {
		list := d.crashRecords()
		return len(list) == 1 && strings.Contains(list[0], "/desk-")
	})
	eventually(t, "the request is served", func() bool {
		return send(newRequest(p, http.MethodPost, "/book/1", "key-a", "pay")).status == http.StatusOK
	})
	eventually(t, "the crash is removed from the store", func() bool { return len(d.crashRecords()) == 0 })
}

// Guards against invalid crash records that keep valid ones from being applied, and
// against crashes of long ago that count.
func TestUnreadableCrashRecords(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addServers(6, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashBeforeReply}})
	first := d.startReady()
	d.sendUntilRefused(first)
	eventually(t, "the crashes are in the store", func() bool { return len(d.crashRecords()) >= 3 })
	fp, _, _ := strings.Cut(d.crashRecords()[0], "/")
	for key, value := range map[string]string{"": "x", "zz": "{}", "zz/a": "{}", fp + "/": "{}", fp + "/bad": "{", "0000000000000001/old": `{"started_unix_ms":1,"ended_unix_ms":2}`} {
		d.store.Put("keyed.nutmegnotch-crashes", key, []byte(value))
	}
	first.stop()
	<-first.done
	p := d.startReady()
	eventually(t, "another gateway refuses the request", func() bool {
		return refusedAsCrashing(send(newRequest(p, http.MethodGet, crashTarget, "key-a", "")))
	})
	if runs, _ := d.crashRuns(); runs > 3+crashRetries {
		t.Errorf("runs: got %d, want at most %d", runs, 3+crashRetries)
	}
}

// Guards against a block that stays although the operator has removed its records.
func TestOperatorEndsABlock(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addServers(6, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashBeforeReply}})
	gateways := []*process{d.startReady(), d.startReady()}
	eventually(t, "the gateways are connected", d.connected)
	d.sendUntilRefused(gateways[0])
	eventually(t, "the crashes are in the store", func() bool { return len(d.crashRecords()) >= 3 })
	for _, key := range d.crashRecords() {
		d.store.Put("keyed.nutmegnotch-crashes", key, nil)
	}
	for i, p := range gateways {
		eventually(t, fmt.Sprintf("gateway %d sends the request on", i), func() bool {
			return !refusedAsCrashing(send(newRequest(p, http.MethodGet, crashTarget, "key-a", "")))
		})
	}
}
