package gateway_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// silentLoad is a load of streams at engines of which one falls silent at a time.
type silentLoad struct {
	engines int
	// gap is the time between two streams, and silence how long an engine sends nothing.
	gap, silence time.Duration
	resumable    bool
	ratio, slack float64
	// lasts is how long streams are sent.
	lasts time.Duration
}

// silentCounts counts the streams by what their callers got.
type silentCounts struct{ served, refused, failed, cut, left int }

// play sends streams of 20 events 50 ms apart, whose callers leave after a pause of 2 s.
// Every 2 s, or once an engine goes on, the next engine falls silent.
func (l silentLoad) play(t *testing.T) silentCounts {
	const events, interval, patience, settle = 20, 50 * time.Millisecond, 2 * time.Second, 2 * time.Second
	d := newDeployment(t)
	d.reloadable.RetryRatio, d.reloadable.RetrySlack = l.ratio, l.slack
	d.routes[2]["timeout_ms"], d.routes[2]["resumable"] = 6000, l.resumable
	d.engine = map[string]any{"slots": 8, "kv_capacity": 280000, "step_ms": 5, "stride": 1, "usual": map[string]any{"prompt": 100, "answer": 100}}
	d.publish()
	var engines []*runner.Runner
	for i := range l.engines {
		id := string(rune('a' + i))
		engines = append(engines, d.addRunner(runner.Config{ID: id, Events: events, EventInterval: interval}, "model"))
		d.store.PutJSON("keyed.servers", id, map[string]any{"service": "model", "addr": engines[i].Address(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 8, "state": "ready", "born": 1, "seq": 100})
	}
	p := d.startReady()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			select {
			case <-time.After(max(settle, l.silence)):
				engines[i%len(engines)].FallSilent(l.silence)
			case <-ctx.Done():
			}
		}
	})
	var mu sync.Mutex
	var n silentCounts
	var streams sync.WaitGroup
	begun := time.Now()
	for time.Since(begun) < l.lasts {
		streams.Go(func() {
			r := newRequest(p, http.MethodPost, "/draft/1", "key-a", "write")
			r.Header.Set("Nutmegnotch-Deadline-Ms", "6000")
			got := readPatiently(r, patience)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.left:
				n.left++
			case got.err != nil:
				n.cut++
			case got.status == http.StatusOK && got.body == wantStream(events):
				n.served++
			case got.status == http.StatusServiceUnavailable:
				n.refused++
			default:
				n.failed++
			}
		})
		time.Sleep(l.gap)
	}
	streams.Wait()
	cancel()
	wg.Wait()
	return n
}

type patientAnswer struct {
	answer
	left bool
}

// readPatiently reads the answer to a request and leaves after a pause without a byte.
func readPatiently(r *http.Request, patience time.Duration) patientAnswer {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.AfterFunc(patience, cancel)
	defer timer.Stop()
	resp, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return patientAnswer{answer{err: err}, ctx.Err() != nil}
	}
	defer resp.Body.Close()
	var body []byte
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err == io.EOF {
			return patientAnswer{answer{resp.StatusCode, resp.Header, string(body), nil}, false}
		}
		if err != nil {
			return patientAnswer{answer{resp.StatusCode, resp.Header, string(body), err}, ctx.Err() != nil}
		}
		timer.Reset(patience)
	}
}

// Guards against streams that are cut off or fail because their engine sends nothing for a
// second or so: it goes on in time, unless another engine takes them.
func TestSilentEngineKeepsItsStreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		silentLoad
	}{
		{"3 engines, more streams than places", silentLoad{3, 20 * time.Millisecond, 1500 * time.Millisecond, true, 0.1, 2, 8 * time.Second}},
		{"2 engines, more streams than places", silentLoad{2, 20 * time.Millisecond, 1200 * time.Millisecond, true, 0.1, 2, 8 * time.Second}},
		{"3 engines, free places", silentLoad{3, 80 * time.Millisecond, 1500 * time.Millisecond, true, 0.1, 2, 8 * time.Second}},
		{"3 engines, free places, large retry budget", silentLoad{3, 80 * time.Millisecond, 1500 * time.Millisecond, true, 1, 40, 8 * time.Second}},
		{"3 engines, large retry budget", silentLoad{3, 20 * time.Millisecond, time.Second, true, 1, 40, 8 * time.Second}},
		{"not resumable", silentLoad{3, 20 * time.Millisecond, time.Second, false, 0.1, 2, 8 * time.Second}},
		{"frozen", silentLoad{3, 80 * time.Millisecond, 5 * time.Second, true, 0.2, 40, 8 * time.Second}},
		{"frozen, 2 of 3 places", silentLoad{3, 60 * time.Millisecond, 5 * time.Second, true, 0.2, 40, 8 * time.Second}},
		{"frozen, small budget", silentLoad{3, 80 * time.Millisecond, 5 * time.Second, true, 0.1, 2, 8 * time.Second}},
		{"frozen, more streams than places", silentLoad{3, 20 * time.Millisecond, 5 * time.Second, true, 0.2, 40, 8 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := c.play(t)
			t.Logf("%+v", n)
			if n.cut > 0 || n.failed > 0 {
				t.Errorf("got %d cut and %d failed, want none", n.cut, n.failed)
			}
		})
	}
}
