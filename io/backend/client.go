// Package backend sends requests to backend servers over HTTP/1.1. It is the
// one place where nutmegnotch does so for callers' requests: it never repeats a
// request, gives each reply to the request whose id it echoes, and tells
// whether a failed request can have been sent.
package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core"
)

// Errors of sends.
const (
	// ErrNotSent proves that no byte of the request reached a server.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrReplyMismatch reports bytes that are not the reply to the request.
	ErrReplyMismatch = errors.ConstError("reply belongs to another request")
)

// Times and sizes of connections.
const (
	dialTimeout = 700 * time.Millisecond
	// idleShare is the part of a server's stated idle timeout for which a
	// connection is kept; unstatedIdle holds when it states none.
	idleShare    = 0.6
	unstatedIdle = 2 * time.Second
	// onceIdle bounds the idle time of a connection that carries a request which
	// must not run twice, since a server may close it meanwhile.
	onceIdle = time.Second
	// sweepInterval is the time between two searches for expired connections.
	sweepInterval = time.Second
	readBuffer    = 4 << 10
	// maxForeign bounds the replies to other requests that are skipped.
	maxForeign = 4
	// maxSkipped bounds the body of a skipped reply.
	maxSkipped = 1 << 20
)

// Request is one request as it goes over the wire.
type Request struct {
	ID     string
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool
}

// Config is what a Client needs. RequestID reads the id that a reply echoes.
type Config struct {
	RequestID func(http.Header) string
	// MaxIdle bounds the idle connections to one server.
	MaxIdle int
}

// Client keeps connections to backend servers. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	idle  map[string][]*conn
	swept time.Time
}

// New returns a client without connections.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, idle: map[string][]*conn{}}
}

// conn is one connection to a server; address includes the server's id, so that
// a connection is never used for another server at the same address.
type conn struct {
	net.Conn
	r       *bufio.Reader
	key     string
	since   time.Time
	maxIdle time.Duration
	reused  bool
}

// reset closes a connection and drops what is still on its way, so that a
// request that was given up does not reach a server that was out of reach.
func (k *conn) reset() {
	if t, ok := k.Conn.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = t.SetLinger(0)
	}
	k.Close()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			k.Close()
		}
	}
	c.idle = map[string][]*conn{}
}

// take returns an idle connection that is still open, or nil.
func (c *Client) take(key string, once bool) *conn {
	for {
		k := c.pop(key)
		if k == nil {
			return nil
		}
		idle := time.Since(k.since)
		if idle < k.maxIdle && (!once || idle < onceIdle) && quiet(k) {
			k.reused = true
			return k
		}
		k.Close()
	}
}

func (c *Client) pop(key string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	return k
}

// put keeps a connection for another request.
func (c *Client) put(k *conn) {
	now := time.Now()
	k.since = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.swept) > sweepInterval {
		c.swept = now
		c.sweep(now)
	}
	if len(c.idle[k.key]) >= c.cfg.MaxIdle {
		k.Close()
		return
	}
	c.idle[k.key] = append(c.idle[k.key], k)
}

// sweep closes connections that have been idle for too long.
func (c *Client) sweep(now time.Time) {
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.since) < k.maxIdle {
				kept = append(kept, k)
			} else {
				k.Close()
			}
		}
		c.idle[key] = kept
		if len(kept) == 0 {
			delete(c.idle, key)
		}
	}
}

// connect returns a connection to a server.
func (c *Client) connect(ctx context.Context, server core.BackendServer, once bool) (*conn, error) {
	key := server.Address + " " + server.ID
	if k := c.take(key, once); k != nil {
		return k, nil
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", server.Address, err, ErrNotSent)
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), key: key, maxIdle: unstatedIdle}, nil
}
