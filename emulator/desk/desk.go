// Package desk emulates a plain service with bookings, which must run at most once, and
// lookups.
package desk

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Run records one run of a request, for tests that check the history.
type Run struct {
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	BookingID      string `json:"booking_id,omitempty"`
	StartNS        int64  `json:"start_unix_ns"`
	EndNS          int64  `json:"end_unix_ns"`
}

// Kinds of runs.
const (
	KindBooking = "booking"
	KindLookup  = "lookup"
)

// Booking is the response to a booking and to a lookup. BodyHash identifies the body of
// the request that made the booking.
type Booking struct {
	ID             string `json:"booking_id"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	BodyHash       string `json:"body_hash"`
}

// Faults is the body of POST /faults, which replaces all faults. DelayMS delays the
// response after the effect, DropAnswer breaks the connection after a booking has taken
// effect, and Fail makes bookings respond 500 without an effect. CloseDelimited sends
// responses with neither a length nor chunks, which end with their connection, and Cut
// closes it in the middle of the body of such a response.
type Faults struct {
	DelayMS        int64 `json:"delay_ms"`
	DropAnswer     bool  `json:"drop_answer"`
	Fail           bool  `json:"fail"`
	CloseDelimited bool  `json:"close_delimited"`
	Cut            bool  `json:"cut"`
}

// Desk is the emulated service. It implements http.Handler.
type Desk struct {
	router *httprouter.Router
	ops    chan func(*state)
	stop   chan struct{}
	done   chan struct{}
}

// state is owned by the service's task.
type state struct {
	bookings map[string]Booking
	runs     []Run
	faults   Faults
}

// New starts a service. Callers must call Close to stop it.
func New() *Desk {
	d := &Desk{ops: make(chan func(*state)), stop: make(chan struct{}), done: make(chan struct{})}
	d.router = httprouter.New()
	d.router.HandlerFunc(http.MethodPost, "/bookings", d.book)
	d.router.GET("/bookings/:id", d.lookup)
	d.router.HandlerFunc(http.MethodGet, "/runs", d.listRuns)
	d.router.HandlerFunc(http.MethodPost, "/faults", d.setFaults)
	go d.run()
	return d
}

// Close stops the service.
func (d *Desk) Close() {
	close(d.stop)
	<-d.done
}

// ServeHTTP implements http.Handler.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

func (d *Desk) run() {
	defer close(d.done)
	s := &state{bookings: map[string]Booking{}}
	for {
		select {
		case op := <-d.ops:
			op(s)
		case <-d.stop:
			return
		}
	}
}

// do runs op in the service's task, unless the service is closed.
func (d *Desk) do(op func(*state)) {
	ran := make(chan struct{})
	select {
	case d.ops <- func(s *state) { op(s); close(ran) }:
		<-ran
	case <-d.done:
	}
}

func (d *Desk) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body cannot be read or is too large", http.StatusBadRequest)
		return
	}
	var b Booking
	var f Faults
	n := 0
	d.do(func(s *state) {
		f = s.faults
		if f.Fail {
			return
		}
		b = s.book(r.Header, body)
		n = len(s.runs) - 1
	})
	if f.Fail {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	d.do(func(s *state) { s.runs[n].EndNS = time.Now().UnixNano() })
	if f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	f.writeJSON(w, http.StatusCreated, b)
}

// book makes a booking and records the run.
func (s *state) book(h http.Header, body []byte) Booking {
	b := Booking{
		ID:             fmt.Sprintf("b-%d", len(s.bookings)+1),
		RequestID:      h.Get("X-Request-Id"),
		IdempotencyKey: h.Get("Idempotency-Key"),
		BodyHash:       BodyHash(body),
	}
	s.bookings[b.ID] = b
	s.runs = append(s.runs, Run{
		Kind:           KindBooking,
		RequestID:      b.RequestID,
		IdempotencyKey: b.IdempotencyKey,
		BookingID:      b.ID,
		StartNS:        time.Now().UnixNano(),
	})
	return b
}

func (d *Desk) lookup(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var b Booking
	var f Faults
	found := false
	d.do(func(s *state) {
		f = s.faults
		b, found = s.bookings[p.ByName("id")]
		now := time.Now().UnixNano()
		s.runs = append(s.runs, Run{Kind: KindLookup, RequestID: r.Header.Get("X-Request-Id"), BookingID: p.ByName("id"), StartNS: now, EndNS: now})
	})
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if !found {
		http.Error(w, "no such booking", http.StatusNotFound)
		return
	}
	f.writeJSON(w, http.StatusOK, b)
}

// Runs returns all runs in order of their start.
func (d *Desk) Runs() []Run {
	runs := []Run{}
	d.do(func(s *state) { runs = append(runs, s.runs...) })
	return runs
}

func (d *Desk) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"runs": d.Runs()})
}

// Inject replaces the faults.
func (d *Desk) Inject(f Faults) { d.do(func(s *state) { s.faults = f }) }

func (d *Desk) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, fmt.Sprintf("decode faults: %v", err), http.StatusBadRequest)
		return
	}
	d.Inject(f)
	writeJSON(w, http.StatusOK, f)
}

// BodyHash returns the hash that identifies the body of a request in responses.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeJSON is like the function of that name, with the faults of the framing.
func (f Faults) writeJSON(w http.ResponseWriter, status int, v any) {
	if !f.CloseDelimited {
		writeJSON(w, status, v)
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if f.Cut {
		body = body[:len(body)/2]
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n\r\n%s", status, http.StatusText(status), body)
}
