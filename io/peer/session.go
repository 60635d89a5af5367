package peer

import (
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Session is one live connection to a peer.
type Session struct {
	// Hello is the Hello frame of the peer.
	Hello   *peerpb.Hello
	node    *Node
	mux     *yamux.Session
	control *Stream
	queue   chan *peerpb.Frame
	alive   keepAlive
}

func newSession(n *Node, mux *yamux.Session, control *Stream, alive keepAlive) *Session {
	alive.interval = keepAliveInterval(n.cfg.Self.GetRole(), control.peer.GetRole(), alive.dialed)
	return &Session{
		Hello:   control.peer,
		node:    n,
		mux:     mux,
		control: control,
		queue:   make(chan *peerpb.Frame, controlQueueLen),
		alive:   alive,
	}
}

// Close ends the session and all its streams.
func (s *Session) Close() { s.mux.Close() }

// CloseFailed logs that a control frame of the peer could not be handled and ends the
// session.
func (s *Session) CloseFailed(f *peerpb.Frame, err error) {
	s.node.cfg.Log.Error("handling a frame of a peer failed; closing the session", zap.String("peer", s.Hello.GetId()),
		zap.String("peer_role", s.Hello.GetRole()), zap.String("frame", fmt.Sprintf("%T", f.GetBody())), zap.Error(err))
	s.Close()
}

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// SendControl queues a control frame without blocking. If the queue is full, it
// closes the session, since the peer does not keep up.
func (s *Session) SendControl(f *peerpb.Frame) {
	select {
	case s.queue <- f:
	default:
		s.node.cfg.Log.Warn("control queue is full, closing session", zap.String("peer", s.Hello.Id))
		s.Close()
	}
}

// Open opens a stream on this session.
func (s *Session) Open(kind peerpb.StreamKind, requestID string) (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("open stream to peer %q: %w", s.Hello.Id, core.ErrUnavailable)
	}
	st := newStream(conn, s.Hello)
	st.open = &peerpb.Open{Kind: kind, RequestId: requestID}
	if err := st.Send(&peerpb.Frame{Body: &peerpb.Frame_Open{Open: st.open}}); err != nil {
		conn.Close()
		return nil, fmt.Errorf("open stream to peer %q: %w", s.Hello.Id, err)
	}
	return st, nil
}

// run serves the session until it ends.
func (s *Session) run() {
	var wg conc.WaitGroup
	wg.Go(s.writeControl)
	wg.Go(s.readControl)
	wg.Go(func() { s.alive.run(s.mux) })
	for {
		conn, err := s.mux.Accept()
		if err != nil {
			break
		}
		wg.Go(func() { s.serveStream(conn) })
	}
	s.mux.Close()
	wg.Wait()
}

func (s *Session) writeControl() {
	for {
		select {
		case f := <-s.queue:
			if err := s.control.Send(f); err != nil {
				s.mux.Close()
				return
			}
		case <-s.mux.CloseChan():
			return
		}
	}
}

func (s *Session) readControl() {
	defer s.mux.Close()
	for {
		f, err := s.control.Receive()
		if err != nil {
			return
		}
		if s.node.cfg.OnControl != nil {
			s.node.cfg.OnControl(s, f)
		}
	}
}

// serveStream reads the Open frame and calls the handler for its kind.
func (s *Session) serveStream(conn net.Conn) {
	defer conn.Close()
	st := newStream(conn, s.Hello)
	if err := st.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	f, err := st.Receive()
	if err != nil {
		return
	}
	st.open = f.GetOpen()
	h := s.node.cfg.Handlers[st.open.GetKind()]
	if h == nil {
		s.node.cfg.Log.Warn("peer opened a stream of an unknown kind",
			zap.String("peer", s.Hello.Id), zap.Stringer("kind", st.open.GetKind()))
		return
	}
	if err := st.SetDeadline(time.Time{}); err != nil {
		return
	}
	if err := task.Catch(func() { h(s.node.ctx, st) }); err != nil {
		s.node.cfg.Log.Error("handling a stream of a peer failed; closing it",
			zap.String("peer", s.Hello.Id), zap.Stringer("kind", st.open.GetKind()), zap.Error(err))
	}
}
