// Package desk is the client of a plain service: it passes HTTP requests
// through and tells whether a failed request can have been sent.
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
)

// ErrNotSent reports that no byte of the request was written, so that nothing
// can have run.
const ErrNotSent = errors.ConstError("request was not sent")

// Times of a connection to the service.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
)

// Client sends requests to one plain service.
type Client struct {
	address    string
	repeatable http.RoundTripper
	once       http.RoundTripper
}

// New returns a client of the service at an IP number and port.
func New(address string) *Client {
	return &Client{address: address, repeatable: transport(false), once: transport(true)}
}

// transport returns a transport. One without kept connections never sends a
// request a second time: net/http repeats a request with an Idempotency-Key
// header when a kept connection turns out to be closed.
func transport(once bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   once,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// Do sends one request. connected is called when a connection is ready and
// before the first byte is written. An error that is ErrNotSent proves that
// nothing ran; after any other error the outcome is unknown.
func (c *Client) Do(r *http.Request, repeatable bool, connected func()) (*http.Response, error) {
	var ready atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !ready.Swap(true) && connected != nil {
			connected()
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.URL.Scheme, r.URL.Host = "http", c.address
	rt := c.once
	if repeatable {
		rt = c.repeatable
	}
	resp, err := rt.RoundTrip(r)
	if err == nil {
		return resp, nil
	}
	if !ready.Load() {
		return nil, fmt.Errorf("connect to %s: %w: %w", c.address, err, ErrNotSent)
	}
	return nil, fmt.Errorf("request to %s: %w", c.address, err)
}

// Probe reports whether the service accepts connections.
func (c *Client) Probe(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return fmt.Errorf("probe %s: %w: %w", c.address, err, core.ErrUnavailable)
	}
	return conn.Close()
}

// Close drops the kept connections.
func (c *Client) Close() {
	for _, rt := range []http.RoundTripper{c.repeatable, c.once} {
		if t, ok := rt.(*http.Transport); ok {
			t.CloseIdleConnections()
		}
	}
}
