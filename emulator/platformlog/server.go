// Package platformlog emulates the platform's append-only log service. It implements
// the published protocol and can inject faults.
package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// Limits of the service.
const (
	defaultMaxRecordBytes = 16 << 20
	maxReadRecords        = 10_000
	maxReadBytes          = 32 << 20
	maxReadWait           = 30 * time.Second
	expiryInterval        = 100 * time.Millisecond
)

// Config sets the limits of the emulated service. MaxRecords is the number of records
// kept per stream. A zero Retention, MaxRecords or AppendsPerSecond means no limit, and
// a zero MaxRecordBytes means 16 MB.
type Config struct {
	Retention        time.Duration
	MaxRecords       int
	AppendsPerSecond float64
	AppendBurst      int
	MaxRecordBytes   int64
}

// Server emulates the log service. It implements http.Handler.
type Server struct {
	cfg     Config
	limiter *rate.Limiter
	router  *httprouter.Router
	ops     chan func(*store)
	stop    chan struct{}
	done    chan struct{}
}

// New starts a server without records. Callers must call Close to stop it.
func New(cfg Config) *Server {
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = defaultMaxRecordBytes
	}
	s := &Server{
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Inf, 0),
		router:  httprouter.New(),
		ops:     make(chan func(*store)),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	if cfg.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(1, cfg.AppendBurst))
	}
	s.router.POST("/streams/:stream/records", s.append)
	s.router.GET("/streams/:stream/records", s.read)
	s.router.GET("/streams/:stream", s.offsets)
	s.router.POST("/faults", s.setFaults)
	s.router.GET("/faults", s.getFaults)
	go s.run()
	return s
}

// Close stops the server and breaks the calls in progress.
func (s *Server) Close() {
	close(s.stop)
	<-s.done
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// run is the server's task, which owns the records and the faults.
func (s *Server) run() {
	defer close(s.done)
	st := newStore(s.cfg)
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case op := <-s.ops:
			op(st)
		case now := <-t.C:
			st.expire(now)
		case <-s.stop:
			return
		}
	}
}

// do runs op in the server's task. It reports false if the server is closed.
func (s *Server) do(op func(*store)) bool {
	ran := make(chan struct{})
	select {
	case s.ops <- func(st *store) { op(st); close(ran) }:
		<-ran
		return true
	case <-s.done:
		return false
	}
}

func (s *Server) append(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !s.applyFaults(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxRecordBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("record is larger than %d bytes", s.cfg.MaxRecordBytes))
		return
	}
	if err != nil || len(data) == 0 {
		writeError(w, http.StatusBadRequest, "record is empty or cut short")
		return
	}
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "too many appends")
		return
	}
	var offset int64
	var dropResponse bool
	if !s.do(func(st *store) { offset, dropResponse = st.append(p.ByName("stream"), data, time.Now()) }) || dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !s.applyFaults(w, r) {
		return
	}
	from, err1 := parseQuery(r, "from", 0, 1<<62)
	limit, err2 := parseQuery(r, "limit", 1000, maxReadRecords)
	wait, err3 := parseQuery(r, "wait_ms", 0, maxReadWait.Milliseconds())
	if err := errors.Join(err1, err2, err3); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		var a readResponse
		var changed <-chan struct{}
		if !s.do(func(st *store) { a, changed = st.read(p.ByName("stream"), from, int(limit)) }) {
			panic(http.ErrAbortHandler)
		}
		if from < a.FirstOffset {
			writeJSON(w, http.StatusGone, offsets{a.FirstOffset, a.NextOffset})
			return
		}
		if len(a.Records) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		case <-s.done:
			panic(http.ErrAbortHandler)
		}
		// An outage that began during the wait applies to the response too.
		if !s.applyFaults(w, r) {
			return
		}
	}
}

func (s *Server) offsets(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if !s.applyFaults(w, r) {
		return
	}
	var a readResponse
	s.do(func(st *store) { a, _ = st.read(p.ByName("stream"), 0, 0) })
	writeJSON(w, http.StatusOK, offsets{a.FirstOffset, a.NextOffset})
}

// parseQuery returns a query parameter between 0 and maxValue, or defaultValue if it
// is absent.
func parseQuery(r *http.Request, name string, defaultValue, maxValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxValue {
		return 0, fmt.Errorf("%s is %q, allowed are 0 to %d", name, text, maxValue)
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}
