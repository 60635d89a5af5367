// Package desk is the HTTP client of a plain service. It forwards requests and
// distinguishes requests that were certainly not sent from those with an unknown
// outcome.
package desk

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core"
	"nutmegnotch/io/tcp"
)

// ErrNotSent means that no byte of the request was written, so the request has not
// run.
const ErrNotSent = errors.ConstError("request was not sent")

// Timeouts and limits of connections to the service.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
)

// Client sends requests to one plain service.
type Client struct {
	address       string
	repeatable    http.RoundTripper
	nonRepeatable http.RoundTripper
}

// New returns a client of the service at an IP address and port.
func New(address string) *Client {
	return &Client{address: address, repeatable: newTransport(false), nonRepeatable: newTransport(true)}
}

// newTransport returns a transport. With keep-alive connections, net/http resends a
// request that has an Idempotency-Key header when the connection turns out to be
// closed. Without them, a request is never sent twice.
func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: core.MaxReplyHeadBytes,
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return tcp.Wrap(c), nil
}

// Do sends a request. connected, if not nil, is called once when there is a
// connection, before the first byte is written. If repeatable is false, the request
// is never sent twice. If the error is ErrNotSent, the request has not run; after any
// other error the outcome is unknown.
func (c *Client) Do(r *http.Request, repeatable bool, connected func()) (*http.Response, error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !gotConn.Swap(true) && connected != nil {
			connected()
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme, r.URL.Host = "http", c.address
	rt := c.nonRepeatable
	if repeatable {
		rt = c.repeatable
	}
	resp, err := rt.RoundTrip(r)
	switch {
	case err != nil && !gotConn.Load():
		return nil, fmt.Errorf("connect to %s: %w: %w", c.address, err, ErrNotSent)
	case err != nil:
		return nil, fmt.Errorf("request to %s: %w", c.address, err)
	}
	if err := core.CheckReplyHead(resp.Status, resp.Header); err != nil {
		resp.Body.Close()
		return nil, fmt.Errorf("check reply of %s: %w", c.address, err)
	}
	return resp, nil
}

// Probe reports whether the service accepts connections.
func (c *Client) Probe(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return fmt.Errorf("probe %s: %w: %w", c.address, err, core.ErrUnavailable)
	}
	return conn.Close()
}

// Close closes the idle connections.
func (c *Client) Close() {
	for _, rt := range []http.RoundTripper{c.repeatable, c.nonRepeatable} {
		if t, ok := rt.(*http.Transport); ok {
			t.CloseIdleConnections()
		}
	}
}
