package peer

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"nutmegnotch/io/peer/peerpb"
)

// MaxFrameBytes bounds one frame. A larger one ends its stream.
const MaxFrameBytes = 1 << 20

// maxKeptBytes bounds the buffer that an idle stream keeps.
const maxKeptBytes = 1 << 10

// Stream carries frames of one conversation. Send may be called by one
// goroutine and Receive by another.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	peer *peerpb.Hello
	open *peerpb.Open
	// out is the buffer of Send, kept while it is small.
	out []byte
}

func newStream(conn net.Conn, hello *peerpb.Hello) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn), peer: hello}
}

// Peer returns what the process at the other end said of itself.
func (s *Stream) Peer() *peerpb.Hello { return s.peer }

// OpenFrame returns the frame that opened the stream.
func (s *Stream) OpenFrame() *peerpb.Open { return s.open }

// Send writes one frame.
func (s *Stream) Send(f *peerpb.Frame) error {
	out := protowire.AppendVarint(s.out[:0], uint64(proto.Size(f)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	s.out = out
	if cap(out) > maxKeptBytes {
		s.out = nil
	}
	// One write makes one yamux frame; protodelim makes two of length and message.
	if _, err := s.conn.Write(out); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// Receive reads one frame of at most MaxFrameBytes.
func (s *Stream) Receive() (*peerpb.Frame, error) {
	f := &peerpb.Frame{}
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}).UnmarshalFrom(s.r, f); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	return f, nil
}

// SetDeadline bounds all later sends and receives. The zero time lifts the
// bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// CheckSession ends the session of the stream when the peer does not answer a
// ping within 3 s. It blocks until then.
func (s *Stream) CheckSession() {
	if m, ok := s.conn.(*yamux.Stream); ok {
		if _, err := m.Session().Ping(); err != nil {
			m.Session().Close()
		}
	}
}

// Close ends the sending direction; the peer's Receive then meets io.EOF.
// Receive still works until the peer closes too.
func (s *Stream) Close() error { return s.conn.Close() }
