package systemtest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// direction is one direction of a proxied connection.
type direction int

const (
	toServer direction = iota
	toClient
)

// proxy forwards TCP connections to one address and injects faults. Faults
// apply to open connections and to new ones.
type proxy struct {
	listener net.Listener
	target   string

	refuse          atomic.Bool
	frozen          [2]atomic.Bool
	delay           [2]atomic.Int64
	split           atomic.Bool
	responsesToDrop atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
	done  chan struct{}
}

// newProxy starts a proxy on an IP address and stops it at the end of the test.
// The address must belong to the cluster alone: processes left over from an
// aborted test run keep dialling the ports of their former proxies, and would
// send their records to a cluster that reuses such a port.
func newProxy(t testing.TB, ip, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatalf("listen for proxy: %v", err)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
	p.wg.Add(1)
	go p.accept()
	t.Cleanup(p.stop)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut closes all connections and refuses new ones until heal is called.
func (p *proxy) cut() {
	p.refuse.Store(true)
	p.closeAll()
}

// closeAll closes the open connections; new ones are accepted.
func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// freeze stops forwarding in one direction and keeps the connections open.
func (p *proxy) freeze(d direction) { p.frozen[d].Store(true) }

// setDelay delays every chunk in one direction.
func (p *proxy) setDelay(d direction, by time.Duration) { p.delay[d].Store(int64(by)) }

// splitWrites forwards every chunk in two writes, the first of one byte.
func (p *proxy) splitWrites() { p.split.Store(true) }

// dropResponses closes a connection instead of forwarding bytes to the client,
// for the next n chunks. The request has reached the server by then.
func (p *proxy) dropResponses(n int) { p.responsesToDrop.Store(int32(n)) }

// heal clears all faults.
func (p *proxy) heal() {
	p.refuse.Store(false)
	p.split.Store(false)
	p.responsesToDrop.Store(0)
	for d := range p.frozen {
		p.frozen[d].Store(false)
		p.delay[d].Store(0)
	}
}

func (p *proxy) stop() {
	close(p.done)
	p.listener.Close()
	p.closeAll()
	p.wg.Wait()
}

func (p *proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			c.Close()
			continue
		}
		p.wg.Add(1)
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer p.wg.Done()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p.track(client, server)
	defer p.untrack(client, server)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(server, client, toServer) }()
	go func() { defer wg.Done(); p.copy(client, server, toClient) }()
	wg.Wait()
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}

// copy forwards one direction until either side closes the connection.
func (p *proxy) copy(dst, src net.Conn, d direction) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.forward(dst, buf[:n], d) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes one chunk under the current faults. It reports whether the
// connection stays open.
func (p *proxy) forward(dst net.Conn, b []byte, d direction) bool {
	if d == toClient && p.responsesToDrop.Load() > 0 && p.responsesToDrop.Add(-1) >= 0 {
		return false
	}
	for p.frozen[d].Load() {
		select {
		case <-p.done:
			return false
		case <-time.After(5 * time.Millisecond):
		}
	}
	time.Sleep(time.Duration(p.delay[d].Load()))
	if p.split.Load() && len(b) > 1 {
		if _, err := dst.Write(b[:1]); err != nil {
			return false
		}
		b = b[1:]
	}
	_, err := dst.Write(b)
	return err == nil
}
