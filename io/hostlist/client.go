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
	DefaultTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Client implements core.HostList over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	cached  atomic.Pointer[cachedList]
}

// cachedList is a list with the entity tag of its response.
type cachedList struct {
	etag  string
	hosts []core.Host
}

var _ core.HostList = (*Client)(nil)

// New returns a client of the host list at an address, which is host:port or an
// HTTP URL. A zero timeout means DefaultTimeout.
func New(address string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: core.MaxReplyHeadBytes}
	return &Client{base: strings.TrimSuffix(address, "/"), timeout: timeout, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Hosts returns the list of hosts, which callers must not modify. If the server
// sends entity tags, an unchanged list is not transferred again, since it has over
// a megabyte at the size the system is designed for. Errors wrap ErrUnavailable, or
// ErrInvalid if the address is malformed.
func (c *Client) Hosts(ctx context.Context) ([]core.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/hosts", nil)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrInvalid)
	}
	cached := c.cached.Load()
	if cached != nil {
		req.Header.Set("If-None-Match", cached.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrUnavailable)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && cached != nil {
		return cached.hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read host list: response status %d: %w", resp.StatusCode, core.ErrUnavailable)
	}
	var hosts []core.Host
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&hosts); err != nil {
		return nil, fmt.Errorf("read host list: %w: %w", err, core.ErrUnavailable)
	}
	if etag := resp.Header.Get("ETag"); etag != "" {
		c.cached.Store(&cachedList{etag: etag, hosts: hosts})
	} else {
		c.cached.Store(nil)
	}
	return hosts, nil
}
