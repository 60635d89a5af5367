package peer

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Layout of the header of a yamux frame: version, type, flags, stream and length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
	buffersPerFrame = 2
)

// coalescingConn writes the header of a yamux data frame together with its body,
// which yamux writes one right after the other from a single goroutine. Two
// writes would cost two system calls and two packets for each message.
type coalescingConn struct {
	net.Conn
	header [muxHeaderBytes]byte
	held   bool
	opened time.Time
	// received is when bytes last arrived, in nanoseconds since opened.
	received atomic.Int64
}

func newCoalescingConn(c net.Conn) *coalescingConn {
	return &coalescingConn{Conn: c, opened: time.Now()}
}

// Read reads from the connection and records when bytes arrived.
func (c *coalescingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// idle returns the time since bytes last arrived.
func (c *coalescingConn) idle() time.Duration {
	return time.Since(c.opened) - time.Duration(c.received.Load())
}

// Write buffers the header of a data frame and writes it with the body, which comes
// next.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if !c.held && len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0 {
		copy(c.header[:], b)
		c.held = true
		return len(b), nil
	}
	if !c.held {
		return c.Conn.Write(b)
	}
	c.held = false
	pieces := make(net.Buffers, 0, buffersPerFrame)
	pieces = append(pieces, c.header[:], b)
	n, err := pieces.WriteTo(c.Conn)
	if err != nil {
		return max(int(n)-muxHeaderBytes, 0), fmt.Errorf("write frame: %w", err)
	}
	return len(b), nil
}
