package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

// FuzzReply guards against replies that end the process, and against bytes of one reply
// that the next caller on the connection gets.
func FuzzReply(f *testing.F) {
	for _, in := range [][]byte{
		[]byte(reply("first", "hello")),
		[]byte(reply("first", "hello") + reply("first", "hello")),
		[]byte(reply("other", "hello") + reply("first", "hello")),
		[]byte("HTTP/1.1 100 Continue\r\n\r\n" + reply("first", "hello")),
		[]byte("HTTP/1.1 103 Early Hints\r\nX-Id: first\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
		[]byte("HTTP/1.1 200 OK\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nhello"),
		[]byte("HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: -1\r\n\r\nhello"),
		[]byte("HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 99999999999999999999\r\n\r\nhello"),
		[]byte("HTTP/1.1 200 OK\r\nX-Id: first\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 0\r\n\r\n"),
		[]byte("HTTP/1.1 200 OK\r\nX-Id: first\r\n\r\nhello"),
		[]byte("HTTP/1.1 204 No Content\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nhello"),
	} {
		f.Add(in, true)
		f.Add(in, false)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatalf("listen: %v", err)
	}
	defer l.Close()
	var input atomic.Pointer[fuzzedReply]
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerFuzzed(c, &input)
		}
	}()
	f.Fuzz(func(t *testing.T, in []byte, keep bool) {
		input.Store(&fuzzedReply{in, keep})
		client := backend.New(backend.Config{MaxIdleConnsPerServer: 1, RequestID: func(h http.Header) string { return h.Get("X-Id") }})
		defer client.Close()
		exchange := func(id string) (string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			rep, err := client.Send(ctx, core.BackendServer{ID: "s", Address: l.Addr().String()},
				backend.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}})
			if err != nil {
				return "", fmt.Errorf("send: %w", err)
			}
			defer rep.Close()
			body, err := io.ReadAll(rep.Body)
			if err != nil {
				return "", fmt.Errorf("read: %w", err)
			}
			rep.MarkBodyRead()
			return string(body), nil
		}
		if got, err := exchange("first"); err == nil && len(got) > len(in) {
			t.Errorf("body of the first reply: got %d bytes of the %d that the server sent", len(got), len(in))
		}
		second := fmt.Sprintf("second-%d", time.Now().UnixNano())
		if got, err := exchange(second); err == nil && got != second {
			t.Errorf("second reply: got %q, want %q or an error", got, second)
		}
	})
}

// fuzzedReply is what a server sends. The connection is closed after it unless keep is set.
type fuzzedReply struct {
	bytes []byte
	keep  bool
}

// answerFuzzed answers a request with the id first with the input, and others with their id.
func answerFuzzed(c net.Conn, input *atomic.Pointer[fuzzedReply]) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		out := *input.Load()
		if id := req.Header.Get("X-Id"); id != "first" {
			out = fuzzedReply{[]byte(reply(id, id)), true}
		}
		if _, err := c.Write(out.bytes); err != nil || !out.keep {
			return
		}
	}
}
