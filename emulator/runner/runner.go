// Package runner emulates a backend server of the platform: a plain service, or a model
// engine that streams events. It implements the published protocol on raw connections,
// so that it can violate it too.
package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of requests and replies.
const (
	headerRequestID      = "Nutmegnotch-Request-Id"
	headerExpectInstance = "Nutmegnotch-Expect-Instance"
	headerSeal           = "Nutmegnotch-Response-Seal"
	headerNotRun         = "Nutmegnotch-Not-Run"
	headerLeaving        = "Server-Leaving"
	headerLimit          = "Server-Limit"
	headerRetryAfter     = "Retry-After"
	headerPromptParts    = "Nutmegnotch-Prompt-Prefix"
)

// Fault is a fault of one request.
type Fault string

// Faults of a Runner.
const (
	FaultNone Fault = ""
	// FaultNotRun rejects the request without running it.
	FaultNotRun Fault = "not run"
	// FaultReset runs the request and resets the connection without a reply.
	FaultReset Fault = "reset"
	// FaultTruncated closes the connection in the middle of the body, or of an event.
	// It has no effect on a stream without further events.
	FaultTruncated Fault = "cut"
	// FaultExtraReply sends a second reply, with the id of another request, after a
	// plain reply.
	FaultExtraReply Fault = "extra"
	// FaultStaleReply sends a reply with the id of another request before the reply.
	FaultStaleReply Fault = "foreign"
	// FaultGarbage runs the request and sends bytes that are not an HTTP response.
	FaultGarbage Fault = "garbage"
	// FaultError runs the request and responds 500.
	FaultError Fault = "error"
	// FaultHang runs the request and never replies.
	FaultHang Fault = "hang"
)

// Config configures a Runner. If Events is positive, replies are streams of that many
// events.
type Config struct {
	ID            string
	Body          string
	Events        int
	EventInterval time.Duration
	// ProcessingTime is the time before a reply or the first event.
	ProcessingTime time.Duration
	// CrashMarker is a text in the target, the body or the list of prompt parts of a
	// request that ends the process of the Runner at CrashPoint. An empty text has no
	// effect.
	CrashMarker string
	CrashPoint  CrashPoint
	// Address is the address to listen on. If it is empty, the Runner picks one.
	Address string
	// Group is the lock-step group of the Runner; nil means none.
	Group *Group
}

// Run is a request that a Runner has run.
type Run struct {
	ID, Method, Target, Host, Body string
	Header                         http.Header
	At                             time.Time
	// Cancelled reports that the client closed the connection before the reply ended.
	Cancelled bool
}

// Runner is an emulated backend server. It is safe for concurrent use.
type Runner struct {
	cfg      Config
	listener net.Listener
	mu       sync.Mutex
	runs     []*Run
	faults   []Fault
	// faultsOf is the Runner whose queue of faults this one uses, if not its own.
	faultsOf *Runner
	conns    map[net.Conn]bool
	// leaving makes all replies say that the Runner leaves.
	leaving bool
	// limits are the values of the header in which all replies name a rate limit.
	limits []string
	// arrivals holds when requests arrived, those that were rejected too.
	arrivals []time.Time
	// pausedUntil is until when requests are rejected, with pauseHeader as Retry-After.
	pausedUntil time.Time
	pauseHeader string
	// quietUntil is until when nothing is sent.
	quietUntil time.Time
	// rejected holds the requests that were rejected by a pause.
	rejected []Rejection
	wg       sync.WaitGroup
	// crashed is closed when the process has ended, and ended is set. silent is set
	// if it has left its connections open.
	crashed       chan struct{}
	ended, silent bool
	// crashedBy is the target of the request that has ended the process.
	crashedBy string
}

// New starts a Runner on a loopback address. Callers must call Close to stop it.
func New(cfg Config) (*Runner, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Runner{cfg: cfg, listener: l, conns: map[net.Conn]bool{}, crashed: make(chan struct{})}
	r.wg.Add(1)
	go r.serve()
	return r, nil
}

// Address returns the address on which the Runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Close stops the Runner and closes its connections.
func (r *Runner) Close() {
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Fail queues faults. Each of them applies to one of the next requests, in order.
func (r *Runner) Fail(faults ...Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// Unfail drops the queued faults.
func (r *Runner) Unfail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = nil
}

// ShareFaults makes the Runner take its faults from the queue of another one, so that
// they apply in the order of the requests to both.
func (r *Runner) ShareFaults(o *Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsOf = o
}

// Runs returns all requests that were run, in order of their start.
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

// nextFault removes and returns the next queued fault.
func (r *Runner) nextFault() Fault {
	r.mu.Lock()
	if o := r.faultsOf; o != nil {
		r.mu.Unlock()
		return o.nextFault()
	}
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
		c, err := r.listener.Accept()
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
		if !r.handle(c, req, string(body)) {
			return
		}
	}
}

// handle handles a request. It reports whether the connection can be used again.
func (r *Runner) handle(c net.Conn, req *http.Request, body string) bool {
	if r.isSilent() {
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	id := req.Header.Get(headerRequestID)
	if want := req.Header.Get(headerExpectInstance); want != r.cfg.ID {
		writeReply(c, "421 Misdirected Request", id, "", r.stateHeaders(), "")
		return true
	}
	r.arrived()
	if r.rejectPaused(c, id) {
		return true
	}
	fault := r.nextFault()
	if fault == FaultNotRun || r.cfg.Group.stopped() {
		writeReply(c, "503 Service Unavailable", id, "", headerNotRun+": 1\r\n"+r.stateHeaders(), "")
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
		writeReply(c, "500 Internal Server Error", id, r.cfg.ID, r.stateHeaders(), "failed")
		return true
	case FaultStaleReply:
		writeReply(c, "200 OK", "another-request", r.cfg.ID, "", "not yours")
	case FaultHang:
		_, _ = io.Copy(io.Discard, c)
		r.markCancelled(run)
		return false
	}
	time.Sleep(r.cfg.ProcessingTime)
	r.awaitQuiet()
	if r.crashAtStart(c, run) {
		return false
	}
	if r.cfg.Events > 0 {
		return r.sendStream(c, run, fault)
	}
	return r.sendPlain(c, run, fault)
}

func (r *Runner) markCancelled(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Cancelled = true
}

// sendPlain sends a plain reply. It reports whether the connection can be used again.
func (r *Runner) sendPlain(c net.Conn, run *Run, fault Fault) bool {
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + run.ID + "\r\n" + headerSeal + ": seal." + r.cfg.ID + "\r\n"
	switch {
	case r.crashUnframed(c, run, []string{r.cfg.Body}):
		return false
	case framingFault(fault):
		r.sendBadlyFramed(c, run, fault, []string{r.cfg.Body})
		return false
	case fault == FaultTruncated:
		_, _ = io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(r.cfg.Body))+"\r\n\r\n"+r.cfg.Body[:len(r.cfg.Body)/2])
		return false
	}
	partial := head + "Content-Length: " + strconv.Itoa(len(r.cfg.Body)) + "\r\n\r\n"
	switch {
	case r.crashesAt(run, CrashAfterHead):
		r.crashAfter(c, run, partial)
		return false
	case r.crashesAt(run, CrashInBody):
		r.crashAfter(c, run, partial+r.cfg.Body[:len(r.cfg.Body)/2])
		return false
	}
	writeReply(c, "200 OK", run.ID, r.cfg.ID, r.stateHeaders(), r.cfg.Body)
	if fault == FaultExtraReply {
		writeReply(c, "200 OK", "another-request", r.cfg.ID, "", "not yours")
	}
	return true
}

// Event returns the event with an id as a Runner sends it.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// sendStream sends the events after the one named in the Last-Event-Id header. It
// reports whether the connection can be used again.
func (r *Runner) sendStream(c net.Conn, run *Run, fault Fault) bool {
	lastID := 0
	if last := run.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		lastID = n
	}
	var events []string
	for id := lastID + 1; id <= r.cfg.Events; id++ {
		events = append(events, Event(id))
	}
	switch {
	case len(events) == 0:
	case r.crashUnframed(c, run, events):
		return false
	case framingFault(fault):
		r.sendBadlyFramed(c, run, fault, events)
		return false
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		headerRequestID + ": " + run.ID + "\r\n" + headerSeal + ": seal." + r.cfg.ID + "\r\n" + r.stateHeaders() + "\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		r.markCancelled(run)
		return false
	}
	if r.crashesAt(run, CrashAfterHead) {
		r.crashAfter(c, run, "")
		return false
	}
	for id := lastID + 1; id <= r.cfg.Events; id++ {
		event := Event(id)
		if r.crashesAt(run, CrashInBody) && id == lastID+2 {
			r.crashAfter(c, run, fmt.Sprintf("%x\r\n%s", len(event), event[:len(event)/2]))
			return false
		}
		if fault == FaultTruncated && id == lastID+(r.cfg.Events-lastID)/2+1 {
			event = event[:len(event)/2]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		r.awaitQuiet()
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.markCancelled(run)
			return false
		}
		time.Sleep(r.cfg.EventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
