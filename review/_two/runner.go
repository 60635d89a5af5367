package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which runners write their entries.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a runner.
type arrival struct {
	id, client string
	at         time.Time
	life       int
	status     int
}

// runner is a stand-in for a runner of a plain service. It can end and start again under the
// same id and at the same address.
type runner struct {
	scene   *scene
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration

	mu   sync.Mutex
	life int
	born int64
	seq  int
	// state is that of its entry.
	state    string
	running  int
	arrivals []arrival
	server   *http.Server
	// stopped ends the heartbeats of a life.
	stopped chan struct{}
	// coldUntil is when the runner stops being cold.
	coldUntil time.Time
	// onBeat may take the next entry, which is then not written.
	onBeat func(entry map[string]any) (taken bool)
}

func (s *scene) newRunner(host int, id, service, zone string, slots int, work time.Duration) (*runner, error) {
	a, err := s.address(host)
	if err != nil {
		return nil, err
	}
	r := &runner{scene: s, id: id, service: service, zone: zone, address: a, slots: slots, work: work}
	s.atEnd(r.end)
	return r, nil
}

// start begins a life.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.life++
	r.born, r.seq, r.state, r.running = time.Now().UnixMilli(), 0, "ready", 0
	stopped := make(chan struct{})
	r.stopped = stopped
	life := r.life
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.handle(w, q, life) }), ReadHeaderTimeout: 5 * time.Second}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.scene.recordf("runner %s: life %d begins", r.id, life)
	r.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.beat()
			case <-stopped:
				return
			}
		}
	}()
	return nil
}

// beat writes the entry of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	entry := r.entry()
	taken := r.onBeat != nil && r.onBeat(entry)
	r.mu.Unlock()
	if !taken {
		r.scene.store.PutJSON(serversTopic, r.id, entry)
	}
}

func (r *runner) entry() map[string]any {
	return map[string]any{"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold_left_ms": max(0, time.Until(r.coldUntil).Milliseconds()), "seq": r.seq, "born": r.born}
}

// leave reports that the runner drains. Its answers say so too.
func (r *runner) leave() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
	r.scene.recordf("runner %s: life %d drains; the store has accepted its report", r.id, r.life)
}

// end ends the life of the runner without a word, as a crash does.
func (r *runner) end() {
	r.mu.Lock()
	server, stopped := r.server, r.stopped
	r.server, r.stopped = nil, nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	close(stopped)
	server.Close()
}

// shutDown ends the life of the runner as planned.
func (r *runner) shutDown() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		r.scene.recordf("runner %s: %v", r.id, err)
	}
	r.end()
	r.scene.store.Put(serversTopic, r.id, nil)
	r.scene.recordf("runner %s: life %d has ended; its entry is removed", r.id, r.life)
}

func (r *runner) handle(w http.ResponseWriter, q *http.Request, life int) {
	id := q.Header.Get("Nutmegnotch-Request-Id")
	h := w.Header()
	h.Set("Nutmegnotch-Request-Id", id)
	if q.Header.Get("Nutmegnotch-Expect-Instance") != r.id {
		h.Set("Nutmegnotch-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	status := http.StatusOK
	if r.running >= r.slots {
		status = http.StatusServiceUnavailable
	} else {
		r.running++
	}
	running, leaving := r.running, r.state == "draining"
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), life: life, status: status})
	r.mu.Unlock()
	r.scene.recordf("request %s reaches runner %s, life %d, draining %t", id, r.id, life, leaving)
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Nutmegnotch-Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if status != http.StatusOK {
		h.Set("Nutmegnotch-Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	h.Set("Nutmegnotch-Response-Seal", fmt.Sprintf("seal.%s.%d", r.id, life))
	_, _ = fmt.Fprintf(w, "%s ran %s (%d bytes)\n", r.id, id, len(body))
}

func (r *runner) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
