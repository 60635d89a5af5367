package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Schedule of the planned stops of these tests: the grace, and when after their begin the
// last request is accepted and those in progress are aborted.
const (
	stopGrace  = 3 * time.Second
	stopReject = 2250 * time.Millisecond
	stopAbort  = 2625 * time.Millisecond
	// lossSlack is the time after its last byte up to which a request that reaches no server
	// may cross the close of its connection (RULES, LOST).
	lossSlack = 200 * time.Millisecond
	// unlimited is a time that no request of these tests reaches.
	unlimited = 20 * time.Second
)

// stopServer is a backend server that answers as a function says.
type stopServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

// script answers the n-th request to all servers. It returns false if it has not run it.
type script func(n int, w http.ResponseWriter, r *http.Request) bool

// stopTrial is a planned stop of a gateway with requests around it.
type stopTrial struct {
	*deployment
	p       *process
	servers []*stopServer
	begun   time.Time
	// took is how long the stop took. It is set when wg is done.
	took time.Duration
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []*stopRequest
	// later holds how much later than the first one other gateways stop.
	later map[*process]time.Duration
	// sends is the number of requests that have reached a server.
	sends int
}

// stopRequest is a whole request and its end.
type stopRequest struct {
	id, kind string
	// later is how much later than the first one its gateway stops.
	later time.Duration
	after time.Duration
	took  time.Duration
	answer
}

// startStopTrial starts a gateway with servers that share a script.
func startStopTrial(t *testing.T, servers int, do script) *stopTrial {
	t.Helper()
	s := &stopTrial{deployment: newDeployment(t)}
	s.reloadable.Grace = stopGrace
	for _, r := range s.routes {
		r["timeout_ms"], r["service"], r["max_attempts"] = unlimited.Milliseconds(), "desk", 3
	}
	s.limits["max_body_bytes"] = 1 << 20
	s.publish()
	for i := range servers {
		s.addStopServer(i, do)
	}
	s.p = s.startReady()
	return s
}

// nextSend counts a request at a server and returns its number.
func (s *stopTrial) nextSend() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	return s.sends - 1
}

func (s *stopTrial) addStopServer(i int, do script) {
	b := &stopServer{runs: map[string]int{}}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Nutmegnotch-Request-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Header().Set("Nutmegnotch-Request-Id", id)
		w.Header().Set("Nutmegnotch-Response-Seal", "seal.x")
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		if !do(s.nextSend(), w, r) {
			b.mu.Lock()
			b.runs[id]--
			b.mu.Unlock()
		}
	}))
	s.t.Cleanup(func() {
		b.CloseClientConnections()
		b.Close()
	})
	s.servers = append(s.servers, b)
	s.store.PutJSON("keyed.servers", fmt.Sprint("s", i), map[string]any{"service": "desk", "addr": b.Listener.Addr().String(),
		"zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "born": 1, "seq": 1})
}

// runs returns how often servers have run a request.
func (s *stopTrial) runs(id string) int {
	n := 0
	for _, b := range s.servers {
		b.mu.Lock()
		n += b.runs[id]
		b.mu.Unlock()
	}
	return n
}

// begin begins the planned stop. Requests that are sent before it need begun earlier.
func (s *stopTrial) begin() {
	if s.begun.IsZero() {
		s.begun = time.Now()
	}
	s.p.stop()
	s.wg.Go(func() {
		<-s.p.done
		s.took = time.Since(s.begun)
	})
}

// sleepUntil waits until a time after the begin of the stop.
func (s *stopTrial) sleepUntil(after time.Duration) { time.Sleep(time.Until(s.begun.Add(after))) }

// rejectNotRun answers that a request was not run.
func rejectNotRun(w http.ResponseWriter) bool {
	w.Header().Del("Nutmegnotch-Response-Seal")
	w.Header().Set("Nutmegnotch-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// resetCaller resets the connection of a request.
func resetCaller(w http.ResponseWriter) bool {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	return true
}

// workFor answers a request after a time, unless its caller leaves.
func workFor(d time.Duration, w http.ResponseWriter, r *http.Request) bool {
	select {
	case <-time.After(d):
		_, _ = io.WriteString(w, "done")
	case <-r.Context().Done():
	}
	return true
}

const (
	stopEvents = 20
	lastEvent  = "id: 20\ndata: x\n\n"
)

// sendEvents sends the rest of a stream of stopEvents events, up to the one before a number.
func sendEvents(end int, interval time.Duration, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id < end && r.Context().Err() == nil; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(interval)
	}
}

// head returns the head of a new request of a kind, "lookup", "book" or "draft". A deadline of
// 0 is not sent.
func (s *stopTrial) head(kind string, deadline time.Duration, extra string) (*stopRequest, string) {
	id := newRequest(s.p, http.MethodGet, "/", "", "").Header.Get("Nutmegnotch-Request-Id")
	head := "POST /" + kind + "/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Key: key-a\r\nNutmegnotch-Request-Id: " + id + "\r\n" + extra
	if deadline > 0 {
		head += fmt.Sprintf("Nutmegnotch-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	}
	q := &stopRequest{id: id, kind: kind}
	s.mu.Lock()
	s.sent = append(s.sent, q)
	s.mu.Unlock()
	return q, head + "\r\n"
}

const emptyBody = "Content-Length: 0\r\n"

// request sends a request without a body on a new connection at a time after the begin of
// the stop.
func (s *stopTrial) request(kind string, after, deadline time.Duration) {
	s.wg.Go(func() {
		s.sleepUntil(after)
		s.sendTo(s.p, kind, deadline)
	})
}

// sendTo sends a request without a body to a gateway on a new connection, and returns the
// status of its answer.
func (s *stopTrial) sendTo(p *process, kind string, deadline time.Duration) int {
	q, head := s.head(kind, deadline, emptyBody)
	c := s.dialTo(p)
	if c == nil {
		return 0
	}
	defer c.Close()
	s.write(c, head)
	q.later = s.later[p]
	s.end(c, q)
	return q.status
}

// dial returns a connection, or nil if the gateway has ended.
func (s *stopTrial) dial() *callerConn { return s.dialTo(s.p) }

func (s *stopTrial) dialTo(p *process) *callerConn {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(unlimited))
	return &callerConn{c, bufio.NewReader(c)}
}

// hasInput reports whether an answer or the end of the connection has come.
func (c *callerConn) hasInput() bool {
	_ = c.SetDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetDeadline(time.Now().Add(unlimited))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// write sends a part of a request. Errors show in its answer.
func (s *stopTrial) write(c *callerConn, text string) { _, _ = io.WriteString(c, text) }

// end waits for the answer to a request whose last byte has just been sent.
func (s *stopTrial) end(c *callerConn, q *stopRequest) { s.endSince(c, q, time.Now()) }

// endSince waits for the answer to a request whose last byte was sent at a time.
func (s *stopTrial) endSince(c *callerConn, q *stopRequest, sent time.Time) {
	a := answer{}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
	} else {
		var b []byte
		b, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.header, a.body = resp.StatusCode, resp.Header, string(b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.after, q.took, q.answer = sent.Sub(s.begun)-q.later, time.Since(sent), a
}

// check waits for all requests and checks their ends. Servers must have got at least a
// number of them.
func (s *stopTrial) check(minSends int) {
	s.t.Helper()
	s.wg.Wait()
	if s.took > stopGrace {
		s.t.Errorf("planned stop: took %v, want at most %v", s.took, stopGrace)
	}
	if s.sends < minSends {
		s.t.Errorf("requests at servers: got %d, want at least %d", s.sends, minSends)
	}
	counts := map[string]int{}
	for _, q := range s.sent {
		runs := s.runs(q.id)
		counts[fmt.Sprint(q.kind, " ", q.status)]++
		switch {
		case q.took == 0:
			counts["not taken"]++
		case q.err != nil && q.status == 0 && runs == 0 && q.after > stopReject && q.took <= lossSlack:
			counts["crossed the close"]++
		case q.err != nil && (q.kind != "draft" || q.status == 0):
			s.t.Errorf("%s sent %v after the begin of the stop, %d runs: got status %d and %q (%v) after %v, want a whole answer",
				q.kind, q.after, runs, q.status, q.body, q.err, q.took)
		case q.err == nil && q.status == http.StatusServiceUnavailable && runs > 0:
			s.t.Errorf("%s sent %v after the begin of the stop: got 503, want another status, since it has run", q.kind, q.after)
		case q.kind == "draft" && q.err == nil && q.status == http.StatusOK && !strings.HasSuffix(q.body, lastEvent):
			s.t.Errorf("stream: got %q, ended as complete, want it to end with %q", q.body, lastEvent)
		case q.kind == "book" && runs > 1:
			s.t.Errorf("booking: got %d runs, want 1 at most", runs)
		}
	}
	s.t.Logf("ends of requests: %v", counts)
}

// upload sends a request whose body comes in two parts, each at a time after the begin of
// the stop. It sends the second part only if nothing has come yet.
func (s *stopTrial) upload(kind string, first, second time.Duration, framing, firstPart, secondPart string) {
	s.wg.Go(func() {
		s.sleepUntil(first)
		q, head := s.head(kind, unlimited, framing)
		c := s.dial()
		if c == nil {
			return
		}
		defer c.Close()
		s.write(c, head)
		if strings.Contains(framing, "100-continue") {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				return
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusContinue {
				return
			}
		}
		s.write(c, firstPart)
		s.sleepUntil(second)
		if c.hasInput() {
			return
		}
		s.write(c, secondPart)
		s.end(c, q)
	})
}

// wholeUpload sends a request with a body of a size at a time after the begin of the stop,
// also behind a refusal.
func (s *stopTrial) wholeUpload(kind string, after time.Duration, size int) {
	s.wg.Go(func() {
		s.sleepUntil(after)
		q, head := s.head(kind, unlimited, fmt.Sprintf("Content-Length: %d\r\n", size))
		c := s.dial()
		if c == nil {
			return
		}
		defer c.Close()
		s.write(c, head)
		time.Sleep(5 * time.Millisecond)
		s.write(c, strings.Repeat("x", size))
		s.end(c, q)
	})
}
