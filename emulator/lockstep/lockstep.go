// Package lockstep emulates a lock-step group of model engines that use an expert map.
// It implements the control API of the published protocol, and records each pass that
// began while two ranks had different maps.
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

	"nutmegnotch/emulator/loopback"
)

// Config configures a group. Sets is the number of expert sets and Experts the number
// of experts in each set.
type Config struct {
	Ranks, Sets, Experts int
	// PassTime is the duration of a pass and CopyTime the time to copy one expert.
	PassTime, CopyTime time.Duration
	// LateOrderShare is the fraction of orders that get no response and are executed up
	// to MaxOrderDelay later.
	LateOrderShare float64
	MaxOrderDelay  time.Duration
	Seed           uint64
}

// Group is an emulated group. It is safe for concurrent use.
type Group struct {
	cfg        Config
	mu         sync.Mutex
	rnd        *rand.Rand
	ranks      []*rank
	epoch      int64
	pass       int64
	violations []string
	holdTime   time.Duration
	// usedMaps are the maps that were in use during a pass, by version and content.
	usedMaps map[string]bool
	servers  []*http.Server
	stop     chan struct{}
	wg       sync.WaitGroup
}

// rank is the state of one rank. Its fields are protected by Group.mu.
type rank struct {
	address string
	// highestVersion is the highest version that was prepared in this epoch.
	version, highestVersion int64
	// experts lists the experts that the rank has in each set.
	experts         [][]int
	preparedVersion int64
	preparedAt      time.Time
	preparedExperts [][]int
	preparedMap     string
	// mapContent identifies the current map, in the same way as preparedMap.
	mapContent string
	// armedVersion is 0 and armedPass -1 if no map is armed. heldPass is -1 if no pass
	// is held.
	armedVersion, armedPass int64
	heldPass                int64
	choiceCounts            []int64
	startedUnixMS           int64
}

// New starts a group on loopback addresses. Callers must call Close to stop it.
func New(cfg Config) (*Group, error) {
	g := &Group{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 3)), epoch: 0, usedMaps: map[string]bool{}, stop: make(chan struct{})}
	for i := range cfg.Ranks {
		r := &rank{choiceCounts: make([]int64, cfg.Sets*cfg.Experts), startedUnixMS: time.Now().UnixMilli()}
		l, err := listen()
		if err != nil {
			g.Close()
			return nil, fmt.Errorf("listen for rank %d: %w", i, err)
		}
		r.address = l.Addr().String()
		g.ranks = append(g.ranks, r)
		s := &http.Server{Handler: g.handler(i), ReadHeaderTimeout: time.Second}
		g.servers = append(g.servers, s)
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

// listen listens on an address whose IP address no other rank has, since agents use the
// same port on all hosts.
func listen() (net.Listener, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// Address returns the address on which the engine of a rank listens.
func (g *Group) Address(i int) string { return g.ranks[i].address }

// Close stops the group.
func (g *Group) Close() {
	close(g.stop)
	for _, s := range g.servers {
		s.Close()
	}
	g.wg.Wait()
}

// StartEpoch starts a new epoch, as after the group has formed again. All ranks have
// map 0, and the passes count from 0.
func (g *Group) StartEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.pass = 0
	for i, r := range g.ranks {
		r.version, r.highestVersion, r.preparedVersion, r.armedVersion, r.armedPass, r.heldPass = 0, 0, 0, 0, -1, -1
		r.mapContent = "map 0"
		r.experts = make([][]int, g.cfg.Sets)
		for s := range r.experts {
			for e := i; e < g.cfg.Experts; e += g.cfg.Ranks {
				r.experts[s] = append(r.experts[s], e)
			}
		}
	}
}

// SetLateOrderShare changes the fraction of orders that are executed late.
func (g *Group) SetLateOrderShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.LateOrderShare = share
}

// Violations describes the passes that began with more than one map.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.violations...)
}

// Stats returns the number of passes in the current epoch, the number of maps used in
// all epochs and the total time for which passes were held.
func (g *Group) Stats() (passes int64, maps int, holdTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass, len(g.usedMaps), g.holdTime
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
			g.beginPass()
		}
	}
}

// beginPass begins the next pass unless a rank holds it.
func (g *Group) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.heldPass == next {
			g.holdTime += g.cfg.PassTime
			return
		}
	}
	g.pass = next
	used := map[string]bool{}
	for _, r := range g.ranks {
		if r.armedVersion != 0 && r.armedPass <= next {
			r.version, r.experts, r.mapContent = r.armedVersion, r.preparedExperts, r.preparedMap
			r.armedVersion, r.armedPass, r.preparedVersion = 0, -1, 0
		}
		used[fmt.Sprint(r.version, " ", r.mapContent)] = true
	}
	for m := range used {
		g.usedMaps[m] = true
	}
	if len(used) > 1 {
		g.violations = append(g.violations, fmt.Sprintf("pass %d of epoch %d began with %d maps", next, g.epoch, len(used)))
	}
	g.countChoices()
}

// countChoices counts how often each expert is chosen in a pass. Two experts of each set
// are in high demand. They change every 100 passes, which is 2 s at 20 ms a pass.
func (g *Group) countChoices() {
	popular := int(g.pass/100*7) % g.cfg.Experts
	for _, r := range g.ranks {
		for i := range r.choiceCounts {
			e := i % g.cfg.Experts
			r.choiceCounts[i] += 10
			if e == popular || e == (popular+g.cfg.Ranks)%g.cfg.Experts {
				r.choiceCounts[i] += 400
			}
		}
	}
}

// handler returns the control API of a rank.
func (g *Group) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { g.serveReport(w, i) })
	mux.HandleFunc("GET /picked", func(w http.ResponseWriter, r *http.Request) { g.serveCounts(w, r, i) })
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) { g.serveOrder(w, r, i) })
	return mux
}

func (g *Group) serveReport(w http.ResponseWriter, i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	out := map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": i, "state": "open"}, "size": len(g.ranks), "born": r.startedUnixMS,
		"running": 3, "waiting": 0, "step": g.pass, "map": r.version, "prepared": nil, "armed": nil, "held": nil, "seq": 0,
	}
	if r.preparedVersion != 0 && time.Now().After(r.preparedAt) {
		out["prepared"] = r.preparedVersion
	}
	if r.armedVersion != 0 {
		out["armed"] = map[string]int64{"version": r.armedVersion, "step": r.armedPass}
	}
	if r.heldPass >= 0 && r.heldPass > g.pass {
		out["held"] = r.heldPass
	}
	writeJSON(w, out)
}

// serveCounts responds with the choice counts of a rank, or with its experts if the query
// asks for lists.
func (g *Group) serveCounts(w http.ResponseWriter, req *http.Request, i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[i]
	if req.URL.Query().Get("lists") != "" {
		writeJSON(w, map[string]any{"epoch": g.epoch, "map": map[string]any{"version": r.version, "experts": r.experts}})
		return
	}
	writeJSON(w, map[string]any{"step": g.pass, "epoch": g.epoch, "counts": r.choiceCounts})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// orderBody is the body of POST /order. Map lists the experts by set and rank.
type orderBody struct {
	Op      string    `json:"op"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

// serveOrder executes an order and responds, or executes it late without a response.
func (g *Group) serveOrder(w http.ResponseWriter, req *http.Request, i int) {
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
		w.WriteHeader(g.applyOrder(i, o))
		return
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		select {
		case <-time.After(delay):
			g.applyOrder(i, o)
		case <-g.stop:
		}
	}()
	<-req.Context().Done()
}

// applyOrder executes an order and returns the HTTP status of the response.
func (g *Group) applyOrder(i int, o orderBody) int {
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
		if r.preparedVersion != o.Version || time.Now().Before(r.preparedAt) || o.Step <= g.pass {
			return http.StatusConflict
		}
		r.armedVersion, r.armedPass = o.Version, o.Step
	case "disarm":
		if r.version == o.Version {
			return http.StatusConflict
		}
		if r.armedVersion == o.Version {
			r.armedVersion, r.armedPass = 0, -1
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

// prepare starts to copy the experts of a map that the rank does not have.
func (g *Group) prepare(r *rank, i int, o orderBody) int {
	if r.preparedVersion == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.highestVersion || r.armedVersion != 0 || len(o.Map) != g.cfg.Sets {
		return http.StatusConflict
	}
	experts := make([][]int, len(o.Map))
	copies := 0
	for s := range o.Map {
		experts[s] = o.Map[s][i]
		copies += countMissing(r.experts[s], experts[s])
	}
	r.highestVersion, r.preparedVersion, r.preparedExperts, r.preparedMap = o.Version, o.Version, experts, fmt.Sprint(o.Map)
	r.preparedAt = time.Now().Add(time.Duration(copies) * g.cfg.CopyTime)
	return http.StatusAccepted
}

// countMissing returns the number of experts that a rank has to copy.
func countMissing(have, want []int) int {
	present := map[int]bool{}
	for _, e := range have {
		present[e] = true
	}
	n := 0
	for _, e := range want {
		if !present[e] {
			n++
		}
	}
	return n
}
