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

// Limits of calls to the administration API.
const (
	answerSlack    = 2 * time.Second
	retryPause     = 300 * time.Millisecond
	maxAnswerBytes = 64 << 20
)

// server is how to reach the administration API of an entry.
type server struct {
	Server  string        `default:"http://127.0.0.1:8081" env:"NUTMEGNOTCH_SERVER" help:"Address of the administration API of an entry."`
	Token   string        `env:"NUTMEGNOTCH_TOKEN" help:"Bearer token of the team."`
	Timeout time.Duration `default:"5s" help:"Time to wait for the outcome, 1ms to 1m."`
}

// answer is a decoded answer of the API. Error is empty for a success.
type answer struct {
	status int
	body   []byte
	Error  struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Outcome *config.Outcome `json:"outcome"`
}

// errNoAnswer means that a call may have had an effect.
var errNoAnswer = errors.New("server gave no answer")

// call makes one call. A connection that could not be made is an error without
// errNoAnswer.
func (s server) call(method, path string, query url.Values, body any) (answer, error) {
	if s.Timeout < time.Millisecond || s.Timeout > time.Minute {
		return answer{}, badInput("--timeout is %s, allowed are 1ms to 1m", s.Timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout+answerSlack)
	defer cancel()
	req, err := s.request(ctx, method, path, query, body)
	if err != nil {
		return answer{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return answer{}, fmt.Errorf("connect to server: %w", err)
	}
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode}
	if a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return answer{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if a.status >= 400 {
		if err := json.Unmarshal(a.body, &a); err != nil {
			return answer{}, fmt.Errorf("server answered %d without a JSON body", a.status)
		}
	}
	return a, nil
}

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

// read makes a call without effect and turns failures into errors.
func (s server) read(path string, query url.Values) (answer, error) {
	a, err := s.call(http.MethodGet, path, query, nil)
	if err != nil {
		return a, err
	}
	return a, a.failure()
}

// failure maps an answer to an error with its exit code.
func (a answer) failure() error {
	err := fmt.Errorf("%s: %s", a.Error.Code, a.Error.Message)
	switch {
	case a.status < 300:
		return nil
	case a.status == http.StatusConflict:
		return &exitError{code: ExitLost, err: err}
	case a.status == http.StatusBadRequest || a.status == http.StatusUnprocessableEntity:
		return &exitError{code: ExitBadInput, err: err}
	}
	return &exitError{code: ExitFailed, err: err}
}
