package systemtest

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core"
	emurank "nutmegnotch/emulator/rank"
	"nutmegnotch/io/group"
)

// groupConfig configures a group. fencing reports whether the engine of a rank
// checks fences. With infoLevel set, agents log at level info as in production.
type groupConfig struct {
	ranks     int
	stepTime  time.Duration
	interval  time.Duration
	fencing   func(rank int) bool
	seed      uint64
	infoLevel bool
}

// Dimensions and costs of the groups under test. A map changes about once a
// second.
const (
	groupLayers              = 2
	groupExperts             = 16
	groupExpertBytes         = 1e6
	groupStoreBytesPerSecond = 50e6
	groupLoadTime            = 100 * time.Millisecond
	groupWindowSteps         = 16
	groupLoadPeriodSteps     = 600
)

// rankGroup is a group of emulated ranks in the test process, each with its
// agent as a separate process. Every link between agents, to the engines and to
// the log goes through a proxy.
type rankGroup struct {
	*cluster
	agents []*proc
	ranks  []*emurank.Rank
}

func allFencing(int) bool    { return true }
func noFencing(int) bool     { return false }
func halfFencing(r int) bool { return r%2 == 0 }

// newGroup starts a group and its agents.
func newGroup(t testing.TB, s groupConfig) *rankGroup {
	t.Helper()
	g := &rankGroup{cluster: newCluster(t, clusterConfig{})}
	barrier := emurank.NewBarrier(s.ranks)
	t.Cleanup(barrier.Close)
	store := emurank.NewWeightStore(groupStoreBytesPerSecond, groupExpertBytes)
	var ids, peers, engines []string
	for i := range s.ranks {
		p := g.newProc(core.RoleAgent, fmt.Sprintf("rank-%d", i), domainOf(i))
		e := emurank.New(emurank.Config{Rank: i, Ranks: s.ranks, Barrier: barrier, Fencing: s.fencing(i), StepTime: s.stepTime,
			LoadTime: groupLoadTime, Store: store, Load: driftingLoad(s.seed), WindowSteps: groupWindowSteps})
		t.Cleanup(e.Close)
		g.agents, g.ranks = append(g.agents, p), append(g.ranks, e)
		g.models = append(g.models, &backend{agent: p})
		ids, peers = append(ids, p.id), append(peers, p.peerAddr)
		engines = append(engines, g.link(p.id, p.id+"-engine", g.serve(e.Handler())).address())
	}
	for i, p := range g.agents {
		addresses := append([]string(nil), peers...)
		for j := range i {
			addresses[j] = g.link(p.id, ids[j], peers[j]).address()
		}
		text := settingsText(p, time.Hour, groupSettings(s, p, i, ids, addresses, engines[i]))
		if s.infoLevel {
			text = strings.Replace(text, `"debug"`, `"info"`, 1)
		}
		p.settings = writeFile(t, g.dir, p.id+".toml", text)
		p.start()
		t.Cleanup(p.kill)
	}
	return g
}

// groupSettings returns the settings of one rank's agent that follow the common
// ones.
func groupSettings(s groupConfig, p *proc, rank int, ids, addresses []string, engine string) string {
	quoted := func(list []string) string {
		b, _ := json.Marshal(list)
		return string(b)
	}
	return fmt.Sprintf(`[agent]
service = %q
backend_address = %q
[listen]
admin = %q
peer = %q
[group]
name = "g"
rank = %d
rank_ids = %s
rank_addresses = %s
engine_address = %q
layers = %d
experts = %d
[group.rebalance]
interval = %q
slots_per_rank = %d
expert_bytes = %d
store_bytes_per_second = %d
map_life = "10s"
`, modelService, engine, p.adminAddr, p.peerAddr, rank, quoted(ids), quoted(addresses), engine, groupLayers, groupExperts,
		s.interval, max(3, 2*groupExperts/s.ranks), int(groupExpertBytes), int(groupStoreBytesPerSecond))
}

// driftingLoad returns a function with the tokens per expert of the window at a
// step. The popularity of each expert oscillates with its own phase.
func driftingLoad(seed uint64) func(step int64) core.ExpertLoad {
	r := rand.New(rand.NewPCG(seed, 11))
	var base, phase [groupLayers][groupExperts]float64
	for l := range groupLayers {
		for e := range groupExperts {
			base[l][e], phase[l][e] = r.NormFloat64()*0.5, r.Float64()*2*math.Pi
		}
	}
	return func(step int64) core.ExpertLoad {
		load := make(core.ExpertLoad, groupLayers)
		for l := range load {
			for e := range groupExperts {
				load[l] = append(load[l], math.Round(1000*math.Exp(base[l][e]+1.2*math.Sin(2*math.Pi*float64(step)/groupLoadPeriodSteps+phase[l][e]))))
			}
		}
		return load
	}
}

// groupStatus returns the group status of an agent, and whether the agent
// responded.
func groupStatus(p *proc) (group.Status, bool) {
	var v struct {
		Group group.Status `json:"group"`
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.adminAddr + "/debug/vars")
	if err != nil {
		return v.Group, false
	}
	defer resp.Body.Close()
	return v.Group, json.NewDecoder(resp.Body).Decode(&v) == nil
}

// leader returns the rank of the leader of the running group, or -1. If several
// agents claim to lead, the one with the highest fence counts.
func (g *rankGroup) leader() int {
	found, fence := -1, int64(-1)
	for i, p := range g.agents {
		if s, ok := groupStatus(p); ok && s.Leading && s.Running && s.Fence > fence {
			found, fence = i, s.Fence
		}
	}
	return found
}

// waitLeader waits until the running group has a leader and returns its rank.
func (g *rankGroup) waitLeader() int {
	g.t.Helper()
	l := -1
	eventually(g.t, "an agent leads the running group", func() bool { l = g.leader(); return l >= 0 })
	return l
}

// waitMapLoading waits until a map change is in progress and returns the rank of
// the leader.
func (g *rankGroup) waitMapLoading() int {
	g.t.Helper()
	l := -1
	eventually(g.t, "a map is being loaded", func() bool {
		l = g.waitLeader()
		s, ok := groupStatus(g.agents[l])
		return ok && s.PendingMap != 0
	})
	return l
}

// histories returns the steps that each rank has run.
func (g *rankGroup) histories() [][]emurank.StepRecord {
	var all [][]emurank.StepRecord
	for _, e := range g.ranks {
		all = append(all, e.History())
	}
	return all
}

// minSteps returns the number of steps of the rank that has run the fewest.
func (g *rankGroup) minSteps() int {
	low := math.MaxInt
	for _, h := range g.histories() {
		low = min(low, len(h))
	}
	return low
}

// waitProgress waits until the slowest rank has run a number of further steps.
func (g *rankGroup) waitProgress(what string, steps int) {
	g.t.Helper()
	from, start := g.minSteps(), time.Now()
	eventually(g.t, "progress after "+what, func() bool { return g.minSteps() >= from+steps })
	g.t.Logf("%s: %d steps after %v", what, steps, time.Since(start).Round(time.Millisecond))
}

// waitMapChange waits until every rank runs a map that no rank ran at the time
// of the call.
func (g *rankGroup) waitMapChange() {
	g.t.Helper()
	newest := func(h []emurank.StepRecord) int64 { return h[len(h)-1].MapVersion }
	used := map[int64]bool{}
	for _, h := range g.histories() {
		used[newest(h)] = true
	}
	eventually(g.t, "a change of map", func() bool {
		for _, h := range g.histories() {
			if used[newest(h)] {
				return false
			}
		}
		return true
	})
}

// check reports violations in the histories, at most five, as test errors.
func (g *rankGroup) check() {
	g.t.Helper()
	h := g.histories()
	violations := checkGroup(h)
	for _, f := range violations[:min(5, len(violations))] {
		g.t.Error(f)
	}
	maps, generations := map[int64]bool{}, map[int64]bool{}
	for _, e := range h[0] {
		maps[e.MapVersion], generations[e.Generation] = true, true
	}
	g.t.Logf("checked: %d steps of %d ranks, %d maps, %d generations", len(h[0]), len(h), len(maps), len(generations))
}
