package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// requestLog holds what was sent, answered and run.
type requestLog struct {
	mu   sync.Mutex
	byID map[string]*sentRequest
}

// sentRequest is a request of a client.
type sentRequest struct {
	id, gateway, kind string
	sent, answeredAt  time.Time
	answer            string
}

// reached is the arrival of a request at a server.
type reached struct {
	server string
	at     time.Time
}

func newRequestLog() *requestLog { return &requestLog{byID: map[string]*sentRequest{}} }

// sent records that a request is sent now.
func (l *requestLog) sent(id, gateway, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = &sentRequest{id: id, gateway: gateway, kind: kind, sent: time.Now()}
}

// answered records the answer to a request.
func (l *requestLog) answered(id, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byID[id]; s != nil {
		s.answer, s.answeredAt = answer, time.Now()
	}
}

// sentAfter reports whether a request was sent later than a time.
func (l *requestLog) sentAfter(id string, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byID[id]
	return s != nil && s.sent.After(t)
}

// all returns all requests, in the order in which they were sent.
func (l *requestLog) all() []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]sentRequest, 0, len(l.byID))
	for _, s := range l.byID {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b sentRequest) int { return a.sent.Compare(b.sent) })
	return out
}

// counts returns the number of requests by kind and answer.
func (l *requestLog) counts() map[string]int {
	out := map[string]int{}
	for _, s := range l.all() {
		out[s.kind+" "+s.answer]++
	}
	return out
}

// addTo adds a line for each request to the record, with the servers that it has reached.
func (l *requestLog) addTo(r *record, runs map[string][]reached) {
	for _, s := range l.all() {
		var at []string
		for _, x := range runs[s.id] {
			at = append(at, fmt.Sprintf("%s at %.3f s", x.server, r.since(x.at)))
		}
		answer := "not answered"
		if !s.answeredAt.IsZero() {
			answer = fmt.Sprintf("answered %.3f s: %s", r.since(s.answeredAt), s.answer)
		}
		r.add("request %s (%s) sent to %s %.3f s, %s, reached [%s]", s.id, s.kind, s.gateway, r.since(s.sent), answer, strings.Join(at, ", "))
	}
}
