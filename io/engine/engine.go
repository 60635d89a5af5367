// Package engine is the HTTP client of a model engine. It sends generation requests,
// whose replies may be streams of server-sent events, reads load reports and sends
// orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/desk"
)

// Paths of the engine's protocol.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathOrders      = "/orders"
)

// Limits of load reports and orders.
const (
	controlTimeout       = time.Second
	maxControlReplyBytes = 1 << 20
)

// Load is a load report of an engine. It shows the state LagMS before the reply. The
// incarnation changes with each restart of the engine.
type Load struct {
	Incarnation string   `json:"incarnation"`
	HeldTokens  int64    `json:"held_tokens"`
	Running     int      `json:"running"`
	LagMS       int64    `json:"lag_ms"`
	Models      []string `json:"models,omitempty"`
}

// Order is an order to an engine. Engines that check fences refuse an order whose
// Fence is below the highest one that they have received.
type Order struct {
	Kind       string          `json:"kind"`
	Fence      int64           `json:"fence"`
	Model      string          `json:"model,omitempty"`
	Adapter    string          `json:"adapter,omitempty"`
	Role       string          `json:"role,omitempty"`
	ToStep     int64           `json:"to_step,omitempty"`
	MapVersion int64           `json:"map_version,omitempty"`
	Detail     json.RawMessage `json:"detail,omitempty"`
}

// Client sends requests to one engine.
type Client struct {
	http *desk.Client
}

// New returns a client of the engine at an IP address and port.
func New(address string) *Client { return &Client{http: desk.New(address)} }

// Do sends a generation request. The errors are those of desk.Client.Do. The body of
// the response is a stream of server-sent events if the request asks for one.
// Cancelling the context of the request ends the run.
func (c *Client) Do(r *http.Request, connected func()) (*http.Response, error) {
	resp, err := c.http.Do(r, true, connected)
	if err != nil {
		return nil, fmt.Errorf("generate: %w", err)
	}
	return resp, nil
}

// Load returns the load report of the engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	if err := c.call(ctx, http.MethodGet, PathLoad, nil, &l); err != nil {
		return Load{}, fmt.Errorf("engine load: %w", err)
	}
	return l, nil
}

// Order sends an order. It returns core.ErrStaleFence if the engine refused its
// fence.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	if err := c.call(ctx, http.MethodPost, PathOrders, body, nil); err != nil {
		return fmt.Errorf("engine order %q: %w", o.Kind, err)
	}
	return nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// call sends a control request and decodes the reply into out, unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.http.Do(r, true, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", err, core.ErrUnavailable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer: %w: %w", err, core.ErrUnavailable)
	}
	if resp.StatusCode == http.StatusConflict {
		return fmt.Errorf("%s: %w", bytes.TrimSpace(data), core.ErrStaleFence)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %w", resp.StatusCode, core.ErrUnavailable)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode answer: %w: %w", err, core.ErrUnavailable)
	}
	return nil
}
