package backend

import (
	"io"

	"nutmegnotch/core"
	"nutmegnotch/io/membuf"
)

const (
	// unreservedHeadBytes is the size up to which the memory of a head is not reserved.
	unreservedHeadBytes = 8 << 10
	// headMemoryBytes is reserved for a larger head. Its parsed form takes as much as its
	// bytes.
	headMemoryBytes = 2 * core.MaxReplyHeadBytes
)

// readLimiter bounds the bytes that are read while the head of a reply is expected, since
// http.ReadResponse reads a head of any size, and while a reply is skipped. It is not safe
// for concurrent use.
type readLimiter struct {
	r       io.Reader
	limited bool
	left    int
	// memory is what large heads are reserved in, or nil. unreserved is how many bytes may
	// be read before that, and reserved is set after it.
	memory     *membuf.Budget
	head       bool
	unreserved int
	reserved   bool
}

// begin limits the bytes read until end is called.
func (l *readLimiter) begin(limit int) { l.limited, l.left, l.head = true, limit, false }

// beginHead does the same for the head of a reply, whose memory is reserved until free.
func (l *readLimiter) beginHead() {
	l.begin(core.MaxReplyHeadBytes)
	l.head, l.unreserved = true, unreservedHeadBytes
}

func (l *readLimiter) end() { l.limited = false }

// free returns the reserved memory.
func (l *readLimiter) free() {
	if l.reserved {
		l.memory.Release(headMemoryBytes)
		l.reserved = false
	}
}

func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 || !l.reserve() {
		return 0, ErrReplyTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.unreserved -= n
	return n, err
}

// reserve reserves memory for a head of which many bytes were read. It reports whether more
// may be read.
func (l *readLimiter) reserve() bool {
	if !l.head || l.memory == nil || l.reserved || l.unreserved > 0 {
		return true
	}
	l.reserved = l.memory.Reserve(headMemoryBytes)
	return l.reserved
}
