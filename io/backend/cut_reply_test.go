package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

// cutReply is what a server sends in answer to each request with the id 1. It closes the
// connection after it, with a reset if reset is set, or sends then, if there is one, in a
// packet of its own and keeps the connection.
type cutReply struct {
	first, then string
	reset       bool
}

// cuttingServer answers requests with the current reply, and those with another id with
// their id. It returns its address.
func cuttingServer(t *testing.T, current *atomic.Pointer[cutReply]) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCut(c, current)
		}
	}()
	return l.Addr().String()
}

func serveCut(c net.Conn, current *atomic.Pointer[cutReply]) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if id := req.Header.Get("X-Id"); id != "1" {
			if _, err := io.WriteString(c, reply(id, id)); err != nil {
				return
			}
			continue
		}
		out := *current.Load()
		if _, err := io.WriteString(c, out.first); err != nil {
			return
		}
		if out.then == "" {
			if t, ok := c.(*net.TCPConn); ok && out.reset {
				_ = t.SetLinger(0)
			}
			return
		}
		time.Sleep(time.Millisecond)
		if _, err := io.WriteString(c, out.then); err != nil {
			return
		}
	}
}

// exchange sends a request with an id and returns the status, the body and the error of
// its reply.
func exchange(client *backend.Client, address, method, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	rep, err := client.Send(ctx, core.BackendServer{ID: "a", Address: address},
		backend.Request{ID: id, Method: method, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}})
	if err != nil {
		return 0, "", fmt.Errorf("send: %w", err)
	}
	defer rep.Close()
	body, err := io.ReadAll(rep.Body)
	if err == nil {
		rep.MarkBodyRead()
	}
	return rep.Status, string(body), err
}

// Guards against a reply whose server stops at any byte of the head, of the chunk sizes or
// of the trailers and that is taken for a whole one, and against its connection in use again.
func TestReplyCutAtAnyByte(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	cases := []struct{ name, method, reply string }{
		{"length", http.MethodGet, ok + "Content-Length: 12\r\n\r\nhello, world"},
		{"length in the middle", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: 1\r\n\r\nhello, world"},
		{"no body", http.MethodGet, ok + "Content-Length: 0\r\n\r\n"},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"},
		{"to HEAD", http.MethodHead, ok + "Content-Length: 12\r\n\r\n"},
		{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"bare line ends", http.MethodGet, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 2\n\nok"},
		{"chunks", http.MethodGet, ok + "Transfer-Encoding: chunked\r\n\r\n0012\r\nhello, whole world\r\n3;a=b\r\nabc\r\n0\r\n\r\n"},
		{"trailers", http.MethodGet, ok + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n"},
		{"neither", http.MethodGet, ok + "\r\n"},
		{"neither, HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n"},
		{"after 100", http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok"},
		{"after 103", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok"},
		{"after another reply", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nno" + ok + "Content-Length: 2\r\n\r\nok"},
	}
	current := &atomic.Pointer[cutReply]{}
	address := cuttingServer(t, current)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient()
			defer client.Close()
			for _, reset := range []bool{false, true} {
				for n := range len(c.reply) {
					current.Store(&cutReply{first: c.reply[:n], reset: reset})
					if status, body, err := exchange(client, address, c.method, "1"); err == nil || errors.Is(err, backend.ErrUnverifiedEnd) {
						t.Errorf("cut to %q, reset %t: got %d %q (%v), want an error", c.reply[:n], reset, status, body, err)
					}
					if _, body, err := exchange(client, address, http.MethodGet, "2"); err != nil || body != "2" {
						t.Fatalf("request after the cut to %q: got %q (%v), want its own reply", c.reply[:n], body, err)
					}
				}
			}
			current.Store(&cutReply{first: c.reply})
			if status, _, err := exchange(client, address, c.method, "1"); status/100 != 2 || err != nil && !errors.Is(err, backend.ErrUnverifiedEnd) {
				t.Errorf("whole reply: got %d (%v), want it accepted", status, err)
			}
		})
	}
}

// Guards against a head that a server breaks off and that is merged with a further reply
// on the same connection: the caller got the status of the one with the body of the other.
func TestReplyAfterACutHead(t *testing.T) {
	const (
		first  = "HTTP/1.1 200 OK\r\nX-Note: some text\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"
		failed = "HTTP/1.1 500 Internal Server Error\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nerror"
	)
	current := &atomic.Pointer[cutReply]{}
	address := cuttingServer(t, current)
	client := newClient()
	defer client.Close()
	head := strings.Index(first, "\r\n\r\n") + 4
	for n := 1; n < head; n++ {
		for _, then := range []struct {
			reply, body string
			status      int
		}{
			{first[n:], "hello", 200}, {failed, "error", 500}, {strings.Replace(failed, " Internal Server Error", "", 1), "error", 500},
			{strings.Replace(failed, "HTTP/1.1", "HTTP/1.0", 1), "error", 500},
		} {
			current.Store(&cutReply{first: first[:n], then: then.reply})
			status, body, err := exchange(client, address, http.MethodGet, "1")
			if whole := then.reply == first[n:]; whole != (err == nil) || err == nil && (status != then.status || body != then.body) {
				t.Errorf("%q, then %q: got %d %q (%v), want success %t", first[:n], then.reply, status, body, err, whole)
			}
			if _, body, err := exchange(client, address, http.MethodGet, "2"); err != nil || body != "2" {
				t.Fatalf("request after %q and %q: got %q (%v), want its own reply", first[:n], then.reply, body, err)
			}
		}
	}
}
