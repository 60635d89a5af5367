package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

func wantStream(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		b.WriteString(runner.Event(id))
	}
	return b.String()
}

// Guards against events that are lost, duplicated or truncated when a server breaks
// off in the middle of a stream.
func TestStreamIsCarriedOn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	a := d.addRunner(runner.Config{ID: "m1", Events: 9, EventInterval: 5 * time.Millisecond}, "model")
	b := d.addRunner(runner.Config{ID: "m2", Events: 9, EventInterval: 5 * time.Millisecond}, "model")
	p := d.startReady()
	a.Fail(runner.FaultTruncated)
	b.Fail(runner.FaultTruncated)
	got := send(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write"))
	// Two attempts are allowed and both break off, so the caller must see an
	// incomplete stream.
	if got.err == nil {
		t.Errorf("stream with two broken runs: got a complete reply %q, want an incomplete one", got.body)
	}
	a.Fail(runner.FaultTruncated)
	for _, x := range []*runner.Runner{a, b} {
		x.Fail(runner.FaultNone)
	}
	for range 3 {
		got = send(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write"))
		if got.err != nil || got.body != wantStream(9) {
			t.Errorf("stream: got %q (%v), want all 9 events once", got.body, got.err)
		}
	}
}

// Guards against a gateway that buffers a stream until its end.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "m1", Events: 4, EventInterval: 200 * time.Millisecond}, "model")
	p := d.startReady()
	resp, err := http.DefaultClient.Do(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write"))
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	defer resp.Body.Close()
	start := time.Now()
	first := make([]byte, len(runner.Event(1)))
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != runner.Event(1) {
		t.Fatalf("first event: got %q (%v), want %q", first, err, runner.Event(1))
	}
	if waited := time.Since(start); waited > 150*time.Millisecond {
		t.Errorf("first event came after %v, want it before the second one is sent", waited)
	}
}

// Guards against callers that wait for an unresponsive engine until they time out
// although other engines of its group serve. Its requests must be moved to them
// within a second.
func TestStreamLeavesSilentServer(t *testing.T) {
	t.Parallel()
	const limit = time.Second
	d := newDeployment(t)
	d.engine = map[string]any{"slots": 4, "step_ms": 5, "stride": 1}
	d.publish()
	a := d.addRunner(runner.Config{ID: "m1", Events: 100, EventInterval: 10 * time.Millisecond}, "model")
	d.addRunner(runner.Config{ID: "m2", Events: 100, EventInterval: 10 * time.Millisecond}, "model")
	p := d.startReady()
	a.Fail(runner.FaultHang, runner.FaultHang)
	begun := time.Now()
	answers := make(chan answer)
	for range 4 {
		go func() { answers <- send(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write")) }()
	}
	for range 4 {
		if got := <-answers; got.err != nil || got.body != wantStream(100) {
			t.Errorf("stream: got %d bytes (%v), want all events", len(got.body), got.err)
		}
	}
	// A stream takes about a second.
	if got, most := time.Since(begun), limit+1500*time.Millisecond; got > most {
		t.Errorf("duration of all streams: got %v, want at most %v", got, most)
	}
}

// Guards against runs that continue after the caller has disconnected.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	m := d.addRunner(runner.Config{ID: "m1", Events: 200, EventInterval: 20 * time.Millisecond}, "model")
	p := d.startReady()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := http.DefaultClient.Do(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write").WithContext(ctx))
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	cancel()
	resp.Body.Close()
	left := time.Now()
	eventually(t, "the run is cancelled", func() bool { return m.Runs()[0].Cancelled })
	if took := time.Since(left); took > 500*time.Millisecond {
		t.Errorf("run ended %v after its caller disconnected, want at most 500ms", took)
	}
}
