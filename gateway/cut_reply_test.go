package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serveScripted accepts connections, reads the head of one request on each and leaves it to
// answer, after which the connection is closed. It returns its address.
func serveScripted(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	closed := false
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		closed = true
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if conns = append(conns, c); closed {
				c.Close()
			}
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			})
		}
	})
	return l.Addr().String()
}

// announceAddress registers a server of a service at an address.
func (d *deployment) announceAddress(id, service, address string) {
	d.store.PutJSON("keyed.servers", id, map[string]any{"service": service, "addr": address, "zone": "z1", "version": "v1",
		"cold_left_ms": 0, "slots": 4, "state": "ready", "born": 1, "seq": 1})
}

// Guards against a server that breaks off while a large request is sent to it, and whose
// caller gets a 200 with a part of the answer that ends like a whole one.
func TestResetDuringAnUpload(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.limits, d.bodyMemory = map[string]any{"max_body_bytes": 8 << 20}, 16<<20
	d.publish()
	address := serveScripted(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Response-Seal: seal.s1\r\n\r\nboo", r.Header.Get("Nutmegnotch-Request-Id"))
		time.Sleep(5 * time.Millisecond)
		// Without unread bytes of the request, a close alone would not reset.
		_ = c.SetLinger(0)
	})
	for i := range 10 {
		d.announceAddress(fmt.Sprint("s", i), "desk", address)
	}
	p := d.startReady()
	upload := strings.Repeat("x", 8<<20)
	for range 5 {
		if got := send(newRequest(p, http.MethodPost, "/book/1", "key-a", upload)); got.status != http.StatusBadGateway || got.err != nil {
			t.Errorf("booking: got %d %q (%v), want 502", got.status, got.body, got.err)
		}
	}
}

// Guards against a reply to the request for the rest of a stream that breaks off in its
// head, a chunk size or a trailer, and that ends the stream as a whole one.
func TestCutRestOfAStream(t *testing.T) {
	t.Parallel()
	rest := strings.TrimPrefix(wantStream(6), wantStream(3))
	const head = "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: ID\r\nNutmegnotch-Response-Seal: seal.rest\r\nContent-Type: text/event-stream\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n00" + chunk(rest) + "0\r\nX-A: b\r\n\r\n"
	length := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(rest)) + rest
	for _, c := range []struct {
		whole, cutAfter string
		attempts        int
	}{
		{chunked, "HTTP/1.1 20", 2}, {chunked, "OK", 2}, {chunked, "OK", 3}, {chunked, "OK\r\n", 2}, {chunked, "ID", 2}, {chunked, "seal.re", 2}, {chunked, "text/event-stream", 2},
		{chunked, "Transfer-Encoding: chunk", 2}, {chunked, "chunked\r\n", 2}, {chunked, "chunked\r\n\r", 2}, {chunked, "\r\n\r\n", 2},
		{chunked, "\r\n\r\n00", 2}, {chunked, "\r\nid: ", 2}, {chunked, "token 5\n", 2}, {chunked, "token 6\n\n", 2}, {chunked, "\r\n0", 2}, {chunked, "\r\n0\r\n", 2},
		{chunked, "\r\nX-A: b", 2}, {chunked, "\r\nX-A: b", 3}, {chunked, "\r\nX-A: b\r\n\r", 2},
		{length, "Content-Length: 6", 2}, {length, "Content-Length: ", 2}, {length, "\r\n\r", 2}, {length, "\r\n\r", 3}, {length, "\r\n\r\n", 2}, {length, "token 5\n\n", 2}, {length, "token 6\n", 2},
	} {
		at := strings.Index(c.whole, c.cutAfter)
		if at < 0 {
			t.Fatalf("%q does not hold %q", c.whole, c.cutAfter)
		}
		n := at + len(c.cutAfter)
		t.Run(fmt.Sprintf("cut after %q, %d attempts", c.cutAfter, c.attempts), func(t *testing.T) {
			t.Parallel()
			cutRestOfAStream(t, c.whole, n, c.attempts)
		})
	}
}

// cutRestOfAStream cuts the second reply to n bytes. Only a third one carries the stream to
// its end.
func cutRestOfAStream(t *testing.T, whole string, n, attempts int) {
	t.Helper()
	var sends atomic.Int64
	answer := func(c *net.TCPConn, r *http.Request) {
		reply := whole
		switch sends.Add(1) {
		case 1:
			reply = streamHead + chunk(wantStream(3))
		case 2:
			reply = whole[:n]
			if n%2 == 1 {
				_ = c.SetLinger(0)
			}
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(reply, "ID", r.Header.Get("Nutmegnotch-Request-Id")))
	}
	d := newDeployment(t)
	stream := route("long", "/long/", "streaming", "model", attempts)
	stream["resumable"] = true
	d.routes = append(d.routes, stream)
	d.publish()
	for i := range 3 {
		d.announceAddress(fmt.Sprint("m", i), "model", serveScripted(t, answer))
	}
	got := send(newRequest(d.startReady(), http.MethodGet, "/long/1", "key-a", ""))
	if attempts == 3 && (got.err != nil || got.body != wantStream(6)) {
		t.Errorf("stream: got %q (%v), want it whole", got.body, got.err)
	}
	if attempts == 2 && (got.err == nil || !strings.HasPrefix(wantStream(6), got.body)) {
		t.Errorf("stream: got %q (%v), want a part of it, broken off", got.body, got.err)
	}
}
