// Package peer maintains the sessions between nutmegnotch processes: yamux over
// TCP, with length-delimited protobuf frames on each stream.
package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Timing and sizes of sessions.
const (
	dialTimeout = 2 * time.Second
	redialDelay = 200 * time.Millisecond
	// firstDialDelay is how long the peer with the higher address waits for the session
	// that the other one dials, and sessionCheckInterval how often a session is looked
	// for instead of being dialled.
	firstDialDelay       = 300 * time.Millisecond
	sessionCheckInterval = time.Second
	helloTimeout         = 2 * time.Second
	writeTimeout         = 3 * time.Second
	controlQueueLen      = 256
)

// Handler serves a stream that a peer opened. The stream is closed when the
// handler returns.
type Handler func(ctx context.Context, s *Stream)

// Config configures a Node. OnControl is called with every frame of the control
// streams except Hello; it must not block. OnSessionUp and OnSessionDown are
// called when a session has been established and when it has ended. The callbacks
// and Log may be nil.
type Config struct {
	Self *peerpb.Hello
	// OneSession makes KeepConnected leave out an address while the peer there has a
	// session that it dialled itself.
	OneSession    bool
	Handlers      map[peerpb.StreamKind]Handler
	OnControl     func(from *Session, f *peerpb.Frame)
	OnSessionUp   func(s *Session)
	OnSessionDown func(s *Session)
	Log           *zap.Logger
}

// Node owns all sessions of a process.
type Node struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	ops    chan func(*sessionTable)
	done   chan struct{}
	wg     *conc.WaitGroup
}

// sessionTable is the state that the node's task owns: the live sessions by peer
// id, oldest first, and the addresses that it keeps dialling.
type sessionTable struct {
	sessions map[string][]*Session
	// byAddress is the number of sessions by the address that the peer listens on.
	byAddress map[string]int
	dialing   map[string]context.CancelFunc
}

// New starts a node without sessions.
func New(cfg Config) *Node {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		ops:    make(chan func(*sessionTable)),
		done:   make(chan struct{}),
		wg:     conc.NewWaitGroup(),
	}
	go n.run()
	return n
}

// run is the task that owns the session table.
func (n *Node) run() {
	defer close(n.done)
	t := &sessionTable{sessions: map[string][]*Session{}, byAddress: map[string]int{}, dialing: map[string]context.CancelFunc{}}
	for {
		select {
		case op := <-n.ops:
			op(t)
		case <-n.ctx.Done():
			for _, list := range t.sessions {
				for _, s := range list {
					s.Close()
				}
			}
			return
		}
	}
}

// do runs op in the node's task. It returns false if the node has stopped.
func (n *Node) do(op func(*sessionTable)) bool {
	ran := make(chan struct{})
	select {
	case n.ops <- func(t *sessionTable) { op(t); close(ran) }:
		<-ran
		return true
	case <-n.done:
		return false
	}
}

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Stop closes all sessions and waits for their goroutines.
func (n *Node) Stop() {
	n.cancel()
	<-n.done
	n.wg.Wait()
}

// Serve accepts sessions until the listener or the node is closed.
func (n *Node) Serve(l net.Listener) error {
	stop := context.AfterFunc(n.ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if n.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer connection: %w", err)
		}
		n.wg.Go(func() { n.serveConn(conn, false) })
	}
}

// KeepConnected dials an address, and dials it again whenever dialling fails or
// the session ends, until StopDialing is called.
func (n *Node) KeepConnected(address string) {
	n.do(func(t *sessionTable) {
		if t.dialing[address] != nil {
			return
		}
		ctx, cancel := context.WithCancel(n.ctx)
		t.dialing[address] = cancel
		n.wg.Go(func() { n.dialLoop(ctx, address) })
	})
}

// StopDialing stops dialling an address. A live session stays until it ends.
func (n *Node) StopDialing(address string) {
	n.do(func(t *sessionTable) { t.stopDialing(address) })
}

func (t *sessionTable) stopDialing(address string) {
	if cancel := t.dialing[address]; cancel != nil {
		cancel()
		delete(t.dialing, address)
	}
}

// Disconnect stops dialling an address and closes the sessions with the peer there.
func (n *Node) Disconnect(address string) {
	n.do(func(t *sessionTable) {
		t.stopDialing(address)
		for _, list := range t.sessions {
			for _, s := range list {
				if s.Hello.GetAddress() == address {
					s.Close()
				}
			}
		}
	})
}

func (n *Node) dialLoop(ctx context.Context, address string) {
	d := net.Dialer{Timeout: dialTimeout}
	if n.cfg.OneSession && n.cfg.Self.GetAddress() > address {
		// If both ends dialled at once, there would be two sessions.
		wait(ctx, firstDialDelay)
	}
	for ctx.Err() == nil {
		if n.cfg.OneSession && n.hasSession(address) {
			wait(ctx, sessionCheckInterval)
			continue
		}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			n.serveConn(conn, true)
		} else {
			n.cfg.Log.Debug("dial peer failed", zap.String("address", address), zap.Error(err))
		}
		wait(ctx, redialDelay)
	}
}

// wait waits for a time or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// hasSession reports whether there is a session with the peer at an address.
func (n *Node) hasSession(address string) bool {
	found := false
	n.do(func(t *sessionTable) { found = t.byAddress[address] > 0 })
	return found
}

// serveConn runs one session until it ends.
func (n *Node) serveConn(conn net.Conn, dialed bool) {
	defer conn.Close()
	stop := context.AfterFunc(n.ctx, func() { conn.Close() })
	defer stop()
	s, err := n.handshake(conn, dialed)
	if err != nil {
		n.cfg.Log.Debug("peer handshake failed", zap.Stringer("remote", conn.RemoteAddr()), zap.Error(err))
		return
	}
	defer s.Close()
	if !n.do(func(t *sessionTable) { t.add(s) }) {
		return
	}
	if n.cfg.OnSessionUp != nil {
		n.cfg.OnSessionUp(s)
	}
	s.run()
	n.do(func(t *sessionTable) { t.remove(s) })
	if n.cfg.OnSessionDown != nil {
		n.cfg.OnSessionDown(s)
	}
}

func (t *sessionTable) add(s *Session) {
	t.sessions[s.Hello.Id] = append(t.sessions[s.Hello.Id], s)
	t.byAddress[s.Hello.GetAddress()]++
}

func (t *sessionTable) remove(s *Session) {
	if t.byAddress[s.Hello.GetAddress()]--; t.byAddress[s.Hello.GetAddress()] <= 0 {
		delete(t.byAddress, s.Hello.GetAddress())
	}
	list := t.sessions[s.Hello.Id]
	kept := make([]*Session, 0, len(list))
	for _, other := range list {
		if other != s {
			kept = append(kept, other)
		}
	}
	t.sessions[s.Hello.Id] = kept
	if len(kept) == 0 {
		delete(t.sessions, s.Hello.Id)
	}
}

func (n *Node) handshake(conn net.Conn, dialed bool) (*Session, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, fmt.Errorf("set handshake deadline: %w", err)
	}
	counted := newCoalescingConn(conn)
	mux, err := newMux(counted, dialed)
	if err != nil {
		return nil, err
	}
	control, err := n.openControl(mux, dialed)
	if err != nil {
		mux.Close()
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		mux.Close()
		return nil, fmt.Errorf("clear handshake deadline: %w", err)
	}
	return newSession(n, mux, control, keepAlive{conn: counted, dialed: dialed}), nil
}

func newMux(conn net.Conn, dialed bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = 4096
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamCloseTimeout = time.Minute
	cfg.LogOutput = io.Discard
	if dialed {
		mux, err := yamux.Client(conn, cfg)
		if err != nil {
			return nil, fmt.Errorf("start yamux client: %w", err)
		}
		return mux, nil
	}
	mux, err := yamux.Server(conn, cfg)
	if err != nil {
		return nil, fmt.Errorf("start yamux server: %w", err)
	}
	return mux, nil
}

// openControl opens or accepts the control stream and exchanges Hello frames.
func (n *Node) openControl(mux *yamux.Session, dialed bool) (*Stream, error) {
	var conn net.Conn
	var err error
	if dialed {
		conn, err = mux.Open()
	} else {
		conn, err = mux.Accept()
	}
	if err != nil {
		return nil, fmt.Errorf("open control stream: %w", err)
	}
	s := newStream(conn, nil)
	if err := s.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, fmt.Errorf("set hello deadline: %w", err)
	}
	if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_Hello{Hello: n.cfg.Self}}); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	f, err := s.Receive()
	if err != nil {
		return nil, fmt.Errorf("receive hello: %w", err)
	}
	if f.GetHello().GetId() == "" {
		return nil, fmt.Errorf("first control frame is not a hello: %w", core.ErrInvalid)
	}
	s.peer = f.GetHello()
	// The address of a host may be reassigned to a host of another deployment,
	// whose records must not be applied here.
	if got, want := s.peer.GetDeployment(), n.cfg.Self.GetDeployment(); got != want {
		return nil, fmt.Errorf("peer %q belongs to deployment %q, want %q: %w", s.peer.GetId(), got, want, core.ErrInvalid)
	}
	return s, s.SetDeadline(time.Time{})
}

// Sessions returns the newest live session with each peer.
func (n *Node) Sessions() []*Session {
	var all []*Session
	n.do(func(t *sessionTable) {
		for _, list := range t.sessions {
			all = append(all, list[len(list)-1])
		}
	})
	return all
}

// Session returns the newest live session with a peer, or nil.
func (n *Node) Session(id string) *Session {
	var s *Session
	n.do(func(t *sessionTable) {
		if list := t.sessions[id]; len(list) > 0 {
			s = list[len(list)-1]
		}
	})
	return s
}

// Open opens a stream to a peer. It returns ErrNotFound if there is no session;
// nothing was sent then.
func (n *Node) Open(id string, kind peerpb.StreamKind, requestID string) (*Stream, error) {
	s := n.Session(id)
	if s == nil {
		return nil, fmt.Errorf("open stream to peer %q: no session: %w", id, core.ErrNotFound)
	}
	return s.Open(kind, requestID)
}

// Broadcast queues a control frame for every peer with a role; an empty role means
// all peers.
func (n *Node) Broadcast(role string, f *peerpb.Frame) {
	for _, s := range n.Sessions() {
		if role == "" || s.Hello.Role == role {
			s.SendControl(f)
		}
	}
}
