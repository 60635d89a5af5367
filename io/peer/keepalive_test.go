package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against sessions that both ends check at the same interval.
func TestKeepAliveIntervals(t *testing.T) {
	for _, c := range []struct {
		own, other string
		dialed     bool
		want       time.Duration
	}{
		{core.RoleEntry, core.RoleEntry, false, time.Second},
		{core.RoleEntry, core.RoleAgent, true, time.Second},
		{core.RoleAgent, core.RoleEntry, false, 5 * time.Second},
		{core.RoleGateway, core.RoleGateway, true, time.Second},
		{core.RoleGateway, core.RoleGateway, false, 2 * time.Second},
		{core.RoleRankAgent, core.RoleGateway, true, 4 * time.Second},
		{core.RoleGateway, core.RoleRankAgent, false, 8 * time.Second},
		{core.RoleRankAgent, core.RoleRankAgent, false, time.Second},
	} {
		if got := keepAliveInterval(c.own, c.other, c.dialed); got != c.want {
			t.Errorf("%s with %s, dialled %t: got %v, want %v", c.own, c.other, c.dialed, got, c.want)
		}
	}
}

// silentProxy passes bytes on between two ends until it is silenced.
type silentProxy struct {
	l      net.Listener
	silent atomic.Bool
	// passed counts the bytes that were passed on.
	passed atomic.Int64
}

func newSilentProxy(t *testing.T, to string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{l: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go p.pass(in, out)
			go p.pass(out, in)
		}
	}()
	return p
}

func (p *silentProxy) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if p.silent.Load() {
			continue
		}
		p.passed.Add(int64(n))
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// testNode is a node of a test with the ends of its sessions.
type testNode struct {
	*Node
	address  string
	up, down chan *Session
}

func startNode(t *testing.T, id, role string, l net.Listener) *testNode {
	t.Helper()
	n := &testNode{address: l.Addr().String(), up: make(chan *Session, 16), down: make(chan *Session, 16)}
	n.Node = New(Config{
		Self: &peerpb.Hello{Id: id, Role: role, Address: n.address}, OneSession: true,
		OnSessionUp: func(s *Session) { n.up <- s }, OnSessionDown: func(s *Session) { n.down <- s },
	})
	served := make(chan struct{})
	go func() { defer close(served); _ = n.Serve(l) }()
	t.Cleanup(func() { n.Stop(); <-served })
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func receive(t *testing.T, what string, ch <-chan *Session, limit time.Duration) *Session {
	t.Helper()
	select {
	case s := <-ch:
		return s
	case <-time.After(limit):
		t.Fatalf("%s: not within %v", what, limit)
		return nil
	}
}

// Guards against sessions that stay for good after the network has gone silent, at either
// end, and against checks of sessions that carry messages.
func TestSilentSessionEnds(t *testing.T) {
	t.Parallel()
	a, b := startNode(t, "a", core.RoleGateway, listen(t)), startNode(t, "b", core.RoleGateway, listen(t))
	p := newSilentProxy(t, b.address)
	a.KeepConnected(p.l.Addr().String())
	s := receive(t, "session", a.up, 5*time.Second)
	receive(t, "session of the other end", b.up, 5*time.Second)
	back := b.Session("a")
	// 25 frames of some 20 bytes each way in 2.5 s; a ping and its answer have 24.
	for range 25 {
		for _, end := range []*Session{s, back} {
			end.SendControl(&peerpb.Frame{Body: &peerpb.Frame_LeaderBeat{LeaderBeat: &peerpb.LeaderBeat{Group: "g"}}})
		}
		time.Sleep(100 * time.Millisecond)
	}
	const frameBytes, handshakeBytes = muxHeaderBytes + 9, 400
	if got := p.passed.Load(); got > 2*25*frameBytes+handshakeBytes {
		t.Errorf("bytes of a session with messages: got %d, want at most %d", got, 2*25*frameBytes+handshakeBytes)
	}
	p.silent.Store(true)
	limit := acceptedFactor*minKeepAlive + writeTimeout + 2*time.Second
	receive(t, "end of the silent session", a.down, limit)
	receive(t, "end of the silent session at the other end", b.down, limit)
}

// Guards against two sessions for each pair of gateways that dial each other, and
// against pairs that stay without a session after it has ended.
func TestOneSessionForEachPair(t *testing.T) {
	t.Parallel()
	a, b := startNode(t, "a", core.RoleGateway, listen(t)), startNode(t, "b", core.RoleGateway, listen(t))
	a.KeepConnected(b.address)
	b.KeepConnected(a.address)
	s := receive(t, "session", a.up, 5*time.Second)
	receive(t, "session of the other end", b.up, 5*time.Second)
	select {
	case <-a.up:
		t.Error("second session of the pair: got one, want none")
	case <-time.After(firstDialDelay + sessionCheckInterval):
	}
	s.Close()
	receive(t, "session after the first has ended", a.up, 5*time.Second)
	a.Disconnect(b.address)
	b.Disconnect(a.address)
	receive(t, "end of the first session", a.down, time.Second)
	receive(t, "end after a disconnect", a.down, time.Second)
	select {
	case s := <-a.up:
		t.Errorf("session after a disconnect: got one with %s, want none", s.Hello.GetId())
	case <-time.After(2 * redialDelay):
	}
}
