package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/metastore"
	"nutmegnotch/emulator/runner"
)

// Guards against gateways that go back to the state of the copy from which the store has
// come back, do not learn what is written at offsets that are given out again, or leave
// lost what they wrote themselves. One of them knows the store from its peers only.
func TestStoreComesBackFromACopy(t *testing.T) {
	t.Parallel()
	for _, returns := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d returns", returns), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			for _, id := range []string{"d1", "d2"} {
				d.addRunner(runner.Config{ID: id, Body: "ok"}, "desk")
			}
			d.addServers(6, "model", runner.ProcessConfig{Config: runner.Config{Events: 2, CrashPoint: runner.CrashBeforeReply}})
			link := &isolation{}
			gateways := []*process{d.startReady(), d.startIsolated(link)}
			link.cut.Store(true)
			time.Sleep(200 * time.Millisecond)
			copied := time.Now()
			time.Sleep(200 * time.Millisecond)

			gateways = append(gateways, d.startReady())
			d.keys = []string{"key-b"}
			d.publish()
			d.announce("d1", "desk", "draining")
			late := d.addRunner(runner.Config{ID: "d3", Body: "ok"}, "desk")
			ask := func(p *process, key string) int {
				return send(newRequest(p, http.MethodGet, "/lookup/1", key, "")).status
			}
			for i, p := range gateways {
				eventually(t, fmt.Sprintf("gateway %d has the new key", i), func() bool { return ask(p, "key-b") == http.StatusOK })
			}
			eventually(t, "the request is refused as crashing", func() bool {
				return refusedAsCrashing(send(newRequest(gateways[0], http.MethodPost, "/draft/crash", "key-b", "")))
			})
			time.Sleep(time.Second)
			crashes := d.stored("keyed.nutmegnotch-crashes")
			if len(crashes) < 3 {
				t.Fatalf("crash records: got %v, want at least 3", crashes)
			}
			runs, lateRuns := len(d.runners["d1"].Runs()), len(late.Runs())

			rnd := rand.New(rand.NewPCG(1, 2))
			for range returns {
				d.store.SetFault(metastore.FaultUnavailable)
				time.Sleep(100 * time.Millisecond)
				lost := d.store.Restore(time.Since(copied))
				d.store.SetFault(metastore.FaultNone)
				written := make(chan struct{})
				go func() { defer close(written); d.store.WriteAgain(lost, time.Second, rnd) }()
				for ends := time.Now().Add(700 * time.Millisecond); time.Now().Before(ends); {
					for i, p := range gateways {
						if old, now := ask(p, "key-a"), ask(p, "key-b"); old != http.StatusUnauthorized || now != http.StatusOK {
							t.Fatalf("gateway %d after the return: got %d with the revoked key and %d with the new one, want 401 and 200", i, old, now)
						}
					}
				}
				<-written
			}
			if got := len(d.runners["d1"].Runs()); got != runs {
				t.Errorf("runs at the server that had said that it leaves: got %d, want 0", got-runs)
			}
			if got := len(late.Runs()); got == lateRuns {
				t.Error("runs at the server that the copy lacks: got 0, want some")
			}
			d.keys = []string{"key-c"}
			d.publish()
			published := time.Now()
			for i, p := range gateways {
				eventually(t, fmt.Sprintf("gateway %d has the newest key", i), func() bool { return ask(p, "key-c") == http.StatusOK })
			}
			if took := time.Since(published); took > 2*time.Second {
				t.Errorf("version in force everywhere: got it after %v, want at most 2s", took)
			}
			eventually(t, "crash records and gateways are in the store again", func() bool {
				return len(d.stored("keyed.nutmegnotch-crashes")) >= len(crashes) && len(d.stored("keyed.nutmegnotch-members")) == 2+1
			})
		})
	}
}

// stored returns the keys of a topic of the store.
func (d *deployment) stored(topic string) []string {
	var keys []string
	for key := range d.store.Newest(topic) {
		keys = append(keys, key)
	}
	return keys
}

// Guards against a gateway whose long reads wait for an offset that the store has given
// up, so that it hears of nothing until they end.
func TestLongReadsEndWithTheEra(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	p := d.startReady()
	eventually(t, "the gateway is registered", func() bool { return len(d.stored("keyed.nutmegnotch-members")) == 1 })
	// The read of the gateways waits for 20 s.
	time.Sleep(200 * time.Millisecond)
	d.store.Restore(time.Hour)
	d.publish()
	d.announce("d1", "desk", "ready")
	eventually(t, "the gateway is registered again", func() bool { return len(d.stored("keyed.nutmegnotch-members")) == 1 })
	if !strings.Contains(fmt.Sprint(p.logs.FilterMessageSnippet("come back from a copy").All()), "era") {
		t.Error("log: got no line on the return of the store, want one")
	}
}

// Guards against a gateway that starts right after the store's return, as in a rolling
// restart, and serves by the copy although other gateways know better.
func TestGatewayThatStartsAfterAReturn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.startReady()
	time.Sleep(200 * time.Millisecond)
	copied := time.Now()
	time.Sleep(200 * time.Millisecond)
	d.keys = []string{"key-b"}
	d.publish()
	ask := func(p *process, key string) int {
		return send(newRequest(p, http.MethodGet, "/lookup/1", key, "")).status
	}
	eventually(t, "the first gateway has the new key", func() bool { return ask(d.gateways[0], "key-b") == http.StatusOK })
	lost := d.store.Restore(time.Since(copied))
	p := d.startReady()
	eventually(t, "the second gateway has the new key", func() bool { return ask(p, "key-b") == http.StatusOK })
	if got := ask(p, "key-a"); got != http.StatusUnauthorized {
		t.Errorf("revoked key: got %d, want 401", got)
	}
	d.store.WriteAgain(lost, 100*time.Millisecond, rand.New(rand.NewPCG(1, 2)))
	time.Sleep(300 * time.Millisecond)
	if got := ask(p, "key-b"); got != http.StatusOK {
		t.Errorf("new key after it is written again: got %d, want 200", got)
	}
}

// Guards against a server that has left and is used again by a gateway that was restarted,
// because the store comes back from a copy that lists it as ready.
func TestRestartedGatewayKnowsServersThatHaveLeft(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	left := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
	for range 2 {
		d.startReady()
	}
	eventually(t, "the gateways are connected", d.connected)
	ask := func(p *process) int { return send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status }
	time.Sleep(200 * time.Millisecond)
	copied := time.Now()
	time.Sleep(200 * time.Millisecond)
	left.Leave()
	eventually(t, "a gateway knows that the server leaves", func() bool {
		ask(d.gateways[0])
		return d.gateways[0].logs.FilterMessage("server says that it leaves").Len() > 0
	})
	d.announce("d1", "desk", "draining")
	time.Sleep(200 * time.Millisecond)
	d.store.Put("keyed.servers", "d1", nil)
	time.Sleep(200 * time.Millisecond)
	p := d.restart(1)
	eventually(t, "the gateways are connected again", d.connected)
	before := len(left.Runs())
	d.store.Restore(time.Since(copied))
	for ends := time.Now().Add(time.Second); time.Now().Before(ends); {
		if got := ask(p); got != http.StatusOK {
			t.Fatalf("request after the return: got %d, want 200", got)
		}
	}
	if got := len(left.Runs()) - before; got > 0 {
		t.Errorf("requests to the server that has left: got %d, want 0", got)
	}
}
