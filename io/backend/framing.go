package backend

import (
	"io"
	"net/http"
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

// closeDelimitedBody is a body with FramingConnection. At its end it returns
// ErrUnverifiedEnd instead of io.EOF.
type closeDelimitedBody struct{ io.Reader }

func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = ErrUnverifiedEnd
	}
	return n, err
}
