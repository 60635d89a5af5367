package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

const largeBodyBytes = 4 << 20

// Guards against requests whose sending takes the memory of their body once more.
func TestLargeBodyIsSentWithoutACopy(t *testing.T) {
	const sends = 8
	got := make(chan int64, sends)
	address := serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, req.Body)
			if err != nil {
				t.Errorf("read body: %v", err)
			}
			got <- n
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	})
	c := newClient()
	defer c.Close()
	body := make([]byte, largeBodyBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range sends {
		reply, err := c.Send(context.Background(), core.BackendServer{ID: "a", Address: address},
			backend.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body})
		if err != nil {
			t.Fatalf("send %d: %v", i, err)
		}
		if b, err := io.ReadAll(reply.Body); err != nil || string(b) != "ok" {
			t.Fatalf("reply %d: got %q (%v), want ok", i, b, err)
		}
		reply.MarkBodyRead()
		reply.Close()
		if n := <-got; n != largeBodyBytes {
			t.Errorf("body %d: got %d bytes, want %d", i, n, largeBodyBytes)
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > largeBodyBytes {
		t.Errorf("memory for %d sends: got %d bytes, want at most %d", sends, n, largeBodyBytes)
	}
}

// serveConns accepts connections until the end of the test, and handles each with serve.
func serveConns(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}
