package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Bounds of a reply without end: the server may write at most endlessBytes, which is above
// what the kernel buffers, and the caller is served elsewhere within endlessTime.
const (
	endlessBytes = 16 << 20
	endlessTime  = time.Second
)

// serveEndless accepts connections and answers each request with head and then with piece
// until the client closes, with a pause after each 32 KiB. It returns its address and the
// number of bytes written.
func serveEndless(t *testing.T, head, piece string, pause time.Duration) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
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
	written := &atomic.Int64{}
	block := bytes.Repeat([]byte(piece), max(1, 32<<10/len(piece)))
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
			wg.Go(func() { writeEndless(c, head, block, pause, written) })
		}
	})
	return l.Addr().String(), written
}

func writeEndless(c net.Conn, head string, block []byte, pause time.Duration, written *atomic.Int64) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, strings.ReplaceAll(head, "ID", r.Header.Get("Nutmegnotch-Request-Id"))); err != nil {
		return
	}
	for {
		n, err := c.Write(block)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against a server whose bytes without end fill the gateway's memory and keep a
// caller that another server could serve.
func TestReplyWithoutEnd(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: ID\r\nNutmegnotch-Response-Seal: seal.bad\r\n"
	cases := []struct{ name, head, piece, path string }{
		{"status line", "HTTP/1.1 200 ", "x", "/lookup/1"},
		{"no line end", "", "\x00", "/lookup/1"},
		{"one header line", ok + "X-A: ", "x", "/lookup/1"},
		{"header lines", ok, "X-A: b\r\n", "/lookup/1"},
		{"interim replies", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "/lookup/1"},
		{"replies to other requests", "", "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: other\r\nContent-Length: 1\r\n\r\nx", "/lookup/1"},
		{"body of a reply to another request", "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "/lookup/1"},
		{"size of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n", "1", "/lookup/1"},
		{"extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x", "/lookup/1"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", "/lookup/1"},
		{"body without a signature", "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: ID\r\n\r\n", "x", "/lookup/1"},
		{"stream, header lines", ok, "X-A: b\r\n", "/draft/1"},
		{"one event", ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", "/draft/1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			service, cfg := "desk", runner.Config{ID: "good", Body: "found"}
			if strings.HasPrefix(c.path, "/draft/") {
				service, cfg.Events = "model", 3
			}
			d.addRunner(cfg, service)
			address, written := serveEndless(t, c.head, c.piece, 0)
			d.store.PutJSON("keyed.servers", "bad", map[string]any{"service": service, "addr": address, "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "born": 1, "seq": 1})
			p := d.startReady()
			met := false
			for range 20 {
				begun, before := time.Now(), written.Load()
				got := send(newRequest(p, http.MethodGet, c.path, "key-a", ""))
				if got.status != http.StatusOK || got.err != nil {
					t.Fatalf("request: got %d %q (%v), want it served by the other server", got.status, got.body, got.err)
				}
				if took := time.Since(begun); took > endlessTime {
					t.Fatalf("request: got the answer after %v, want it within %v", took, endlessTime)
				}
				if n := written.Load() - before; n > endlessBytes {
					t.Fatalf("bytes that the server wrote: got %s, want at most %s", mib(n), mib(endlessBytes))
				}
				met = met || written.Load() > 0
			}
			if !met {
				t.Error("no request has met the server without end")
			}
		})
	}
}

func mib(n int64) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }

// Guards against many replies without end at the same time that together fill the memory of
// a gateway, which ends all requests on its host.
func TestRepliesWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		requests = 200
		// usualBytes is what a request takes besides the memory for replies, with its caller in
		// this process.
		usualBytes = 128 << 10
		maxBytes   = replyMemoryBytes + requests*usualBytes
	)
	const ok = "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: ID\r\nNutmegnotch-Response-Seal: seal.bad\r\n"
	for _, c := range []struct{ name, head, piece, path string }{
		{"one header line", ok + "X-A: ", "x", "/lookup/1"},
		{"body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", "/lookup/1"},
		{"body that ends with its connection", ok + "\r\n", "x", "/lookup/1"},
		{"one event", ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x", "/draft/1"},
		{"second event", ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ", "x", "/draft/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			d.publish()
			service := "desk"
			if strings.HasPrefix(c.path, "/draft/") {
				service = "model"
			}
			address, _ := serveEndless(t, c.head, c.piece, 20*time.Millisecond)
			d.store.PutJSON("keyed.servers", "bad", map[string]any{"service": service, "addr": address, "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 2 * requests, "state": "ready", "born": 1, "seq": 1})
			p := d.startReady()
			before, most := liveHeap(), int64(0)
			var wg sync.WaitGroup
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			for range requests {
				wg.Go(func() {
					resp, err := http.DefaultClient.Do(newRequest(p, http.MethodGet, c.path, "key-a", "").WithContext(ctx))
					if err != nil {
						return
					}
					defer resp.Body.Close()
					<-ctx.Done()
				})
			}
			for ctx.Err() == nil {
				most = max(most, liveHeap())
			}
			wg.Wait()
			if got := most - before; got > maxBytes {
				t.Errorf("memory of %d replies: got %s, want at most %s", requests, mib(got), mib(maxBytes))
			} else {
				t.Logf("memory of %d replies: %s", requests, mib(got))
			}
		})
	}
}

// liveHeap returns the size of the objects that are in use.
func liveHeap() int64 {
	runtime.GC()
	m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(m)
	return int64(m[0].Value.Uint64())
}
