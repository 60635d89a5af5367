// Package rank is the HTTP client of the engine of one rank of a lock-step group.
package rank

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"nutmegnotch/core"
)

// maxReplyBytes bounds the size of a reply of an engine.
const maxReplyBytes = 4 << 20

// Client sends orders to an engine. It is safe for concurrent use. If HTTP is nil,
// it uses http.DefaultClient.
type Client struct {
	// URL is the base URL of the engine, without a trailing slash.
	URL  string
	HTTP *http.Client
}

var (
	_ core.RankEngine       = (*Client)(nil)
	_ core.ExpertLoadReader = (*Client)(nil)
)

// FenceOrder is the body of POST /fence.
type FenceOrder struct {
	Fence int64 `json:"fence"`
}

// LoadOrder is the body of POST /load.
type LoadOrder struct {
	Fence int64          `json:"fence"`
	Map   core.ExpertMap `json:"map"`
}

// StopOrder is the body of POST /stop.
type StopOrder struct {
	Generation int64 `json:"generation"`
	Fence      int64 `json:"fence"`
	Horizon    int64 `json:"horizon"`
}

// StartOrder is the body of POST /start.
type StartOrder struct {
	Generation int64 `json:"generation"`
	Fence      int64 `json:"fence"`
	Step       int64 `json:"step"`
}

// State calls GET /state.
func (c *Client) State(ctx context.Context) (core.RankState, error) {
	var s core.RankState
	err := c.call(ctx, http.MethodGet, "/state", nil, &s)
	return s, err
}

// Fence calls POST /fence.
func (c *Client) Fence(ctx context.Context, fence int64) error {
	return c.call(ctx, http.MethodPost, "/fence", FenceOrder{Fence: fence}, nil)
}

// Load calls POST /load.
func (c *Client) Load(ctx context.Context, fence int64, m core.ExpertMap) error {
	return c.call(ctx, http.MethodPost, "/load", LoadOrder{Fence: fence, Map: m}, nil)
}

// Map calls GET /maps/{version}.
func (c *Client) Map(ctx context.Context, version int64) (core.ExpertMap, error) {
	var m core.ExpertMap
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/maps/%d", version), nil, &m)
	return m, err
}

// Experts calls GET /experts.
func (c *Client) Experts(ctx context.Context) (core.ExpertWindow, error) {
	var w core.ExpertWindow
	err := c.call(ctx, http.MethodGet, "/experts", nil, &w)
	return w, err
}

// Run calls POST /run.
func (c *Client) Run(ctx context.Context, r core.Run) error {
	return c.call(ctx, http.MethodPost, "/run", r, nil)
}

// Stop calls POST /stop.
func (c *Client) Stop(ctx context.Context, generation, fence, horizon int64) error {
	return c.call(ctx, http.MethodPost, "/stop", StopOrder{Generation: generation, Fence: fence, Horizon: horizon}, nil)
}

// Start calls POST /start.
func (c *Client) Start(ctx context.Context, generation, fence, step int64) error {
	return c.call(ctx, http.MethodPost, "/start", StartOrder{Generation: generation, Fence: fence, Step: step}, nil)
}

// call sends a request and decodes the reply into out, unless out is nil.
// core.ErrConflict (status 409) and core.ErrStaleFence (status 412) mean that the
// engine refused the order. After core.ErrUnavailable its effect is unknown.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode order %s: %w", path, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return fmt.Errorf("make request %s: %w", path, err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("engine %s: %w: %w", path, core.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if err := core.CheckReplyHead(resp.Status, resp.Header); err != nil {
		return fmt.Errorf("engine %s: check head: %w: %w", path, core.ErrUnavailable, err)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("engine %s: read reply: %w: %w", path, core.ErrUnavailable, err)
	}
	if err := statusError(path, resp.StatusCode, b); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("engine %s: decode reply: %w", path, err)
	}
	return nil
}

func statusError(path string, status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("engine %s: %w", path, core.ErrStaleFence)
	case http.StatusConflict:
		return fmt.Errorf("engine %s: %w: %s", path, core.ErrConflict, bytes.TrimSpace(body))
	case http.StatusNotFound:
		return fmt.Errorf("engine %s: %w", path, core.ErrNotFound)
	case http.StatusBadRequest:
		return fmt.Errorf("engine %s: %w: %s", path, core.ErrInvalid, bytes.TrimSpace(body))
	default:
		return fmt.Errorf("engine %s: status %d: %w", path, status, core.ErrUnavailable)
	}
}
