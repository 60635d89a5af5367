package systemtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/engine"
)

// response is the outcome of one request as its caller sees it.
type response struct {
	result     result
	status     int
	id         string
	code       string
	tokens     int
	booking    string
	elapsed    time.Duration
	retryAfter time.Duration
	body       string
}

// refusal is the response body of a refusal.
type refusal struct {
	Error struct {
		Code           string `json:"code"`
		Message        string `json:"message"`
		NotRun         bool   `json:"not_run"`
		OutcomeUnknown bool   `json:"outcome_unknown"`
		RetryAfterMS   int64  `json:"retry_after_ms"`
		RequestID      string `json:"request_id"`
	} `json:"error"`
}

// client sends requests with the caller key of one organisation.
type client struct {
	c    *cluster
	org  string
	http *http.Client
}

func (c *cluster) client(org string) *client {
	return &client{c: c, org: org, http: &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (l *client) send(e *proc, method, path, key string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	r, err := http.NewRequest(method, "http://"+e.callerAddr+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+l.org+"-key")
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
		// net/http retries a request with this header by itself if it can read the
		// body again.
		r.GetBody = nil
	}
	return l.http.Do(r)
}

// withRefusal returns a with the refusal that the body of resp holds. Without a
// refusal the result is unknown.
func withRefusal(a response, resp *http.Response) response {
	b, err := io.ReadAll(resp.Body)
	var f refusal
	if err != nil || json.Unmarshal(b, &f) != nil {
		a.result, a.body = resultUnknown, string(b)
		return a
	}
	a.code, a.body = f.Error.Code, f.Error.Message
	a.retryAfter = time.Duration(f.Error.RetryAfterMS) * time.Millisecond
	a.result = resultUnknown
	if f.Error.NotRun {
		a.result = resultNotRun
	}
	return a
}

// complete requests a streamed completion and checks that the reply is whole and
// belongs to one request.
func (l *client) complete(e *proc, prompt string, tokens int) response {
	return l.completeSlowly(e, prompt, tokens, 0)
}

// completeSlowly is like complete and pauses after each event of the reply.
func (l *client) completeSlowly(e *proc, prompt string, tokens int, pause time.Duration) response {
	start := time.Now()
	resp, err := l.send(e, http.MethodPost, "/v1/completions", "",
		engine.CompletionRequest{Model: modelName, Prompt: prompt, MaxTokens: int64(tokens), Stream: true})
	if err != nil {
		return l.record(response{result: resultUnknown, body: err.Error()}, "", "")
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), result: resultCut, elapsed: time.Since(start)}
	if resp.StatusCode != http.StatusOK {
		return l.record(withRefusal(a, resp), "", "")
	}
	value := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			a.result = resultOK
		default:
			var ev engine.Event
			if err := json.Unmarshal([]byte(data), &ev); err != nil || (value != "" && ev.ID != value) || ev.Index != int64(a.tokens) {
				value = "mixed"
				continue
			}
			value = ev.ID
			a.tokens++
		}
		time.Sleep(pause)
	}
	if lines.Err() != nil {
		a.result, a.body = resultCut, lines.Err().Error()
	}
	a.elapsed = time.Since(start)
	switch {
	case a.result == resultCut && lines.Err() == nil:
		// The response ended without an error, so its caller takes it for complete.
		a.result, value = resultOK, "a reply without its last event"
	case a.result == resultOK && a.tokens != tokens:
		value = fmt.Sprintf("%d of %d tokens", a.tokens, tokens)
	}
	return l.record(a, "", value)
}

// book makes a booking, which must not run twice.
func (l *client) book(e *proc, key string) response { return l.bookMule(e, key, "m7") }

// bookMule makes a booking with a given value of mule in its body.
func (l *client) bookMule(e *proc, key, mule string) response {
	start := time.Now()
	l.c.history.add(event{kind: eventInvoke, key: key})
	resp, err := l.send(e, http.MethodPost, "/bookings", key, map[string]string{"mule": mule, "key": key})
	if err != nil {
		return l.record(response{result: resultUnknown, body: err.Error()}, key, "")
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), elapsed: time.Since(start)}
	if resp.StatusCode >= http.StatusBadRequest {
		return l.record(withRefusal(a, resp), key, "")
	}
	var b desk.Booking
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		a.result, a.body = resultCut, err.Error()
		return l.record(a, key, "")
	}
	a.result, a.booking = resultOK, b.ID
	value := a.id
	if b.IdempotencyKey != key {
		value = "booking of key " + b.IdempotencyKey
	}
	return l.record(a, key, value)
}

// lookup sends an idempotent request to the desk service. It asks for a booking
// that does not exist, so status 404 counts as success.
func (l *client) lookup(e *proc) response {
	resp, err := l.send(e, http.MethodGet, "/bookings/none", "", nil)
	if err != nil {
		return response{result: resultUnknown, body: err.Error()}
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return withRefusal(a, resp)
	}
	a.result = resultOK
	return a
}

// record adds a response to the history and returns it.
func (l *client) record(a response, key, value string) response {
	l.c.history.add(event{kind: eventResponse, requestID: a.id, key: key, result: a.result, value: value})
	return a
}

// collect returns the history together with the runs and crashes of all emulated
// backend servers, sorted by time. All times are of the same clock.
func (c *cluster) collect() []event {
	events := c.history.snapshot()
	for _, b := range c.models {
		for _, r := range b.engine.Runs() {
			events = append(events, event{kind: eventRunStart, at: time.Unix(0, r.StartNS), requestID: r.RequestID, server: b.agent.id, domain: b.agent.domain})
		}
		if n := b.engine.Crashes(); n > 0 {
			events = append(events, event{kind: eventOverloadCrash, at: time.Now(), server: b.agent.id, value: fmt.Sprintf("%d crashes", n)})
		}
	}
	for _, b := range c.desks {
		for _, r := range b.desk.Runs() {
			e := event{kind: eventRunStart, at: time.Unix(0, r.StartNS), requestID: r.RequestID, server: b.agent.id, domain: b.agent.domain}
			if r.Kind == desk.KindBooking {
				e.key = r.IdempotencyKey
			}
			events = append(events, e)
		}
	}
	sortEvents(events)
	return events
}
