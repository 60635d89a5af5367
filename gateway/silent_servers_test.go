package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against a request that ends one server after the other while nothing tells
// that they have ended, as their hosts fall silent for seconds.
func TestServersThatFallSilent(t *testing.T) {
	t.Parallel()
	const settleTime, sendTime, silence = 3 * time.Second, 12 * time.Second, 5 * time.Second
	cases := []struct {
		name, path, service string
		left                time.Duration
		gap                 time.Duration
	}{
		{"stream each 250ms", "/draft/crash", "model", 2 * time.Second, 250 * time.Millisecond},
		{"stream each 500ms", "/draft/crash", "model", 2 * time.Second, 500 * time.Millisecond},
		{"lookup each 250ms", crashTarget, "desk", 600 * time.Millisecond, 250 * time.Millisecond},
		{"lookup each 500ms", crashTarget, "desk", 600 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			cfg := runner.ProcessConfig{ExpiryDelay: 3600 * time.Millisecond, RestartDelay: silence, Config: runner.Config{CrashPoint: runner.CrashSilently}}
			if c.service == "model" {
				cfg.Events, cfg.EventInterval = 6, 10*time.Millisecond
			}
			d.addServers(40, c.service, cfg)
			gateways := []*process{d.startReady(), d.startReady(), d.startReady()}
			eventually(t, "the gateways are connected", d.connected)
			var wg sync.WaitGroup
			begun := time.Now()
			for i := 0; time.Since(begun) < sendTime; i++ {
				r := newRequest(gateways[i%len(gateways)], http.MethodPost, c.path, "key-a", "")
				r.Header.Set("Nutmegnotch-Deadline-Ms", strconv.FormatInt(c.left.Milliseconds(), 10))
				wg.Go(func() { send(r) })
				time.Sleep(c.gap)
			}
			wg.Wait()
			ends, late := d.crashes(), 0
			if len(ends) < 3 {
				t.Fatalf("crashes: got %d, want at least 3", len(ends))
			}
			for _, s := range d.servers {
				for _, r := range s.Runs() {
					if r.At.After(ends[2].Add(settleTime)) {
						late++
					}
				}
			}
			if late > crashRetries {
				t.Errorf("runs later than %v after the third crash: got %d (%d crashes in all), want at most %d", settleTime, late, len(ends), crashRetries)
			}
		})
	}
}
