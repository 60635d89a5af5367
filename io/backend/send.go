package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegnotch/core"
)

// maxDirectBytes is the size up to which a request is written before its reply
// is read. A larger one is written beside, since a server may reply early.
const maxDirectBytes = 16 << 10

// Reply is the reply to one request. Close must be called.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed tells that the end of the body can be told from a broken
	// connection.
	Framed bool
	// Reused tells that the connection had carried another request before.
	Reused bool

	client   *Client
	conn     *conn
	resp     *http.Response
	stop     func() bool
	written  chan error
	ended    bool
	lingered bool
}

// Send sends a request and waits for the head of its reply. When ctx ends, the
// connection is closed, which cancels the request at the server. An error that
// is ErrNotSent proves that nothing ran; after any other error that is unknown.
func (c *Client) Send(ctx context.Context, server core.BackendServer, r Request) (*Reply, error) {
	k, err := c.connect(ctx, server, r.AtMostOnce)
	if err != nil {
		return nil, err
	}
	rep := &Reply{client: c, conn: k, Reused: k.reused}
	rep.stop = context.AfterFunc(ctx, k.reset)
	if err := rep.write(r); err != nil {
		rep.abandon()
		return nil, fmt.Errorf("send request to %s: %w", server.Address, err)
	}
	if err := rep.readHead(r); err != nil {
		rep.abandon()
		return nil, fmt.Errorf("read reply of %s: %w", server.Address, err)
	}
	return rep, nil
}

// write sends head and body, the latter beside when it is large.
func (rep *Reply) write(r Request) error {
	head := encodeHead(r)
	if len(head)+len(r.Body) <= maxDirectBytes {
		if _, err := rep.conn.Write(append(head, r.Body...)); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		return nil
	}
	rep.written = make(chan error, 1)
	go func() {
		_, err := rep.conn.Write(append(head, r.Body...))
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
	// Writes to a bytes.Buffer cannot fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads reply heads until the one that echoes the request's id. A late
// second reply to an earlier request may come first.
func (rep *Reply) readHead(r Request) error {
	for range maxForeign {
		// Reply.Close closes the connection under the body; closing the body would
		// first wait for its end.
		resp, err := http.ReadResponse(rep.conn.r, &http.Request{Method: r.Method}) //nolint:bodyclose
		if err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if rep.client.cfg.RequestID(resp.Header) == r.ID {
			rep.accept(resp)
			return nil
		}
		rep.lingered = true
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return fmt.Errorf("unframed reply to request %q: %w", rep.client.cfg.RequestID(resp.Header), ErrReplyMismatch)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipped)); err != nil {
			return fmt.Errorf("skip reply to another request: %w: %w", err, ErrReplyMismatch)
		}
	}
	return fmt.Errorf("more than %d replies to other requests: %w", maxForeign, ErrReplyMismatch)
}

func (rep *Reply) accept(resp *http.Response) {
	rep.resp = resp
	rep.Status, rep.Header, rep.Body = resp.StatusCode, resp.Header, resp.Body
	rep.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if d, ok := idleTimeout(resp.Header); ok {
		rep.conn.maxIdle = time.Duration(float64(d) * idleShare)
	}
}

// idleTimeout reads the time for which the server keeps an idle connection.
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

// MarkBodyRead notes that the body was read to its end, so that the connection may be
// used again.
func (rep *Reply) MarkBodyRead() { rep.ended = true }

// Close ends the reply. The connection is kept only when the whole exchange is
// over and nothing else came with it; else it is closed, which cancels the
// request at the server.
func (rep *Reply) Close() {
	if !rep.stop() || !rep.reusable() {
		rep.conn.reset()
		return
	}
	rep.client.put(rep.conn)
}

func (rep *Reply) reusable() bool {
	if !rep.ended || rep.lingered || !rep.Framed || rep.resp.Close || rep.conn.r.Buffered() > 0 {
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

func (rep *Reply) abandon() {
	rep.stop()
	rep.conn.reset()
}
