package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// Framing is how the end of a reply's body is marked.
type Framing int

const (
	// FramingLength means that the body has a length, or that there is none.
	FramingLength Framing = iota
	// FramingChunked means that the body ends with a last chunk.
	FramingChunked
	// FramingConnection means that the body ends with its connection, so that its end
	// looks like that of a broken connection.
	FramingConnection
)

// String returns the name of f in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	}
	return "connection"
}

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramingLength
	}
	return FramingConnection
}

// closeDelimitedBody is the body of a reply with FramingConnection. At its end it returns
// ErrUnverifiedEnd instead of io.EOF, or another error if the connection was reset.
type closeDelimitedBody struct {
	io.Reader
	reply *Reply
	// end is the result once the body has ended.
	end error
}

func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.end = b.reply.connectionEnd()
		err = b.end
	}
	return n, err
}

// connectionEnd returns how a connection has ended whose read end has been seen. A reset is
// reported once, to the read or to the concurrent write of the request, after which a read
// returns io.EOF.
func (rep *Reply) connectionEnd() error {
	if rep.written == nil {
		return ErrUnverifiedEnd
	}
	// This ends a write that still waits. On an error the connection is closed, which ends
	// it too.
	_ = rep.conn.SetWriteDeadline(time.Unix(1, 0))
	if err := <-rep.written; errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("connection broke while the request was written: %w", err)
	}
	return ErrUnverifiedEnd
}
