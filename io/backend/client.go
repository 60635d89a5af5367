// Package backend is the HTTP/1.1 client that the gateway uses to forward callers'
// requests to backend servers. It never retries a request, matches replies to
// requests by the request id that a reply echoes, and distinguishes requests that
// were certainly not sent from those with an unknown outcome.
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
	"nutmegnotch/io/membuf"
	"nutmegnotch/io/tcp"
)

// Errors of Client.Send and of reading a reply.
const (
	// ErrNotSent means that no byte of the request was sent to a server.
	ErrNotSent = errors.ConstError("request was not sent")
	// ErrReplyMismatch means that the connection carried replies to other requests
	// and no reply to this one.
	ErrReplyMismatch = errors.ConstError("reply belongs to another request")
	// ErrUnverifiedEnd means that a body with neither a length nor chunks has ended with
	// its connection. It may be whole or cut short.
	ErrUnverifiedEnd = errors.ConstError("reply ended with its connection")
	// ErrReplyTooLarge means that a server has sent more than core.MaxReplyHeadBytes, or
	// more than there is memory for, without completing the head of its reply, or more than
	// maxSkippedBodyBytes of a reply to another request.
	ErrReplyTooLarge = errors.ConstError("reply is too large")
)

// Timeouts and limits of connections.
const (
	dialTimeout = 700 * time.Millisecond
	// idleTimeoutFactor is the part of the idle timeout announced by a server for
	// which a connection is kept, so that the server does not close it first.
	// defaultIdleTimeout applies when the server announces none.
	idleTimeoutFactor  = 0.6
	defaultIdleTimeout = 2 * time.Second
	// atMostOnceIdleTimeout bounds the idle time of a connection that is reused for
	// an at-most-once request. The server may have closed a connection that was idle
	// for longer, and the request cannot be retried.
	atMostOnceIdleTimeout = time.Second
	// sweepInterval is the minimum time between two removals of expired connections.
	sweepInterval   = time.Second
	readBufferBytes = 4 << 10
	// maxReplyHeads bounds the number of reply heads that are read for one request,
	// including replies to other requests and interim responses.
	maxReplyHeads = 4
	// maxSkippedBodyBytes bounds the body of a skipped reply, with its framing.
	maxSkippedBodyBytes = 1 << 20
)

// Request is a request as it is sent.
type Request struct {
	ID     string
	Method string
	// Target is the request target, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce marks a request that must not run more than once. It is not sent over
	// a connection that has been idle for atMostOnceIdleTimeout.
	AtMostOnce bool
}

// Config configures a Client. RequestID returns the request id that a reply echoes.
type Config struct {
	RequestID func(http.Header) string
	// HeadMemory limits the memory of large heads of replies; nil means no limit.
	HeadMemory *membuf.Budget
	// MaxIdleConnsPerServer bounds the number of idle connections to each server.
	MaxIdleConnsPerServer int
}

// Client sends requests to backend servers and reuses connections. It is safe for
// concurrent use.
type Client struct {
	cfg         Config
	mu          sync.Mutex
	idle        map[string][]*conn
	lastSweepAt time.Time
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, idle: map[string][]*conn{}}
}

// conn is a connection to a server. key consists of the address and the id of the
// server, so that a connection is never used for another server at the same
// address.
type conn struct {
	*tcp.Conn
	r           *bufio.Reader
	limiter     *readLimiter
	key         string
	idleSince   time.Time
	maxIdleTime time.Duration
}

// reset closes the connection and discards unsent data. Otherwise the kernel could
// deliver a cancelled request when a server becomes reachable again.
func (k *conn) reset() { k.Reset() }

// Close closes all idle connections.
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

// takeIdle removes and returns an idle connection that can be reused, or nil.
func (c *Client) takeIdle(key string, atMostOnce bool) *conn {
	for {
		k := c.popIdle(key)
		if k == nil {
			return nil
		}
		idle := time.Since(k.idleSince)
		if idle < k.maxIdleTime && (!atMostOnce || idle < atMostOnceIdleTimeout) && idleConnUsable(k) {
			return k
		}
		k.Close()
	}
}

func (c *Client) popIdle(key string) *conn {
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

// putIdle keeps a connection for reuse, or closes it when there are enough.
func (c *Client) putIdle(k *conn) {
	now := time.Now()
	k.idleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastSweepAt) > sweepInterval {
		c.lastSweepAt = now
		c.sweep(now)
	}
	if len(c.idle[k.key]) >= c.cfg.MaxIdleConnsPerServer {
		k.Close()
		return
	}
	c.idle[k.key] = append(c.idle[k.key], k)
}

// sweep closes connections whose idle time has expired. c.mu must be held.
func (c *Client) sweep(now time.Time) {
	for key, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.idleSince) < k.maxIdleTime {
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

// connect returns an idle or a new connection to a server.
func (c *Client) connect(ctx context.Context, server core.BackendServer, atMostOnce bool) (*conn, error) {
	if k := c.takeIdle(poolKey(server), atMostOnce); k != nil {
		return k, nil
	}
	return c.dial(ctx, server)
}

func (c *Client) dial(ctx context.Context, server core.BackendServer) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", server.Address, err, ErrNotSent)
	}
	tc := tcp.Wrap(nc)
	l := &readLimiter{r: tc, memory: c.cfg.HeadMemory}
	return &conn{Conn: tc, limiter: l, r: bufio.NewReaderSize(l, readBufferBytes), key: poolKey(server), maxIdleTime: defaultIdleTimeout}, nil
}

// poolKey returns the key of the idle connections to a server.
func poolKey(server core.BackendServer) string { return server.Address + " " + server.ID }
