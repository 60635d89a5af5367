package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"nutmegnotch/emulator/engine"
)

// RequestCommand sends one request and prints the reply as it arrives.
type RequestCommand struct {
	Entry          string        `required:"" help:"Base URL of an entry."`
	Key            string        `help:"Caller key."`
	Prompt         string        `help:"Prompt of a streamed completion; without it a plain request is sent."`
	Model          string        `default:"m1" help:"Model of the completion."`
	MaxTokens      int64         `default:"16" help:"Length of the completion."`
	Path           string        `default:"/" help:"Path of a plain request."`
	Method         string        `default:"POST" help:"Method of a plain request."`
	Body           string        `help:"Body of a plain request."`
	IdempotencyKey string        `help:"Idempotency-Key header."`
	Timeout        time.Duration `default:"30s" help:"Bound on the request."`
}

// Run sends the request and prints the status, the request id and the body. A status
// of 400 or more is an error, except 404, which a plain service returns for an unknown
// object.
func (c *RequestCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	r, err := c.request(ctx)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	fmt.Printf("%s, request %s\n", resp.Status, resp.Header.Get("X-Request-Id"))
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return fmt.Errorf("reply was cut short: %w", err)
	}
	fmt.Println()
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusNotFound {
		return fmt.Errorf("request was answered with %s", resp.Status)
	}
	return nil
}

func (c *RequestCommand) request(ctx context.Context) (*http.Request, error) {
	method, path, body := c.Method, c.Path, []byte(c.Body)
	if c.Prompt != "" {
		method, path = http.MethodPost, "/v1/completions"
		var err error
		body, err = json.Marshal(engine.CompletionRequest{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens, Stream: true})
		if err != nil {
			return nil, fmt.Errorf("encode completion: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	return r, nil
}
