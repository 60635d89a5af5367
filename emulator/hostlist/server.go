// Package hostlist emulates the platform's list of live and leaving hosts. It can
// inject a lag and outages.
package hostlist

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"nutmegnotch/core"
)

// Faults are the faults that the service injects. It is the JSON body of POST /faults,
// which replaces all faults.
type Faults struct {
	// LagMS is the time after which a new list takes effect.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Outage makes the service respond 503 to reads.
	Outage bool `json:"outage,omitempty"`
}

// version is a list with the time at which it was put.
type version struct {
	putAt time.Time
	hosts []core.Host
}

// state is owned by the server's task. versions are in order of time.
type state struct {
	versions []version
	faults   Faults
}

// visible returns the newest list that is at least as old as the lag, or else the
// oldest list.
func (st *state) visible(now time.Time) []core.Host {
	latest := now.Add(-time.Duration(st.faults.LagMS) * time.Millisecond)
	i := len(st.versions) - 1
	for i > 0 && st.versions[i].putAt.After(latest) {
		i--
	}
	return st.versions[i].hosts
}

// Server emulates the host list. It implements http.Handler.
type Server struct {
	router *httprouter.Router
	ops    chan func(*state)
	stop   chan struct{}
	done   chan struct{}
}

// maxVersions is the number of lists kept for the lag.
const maxVersions = 1000

// New starts a server with the given list. Callers must call Close to stop it.
func New(hosts []core.Host) *Server {
	s := &Server{
		router: httprouter.New(),
		ops:    make(chan func(*state)),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	s.router.GET("/hosts", s.get)
	s.router.PUT("/hosts", s.put)
	s.router.POST("/faults", s.setFaults)
	go s.run(&state{versions: []version{{hosts: hosts}}})
	return s
}

// Close stops the server.
func (s *Server) Close() {
	close(s.stop)
	<-s.done
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) run(st *state) {
	defer close(s.done)
	for {
		select {
		case op := <-s.ops:
			op(st)
		case <-s.stop:
			return
		}
	}
}

// do runs op in the server's task, unless the server is closed.
func (s *Server) do(op func(*state)) {
	ran := make(chan struct{})
	select {
	case s.ops <- func(st *state) { op(st); close(ran) }:
		<-ran
	case <-s.done:
	}
}

// Put replaces the list.
func (s *Server) Put(hosts []core.Host) {
	s.do(func(st *state) {
		st.versions = append(st.versions, version{putAt: time.Now(), hosts: hosts})
		if len(st.versions) > maxVersions {
			st.versions = st.versions[1:]
		}
	})
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.do(func(st *state) { st.faults = f }) }

func (s *Server) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hosts := []core.Host{}
	var f Faults
	s.do(func(st *state) { hosts, f = append(hosts, st.visible(time.Now())...), st.faults })
	if f.Outage {
		http.Error(w, `{"error":"host list is out of service"}`, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	w.Header().Set("Vary", "Accept-Encoding")
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, r, data)
}

// write writes the response body, compressed if the client accepts gzip.
func write(w http.ResponseWriter, r *http.Request, data []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(data)
	_ = z.Close()
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var hosts []core.Host
	if err := decode(r, &hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := Validate(hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := decode(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// Validate returns an error that wraps core.ErrInvalid for the first invalid host, or
// nil if there is none.
func Validate(hosts []core.Host) error {
	seen := map[string]bool{}
	for i, h := range hosts {
		if h.ID == "" || seen[h.ID] {
			return fmt.Errorf("host %d: id %q is empty or appears twice: %w", i, h.ID, core.ErrInvalid)
		}
		if h.State != core.HostLive && h.State != core.HostLeaving {
			return fmt.Errorf("host %q: state is %q, it must be live or leaving: %w", h.ID, h.State, core.ErrInvalid)
		}
		if h.Role != core.RoleEntry && h.Role != core.RoleAgent {
			return fmt.Errorf("host %q: role is %q, it must be entry or agent: %w", h.ID, h.Role, core.ErrInvalid)
		}
		seen[h.ID] = true
	}
	return nil
}
