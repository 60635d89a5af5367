package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

// Guards against the end of a connection that is taken for the end of a reply.
func TestEndOfReply(t *testing.T) {
	cases := []struct {
		name, method, reply string
		framing             backend.Framing
		body                string
		want                error
	}{
		{"length", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", backend.FramingLength, "ok", nil},
		{"short", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nok", backend.FramingLength, "ok", io.ErrUnexpectedEOF},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", backend.FramingChunked, "ok", nil},
		{"no last chunk", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", backend.FramingChunked, "ok", io.ErrUnexpectedEOF},
		{"neither", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", backend.FramingConnection, "ok", backend.ErrUnverifiedEnd},
		{"neither, empty", http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", backend.FramingConnection, "", backend.ErrUnverifiedEnd},
		{"HTTP/1.0", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nok", backend.FramingConnection, "ok", backend.ErrUnverifiedEnd},
		{"HTTP/1.0 with length", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", backend.FramingLength, "ok", nil},
		{"no body", http.MethodHead, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", backend.FramingLength, "", nil},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", backend.FramingLength, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatalf("listen: %v", err)
			}
			defer l.Close()
			go replyOnce(l, c.reply)
			client := newClient()
			defer client.Close()
			reply, err := client.Send(context.Background(), core.BackendServer{ID: "a", Address: l.Addr().String()},
				backend.Request{ID: "1", Method: c.method, Target: "/", Host: "h"})
			if err != nil {
				t.Fatalf("send: %v", err)
			}
			defer reply.Close()
			body, err := io.ReadAll(reply.Body)
			if reply.Framing != c.framing || string(body) != c.body || !errors.Is(err, c.want) {
				t.Errorf("reply: got %v, %q and error %v, want %v, %q and %v", reply.Framing, body, err, c.framing, c.body, c.want)
			}
		})
	}
}

// replyOnce reads the head of one request, writes reply and closes the connection.
func replyOnce(l net.Listener, reply string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, reply)
}

// Guards against a reply that a server breaks off by a reset while a large request is
// written, and that seems to have ended: the write takes the error of the connection, and
// the read sees the end of the reply.
func TestResetWhileARequestIsWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhal")
				time.Sleep(5 * time.Millisecond)
				// Without unread bytes of the request, a close alone would not reset.
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	client := newClient()
	defer client.Close()
	body := bytes.Repeat([]byte("x"), 8<<20)
	for i := range 20 {
		rep, err := client.Send(context.Background(), core.BackendServer{ID: "a", Address: l.Addr().String()},
			backend.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Body: body})
		if err != nil {
			continue
		}
		if got, err := io.ReadAll(rep.Body); errors.Is(err, backend.ErrUnverifiedEnd) {
			t.Errorf("request %d: got %q, ended with its connection, want it broken off", i, got)
		}
		rep.Close()
	}
}
