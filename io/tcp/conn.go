// Package tcp holds what clients of several protocols need of their connections.
package tcp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read tells a reset from the end of the stream, also while
// another goroutine writes. The kernel reports a reset once, to a read or to a write, and
// a read after that returns io.EOF. After io.EOF or a reset nothing more can be written.
type Conn struct {
	net.Conn
	// mu is held while writing, and guards wasReset.
	mu       sync.Mutex
	wasReset bool
}

// Wrap returns a Conn that uses c.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.wasReset = c.wasReset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.writeSawReset() {
		return n, fmt.Errorf("read after a write failed: %w", syscall.ECONNRESET)
	}
	return n, err
}

// writeSawReset ends a write that still waits, and reports whether one has failed by a
// reset.
func (c *Conn) writeSawReset() bool {
	// On an error the connection is closed, which ends the write too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasReset
}

// Reset closes the connection and discards unsent data.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		// On an error the connection is still closed, but not reset.
		_ = t.SetLinger(0)
	}
	c.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("connection of type %T: %w", c.Conn, errors.ErrUnsupported)
	}
	return s.SyscallConn()
}
