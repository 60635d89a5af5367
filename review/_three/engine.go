package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engineFirstEvent is the time until the first event of an answer.
const engineFirstEvent = 300 * time.Millisecond

// engineConfig holds the settings of engines.
type engineConfig struct {
	// crashPart is the part of a prompt that ends a process; empty for none.
	crashPart string
	// events is the number of events of an answer, and gap the time between two of them.
	events int
	gap    time.Duration
	// down is the time after which a process that has ended is back.
	down time.Duration
}

// shortAnswers are the settings of engines with answers of half a second.
var shortAnswers = engineConfig{events: 6, gap: 40 * time.Millisecond, down: 3 * time.Second}

// engineServer is a stand-in of a model engine without a group. A request with crashPart
// among the parts of its prompt ends its process when it begins to write the answer; the
// process is back later, with a new id.
type engineServer struct {
	d     *deployment
	name  string
	zone  string
	addr  string
	slots int
	cfg   engineConfig

	mu      sync.Mutex
	starts  int
	id      string
	srv     *http.Server
	stop    chan struct{}
	closed  bool
	runs    []engineRun
	crashes []time.Time
}

// engineRun is a request that the engine has begun to run.
type engineRun struct {
	at      time.Time
	id      string
	hasPart bool
}

func newEngineServer(d *deployment, name, zone string, slots int, cfg engineConfig) (*engineServer, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &engineServer{d: d, name: name, zone: zone, addr: addr, slots: slots, cfg: cfg}
	return s, s.start()
}

// start starts a process.
func (s *engineServer) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("start engine %s: %w", s.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	id, stop := s.id, make(chan struct{})
	s.stop = stop
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id) }), ReadHeaderTimeout: time.Minute}
	s.srv = srv
	go func() { _ = srv.Serve(l) }()
	go s.beat(id, time.Now(), stop)
	return nil
}

// beat writes the entry of a process until it ends. The store removes the entry after three
// heartbeats of silence.
func (s *engineServer) beat(id string, born time.Time, stop chan struct{}) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for seq := 0; ; seq++ {
		s.d.store.PutJSON("keyed.servers", id, map[string]any{"service": "model", "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born.UnixMilli()})
		select {
		case <-t.C:
		case <-stop:
			time.Sleep(3 * heartbeatInterval)
			s.d.store.Put("keyed.servers", id, nil)
			return
		}
	}
}

// crash ends the process with an id, and starts another one later.
func (s *engineServer) crash(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id || s.closed {
		return
	}
	s.id = ""
	s.crashes = append(s.crashes, time.Now())
	close(s.stop)
	srv := s.srv
	go func() {
		srv.Close()
		time.Sleep(s.cfg.down)
		if err := s.start(); err != nil {
			s.d.record.add("engine %s did not start again: %v", s.name, err)
		}
	}()
}

// close ends the engine for good.
func (s *engineServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.srv.Close()
}

// serve handles a request at the process with an id.
func (s *engineServer) serve(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	request := r.Header.Get("Nutmegnotch-Request-Id")
	h.Set("Nutmegnotch-Request-Id", request)
	if r.Header.Get("Nutmegnotch-Expect-Instance") != id {
		h.Set("Nutmegnotch-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	hasPart := strings.Contains(r.Header.Get("Nutmegnotch-Prompt-Prefix"), badPart+":")
	s.mu.Lock()
	s.runs = append(s.runs, engineRun{time.Now(), request, hasPart})
	s.mu.Unlock()
	select {
	case <-time.After(engineFirstEvent):
	case <-r.Context().Done():
		return
	}
	if hasPart && s.cfg.crashPart == badPart {
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	h.Set("Nutmegnotch-Response-Seal", "seal."+id)
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for n := range s.cfg.events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, request); err != nil {
			return
		}
		_ = rc.Flush()
		select {
		case <-time.After(s.cfg.gap):
		case <-r.Context().Done():
			return
		}
	}
}
