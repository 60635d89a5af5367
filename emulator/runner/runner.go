// Package runner is a stand-in for a backend server of the platform: a plain
// service or a model engine that streams events. It speaks the published
// protocol on raw connections, so that it can also break it.
package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of requests and replies.
const (
	headerRequestID = "Nutmegnotch-Request-Id"
	headerExpect    = "Nutmegnotch-Expect-Instance"
	headerSeal      = "Nutmegnotch-Response-Seal"
	headerNotRun    = "Nutmegnotch-Not-Run"
)

// Fault is a way in which the next requests fail.
type Fault string

// Faults of a stand-in.
const (
	FaultNone Fault = ""
	// FaultNotRun rejects requests without running them.
	FaultNotRun Fault = "not run"
	// FaultReset runs the request and resets the connection without a reply.
	FaultReset Fault = "reset"
	// FaultTruncated breaks off in the middle of the body, or of an event.
	FaultTruncated Fault = "cut"
	// FaultExtraReply sends a second reply with another id after the reply.
	FaultExtraReply Fault = "extra"
	// FaultStaleReply sends a late reply to another request before the reply.
	FaultStaleReply Fault = "foreign"
	// FaultCloseDelimited sends a body without a length that ends with its connection.
	FaultCloseDelimited Fault = "unframed"
	// FaultGarbage sends bytes that are no reply.
	FaultGarbage Fault = "garbage"
	// FaultError answers 500.
	FaultError Fault = "error"
	// FaultHang runs the request and never replies.
	FaultHang Fault = "hang"
)

// Config describes a stand-in. A positive Events makes replies streams.
type Config struct {
	ID            string
	Body          string
	Events        int
	EventInterval time.Duration
	// ProcessingTime is the time until a plain reply.
	ProcessingTime time.Duration
}

// Run is one request that a stand-in has run.
type Run struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
	At                             time.Time
	// Cancelled tells that the connection was closed before the reply ended.
	Cancelled bool
}

// Runner is one stand-in.
type Runner struct {
	cfg    Config
	l      net.Listener
	mu     sync.Mutex
	runs   []*Run
	faults []Fault
	conns  map[net.Conn]bool
	wg     sync.WaitGroup
}

// New starts a stand-in on a loopback address.
func New(cfg Config) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Runner{cfg: cfg, l: l, conns: map[net.Conn]bool{}}
	r.wg.Add(1)
	go r.serve()
	return r, nil
}

// Address returns where the stand-in listens.
func (r *Runner) Address() string { return r.l.Addr().String() }

// Close ends the stand-in and its connections.
func (r *Runner) Close() {
	r.l.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Fail makes the next requests fail, one for each fault.
func (r *Runner) Fail(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// Runs returns the requests that were run so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, len(r.runs))
	for i, x := range r.runs {
		out[i] = *x
	}
	return out
}

// Connections returns the number of open connections.
func (r *Runner) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

func (r *Runner) nextFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return FaultNone
	}
	f := r.faults[0]
	r.faults = r.faults[1:]
	return f
}

func (r *Runner) serve() {
	defer r.wg.Done()
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.wg.Add(1)
		go r.serveConn(c)
	}
}

func (r *Runner) serveConn(c net.Conn) {
	defer r.wg.Done()
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.reply(c, req, string(body)) {
			return
		}
	}
}

// reply answers one request and reports whether the connection goes on.
func (r *Runner) reply(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get(headerRequestID)
	if want := req.Header.Get(headerExpect); want != r.cfg.ID {
		writeReply(c, "421 Misdirected Request", id, "", "", "")
		return true
	}
	fault := r.nextFault()
	if fault == FaultNotRun {
		writeReply(c, "503 Service Unavailable", id, "", headerNotRun+": 1\r\n", "")
		return true
	}
	run := &Run{ID: id, Method: req.Method, Target: req.RequestURI, Host: req.Host, Body: body, Header: req.Header, At: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	switch fault {
	case FaultReset:
		reset(c)
		return false
	case FaultGarbage:
		_, _ = io.WriteString(c, "\x00\x01 this is no reply\r\n\r\n")
		return false
	case FaultError:
		writeReply(c, "500 Internal Server Error", id, r.cfg.ID, "", "failed")
		return true
	case FaultStaleReply:
		writeReply(c, "200 OK", "another-request", r.cfg.ID, "", "not yours")
	case FaultHang:
		_, _ = io.Copy(io.Discard, c)
		r.cancelled(run)
		return false
	}
	time.Sleep(r.cfg.ProcessingTime)
	if r.cfg.Events > 0 {
		return r.stream(c, run, fault)
	}
	return r.plain(c, run, fault)
}

func (r *Runner) cancelled(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Cancelled = true
}

func (r *Runner) plain(c net.Conn, run *Run, fault Fault) bool {
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + run.ID + "\r\n" + headerSeal + ": seal." + r.cfg.ID + "\r\n"
	switch fault {
	case FaultCloseDelimited:
		_, _ = io.WriteString(c, head+"\r\n"+r.cfg.Body)
		return false
	case FaultTruncated:
		_, _ = io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(r.cfg.Body))+"\r\n\r\n"+r.cfg.Body[:len(r.cfg.Body)/2])
		return false
	}
	writeReply(c, "200 OK", run.ID, r.cfg.ID, "", r.cfg.Body)
	if fault == FaultExtraReply {
		writeReply(c, "200 OK", "another-request", r.cfg.ID, "", "not yours")
	}
	return true
}

// Event returns the event with an id as the stand-in sends it.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// stream sends events behind the last one that the caller has.
func (r *Runner) stream(c net.Conn, run *Run, fault Fault) bool {
	from := 0
	if last := run.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		from = n
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		headerRequestID + ": " + run.ID + "\r\n" + headerSeal + ": seal." + r.cfg.ID + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		r.cancelled(run)
		return false
	}
	for id := from + 1; id <= r.cfg.Events; id++ {
		event := Event(id)
		if fault == FaultTruncated && id == from+(r.cfg.Events-from)/2+1 {
			event = event[:len(event)/2]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.cancelled(run)
			return false
		}
		time.Sleep(r.cfg.EventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func writeReply(c net.Conn, status, id, sealed, extra, body string) {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	if id != "" {
		b.WriteString(headerRequestID + ": " + id + "\r\n")
	}
	if sealed != "" {
		b.WriteString(headerSeal + ": seal." + sealed + "\r\n")
	}
	b.WriteString(extra)
	b.WriteString("Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	_, _ = io.WriteString(c, b.String())
}

// reset closes a connection so that the peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
