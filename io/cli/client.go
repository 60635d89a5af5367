package cli

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
	"os/user"
	"strconv"
	"strings"
	"time"

	"nutmegnotch/core/config"
)

// Limits of calls to the administration API. responseTimeoutMargin is the time for which
// a call waits for the response after the server's own timeout has passed.
const (
	responseTimeoutMargin = 2 * time.Second
	retryInterval         = 300 * time.Millisecond
	maxResponseBytes      = 64 << 20
)

// server holds the flags of commands that call the administration API of an entry, and
// makes the calls.
type server struct {
	Server  string        `default:"http://127.0.0.1:8081" env:"NUTMEGNOTCH_SERVER" help:"Address of the administration API of an entry."`
	Token   string        `env:"NUTMEGNOTCH_TOKEN" help:"Bearer token of the team."`
	Timeout time.Duration `default:"5s" help:"Time to wait for the outcome, 1ms to 1m."`
}

// response is a response of the administration API. Error and Outcome are decoded from
// responses with status 400 and above; Outcome is nil if the error is not about a change.
type response struct {
	status int
	body   []byte
	Error  struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Outcome *config.Outcome `json:"outcome"`
}

// errNoResponse means that a call got no complete response and may have had an effect.
var errNoResponse = errors.New("no response from the server")

// call makes one call. The error wraps errNoResponse if the request may have been sent
// and no complete response arrived, and does not if the connection failed.
func (s server) call(method, path string, query url.Values, body any) (response, error) {
	if s.Timeout < time.Millisecond || s.Timeout > time.Minute {
		return response{}, badInput("--timeout is %s, must be between 1ms and 1m", s.Timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+responseTimeoutMargin)
	defer cancel()
	req, err := s.request(ctx, method, path, query, body)
	if err != nil {
		return response{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return response{}, fmt.Errorf("connect to server: %w", err)
	}
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer resp.Body.Close()
	res := response{status: resp.StatusCode}
	if res.body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return response{}, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if res.status >= 400 {
		if err := json.Unmarshal(res.body, &res); err != nil {
			return response{}, fmt.Errorf("server returned status %d without a JSON body", res.status)
		}
	}
	return res, nil
}

// request returns an HTTP request that tells the server the timeout, the token and the
// user name of the operator.
func (s server) request(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	base := s.Server
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	var r io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, badInput("encode request: %w", err)
		}
		r = bytes.NewReader(data)
	}
	if query == nil {
		query = url.Values{}
	}
	query.Set("timeout_ms", strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path+"?"+query.Encode(), r)
	if err != nil {
		return nil, badInput("--server %q: %w", s.Server, err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Token)
	if u, err := user.Current(); err == nil {
		req.Header.Set("X-Operator", u.Username)
	}
	return req, nil
}

// read makes a GET call. It returns an error if the status is not a success.
func (s server) read(path string, query url.Values) (response, error) {
	res, err := s.call(http.MethodGet, path, query, nil)
	if err != nil {
		return res, err
	}
	return res, res.statusError()
}

// statusError returns nil for a success, and otherwise an error with the exit code for
// the status.
func (res response) statusError() error {
	err := fmt.Errorf("%s: %s", res.Error.Code, res.Error.Message)
	switch {
	case res.status < 300:
		return nil
	case res.status == http.StatusConflict:
		return &exitError{code: ExitLost, err: err}
	case res.status == http.StatusBadRequest || res.status == http.StatusUnprocessableEntity:
		return &exitError{code: ExitBadInput, err: err}
	}
	return &exitError{code: ExitFailed, err: err}
}
