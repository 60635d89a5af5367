package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Shape of the group: the experts are those of the sheets, with fewer ranks.
const (
	sets, experts  = 3, 32
	expertsPerRank = 11
	maxNewExperts  = 4
	passTime       = 40 * time.Millisecond
	copyTime       = 400 * time.Millisecond
	engineSlots    = 12
	shiftPasses    = 100
	// maxMixedLines is the number of passes with two maps of which each has its line in the
	// record.
	maxMixedLines = 5
)

// group is a stand-in for a lock-step group of runners with requests in progress.
type group struct {
	scene *scene
	mu    sync.Mutex
	ranks []*rank
	pass  int64
	// mixed is the number of passes that began with two maps, and maps those that were used.
	mixed int
	maps  map[string]bool
	// onOrder may take an order, which then gets no answer. It is called with mu locked.
	onOrder func(rank int, o order) (unanswered bool)
	// passed is closed when the next pass begins, and serving set if the runners serve requests
	// of clients. Otherwise they report that they have some.
	passed  chan struct{}
	serving bool
}

// rank is one runner of a group.
type rank struct {
	address          string
	version, highest int64
	content          string
	experts          [][]int
	prepared         int64
	preparedAt       time.Time
	preparedContent  string
	preparedExperts  [][]int
	armed, armedPass int64
	held             int64
	counts           []int64
	born             int64
	// silentUntil is until when the runner sends and does nothing but passes.
	silentUntil time.Time
	// muteUntil is until when the runner sends no answers, though it does what it is told.
	muteUntil time.Time
	running   int
}

// order is the body of an order.
type order struct {
	Op      string    `json:"op"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

func (o order) String() string { return fmt.Sprintf("%s version %d step %d", o.Op, o.Version, o.Step) }

// startGroup starts the runners of a group on hosts from first on.
func (s *scene) startGroup(first, size int) (*group, error) {
	g := &group{scene: s, maps: map[string]bool{}, passed: make(chan struct{})}
	for i := range size {
		r := &rank{content: "map 0", armedPass: -1, held: -1, counts: make([]int64, sets*experts), born: time.Now().UnixMilli()}
		for range sets {
			var list []int
			for e := i; e < experts; e += size {
				list = append(list, e)
			}
			r.experts = append(r.experts, list)
		}
		l, err := net.Listen("tcp", s.host(first+i)+":0")
		if err != nil {
			return nil, err
		}
		r.address = l.Addr().String()
		g.ranks = append(g.ranks, r)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /report", func(w http.ResponseWriter, q *http.Request) { g.awake(i, q, func() { g.report(w, i) }) })
		mux.HandleFunc("GET /picked", func(w http.ResponseWriter, q *http.Request) { g.awake(i, q, func() { g.picked(w, q, i) }) })
		mux.HandleFunc("POST /order", func(w http.ResponseWriter, q *http.Request) { g.order(w, q, i) })
		mux.HandleFunc("POST /stream/", func(w http.ResponseWriter, q *http.Request) { g.stream(w, q, i) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(l) }()
		s.atEnd(func() { server.Close() })
	}
	stop := make(chan struct{})
	s.atEnd(func() { close(stop) })
	go func() {
		t := time.NewTicker(passTime)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				g.begin()
			case <-stop:
				return
			}
		}
	}()
	return g, nil
}

// awake waits until a runner is not silent, and calls f with mu locked.
func (g *group) awake(i int, q *http.Request, f func()) {
	for {
		g.mu.Lock()
		left := max(time.Until(g.ranks[i].silentUntil), time.Until(g.ranks[i].muteUntil))
		if left <= 0 {
			f()
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		select {
		case <-time.After(left):
		case <-q.Context().Done():
			return
		}
	}
}

// begin begins the next pass, unless a rank holds it or is silent.
func (g *group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.held == next || time.Now().Before(r.silentUntil) {
			return
		}
	}
	g.pass = next
	close(g.passed)
	g.passed = make(chan struct{})
	used := map[string]int{}
	list := ""
	for i, r := range g.ranks {
		if r.armed != 0 && r.armedPass <= next {
			r.version, r.content, r.experts = r.armed, r.preparedContent, r.preparedExperts
			r.armed, r.armedPass, r.prepared = 0, -1, 0
		}
		used[fmt.Sprint(r.version, r.content)]++
		list += fmt.Sprintf(" rank %d: %d;", i, r.version)
	}
	for m := range used {
		if !g.maps[m] {
			g.maps[m] = true
			g.scene.recordf("pass %d begins with a new map:%s", next, list)
		}
	}
	if len(used) > 1 {
		if g.mixed++; g.mixed <= maxMixedLines || g.mixed%100 == 0 {
			g.scene.recordf("MAP: pass %d begins with %d maps:%s (%d such passes)", next, len(used), list, g.mixed)
		}
	}
	popular := int(next/shiftPasses*7) % experts
	for _, r := range g.ranks {
		for i := range r.counts {
			r.counts[i] += 10
			if e := i % experts; e == popular || e == (popular+len(g.ranks))%experts {
				r.counts[i] += 400
			}
		}
	}
}

func (g *group) report(w http.ResponseWriter, i int) {
	r := g.ranks[i]
	running := 6
	if g.serving {
		running = r.running
	}
	out := map[string]any{"stage": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
		"group": map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}, "size": len(g.ranks), "born": r.born,
		"running": running, "waiting": 0, "step": g.pass, "map": r.version, "pace": 1.0}
	if r.prepared != 0 && !time.Now().Before(r.preparedAt) {
		out["prepared"] = r.prepared
	}
	if r.armed != 0 {
		out["armed"] = map[string]int64{"version": r.armed, "step": r.armedPass}
	}
	if r.held > g.pass {
		out["held"] = r.held
	}
	writeJSON(w, out)
}

func (g *group) picked(w http.ResponseWriter, q *http.Request, i int) {
	r := g.ranks[i]
	if q.URL.Query().Get("lists") != "" {
		writeJSON(w, map[string]any{"step": g.pass, "epoch": 1, "map": map[string]any{"version": r.version, "experts": r.experts}})
		return
	}
	writeJSON(w, map[string]any{"step": g.pass, "epoch": 1, "counts": r.counts})
}

func (g *group) order(w http.ResponseWriter, q *http.Request, i int) {
	b, err := io.ReadAll(q.Body)
	var o order
	if err != nil || json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	unanswered := g.onOrder != nil && g.onOrder(i, o)
	g.mu.Unlock()
	if unanswered {
		<-q.Context().Done()
		return
	}
	// What a silent runner was told it does when it goes on, though nobody waits any more.
	g.awakeAlways(i, func() {
		status := g.carryOut(i, o)
		if o.Op != "prepare" || status != http.StatusOK {
			g.scene.recordf("rank %d: %v: %d", i, o, status)
		}
		if mute := time.Until(g.ranks[i].muteUntil); mute > 0 {
			g.mu.Unlock()
			time.Sleep(mute)
			g.mu.Lock()
		}
		w.WriteHeader(status)
	})
}

// streamEvents is the number of events of a stream, of which each pass makes one.
const streamEvents = 24

// stream serves a request of a client: a stream with an event for each pass.
func (g *group) stream(w http.ResponseWriter, q *http.Request, i int) {
	id := q.Header.Get("Nutmegnotch-Request-Id")
	h := w.Header()
	h.Set("Nutmegnotch-Request-Id", id)
	if q.Header.Get("Nutmegnotch-Expect-Instance") != fmt.Sprintf("i-%d", i) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r := g.ranks[i]
	g.mu.Lock()
	full := r.running >= engineSlots
	if !full {
		r.running++
	}
	g.mu.Unlock()
	if full {
		h.Set("Nutmegnotch-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.mu.Lock()
		r.running--
		g.mu.Unlock()
	}()
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= streamEvents; n++ {
		g.mu.Lock()
		passed := g.passed
		g.mu.Unlock()
		select {
		case <-passed:
		case <-q.Context().Done():
			return
		}
		if n == first+1 {
			h.Set("Content-Type", "text/event-stream")
			h.Set("Nutmegnotch-Response-Seal", fmt.Sprintf("seal.i-%d", i))
			w.WriteHeader(http.StatusOK)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

func (g *group) awakeAlways(i int, f func()) {
	for {
		g.mu.Lock()
		left := time.Until(g.ranks[i].silentUntil)
		if left <= 0 {
			f()
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(left)
	}
}

// carryOut carries out an order and returns the status of its answer. mu must be locked.
func (g *group) carryOut(i int, o order) int {
	r := g.ranks[i]
	if o.Epoch != 1 {
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
		if o.Step <= g.pass || r.held > g.pass && r.held != o.Step {
			return http.StatusConflict
		}
		r.held = o.Step
	case "go":
		if r.held == o.Step {
			r.held = -1
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (g *group) prepare(r *rank, i int, o order) int {
	if r.prepared == o.Version {
		return http.StatusOK
	}
	if o.Version <= r.highest || r.armed != 0 || len(o.Map) != sets {
		return http.StatusConflict
	}
	var lists [][]int
	copies := 0
	for s := range o.Map {
		list, added := o.Map[s][i], 0
		for _, e := range list {
			if !contains(r.experts[s], e) {
				added++
			}
		}
		if added > maxNewExperts || len(list) > expertsPerRank {
			return http.StatusConflict
		}
		copies += added
		lists = append(lists, list)
	}
	r.highest, r.prepared, r.preparedExperts, r.preparedContent = o.Version, o.Version, lists, fmt.Sprint(o.Map)
	r.preparedAt = time.Now().Add(time.Duration(copies) * copyTime)
	return http.StatusAccepted
}

func contains(list []int, x int) bool {
	for _, e := range list {
		if e == x {
			return true
		}
	}
	return false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// engineConfig is the service of the group in the configuration.
func engineConfig() map[string]any {
	return map[string]any{"name": "model", "health_path": "/health", "max_conns": 418, "cold_start_s": 3.0, "cold_per_s": 36.0,
		"engine": map[string]any{"slots": 12, "kv_capacity": 280000, "link_mbps": 44000.0, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905,
			"usual": map[string]any{"prompt": 835, "answer": 97}, "expert_sets": sets, "experts": experts, "placements": expertsPerRank,
			"spare_slots": maxNewExperts, "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0}}
}
