package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// firstChunkBytes is the memory that is reserved first for a body of unknown length.
const firstChunkBytes = 16 << 10

// errNoBodyMemory ends the reading of a body for which no memory is left.
const errNoBodyMemory = errors.ConstError("no memory for the request body")

// bodyMemory limits the memory of all request bodies. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	held  atomic.Int64
}

func (m *bodyMemory) reserve(n int64) bool {
	for {
		held := m.held.Load()
		if held+n > m.limit {
			return false
		}
		if m.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// bodyBuffer is a body whose memory is reserved before it is read.
type bodyBuffer struct {
	memory   *bodyMemory
	data     []byte
	reserved int64
}

// read reads a body of the given length, or of at most maxBytes if length is negative, into
// one buffer.
func (b *bodyBuffer) read(r io.Reader, length, maxBytes int64) error {
	if length < 0 {
		return b.readUnknown(r, maxBytes)
	}
	if err := b.grow(length); err != nil {
		return err
	}
	b.data = b.data[:length]
	if _, err := io.ReadFull(r, b.data); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

func (b *bodyBuffer) readUnknown(r io.Reader, maxBytes int64) error {
	// One byte more shows that a body exceeds maxBytes.
	most := maxBytes + 1
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(min(most, max(firstChunkBytes, 2*int64(cap(b.data))))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// grow moves the data to a larger buffer. While it is copied, both are reserved.
func (b *bodyBuffer) grow(size int64) error {
	if !b.memory.reserve(size) {
		return errNoBodyMemory
	}
	before := b.reserved
	b.reserved += size
	b.data = append(make([]byte, 0, size), b.data...)
	b.memory.release(before)
	b.reserved -= before
	return nil
}

func (b *bodyBuffer) free() {
	b.data = nil
	b.memory.release(b.reserved)
	b.reserved = 0
}

// discardBody reads the rest of a body after its request was refused. To close the connection
// instead would reset it, and a caller that still sends could lose the refusal.
func (g *Gateway) discardBody(c *call) {
	rc := http.NewResponseController(c.w)
	if err := rc.Flush(); err != nil {
		g.log.Debug("flushing the refusal to the caller failed", zap.String("request_id", c.id()), zap.Error(err))
		return
	}
	// An error leaves an unread rest, with which net/http closes the connection.
	if _, err := io.CopyN(io.Discard, c.r.Body, c.discardBytes+1); !errors.Is(err, io.EOF) {
		g.log.Info("the body of a refused request is not read to its end", zap.String("request_id", c.id()), zap.Error(err))
		return
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.log.Warn("clear read deadline failed", zap.Error(err))
	}
}
