// Package platformlog is the client of the platform's append-only log service.
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmegnotch/core"
)

// Defaults and limits of the client.
const (
	DefaultTimeout    = 2 * time.Second
	maxResponseBytes  = 128 << 20
	maxErrorTextBytes = 512
)

// Client implements core.Log over HTTP. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	mu      sync.Mutex
	streams map[string]streamState
}

// streamState is what the log has stated of a stream: the highest next offset, and
// whether a later answer had a lower one.
type streamState struct {
	next int64
	lost bool
}

var _ core.Log = (*Client)(nil)

// New returns a client of the log at an address, which is host:port or an HTTP URL.
// A call fails with ErrUnavailable after the timeout; Read adds its wait to it. A
// zero timeout means DefaultTimeout.
func New(address string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	t := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: core.MaxReplyHeadBytes,
	}
	return NewWithTransport(address, timeout, t)
}

// NewWithTransport returns a client that uses the given transport. base is an HTTP
// URL, and the timeout has no default.
func NewWithTransport(base string, timeout time.Duration, t http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: t}, streams: map[string]streamState{}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// response is the JSON body of all successful responses.
type response struct {
	Offset      *int64   `json:"offset"`
	FirstOffset int64    `json:"first_offset"`
	NextOffset  int64    `json:"next_offset"`
	Records     []record `json:"records"`
}

type record struct {
	Offset     int64  `json:"offset"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Data       []byte `json:"data"`
}

// Append appends one record and returns its offset. After ErrRateLimited, ErrInvalid
// or ErrNotAppended the record was not appended; after any other error it may have
// been.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream, "/records"), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to stream %q: %w: %w", stream, err, core.ErrInvalid)
	}
	a, err := c.call(req, stream)
	if err != nil {
		return 0, fmt.Errorf("append to stream %q: %w", stream, err)
	}
	if a.Offset == nil {
		return 0, fmt.Errorf("append to stream %q: answer has no offset: %w", stream, core.ErrUnavailable)
	}
	return *a.Offset, nil
}

// Read returns up to limit records from an offset on. If there are none, it waits
// for at most wait. With ErrExpired the batch holds the offsets but no records.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (core.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	q := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream, "/records?"+q.Encode()), nil)
	if err != nil {
		return core.Batch{}, fmt.Errorf("read stream %q: %w: %w", stream, err, core.ErrInvalid)
	}
	a, err := c.call(req, stream)
	b := core.Batch{FirstOffset: a.FirstOffset, NextOffset: a.NextOffset}
	if err != nil {
		return b, fmt.Errorf("read stream %q from %d: %w", stream, from, err)
	}
	for _, r := range a.Records {
		b.Records = append(b.Records, core.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeUnixMS), Data: r.Data})
	}
	return b, nil
}

// Offsets returns a batch that holds only the first and the next offset.
func (c *Client) Offsets(ctx context.Context, stream string) (core.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream, ""), nil)
	if err != nil {
		return core.Batch{}, fmt.Errorf("read offsets of stream %q: %w: %w", stream, err, core.ErrInvalid)
	}
	a, err := c.call(req, stream)
	if err != nil {
		return core.Batch{}, fmt.Errorf("read offsets of stream %q: %w", stream, err)
	}
	return core.Batch{FirstOffset: a.FirstOffset, NextOffset: a.NextOffset}, nil
}

func (c *Client) streamURL(stream, rest string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + rest
}

// call sends a request about a stream and decodes the response. A response with status
// 410 is decoded and returned together with ErrExpired. Once the log has lost records of
// the stream, all calls fail: what was decided by the lost records would be decided again.
func (c *Client) call(req *http.Request, stream string) (response, error) {
	before, err := c.known(stream)
	if err != nil {
		return response{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("read answer: %w: %w", err, core.ErrUnavailable)
	}
	if err := statusError(resp.StatusCode, body); err != nil && resp.StatusCode != http.StatusGone {
		return response{}, err
	}
	var a response
	if err := json.Unmarshal(body, &a); err != nil {
		return response{}, fmt.Errorf("decode answer: %w: %w", err, core.ErrUnavailable)
	}
	if err := c.checkNext(stream, before, a); err != nil {
		return response{}, err
	}
	if resp.StatusCode == http.StatusGone {
		return a, fmt.Errorf("first offset is %d: %w", a.FirstOffset, core.ErrExpired)
	}
	return a, nil
}

// known returns the highest next offset that the log has stated, or an error if it has
// lost records since.
func (c *Client) known(stream string) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[stream]
	if s.lost {
		return 0, recordsLost(stream)
	}
	return s.next, nil
}

// checkNext compares an answer with the next offset that was known when it was asked.
// Answers to concurrent calls may arrive in any order.
func (c *Client) checkNext(stream string, before int64, a response) error {
	next := a.NextOffset
	if a.Offset != nil {
		next = *a.Offset + 1
		before++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[stream]
	s.lost = s.lost || next < before
	s.next = max(s.next, next)
	c.streams[stream] = s
	if s.lost {
		return recordsLost(stream)
	}
	return nil
}

func recordsLost(stream string) error {
	return fmt.Errorf("stream %q: %w: restore the log, or restart all processes once the claim window has passed: %w",
		stream, core.ErrRecordsLost, core.ErrUnavailable)
}

// transportError adds ErrNotAppended if no connection was established, so that the
// log cannot have received the request.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w: %w", err, core.ErrNotAppended, core.ErrUnavailable)
	}
	return fmt.Errorf("%w: %w", err, core.ErrUnavailable)
}

// statusError maps a response status to an error, or nil for 200.
func statusError(status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorTextBytes)]))
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusTooManyRequests:
		return fmt.Errorf("log answered 429: %w", core.ErrRateLimited)
	case status >= 400 && status < 500:
		return fmt.Errorf("log answered %d: %s: %w", status, text, core.ErrInvalid)
	}
	return fmt.Errorf("log answered %d: %s: %w", status, text, core.ErrUnavailable)
}
