package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/engine"
)

// Codes of requests without a complete reply.
const (
	codeTimeout = "timeout"
	codeBroken  = "broken"
)

// maxReplyBytes limits the size of a reply body.
const maxReplyBytes = 64 << 20

// sender sends requests and checks the replies.
type sender struct {
	opts   Options
	client *http.Client
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Error struct {
		Code           string `json:"code"`
		NotRun         bool   `json:"not_run"`
		OutcomeUnknown bool   `json:"outcome_unknown"`
	} `json:"error"`
}

// send sends the request of a job and reads the reply.
func (s sender) send(j job) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Timeout)
	defer cancel()
	out := outcome{job: j}
	r, body, err := s.request(ctx, j)
	if err != nil {
		out.code = err.Error()
		return out
	}
	start := time.Now()
	resp, err := s.client.Do(r)
	if err != nil {
		out.code = errorCode(err)
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	data, first, err := readBody(ctx, resp.Body, j.readBytesPerSecond)
	out.wholeReply = time.Since(start)
	out.bytes = int64(len(data))
	if !first.IsZero() {
		out.firstToken = first.Sub(start)
	}
	if err != nil {
		out.code, out.fault = errorCode(err), "truncated"
		return out
	}
	s.classify(&out, resp, data, body)
	return out
}

// request returns the HTTP request of a job and its body.
func (s sender) request(ctx context.Context, j job) (*http.Request, []byte, error) {
	method, path, body := http.MethodPost, "/v1/completions", []byte(nil)
	var err error
	switch j.kind {
	case kindModel:
		body, err = json.Marshal(engine.CompletionRequest{Model: s.opts.Model, Prompt: j.prompt, MaxTokens: int64(j.maxTokens), Stream: true})
	case kindBooking:
		path = s.opts.DeskPath
		body, err = json.Marshal(map[string]any{"number": j.number, "note": j.prompt})
	default:
		method, path = http.MethodGet, s.opts.DeskPath+"/"+j.bookingID
	}
	if err != nil {
		return nil, nil, fmt.Errorf("encode request: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(j.entry, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+j.organisation.Key)
	r.Header.Set("Content-Type", "application/json")
	if j.kind == kindBooking {
		r.Header.Set("Idempotency-Key", j.idempotencyKey)
	}
	return r, body, nil
}

// classify sets the code of a refusal or the fault of a wrong reply.
func (s sender) classify(out *outcome, resp *http.Response, data, body []byte) {
	if resp.StatusCode >= http.StatusBadRequest {
		var b refusalBody
		if json.Unmarshal(data, &b) == nil && b.Error.Code != "" {
			out.code, out.notRun, out.outcomeUnknown = b.Error.Code, b.Error.NotRun, b.Error.OutcomeUnknown
			return
		}
		// The plain service answers a lookup of an unknown booking with 404.
		if out.job.kind != kindLookup || resp.StatusCode != http.StatusNotFound {
			out.code = fmt.Sprintf("status_%d", resp.StatusCode)
		}
		return
	}
	switch out.job.kind {
	case kindModel:
		out.fault = completionFault(data, out.job)
	case kindBooking:
		var b desk.Booking
		if json.Unmarshal(data, &b) != nil || b.IdempotencyKey != out.job.idempotencyKey || b.BodyHash != desk.BodyHash(body) {
			out.fault = "crossed"
		}
	}
}

// completionFault returns the fault of an event stream that is not the complete reply
// to the prompt of the job, or an empty string.
func completionFault(data []byte, j job) string {
	events := strings.Split(strings.TrimSpace(string(data)), "\n\n")
	if events[len(events)-1] != "data: [DONE]" || len(events)-1 != j.maxTokens {
		return "truncated"
	}
	hash := engine.PromptHash(j.prompt)
	for i, e := range events[:len(events)-1] {
		var ev engine.Event
		if json.Unmarshal([]byte(strings.TrimPrefix(e, "data: ")), &ev) != nil || ev.Index != int64(i) || ev.PromptHash != hash {
			return "crossed"
		}
	}
	return ""
}

// readBody reads a body at up to bytesPerSecond; 0 means no limit. It returns the data
// and the time of the first byte.
func readBody(ctx context.Context, body io.Reader, bytesPerSecond int) (data []byte, first time.Time, err error) {
	body = io.LimitReader(body, maxReplyBytes)
	size := 32 << 10
	if bytesPerSecond > 0 {
		size = max(bytesPerSecond/10, 1)
	}
	buf := make([]byte, size)
	for {
		n, err := body.Read(buf)
		if n > 0 && first.IsZero() {
			first = time.Now()
		}
		data = append(data, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return data, first, nil
		}
		if err != nil {
			return data, first, fmt.Errorf("read reply: %w", err)
		}
		if bytesPerSecond <= 0 {
			continue
		}
		select {
		case <-time.After(time.Duration(n) * time.Second / time.Duration(bytesPerSecond)):
		case <-ctx.Done():
			return data, first, fmt.Errorf("read reply: %w", ctx.Err())
		}
	}
}

// errorCode returns the code of a failed request.
func errorCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return codeTimeout
	}
	return codeBroken
}
