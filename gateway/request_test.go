package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Guards against requests and replies that are changed on the way, API keys that
// reach a server and headers forged by a caller.
func TestRequestArrivesUnchanged(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	desk := d.addRunner(runner.Config{ID: "d1", Body: "all is well"}, "desk")
	p := d.startReady()
	r := newRequest(p, http.MethodPost, "/lookup/a%2Fb//c?x=1&y=%20", "key-a", "hello")
	r.Header.Set("Nutmegnotch-Tenant", "forged")
	r.Header.Set("X-Other", "kept")
	got := send(r)
	if got.status != http.StatusOK || got.body != "all is well" || got.header.Get("Nutmegnotch-Response-Seal") != "seal.d1" {
		t.Fatalf("reply: got %+v, want 200 with body and seal", got)
	}
	run := desk.Runs()[0]
	checks := []struct{ name, got, want string }{
		{"method", run.Method, http.MethodPost},
		{"target", run.Target, "/lookup/a%2Fb//c?x=1&y=%20"},
		{"host", run.Host, "a.example"},
		{"body", run.Body, "hello"},
		{"key", run.Header.Get("Nutmegnotch-Key"), ""},
		{"tenant", run.Header.Get("Nutmegnotch-Tenant"), "org-a"},
		{"instance", run.Header.Get("Nutmegnotch-Expect-Instance"), "d1"},
		{"other header", run.Header.Get("X-Other"), "kept"},
	}
	for _, c := range checks {
		if c.got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, c.got, c.want)
		}
	}
	if left := run.Header.Get("Nutmegnotch-Deadline-Ms"); left == "" || len(left) > 4 || left > "3000" {
		t.Errorf("time left: got %q, want at most 3000", left)
	}
}

// Guards against wrong or late responses to requests that reach no server.
func TestRefusals(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	desk := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	p := d.startReady()
	cases := []struct {
		name, path, key, body string
		want                  int
	}{
		{"unknown key", "/lookup/1", "key-b", "", http.StatusUnauthorized},
		{"unknown route", "/other/1", "key-a", "", http.StatusNotFound},
		{"body over the limit", "/lookup/1", "key-a", strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
		{"service without servers", "/draft/1", "key-a", "", http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		start := time.Now()
		got := send(newRequest(p, http.MethodPost, c.path, c.key, c.body))
		if got.status != c.want {
			t.Errorf("%s: got status %d (%v), want %d", c.name, got.status, got.err, c.want)
		}
		if c.want == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got no Retry-After, want one", c.name)
		}
		if held := time.Since(start); held > time.Second {
			t.Errorf("%s: held for %v, want the response at once", c.name, held)
		}
	}
	if got := len(desk.Runs()); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// Guards against a second run of a request that may run at most once, and against
// status 503, which guarantees that a request has not run, for one that may have
// run.
func TestOnceRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		fault runner.Fault
		want  int
		runs  int
	}{
		{runner.FaultNone, http.StatusOK, 1},
		{runner.FaultReset, http.StatusBadGateway, 1},
		{runner.FaultTruncated, http.StatusBadGateway, 1},
		{runner.FaultGarbage, http.StatusBadGateway, 1},
		{runner.FaultError, http.StatusInternalServerError, 1},
		{runner.FaultNotRun, http.StatusServiceUnavailable, 0},
		{runner.FaultStaleReply, http.StatusOK, 1},
		{runner.FaultExtraReply, http.StatusOK, 1},
		{runner.FaultCloseDelimited, http.StatusOK, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			runners := []*runner.Runner{
				d.addRunner(runner.Config{ID: "d1", Body: "booked"}, "desk"),
				d.addRunner(runner.Config{ID: "d2", Body: "booked"}, "desk"),
			}
			p := d.startReady()
			for _, r := range runners {
				r.Fail(c.fault)
			}
			got := send(newRequest(p, http.MethodPost, "/book/1", "key-a", "pay"))
			if got.status != c.want {
				t.Errorf("status: got %d (%v), want %d", got.status, got.err, c.want)
			}
			if c.want == http.StatusOK && got.body != "booked" {
				t.Errorf("body: got %q, want %q", got.body, "booked")
			}
			if n := len(runners[0].Runs()) + len(runners[1].Runs()); n != c.runs {
				t.Errorf("runs: got %d, want %d", n, c.runs)
			}
		})
	}
}

// Guards against repeatable requests that fail although another server can serve
// them.
func TestRepeatableGoesToAnotherServer(t *testing.T) {
	t.Parallel()
	for _, fault := range []runner.Fault{runner.FaultReset, runner.FaultTruncated, runner.FaultGarbage, runner.FaultError, runner.FaultNotRun} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			a := d.addRunner(runner.Config{ID: "d1", Body: "found"}, "desk")
			b := d.addRunner(runner.Config{ID: "d2", Body: "found"}, "desk")
			p := d.startReady()
			a.Fail(fault, fault, fault, fault, fault, fault)
			for range 4 {
				got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
				if got.status != http.StatusOK || got.body != "found" {
					t.Errorf("answer: got %d %q (%v), want 200", got.status, got.body, got.err)
				}
			}
			if len(b.Runs()) == 0 {
				t.Error("runs at the healthy server: got 0, want some")
			}
		})
	}
}

// Guards against replies that are delivered to another request on the same
// connection.
func TestExtraRepliesReachNobody(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	r := d.addRunner(runner.Config{ID: "d1", Body: "mine"}, "desk")
	p := d.startReady()
	for i := range 20 {
		if i%3 == 0 {
			r.Fail(runner.FaultExtraReply)
		}
		if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.body != "mine" {
			t.Fatalf("request %d: got %d %q (%v), want its own reply", i, got.status, got.body, got.err)
		}
	}
}

// Guards against truncated or malformed requests that reach a server.
func TestBodyCutShortReachesNoServer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	desk := d.addRunner(runner.Config{ID: "d1", Body: "booked"}, "desk")
	p := d.startReady()
	head := "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: x\r\nNutmegnotch-Key: key-a\r\n"
	for _, rest := range []string{
		"Content-Length: 10\r\n\r\nhalf",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
		"Content-Length: 4\r\nContent-Length: 5\r\n\r\nhalf!",
	} {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		if _, err := io.WriteString(c, head+rest); err != nil {
			t.Fatalf("write: %v", err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatalf("close: %v", err)
		}
		if _, err := io.ReadAll(c); err != nil {
			t.Logf("read: %v", err)
		}
		c.Close()
	}
	if got := len(desk.Runs()); got != 0 {
		t.Errorf("runs: got %d, want 0", got)
	}
}

// Guards against a planned shutdown that aborts requests or takes too long.
func TestPlannedStopFinishesRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "m1", Events: 10, EventInterval: 50 * time.Millisecond}, "model")
	p := d.startReady()
	resp, err := http.DefaultClient.Do(newRequest(p, http.MethodPost, "/draft/1", "key-a", "write"))
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	defer resp.Body.Close()
	p.stop()
	eventually(t, "the gateway is not ready", func() bool { return status(p.ready) != http.StatusOK })
	during := send(newRequest(p, http.MethodPost, "/draft/2", "key-a", "write"))
	if during.status != http.StatusOK || during.body != wantStream(10) {
		t.Errorf("request during the drain delay: got %d %q (%v), want 200", during.status, during.body, during.err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(b, []byte(wantStream(10))) {
		t.Errorf("stream during the shutdown: got %q (%v), want all events", b, err)
	}
	select {
	case <-p.done:
	case <-time.After(3 * time.Second):
		t.Error("gateway still runs 3s after the stop, want it stopped within its grace of 2s")
	}
}

// Guards against requests that wait until their deadline although no server can
// serve them in time, and against requests that are rejected instead of queued while
// a server is busy.
func TestBusyServers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok", ProcessingTime: 100 * time.Millisecond}, "desk")
	p := d.startReady()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			start := time.Now()
			got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", ""))
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
			if got.status == http.StatusServiceUnavailable && time.Since(start) > time.Second {
				t.Errorf("rejected after %v, want at once", time.Since(start))
			}
		}()
	}
	wg.Wait()
	if statuses[http.StatusOK] < 5 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != 60 {
		t.Errorf("statuses: got %v, want at least 5 times 200, the rest 503", statuses)
	}
}

// Guards against persistent connections on which later requests fail.
func TestPersistentConnectionServesManyRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	r := d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	p := d.startReady()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for i := range 10 {
		if _, err := fmt.Fprintf(c, "GET /lookup/%d HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: k%d\r\nNutmegnotch-Key: key-a\r\n\r\n", i, i); err != nil {
			t.Fatalf("write: %v", err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("read reply %d: %v", i, err)
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || string(b) != "ok" || resp.Header.Get("Nutmegnotch-Request-Id") != fmt.Sprintf("k%d", i) {
			t.Errorf("reply %d: got %q for %q (%v)", i, b, resp.Header.Get("Nutmegnotch-Request-Id"), err)
		}
	}
	if got := r.Connections(); got > 2 {
		t.Errorf("connections to the server: got %d, want at most 2", got)
	}
}
