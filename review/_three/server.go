package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backendServer is a stand-in of a backend server of a plain service. It may end and start
// again under its id, at its address.
type backendServer struct {
	d                       *deployment
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	coldStart               time.Duration
	mu                      sync.Mutex
	srv                     *http.Server
	born                    time.Time
	seq                     int64
	coldUntil               time.Time
	running                 int
	stopBeats               chan struct{}
	// ended is set once the process has ended.
	ended    bool
	arrivals []arrival
	// collapseAt is the number of requests in a second above which a cold process ends, or 0
	// for none. collapses counts these ends.
	collapseAt float64
	collapses  int
	// storeDown keeps the reports from the store.
	storeDown func() bool
}

// arrival is a request that has reached the server and was meant for it. It begins to run then,
// unless it is rejected.
type arrival struct {
	at   time.Time
	born time.Time
	id   string
	cold bool
}

func newBackendServer(d *deployment, id, service, zone string, slots int, work, coldStart time.Duration) (*backendServer, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &backendServer{d: d, id: id, service: service, zone: zone, addr: addr, slots: slots, work: work, coldStart: coldStart,
		storeDown: func() bool { return false }}, nil
}

// start starts a process of the server. cold says whether it starts during traffic.
func (s *backendServer) start(cold bool) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("start server %s: %w", s.id, err)
	}
	s.mu.Lock()
	s.born, s.seq, s.running, s.ended = time.Now(), 0, 0, false
	s.coldUntil = time.Time{}
	if cold {
		s.coldUntil = s.born.Add(s.coldStart)
	}
	born := s.born
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, born) }), ReadHeaderTimeout: time.Minute}
	s.srv = srv
	stop := make(chan struct{})
	s.stopBeats = stop
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	go s.beat(stop)
	return nil
}

// beat writes the entry of the server until its process ends.
func (s *backendServer) beat(stop chan struct{}) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	written := false
	retry := time.NewTicker(100 * time.Millisecond)
	defer retry.Stop()
	for {
		if !s.isStoreDown() {
			s.write()
			written = true
		}
		select {
		case <-t.C:
		case <-retry.C:
			for written = written && !s.isStoreDown(); written; {
				select {
				case <-t.C:
					written = false
				case <-stop:
					return
				}
			}
		case <-stop:
			return
		}
	}
}

// write writes the entry of the server.
func (s *backendServer) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.d.store.PutJSON("keyed.servers", s.id, map[string]any{"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": max(0, time.Until(s.coldUntil).Milliseconds()), "seq": s.seq, "born": s.born.UnixMilli()})
	s.seq++
}

// setStoreDown sets what keeps the reports of the server from the store.
func (s *backendServer) setStoreDown(down func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
}

func (s *backendServer) isStoreDown() bool {
	s.mu.Lock()
	down := s.storeDown
	s.mu.Unlock()
	return down()
}

// becomeCold makes the process cold and writes its entry.
func (s *backendServer) becomeCold() {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(s.coldStart)
	s.mu.Unlock()
	s.write()
	s.d.record.add("server %s has become cold and has written so", s.id)
}

// leave removes the entry of the process, which goes on to serve.
func (s *backendServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stopBeats)
	s.stopBeats = make(chan struct{})
	s.d.store.Put("keyed.servers", s.id, nil)
}

// crash ends the process: its connections are reset and its port refuses.
func (s *backendServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

// end ends the process. The caller must hold mu.
func (s *backendServer) end() {
	s.ended = true
	close(s.stopBeats)
	s.srv.Close()
}

// collapse ends a cold process that got too many requests. It is back later. The caller must
// hold mu.
func (s *backendServer) collapse() {
	s.collapses++
	s.d.record.add("cold server %s has collapsed under its requests", s.id)
	s.end()
	time.AfterFunc(coldDown, func() {
		if err := s.start(true); err != nil {
			s.d.record.add("server %s did not start again: %v", s.id, err)
		}
	})
}

// coldInLastSecond returns the number of requests that have reached the cold process within
// the last second. The caller must hold mu.
func (s *backendServer) coldInLastSecond(now time.Time) int {
	n := 0
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i].at) < time.Second; i-- {
		if a := s.arrivals[i]; a.cold && a.born.Equal(s.born) {
			n++
		}
	}
	return n
}

// serve handles a request at the process that was started at a time.
func (s *backendServer) serve(w http.ResponseWriter, r *http.Request, born time.Time) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("Nutmegnotch-Request-Id")
	h.Set("Nutmegnotch-Request-Id", id)
	if r.Header.Get("Nutmegnotch-Expect-Instance") != s.id {
		h.Set("Nutmegnotch-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	now := time.Now()
	s.arrivals = append(s.arrivals, arrival{now, born, id, now.Before(s.coldUntil)})
	if s.collapseAt > 0 && s.born.Equal(born) && !s.ended && float64(s.coldInLastSecond(now)) > s.collapseAt {
		s.collapse()
	}
	full := s.running >= s.slots+2*s.slots
	if !full {
		s.running++
	}
	running := s.running
	s.mu.Unlock()
	h.Set("Nutmegnotch-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	if full {
		h.Set("Nutmegnotch-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born.Equal(born) {
			s.running--
		}
	}()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("Nutmegnotch-Response-Seal", "seal."+s.id)
	fmt.Fprintf(w, "%s:%d", id, len(body))
}

// mostInASecond returns the most requests that arrived within a second at the process that
// runs now while it was cold, and when that second began.
func (s *backendServer) mostInASecond() (most int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, a := range s.arrivals {
		if !a.cold {
			continue
		}
		n := 0
		for _, b := range s.arrivals[i:] {
			if b.cold && b.born.Equal(a.born) && b.at.Sub(a.at) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, a.at
		}
	}
	return most, at
}

// reachedServers returns the servers that each request has reached.
func reachedServers(servers []*backendServer) map[string][]reached {
	out := map[string][]reached{}
	for _, s := range servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			out[a.id] = append(out[a.id], reached{s.id, a.at})
		}
		s.mu.Unlock()
	}
	return out
}
