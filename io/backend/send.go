package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegnotch/core"
)

// maxSyncWriteBytes is the size up to which a request is written before the reply is
// read. A larger request is written concurrently, since a server may reply before
// it has read the whole request.
const maxSyncWriteBytes = 16 << 10

// Reply is the reply to a request. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	// Body returns ErrUnverifiedEnd instead of io.EOF at the end of a body with
	// FramingConnection.
	Body    io.Reader
	Framing Framing

	client *Client
	conn   *conn
	resp   *http.Response
	// stopCancel stops the reset of the connection when the context ends.
	stopCancel func() bool
	// written receives the result of a concurrent write; otherwise it is nil.
	written      chan error
	bodyRead     bool
	skippedReply bool
}

// Send sends a request and waits for the head of the reply. When ctx ends, also
// while the body is read, the connection is reset, which cancels the request at
// the server. If the error is ErrNotSent, the request has not run; after any other
// error the outcome is unknown.
func (c *Client) Send(ctx context.Context, server core.BackendServer, r Request) (*Reply, error) {
	k, err := c.connect(ctx, server, r.AtMostOnce)
	if err != nil {
		return nil, err
	}
	rep := &Reply{client: c, conn: k}
	rep.stopCancel = context.AfterFunc(ctx, k.reset)
	if err := rep.write(r); err != nil {
		rep.discard()
		return nil, fmt.Errorf("send request to %s: %w", server.Address, err)
	}
	if err := rep.readHead(r); err != nil {
		rep.discard()
		return nil, fmt.Errorf("read reply of %s: %w", server.Address, err)
	}
	return rep, nil
}

// write sends the request. A large request is written by a goroutine.
func (rep *Reply) write(r Request) error {
	head := encodeHead(r)
	if len(head)+len(r.Body) <= maxSyncWriteBytes {
		if _, err := rep.conn.Write(append(head, r.Body...)); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		return nil
	}
	rep.written = make(chan error, 1)
	go func() {
		// One write of both, without a copy of the body.
		_, err := (&net.Buffers{head, r.Body}).WriteTo(rep.conn.Conn)
		rep.written <- err
	}()
	return nil
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer cannot fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads reply heads up to the one that echoes the id of the request. It
// skips replies to earlier requests: a server may send a second reply to a request
// late.
func (rep *Reply) readHead(r Request) error {
	for range maxReplyHeads {
		// Reply.Close closes the connection instead of the body, since closing the
		// body would first read it to its end.
		rep.conn.limiter.beginHead()
		resp, err := http.ReadResponse(rep.conn.r, &http.Request{Method: r.Method}) //nolint:bodyclose
		rep.conn.limiter.end()
		if err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if err := core.CheckReplyHead(resp.Status, resp.Header); err != nil {
			return fmt.Errorf("check head: %w", err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if rep.client.cfg.RequestID(resp.Header) == r.ID {
			rep.accept(resp)
			return nil
		}
		rep.skippedReply = true
		if framingOf(resp) == FramingConnection {
			return fmt.Errorf("unframed reply to request %q: %w", rep.client.cfg.RequestID(resp.Header), ErrReplyMismatch)
		}
		rep.conn.limiter.begin(maxSkippedBodyBytes)
		_, err = io.Copy(io.Discard, resp.Body)
		rep.conn.limiter.end()
		if err != nil {
			return fmt.Errorf("skip reply to another request: %w: %w", err, ErrReplyMismatch)
		}
	}
	return fmt.Errorf("more than %d replies to other requests: %w", maxReplyHeads, ErrReplyMismatch)
}

func (rep *Reply) accept(resp *http.Response) {
	rep.resp = resp
	rep.Status, rep.Header, rep.Body = resp.StatusCode, resp.Header, resp.Body
	rep.Framing = framingOf(resp)
	if rep.Framing == FramingConnection {
		rep.Body = closeDelimitedBody{resp.Body}
	}
	if d, ok := idleTimeout(resp.Header); ok {
		rep.conn.maxIdleTime = time.Duration(float64(d) * idleTimeoutFactor)
	}
}

// idleTimeout returns the idle timeout that a server announces in the Keep-Alive
// header.
func idleTimeout(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// MarkBodyRead records that the body was read to its end. Without it, Close does not
// keep the connection for reuse.
func (rep *Reply) MarkBodyRead() { rep.bodyRead = true }

// Close releases the connection. It is kept for reuse only if the request was
// written, the body was read to its end and nothing else was received. Otherwise it
// is reset, which cancels the request at the server.
func (rep *Reply) Close() {
	rep.conn.limiter.free()
	if !rep.stopCancel() || !rep.reusable() {
		rep.conn.reset()
		return
	}
	rep.client.putIdle(rep.conn)
}

func (rep *Reply) reusable() bool {
	if !rep.bodyRead || rep.skippedReply || rep.Framing == FramingConnection || rep.resp.Close || rep.conn.r.Buffered() > 0 {
		return false
	}
	if rep.written == nil {
		return true
	}
	select {
	case err := <-rep.written:
		return err == nil
	default:
		return false
	}
}

func (rep *Reply) discard() {
	rep.conn.limiter.free()
	rep.stopCancel()
	rep.conn.reset()
}
