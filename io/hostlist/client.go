// Package hostlist is the client of the platform's list of hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"nutmegnotch/core"
)

// Defaults and limits of the client.
const (
	DefaultTimeout = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client implements core.HostList over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	last    atomic.Pointer[answer]
}

// answer is a list with the entity tag under which the host list gave it.
type answer struct {
	tag   string
	hosts []core.Host
}

var _ core.HostList = (*Client)(nil)

// New returns a client of the host list at an address, which is host:port or
// an http URL. A zero timeout means DefaultTimeout.
func New(address string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext, IdleConnTimeout: time.Minute}
	return &Client{base: strings.TrimSuffix(address, "/"), timeout: timeout, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the list, which callers must not change. A list that has not
// changed since the last call is not sent again when the host list gives entity
// tags, since at the design size it has over a megabyte. It fails with
// ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]core.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/hosts", nil)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrInvalid)
	}
	last := c.last.Load()
	if last != nil {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrUnavailable)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && last != nil {
		return last.hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read host list: answer %d: %w", resp.StatusCode, core.ErrUnavailable)
	}
	var hosts []core.Host
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&hosts); err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrUnavailable)
	}
	if tag := resp.Header.Get("ETag"); tag != "" {
		c.last.Store(&answer{tag: tag, hosts: hosts})
	} else {
		c.last.Store(nil)
	}
	return hosts, nil
}
