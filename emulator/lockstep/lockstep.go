// Package lockstep is a stand-in for a group of model engines that run in
// lock-step on an expert map. It speaks the control calls of the published
// protocol and notes whether a pass began while two ranks had different maps.
package lockstep

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Config describes a group.
type Config struct {
	Ranks, Sets, Experts int
	// PassTime is the time of a pass, CopyTime the time to copy one expert.
	PassTime, CopyTime time.Duration
	// LateOrderShare is the share of orders that get no answer and are carried out up
	// to MaxOrderDelay later.
	LateOrderShare float64
	MaxOrderDelay  time.Duration
	Seed           uint64
}

// Group is one stand-in group.
type Group struct {
	cfg    Config
	mu     sync.Mutex
	rnd    *rand.Rand
	ranks  []*rank
	epoch  int64
	pass   int64
	broken []string
	held   time.Duration
	maps   map[string]bool
	servs  []*http.Server
	stop   chan struct{}
	wg     sync.WaitGroup
}

type rank struct {
	address          string
	version, highest int64
	experts          [][]int
	prepared         int64
	preparedAt       time.Time
	preparedExperts  [][]int
	preparedMap      string
	content          string
	armed, armedPass int64
	heldPass         int64
	counts           []int64
	born             int64
}

// New starts a group on loopback addresses.
func New(cfg Config) (*Group, error) {
	g := &Group{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), epoch: 0, maps: map[string]bool{}, stop: make(chan struct{})}
	for i := range cfg.Ranks {
		r := &rank{counts: make([]int64, cfg.Sets*cfg.Experts), born: time.Now().UnixMilli()}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", i+1))
		if err != nil {
			g.Close()
			return nil, fmt.Errorf("listen for rank %d: %w", i, err)
		}
		r.address = l.Addr().String()
		g.ranks = append(g.ranks, r)
		s := &http.Server{Handler: g.handler(i), ReadHeaderTimeout: time.Second}
		g.servs = append(g.servs, s)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			_ = s.Serve(l)
		}()
	}
	g.StartEpoch()
	g.wg.Add(1)
	go g.run()
	return g, nil
}

// Address returns where the engine of a rank listens.
func (g *Group) Address(i int) string { return g.ranks[i].address }

// Close ends the group.
func (g *Group) Close() {
	close(g.stop)
	for _, s := range g.servs {
		s.Close()
	}
	g.wg.Wait()
}

// StartEpoch begins a new epoch with map 0.
func (g *Group) StartEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.pass = 0
	for i, r := range g.ranks {
		r.version, r.highest, r.prepared, r.armed, r.armedPass, r.heldPass = 0, 0, 0, 0, -1, -1
		r.content = "map 0"
		r.experts = make([][]int, g.cfg.Sets)
		for s := range r.experts {
			for e := i; e < g.cfg.Experts; e += g.cfg.Ranks {
				r.experts[s] = append(r.experts[s], e)
			}
		}
	}
}

// SetLateOrderShare changes the share of orders that are carried out late.
func (g *Group) SetLateOrderShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.LateOrderShare = share
}

// Violations lists the passes that began with more than one map.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.broken...)
}

// Stats returns the passes of this epoch, the number of maps that were used
// and the time for which passes were held.
func (g *Group) Stats() (passes int64, maps int, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass, len(g.maps), g.held
}

// HasHold reports whether a rank holds a pass.
func (g *Group) HasHold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.heldPass > g.pass {
			return true
		}
	}
	return false
}

func (g *Group) run() {
	defer g.wg.Done()
	t := time.NewTicker(g.cfg.PassTime)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.begin()
		}
	}
}

// begin begins the next pass unless it is held.
func (g *Group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.heldPass == next {
			g.held += g.cfg.PassTime
			return
		}
	}
	g.pass = next
	used := map[string]bool{}
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedPass <= next {
			r.version, r.experts, r.content = r.armed, r.preparedExperts, r.preparedMap
			r.armed, r.armedPass, r.prepared = 0, -1, 0
		}
		used[fmt.Sprint(r.version, " ", r.content)] = true
	}
	for m := range used {
		g.maps[m] = true
	}
	if len(used) > 1 {
		g.broken = append(g.broken, fmt.Sprintf("pass %d of epoch %d began with %d maps", next, g.epoch, len(used)))
	}
	g.choose()
}

// choose counts the choices of a pass: an expert is liked that changes with the
// epoch of demand, 2 s long at 20 ms a pass.
func (g *Group) choose() {
	liked := int(g.pass/100*7) % g.cfg.Experts
	for _, r := range g.ranks {
		for i := range r.counts {
			e := i % g.cfg.Experts
			r.counts[i] += 10
			if e == liked || e == (liked+g.cfg.Ranks)%g.cfg.Experts {
				r.counts[i] += 400
			}
		}
	}
}

func (g *Group) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { g.report(w, i) })
	mux.HandleFunc("GET /picked", func(w http.ResponseWriter, r *http.Request) { g.picked(w, r, i) })
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) { g.order(w, r, i) })
	return mux
}

func (g *Group) report(w http.ResponseWriter, i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	out := map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": i, "state": "open"}, "size": len(g.ranks), "born": r.born,
		"running": 3, "waiting": 0, "step": g.pass, "map": r.version, "prepared": nil, "armed": nil, "held": nil, "seq": 0,
	}
	if r.prepared != 0 && time.Now().After(r.preparedAt) {
		out["prepared"] = r.prepared
	}
	if r.armed != 0 {
		out["armed"] = map[string]int64{"version": r.armed, "step": r.armedPass}
	}
	if r.heldPass >= 0 && r.heldPass > g.pass {
		out["held"] = r.heldPass
	}
	writeJSON(w, out)
}

func (g *Group) picked(w http.ResponseWriter, req *http.Request, i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	if req.URL.Query().Get("lists") != "" {
		writeJSON(w, map[string]any{"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": r.experts}})
		return
	}
	writeJSON(w, map[string]any{"step": g.pass, "epoch": g.epoch, "counts": r.counts})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

type orderBody struct {
	Op      string    `json:"op"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

// order answers an order, or carries it out late.
func (g *Group) order(w http.ResponseWriter, req *http.Request, i int) {
	var o orderBody
	b, err := io.ReadAll(req.Body)
	if err != nil || json.NewDecoder(strings.NewReader(string(b))).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	late := g.rnd.Float64() < g.cfg.LateOrderShare
	delay := time.Duration(g.rnd.Float64() * float64(g.cfg.MaxOrderDelay))
	g.mu.Unlock()
	if !late {
		w.WriteHeader(g.apply(i, o))
		return
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		select {
		case <-time.After(delay):
			g.apply(i, o)
		case <-g.stop:
		}
	}()
	<-req.Context().Done()
}

// apply carries out an order and returns the status of its answer.
func (g *Group) apply(i int, o orderBody) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	if o.Epoch != g.epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		return g.prepare(r, i, o)
	case "arm":
		if r.prepared != o.Version || time.Now().Before(r.preparedAt) || o.Step <= g.pass {
			return http.StatusConflict
		}
		r.armed, r.armedPass = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armed == o.Version {
			r.armed, r.armedPass = 0, -1
		}
	case "hold":
		if o.Step <= g.pass || r.heldPass > g.pass && r.heldPass != o.Step {
			return http.StatusConflict
		}
		r.heldPass = o.Step
	case "go":
		if r.heldPass == o.Step {
			r.heldPass = -1
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (g *Group) prepare(r *rank, i int, o orderBody) int {
	if r.prepared == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != g.cfg.Sets {
		return http.StatusConflict
	}
	experts := make([][]int, len(o.Map))
	fresh := 0
	for s := range o.Map {
		experts[s] = o.Map[s][i]
		fresh += missing(r.experts[s], experts[s])
	}
	r.highest, r.prepared, r.preparedExperts, r.preparedMap = o.Version, o.Version, experts, fmt.Sprint(o.Map)
	r.preparedAt = time.Now().Add(time.Duration(fresh) * g.cfg.CopyTime)
	return http.StatusAccepted
}

// missing counts the experts that a rank has to copy.
func missing(have, want []int) int {
	known := map[int]bool{}
	for _, e := range have {
		known[e] = true
	}
	n := 0
	for _, e := range want {
		if !known[e] {
			n++
		}
	}
	return n
}
