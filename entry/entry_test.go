package entry_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmegnotch/entry"
	"nutmegnotch/io/peer/peerpb"
)

func answerHello(c requestStream) { c.answer([]byte("hello")) }

// Guards against a reply that reaches the caller only after the agent has sent it
// completely.
func TestReplyIsStreamed(t *testing.T) {
	more := make(chan struct{})
	g := newHarness(t, nil, newFakeAgent("a1", "text", "d1", func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Admitted: true})
		c.replyHead(c.head.RequestId)
		c.chunk(c.head.RequestId, []byte("first "))
		<-more
		c.chunk(c.head.RequestId, []byte("second"))
		c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: 12})
	}))
	resp, err := http.DefaultClient.Do(g.request("k1", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, 6)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	close(more)
	rest, err := io.ReadAll(resp.Body)
	if got := string(first) + string(rest); err != nil || got != "first second" {
		t.Errorf("reply: got %q %v, want %q", got, err, "first second")
	}
}

// Guards against a truncated reply, or one with bytes of another request, that
// looks complete to the caller.
func TestBrokenReplyIsVisible(t *testing.T) {
	cases := []struct {
		name string
		rest func(c requestStream)
	}{
		{"stream closed", func(requestStream) {}},
		{"incomplete end", func(c requestStream) { c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, TotalBytes: 4}) }},
		{"chunk of another request", func(c requestStream) {
			c.chunk("other", []byte("x"))
			c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: 5})
		}},
		{"end of another request", func(c requestStream) {
			c.end(&peerpb.ReplyEnd{RequestId: "other", Complete: true, TotalBytes: 4})
		}},
		{"wrong length", func(c requestStream) {
			c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: 5})
		}},
		{"more than the credit", func(c requestStream) { c.chunk(c.head.RequestId, make([]byte, 200_000)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := make(chan struct{})
			g := newHarness(t, nil, newFakeAgent("a1", "text", "d1", func(cv requestStream) {
				cv.readBody()
				cv.verdict(&peerpb.Verdict{Admitted: true})
				cv.replyHead(cv.head.RequestId)
				cv.chunk(cv.head.RequestId, []byte("part"))
				<-seen
				c.rest(cv)
			}))
			resp, err := http.DefaultClient.Do(g.request("k1", ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			close(seen)
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("reply: got %d more bytes and a clean end, want an error", len(rest))
			}
		})
	}
}

// stages are the points at which an agent closes the request stream.
var stages = []struct {
	name string
	cut  func(c requestStream)
}{
	{"after the head", func(requestStream) {}},
	{"after the body", func(c requestStream) { c.readBody() }},
	{"after the verdict", func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Admitted: true})
	}},
	{"after the reply head", func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Admitted: true})
		c.replyHead(c.head.RequestId)
	}},
	{"head of another request", func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Admitted: true})
		c.replyHead("other")
		c.chunk(c.head.RequestId, []byte("crossed"))
		c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: 7})
	}},
}

// Guards against a wrong "not run" and against a second run of a request that may
// not be repeated, if the agent closes the stream at any stage.
func TestClosedStreamIsNeverNotRun(t *testing.T) {
	for _, s := range stages {
		t.Run(s.name, func(t *testing.T) {
			a1, a2 := newFakeAgent("a1", "desk", "d1", s.cut), newFakeAgent("a2", "desk", "d1", s.cut)
			g := newHarness(t, nil, a1, a2)
			status, _, got := g.ask("k1", "key")
			if status != http.StatusBadGateway || got.NotRun || !got.OutcomeUnknown {
				t.Errorf("answer: got %d %+v, want 502 with outcome_unknown", status, got)
			}
			if n := a1.runs.Load() + a2.runs.Load(); n != 1 {
				t.Errorf("attempts: got %d, want 1", n)
			}
		})
	}
	t.Run("before the head", func(t *testing.T) {
		g := newHarness(t, nil)
		if status, _, got := g.ask("k1", "key"); status != http.StatusServiceUnavailable || !got.NotRun {
			t.Errorf("answer: got %d %+v, want 503 not run", status, got)
		}
	})
}

// Guards against repeatable requests that fail because one agent fails.
func TestRepeatableIsRetried(t *testing.T) {
	for _, s := range stages {
		t.Run(s.name, func(t *testing.T) {
			// The entry is in d1 and tries the agent in d1 first.
			g := newHarness(t, nil, newFakeAgent("a1", "text", "d1", s.cut), newFakeAgent("a2", "text", "d2", answerHello))
			if status, body, _ := g.ask("k1", ""); status != 200 || body != "hello" {
				t.Errorf("answer: got %d %q, want 200 %q", status, body, "hello")
			}
		})
	}
}

// Guards against unbounded retries, and against a refusal as "not run" after an
// earlier attempt that may have run.
func TestRetriesAreBounded(t *testing.T) {
	refuse := func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Code: "overloaded", NotRun: true, RetryAfterMs: 100})
	}
	agents := make([]*fakeAgent, 5)
	for i := range agents {
		agents[i] = newFakeAgent(fmt.Sprint("a", i), "desk", "d1", refuse)
	}
	g := newHarness(t, nil, agents...)
	const requests = 100
	for i := range requests {
		if _, _, got := g.ask("k1", fmt.Sprint("key", i)); got.Code != "overloaded" || !got.NotRun {
			t.Fatalf("answer: got %+v, want overloaded and not run", got)
		}
	}
	var attempts int64
	for _, a := range agents {
		attempts += a.runs.Load()
	}
	if most := int64(requests + requests/10 + 10); attempts > most || attempts <= requests {
		t.Errorf("attempts: got %d, want %d to %d", attempts, requests+1, most)
	}

	mixed := newHarness(t, nil, newFakeAgent("b1", "text", "d1", func(requestStream) {}), newFakeAgent("b2", "text", "d2", refuse))
	if _, _, got := mixed.ask("k1", ""); got.NotRun {
		t.Errorf("after an attempt that may have run: got %+v, want not_run false", got)
	}
}

// Guards against new requests in a drained failure domain or without a confirmed
// configuration.
func TestDrainedAndStale(t *testing.T) {
	a1, a2 := newFakeAgent("a1", "text", "d1", answerHello), newFakeAgent("a2", "text", "d2", answerHello)
	g := newHarness(t, nil, a1, a2)
	g.src.drain("d1")
	for range 20 {
		if status, _, got := g.ask("k1", ""); status != 200 {
			t.Fatalf("answer: got %d %+v, want 200", status, got)
		}
	}
	if got := a1.runs.Load(); got != 0 {
		t.Errorf("requests in the drained domain: got %d, want 0", got)
	}
	g.src.drain("d1", "d2")
	if _, _, got := g.ask("k1", ""); got.Code != "domain_drained" || !got.NotRun {
		t.Errorf("answer: got %+v, want domain_drained and not run", got)
	}
	g.src.stale.Store(true)
	if _, _, got := g.ask("k1", ""); got.Code != "stale_configuration" || !got.NotRun || g.e.Ready() {
		t.Errorf("answer: got %+v, ready %v, want stale_configuration and not ready", got, g.e.Ready())
	}
}

// Guards against wrong answers to a repeat of an idempotency key that another
// claim holds.
func TestRepeatOfClaimedKey(t *testing.T) {
	hash := make(chan []byte, 1)
	a := newFakeAgent("a1", "desk", "d1", nil)
	a.serve = func(c requestStream) {
		c.readBody()
		h := c.head.RequestHash
		select {
		case h = <-hash:
		default:
		}
		c.verdict(&peerpb.Verdict{NotRun: true, Holder: &peerpb.Holder{ClaimId: "c", AgentId: "a1", RequestHash: h}})
	}
	g := newHarness(t, nil, a)
	cases := []struct {
		found  *peerpb.LookupResult
		status int
		want   refusal
	}{
		{&peerpb.LookupResult{State: peerpb.LookupResult_STATE_STORED, Status: 201, Body: []byte("booked")}, 201, refusal{}},
		{&peerpb.LookupResult{State: peerpb.LookupResult_STATE_RUNNING}, 409, refusal{Code: "still_running"}},
		{&peerpb.LookupResult{State: peerpb.LookupResult_STATE_ABANDONED}, 503, refusal{Code: "log_unavailable", NotRun: true}},
		{&peerpb.LookupResult{State: peerpb.LookupResult_STATE_UNKNOWN}, 502, refusal{Code: "outcome_unknown", OutcomeUnknown: true}},
	}
	for _, c := range cases {
		a.found.Store(c.found)
		if status, _, got := g.ask("k1", "key"); status != c.status || got != c.want {
			t.Errorf("%s: got %d %+v, want %d %+v", c.found.State, status, got, c.status, c.want)
		}
	}
	other := sha256.Sum256([]byte("another request"))
	hash <- other[:]
	if status, _, got := g.ask("k1", "key"); status != 422 || got.Code != "idempotency_key_mismatch" {
		t.Errorf("other body: got %d %+v, want 422", status, got)
	}
}

// Guards against slow readers that use more reply memory than the limit, that
// delay backend servers while memory is free, or that starve another organisation.
func TestSlowReaders(t *testing.T) {
	const bound, slow = 2 << 20, 40
	data := bytes.Repeat([]byte("load manifest "), 100_000/14)
	a := newFakeAgent("a1", "text", "d1", func(c requestStream) { c.answer(data) })
	g := newHarness(t, func(c *entry.Config) { c.ReplyMemoryBytes = bound }, a)
	var conns []net.Conn
	for range slow {
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		body := `{"model":"m","prompt":"slow"}`
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	waitFor(t, "slow callers hold memory after their replies were generated", func() bool {
		return g.e.Status().ReplyBytesHeld > 600_000 && a.served.Load() >= 6
	})
	for range 50 {
		if status, body, got := g.ask("k2", ""); status != 200 || len(body) != len(data) {
			t.Fatalf("fast organisation: got %d %+v, want 200 and %d bytes", status, got, len(data))
		}
		if held := g.e.Status().ReplyBytesHeld; held > bound {
			t.Fatalf("bytes held: got %d, want at most %d", held, bound)
		}
	}
	for _, conn := range conns {
		conn.Close()
	}
	waitFor(t, "all memory is free", func() bool { return g.e.Status().ReplyBytesHeld == 0 })
}

// Guards against a planned stop that cuts off a running reply.
func TestStopIsGraceful(t *testing.T) {
	started, more := make(chan struct{}), make(chan struct{})
	g := newHarness(t, nil, newFakeAgent("a1", "text", "d1", func(c requestStream) {
		close(started)
		<-more
		c.answer([]byte("whole"))
	}))
	body := make(chan string, 1)
	go func() { _, b, _ := g.ask("k1", ""); body <- b }()
	<-started
	g.stop()
	waitFor(t, "the entry is not ready", func() bool { return !g.e.Ready() })
	waitFor(t, "new connections are refused", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(more)
	if got, want := <-body, "whole"; got != want {
		t.Errorf("running reply: got %q, want %q", got, want)
	}
	if err := <-g.err; err != nil {
		t.Errorf("run: got %v, want nil", err)
	}
}
