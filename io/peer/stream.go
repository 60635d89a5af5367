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

// MaxFrameBytes is the maximum size of a received frame. Receive fails for a
// larger one.
const MaxFrameBytes = 1 << 20

// maxReusedBufferBytes is the largest send buffer that a stream keeps for reuse. It
// bounds the memory of idle streams.
const maxReusedBufferBytes = 1 << 10

// Stream sends and receives frames on one yamux stream. One goroutine may call
// Send while another calls Receive.
type Stream struct {
	conn net.Conn
	r    *bufio.Reader
	peer *peerpb.Hello
	open *peerpb.Open
	// sendBuf is the buffer that Send reuses while it is small.
	sendBuf []byte
}

func newStream(conn net.Conn, hello *peerpb.Hello) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn), peer: hello}
}

// Peer returns the Hello frame of the process at the other end.
func (s *Stream) Peer() *peerpb.Hello { return s.peer }

// OpenFrame returns the frame that opened the stream.
func (s *Stream) OpenFrame() *peerpb.Open { return s.open }

// Send writes one frame.
func (s *Stream) Send(f *peerpb.Frame) error {
	out := protowire.AppendVarint(s.sendBuf[:0], uint64(proto.Size(f)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	s.sendBuf = out
	if cap(out) > maxReusedBufferBytes {
		s.sendBuf = nil
	}
	// One write makes one yamux frame. protodelim.MarshalTo would write the length
	// and the message separately, which makes two.
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

// SetDeadline sets the deadline of all pending and later sends and receives. The
// zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// CheckSession pings the peer and closes the session of the stream if no answer
// arrives within writeTimeout. It blocks until then.
func (s *Stream) CheckSession() {
	if m, ok := s.conn.(*yamux.Stream); ok {
		if _, err := m.Session().Ping(); err != nil {
			m.Session().Close()
		}
	}
}

// Close closes the sending direction; the peer's Receive then returns io.EOF.
// Receive still works until the peer closes its direction too.
func (s *Stream) Close() error { return s.conn.Close() }
