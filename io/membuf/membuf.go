// Package membuf reads bodies into memory that is reserved before it is filled, so that
// those of all requests together stay within a limit.
package membuf

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// firstChunkBytes is the memory that is reserved first for a body of unknown length.
const firstChunkBytes = 16 << 10

// ErrNoMemory ends the reading of a body for which no memory is left.
const ErrNoMemory = errors.ConstError("no memory for the body")

// Budget limits the memory of all buffers that share it. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves memory and reports whether there was enough. It must be released.
func (b *Budget) Reserve(n int64) bool {
	for {
		held := b.held.Load()
		if held+n > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Release returns reserved memory.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns the memory that is reserved.
func (b *Budget) Held() int64 { return b.held.Load() }

// Buffer is a body whose memory is reserved before it is read. Free must be called.
type Buffer struct {
	// Data is what has been read.
	Data     []byte
	budget   *Budget
	reserved int64
}

// NewBuffer returns an empty buffer. Its first free bytes are not taken from the budget.
func NewBuffer(budget *Budget, free int) Buffer {
	b := Buffer{budget: budget}
	if free > 0 {
		b.Data = make([]byte, 0, free)
	}
	return b
}

// Read reads a body of the given length, or of at most maxBytes if length is negative, into
// one buffer.
func (b *Buffer) Read(r io.Reader, length, maxBytes int64) error {
	if length < 0 {
		return b.readUnknown(r, maxBytes)
	}
	if err := b.Grow(length); err != nil {
		return err
	}
	b.Data = b.Data[:length]
	if _, err := io.ReadFull(r, b.Data); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

func (b *Buffer) readUnknown(r io.Reader, maxBytes int64) error {
	// One byte more shows that a body exceeds maxBytes.
	most := maxBytes + 1
	for {
		if len(b.Data) == cap(b.Data) {
			if err := b.Grow(min(most, max(firstChunkBytes, 2*int64(cap(b.Data))))); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
}

// Grow moves the data to a larger buffer. While it is copied, both are reserved.
func (b *Buffer) Grow(size int64) error {
	if !b.budget.Reserve(size) {
		return ErrNoMemory
	}
	before := b.reserved
	b.reserved += size
	b.Data = append(make([]byte, 0, size), b.Data...)
	b.budget.Release(before)
	b.reserved -= before
	return nil
}

// Free drops the data and returns its memory.
func (b *Buffer) Free() {
	b.Data = nil
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
		b.reserved = 0
	}
}
