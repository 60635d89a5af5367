package backend

import "io"

// readLimiter bounds the bytes that are read while the head of a reply is expected, since
// http.ReadResponse reads a head of any size, and while a reply is skipped. It is not safe
// for concurrent use.
type readLimiter struct {
	r       io.Reader
	limited bool
	left    int
}

// begin limits the bytes read until end is called.
func (l *readLimiter) begin(limit int) { l.limited, l.left = true, limit }

func (l *readLimiter) end() { l.limited = false }

func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrReplyTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
