package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
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
