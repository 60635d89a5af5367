package routing_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/routing"
)

var now = time.Unix(1_000_000, 0)

func makeViews(n int) []core.AgentView {
	views := make([]core.AgentView, n)
	for i := range views {
		views[i] = core.AgentView{Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), ReportedAt: now,
			Load: core.AgentLoad{AgentID: fmt.Sprintf("agent-%d", i), Service: "text", Domain: fmt.Sprintf("d%d", i%4),
				State: core.AgentReady, Models: []string{"m"}, LimitTokens: 100_000, LimitCount: 100,
				HeldTokens: int64(i%10) * 5000, HeldCount: i % 10}}
	}
	return views
}

var request = core.Request{Service: "text", Model: "m", PromptTokens: 200, OutputTokens: 100, PrefixHash: 7}

// Guards against requests to agents that must not get new work.
func TestNeverChoosesIneligible(t *testing.T) {
	routers := []struct {
		name   string
		router core.Router
	}{
		{"policy", routing.New("d0", 1)}, {"round robin", &routing.RoundRobin{}},
		{"least connections", routing.LeastConnections{}}, {"two choices", routing.NewTwoChoices(1)},
	}
	makeIneligible := []func(v *core.AgentView){
		func(v *core.AgentView) { v.Drained = true },
		func(v *core.AgentView) { v.Load.State = core.AgentLeaving },
		func(v *core.AgentView) { v.Address = "" },
		func(v *core.AgentView) { v.Load.Models = []string{"other"} },
		func(v *core.AgentView) { v.Load.Service = "other" },
		func(v *core.AgentView) { v.ReportedAt = now.Add(-routing.MaxReportAge - 1) },
	}
	for _, c := range routers {
		for range 100 {
			views := makeViews(len(makeIneligible) + 1)
			for i, f := range makeIneligible {
				f(&views[i])
			}
			v, ok := c.router.Choose(request, views, now)
			if got, want := v.Load.AgentID, views[len(makeIneligible)].Load.AgentID; !ok || got != want {
				t.Fatalf("%s: got %q %v, want %q", c.name, got, ok, want)
			}
		}
	}
}

// Guards against a cold server, which has low limits, that gets as many requests
// as a warm one.
func TestLoadIsRelativeToLimit(t *testing.T) {
	views := makeViews(2)
	views[0].Load.LimitCount, views[0].Load.LimitTokens = 2, 1000
	views[0].Load.HeldCount, views[0].Load.HeldTokens = 1, 500
	views[1].Load.HeldCount, views[1].Load.HeldTokens = 20, 20_000
	p := routing.New("d0", 1)
	for range 50 {
		v, ok := p.Choose(core.Request{Service: "text", Model: "m", PromptTokens: 300}, views, now)
		if got, want := v.Load.AgentID, "agent-1"; !ok || got != want {
			t.Fatalf("chosen: got %q, want %q", got, want)
		}
	}
}

// Guards against a prefix bonus that has no effect, or that overloads an agent.
func TestPrefixAffinity(t *testing.T) {
	views := makeViews(64)
	p := routing.New("d0", 1)
	p.Sent(request, "agent-2", now)
	hits := 0
	for range 100 {
		if v, _ := p.Choose(request, views, now); v.Load.AgentID == "agent-2" {
			hits++
		}
	}
	if hits < 80 {
		t.Errorf("choices of the agent with the prefix: got %d of 100, want at least 80", hits)
	}
	views[2].Load.HeldTokens = views[2].Load.LimitTokens
	if v, _ := p.Choose(request, views, now); v.Load.AgentID == "agent-2" {
		t.Error("a full agent was chosen for its prefix")
	}
}

// Guards against choices that differ between runs with the same seed.
func TestEqualSeedsGiveEqualChoices(t *testing.T) {
	a, b := routing.New("d0", 9), routing.New("d0", 9)
	views := makeViews(64)
	for i := range 200 {
		va, _ := a.Choose(request, views, now)
		vb, _ := b.Choose(request, views, now)
		if va.Load.AgentID != vb.Load.AgentID {
			t.Fatalf("choice %d: got %q and %q, want equal", i, va.Load.AgentID, vb.Load.AgentID)
		}
	}
}

// Guards against members that leave a subset because another agent was removed.
func TestSubsetStability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{4}`), 1, 60, rapid.ID[string]).Draw(t, "ids")
		n := rapid.IntRange(1, 20).Draw(t, "n")
		before := routing.Subset("entry/text", ids, n)
		if got, want := len(before), min(n, len(ids)); got != want {
			t.Fatalf("size: got %d, want %d", got, want)
		}
		gone := rapid.IntRange(0, len(ids)-1).Draw(t, "gone")
		rest := append(append([]string{}, ids[:gone]...), ids[gone+1:]...)
		after := map[string]bool{}
		for _, id := range routing.Subset("entry/text", rest, n) {
			after[id] = true
		}
		for _, id := range before {
			if id != ids[gone] && !after[id] {
				t.Fatalf("member %q left the subset when %q went", id, ids[gone])
			}
		}
	})
}

// BenchmarkSubset chooses the default subset of the agents of one service.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("agent-%06d", i)
			}
			for b.Loop() {
				routing.Subset("entry-000001/text", ids, routing.DefaultSubsetSize)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("views=%d", n), func(b *testing.B) {
			p, views := routing.New("d0", 1), makeViews(n)
			for i := range n {
				p.Sent(core.Request{PrefixHash: uint64(i + 1)}, views[i].Load.AgentID, now)
			}
			r := request
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.PrefixHash = uint64(i%n + 1)
				if _, ok := p.Choose(r, views, now); !ok {
					b.Fatal("no choice")
				}
			}
		})
	}
}

// BenchmarkViewMemory reports the memory of one view with the maximum number of
// recorded prefixes.
func BenchmarkViewMemory(b *testing.B) {
	const n = 512
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p, views := routing.New("d0", 1), makeViews(n)
		for i := range n * routing.MaxPrefixesPerAgent {
			p.Sent(core.Request{PrefixHash: uint64(i + 1)}, views[i%n].Load.AgentID, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/view")
		runtime.KeepAlive(p)
		runtime.KeepAlive(views)
	}
}
