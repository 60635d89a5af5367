package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// rawReply is a reply as it arrives at a caller's connection.
type rawReply struct {
	status  int
	framing string
	body    string
	// ended reports that the body has ended as its framing says. With the framing
	// "connection" it means that the connection was closed, not reset.
	ended bool
}

// sendRaw sends a request on a connection of its own and reads the reply from it.
func sendRaw(t *testing.T, p *process, version, method, target string) rawReply {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	id := newRequest(p, method, target, "", "").Header.Get("Nutmegnotch-Request-Id")
	if _, err := fmt.Fprintf(c, "%s %s %s\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", method, target, version, id); err != nil {
		t.Fatalf("send: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return rawReply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got := rawReply{status: resp.StatusCode, framing: "connection", body: string(body), ended: err == nil}
	switch {
	case len(resp.TransferEncoding) > 0:
		got.framing = "chunked"
	case resp.ContentLength >= 0:
		got.framing = "length"
	}
	return got
}

// Guards against replies that break off and reach their callers framed as complete,
// and against whole ones that are refused or run again.
func TestBrokenReplyIsNotFramedAsComplete(t *testing.T) {
	t.Parallel()
	const (
		whole   = runner.FaultCloseDelimited
		cut     = runner.FaultCloseDelimitedCut
		between = runner.FaultCloseDelimitedCutBetween
		empty   = runner.FaultCloseDelimitedEmpty
		broken  = runner.FaultCloseDelimitedReset
		inside  = runner.FaultEndsInsideEvent
		chunked = runner.FaultTruncated
		none    = runner.FaultNone
	)
	large := strings.Repeat("0123456789abcdef", 20<<10)
	cases := []struct {
		name, path string
		// body is the body of a plain reply; a stream has six events.
		body   string
		faults []runner.Fault
		want   rawReply
		runs   int
	}{
		{"lookup, whole", "/lookup/1", "found it", []runner.Fault{whole}, rawReply{200, "connection", "found it", true}, 1},
		{"lookup, HTTP/1.0", "/lookup/1", "found it", []runner.Fault{runner.FaultCloseDelimitedHTTP10}, rawReply{200, "connection", "found it", true}, 1},
		{"lookup, closed in the body", "/lookup/1", "found it", []runner.Fault{cut}, rawReply{200, "connection", "foun", true}, 1},
		{"lookup, closed after the head", "/lookup/1", "found it", []runner.Fault{empty}, rawReply{200, "connection", "", true}, 1},
		{"lookup, reset in the body", "/lookup/1", "found it", []runner.Fault{broken, none}, rawReply{200, "length", "found it", true}, 2},
		{"lookup, reset twice", "/lookup/1", "found it", []runner.Fault{broken, broken}, rawReply{502, "length", "attempts\n", true}, 2},
		{"booking, whole", "/book/1", "booked", []runner.Fault{whole}, rawReply{200, "connection", "booked", true}, 1},
		{"booking, closed in the body", "/book/1", "booked", []runner.Fault{cut}, rawReply{200, "connection", "boo", true}, 1},
		{"booking, closed after the head", "/book/1", "booked", []runner.Fault{empty}, rawReply{200, "connection", "", true}, 1},
		{"booking, reset in the body", "/book/1", "booked", []runner.Fault{broken}, rawReply{502, "length", "outcome_unknown\n", true}, 1},
		{"large, whole", "/lookup/1", large, []runner.Fault{whole}, rawReply{200, "connection", large, true}, 1},
		{"large, closed in the body", "/lookup/1", large, []runner.Fault{cut}, rawReply{200, "connection", large[:len(large)/2], true}, 1},
		{"large, reset in the body", "/lookup/1", large, []runner.Fault{broken}, rawReply{200, "connection", large[:len(large)/2], false}, 1},
		{"stream, whole", "/draft/1", "", []runner.Fault{whole}, rawReply{200, "connection", wantStream(6), true}, 1},
		{"stream, closed inside an event", "/draft/1", "", []runner.Fault{cut, none}, rawReply{200, "connection", wantStream(6), true}, 2},
		{"stream, closed inside events twice", "/draft/1", "", []runner.Fault{cut, cut}, rawReply{200, "connection", wantStream(4), false}, 2},
		{"stream, closed between events", "/draft/1", "", []runner.Fault{between}, rawReply{200, "connection", wantStream(3), true}, 1},
		{"stream, closed after the head", "/draft/1", "", []runner.Fault{empty}, rawReply{200, "connection", "", true}, 1},
		{"stream, reset inside an event", "/draft/1", "", []runner.Fault{broken, none}, rawReply{200, "connection", wantStream(6), true}, 2},
		{"stream, last chunk inside an event", "/draft/1", "", []runner.Fault{inside, none}, rawReply{200, "chunked", wantStream(6), true}, 2},
		{"stream, last chunk inside events twice", "/draft/1", "", []runner.Fault{inside, inside}, rawReply{200, "chunked", wantStream(4), false}, 2},
		{"stream in chunks, carried on without", "/draft/1", "", []runner.Fault{chunked, whole}, rawReply{200, "chunked", wantStream(6), false}, 2},
		{"the same, then confirmed", "/long/1", "", []runner.Fault{chunked, whole, none}, rawReply{200, "chunked", wantStream(6), true}, 3},
		{"the same, then completed", "/long/1", "", []runner.Fault{chunked, between, none}, rawReply{200, "chunked", wantStream(6), true}, 3},
		{"stream that runs once, closed inside an event", "/chat/1", "", []runner.Fault{cut}, rawReply{200, "connection", wantStream(3), false}, 1},
		{"stream that runs once, closed after the head", "/chat/1", "", []runner.Fault{empty}, rawReply{200, "connection", "", true}, 1},
		{"stream route, reply of another type", "/draft/1", "no stream", []runner.Fault{none}, rawReply{200, "length", "no stream", true}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			chat := route("chat", "/chat/", "streaming", "model", 2)
			long := route("long", "/long/", "streaming", "model", 3)
			long["resumable"] = true
			d.routes = append(d.routes, chat, long)
			d.publish()
			service, cfg := "desk", runner.Config{Body: c.body}
			if !strings.HasPrefix(c.path, "/lookup/") && !strings.HasPrefix(c.path, "/book/") {
				service = "model"
			}
			if c.body == "" {
				cfg.Events = 6
			}
			var servers []*runner.Runner
			for i := range 3 {
				cfg.ID = fmt.Sprintf("s%d", i)
				servers = append(servers, d.addRunner(cfg, service))
				if i > 0 {
					servers[i].ShareFaults(servers[0])
				}
			}
			servers[0].Fail(c.faults...)
			p := d.startReady()
			if got := sendRaw(t, p, "HTTP/1.1", http.MethodGet, c.path); got != c.want {
				t.Errorf("reply: got %s, want %s", got, c.want)
			}
			runs := 0
			for _, s := range servers {
				runs += len(s.Runs())
			}
			if runs != c.runs {
				t.Errorf("runs: got %d, want %d", runs, c.runs)
			}
		})
	}
}

// Guards against a broken reply whose bytes were discarded before a slow caller had got
// them.
func TestBrokenReplyReachesSlowCaller(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("0123456789abcdef", 20<<10)
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "s1", Body: large}, "desk").Fail(runner.FaultCloseDelimitedReset)
	p := d.startReady()
	c := dialSlow(t, p.address)
	id := newRequest(p, http.MethodGet, "/lookup/1", "", "").Header.Get("Nutmegnotch-Request-Id")
	if _, err := fmt.Fprintf(c, "GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 3000\r\n\r\n", id); err != nil {
		t.Fatalf("send: %v", err)
	}
	eventually(t, "the reply is broken off", func() bool { return p.logs.FilterMessage("attempt failed").Len() > 0 })
	time.Sleep(200 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read the head: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if got, want := string(body), large[:len(large)/2]; got != want || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("body: got %d bytes (%v), want the %d that the server sent and a reset", len(got), err, len(want))
	}
}

// dialSlow connects with a small receive buffer.
func dialSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if ctlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// String describes r without the whole of a large body.
func (r rawReply) String() string {
	return fmt.Sprintf("{%d %s, ended %t, %d bytes %.200q}", r.status, r.framing, r.ended, len(r.body), r.body)
}

// Guards against a broken stream that looks complete to a caller of HTTP/1.0, which
// gets no chunks.
func TestBrokenStreamIsResetForOldCallers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	m := d.addRunner(runner.Config{ID: "m1", Events: 6}, "model")
	m.Fail(runner.FaultTruncated, runner.FaultTruncated)
	p := d.startReady()
	got := sendRaw(t, p, "HTTP/1.0", http.MethodGet, "/draft/1")
	if got.ended || got.framing != "connection" || !strings.HasPrefix(wantStream(6), got.body) {
		t.Errorf("reply: got %s, want a part of the stream and a reset", got)
	}
}

// Guards against a reply that may have broken off and clears a request that crashes
// servers.
func TestReplyWithoutLengthClearsNoCrash(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routes[0]["max_attempts"] = 1
	d.publish()
	d.addServers(6, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashInBody}})
	p := d.startReady()
	ask := func() answer { return send(newRequest(p, http.MethodGet, crashTarget, "key-a", "")) }
	for i := range 3 {
		if got := ask(); got.status != http.StatusBadGateway {
			t.Fatalf("crashing request %d: got %d %q (%v), want 502", i, got.status, got.body, got.err)
		}
		eventually(t, "the crash is counted", func() bool { return p.logs.FilterMessage("crash counted").Len() == i+1 })
		if i == 2 {
			break
		}
		for _, s := range d.servers {
			s.Runner().Fail(runner.FaultCloseDelimitedCut)
		}
		if got := ask(); got.status != http.StatusOK || got.body != "fo" {
			t.Fatalf("broken reply: got %d %q (%v), want the part that the server sent", got.status, got.body, got.err)
		}
		for _, s := range d.servers {
			s.Runner().Unfail()
		}
	}
	if got := ask(); !refusedAsCrashing(got) {
		t.Errorf("request after the third crash: got %d %q (%v), want a refusal as crashing", got.status, got.body, got.err)
	}
}
