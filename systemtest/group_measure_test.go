package systemtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	emurank "nutmegnotch/emulator/rank"
)

const (
	measureStepTime = 25 * time.Millisecond
	measureDuration = 12 * time.Second
)

// BenchmarkGroupProcesses measures groups of agent processes: the load skew of
// the steps; the longest time between two steps overall, at a map change and at
// a leader change; and CPU, memory, messages and bytes of the leader and of the
// other agents. Messages and bytes cover grants, loads and their responses, but
// no frames of the sessions themselves.
func BenchmarkGroupProcesses(b *testing.B) {
	for _, ranks := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			for range b.N {
				measureGroup(b, ranks)
			}
		})
	}
}

func measureGroup(b *testing.B, ranks int) {
	g := newGroup(b, groupConfig{ranks: ranks, stepTime: measureStepTime, interval: 3 * time.Second, fencing: allFencing, seed: 1, infoLevel: true})
	g.waitProgress("the start", 100)
	l := g.waitLeader()
	before, _ := groupStatus(g.agents[l])
	cpu, at := g.cpuSeconds(), time.Now()
	time.Sleep(measureDuration)
	after, _ := groupStatus(g.agents[l])
	used, seconds := g.cpuSeconds(), time.Since(at).Seconds()
	messages := 2 * float64(after.SentMessages-before.SentMessages) / seconds
	bytes := float64(after.SentBytes-before.SentBytes+after.ReceivedBytes-before.ReceivedBytes) / seconds
	b.ReportMetric(messages, "leader_messages/s")
	b.ReportMetric(bytes, "leader_bytes/s")
	b.ReportMetric(messages/float64(ranks), "rank_messages/s")
	b.ReportMetric(bytes/float64(ranks), "rank_bytes/s")
	var others []float64
	for i := range g.agents {
		share := 100 * (used[i] - cpu[i]) / seconds
		if i == l {
			b.ReportMetric(share, "leader_%core")
			b.ReportMetric(g.agents[i].usage().resident/(1<<20), "leader_MB")
			continue
		}
		others = append(others, share)
	}
	slices.Sort(others)
	b.ReportMetric(others[len(others)/2], "rank_%core")
	b.ReportMetric(others[len(others)-1], "rank_%core_max")
	b.ReportMetric(g.agents[(l+1)%ranks].usage().resident/(1<<20), "rank_MB")
	h := g.histories()
	reportSteps(b, h, at.UnixMicro())
	kill := time.Now()
	g.agents[l].kill()
	g.agents[l].start()
	g.waitProgress("a change of leader", 100)
	b.ReportMetric(longestGap(g.histories()[0], kill.UnixMicro(), false), "leader_change_gap_ms")
	g.check()
}

// reportSteps reports, for the steps since a time, the load skew, the longest gap
// between two steps, overall and at map changes, and the number of map changes.
func reportSteps(b *testing.B, h [][]emurank.StepRecord, since int64) {
	busy := map[int64][]float64{}
	for _, rank := range h {
		for _, e := range rank {
			if e.EndUnixUS >= since {
				busy[e.Step] = append(busy[e.Step], float64(e.BusyUS))
			}
		}
	}
	var skews []float64
	for _, times := range busy {
		if len(times) < len(h) {
			continue
		}
		sum := 0.0
		for _, t := range times {
			sum += t
		}
		skews = append(skews, slices.Max(times)*float64(len(times))/sum)
	}
	slices.Sort(skews)
	b.ReportMetric(skews[len(skews)/2], "skew_median")
	b.ReportMetric(skews[len(skews)*95/100], "skew_p95")
	b.ReportMetric(float64(len(skews)), "steps")
	b.ReportMetric(longestGap(h[0], since, false), "longest_gap_ms")
	b.ReportMetric(longestGap(h[0], since, true), "map_change_gap_ms")
	changes := 0
	for i := 1; i < len(h[0]); i++ {
		if h[0][i].EndUnixUS >= since && h[0][i].MapVersion != h[0][i-1].MapVersion {
			changes++
		}
	}
	b.ReportMetric(float64(changes), "map_changes")
}

// longestGap returns the longest time between the ends of two consecutive steps,
// in milliseconds. With changes set, only steps that are the first to use a map
// count.
func longestGap(h []emurank.StepRecord, since int64, changes bool) float64 {
	longest := int64(0)
	for i := 1; i < len(h); i++ {
		if h[i].EndUnixUS >= since && (!changes || h[i].MapVersion != h[i-1].MapVersion) {
			longest = max(longest, h[i].EndUnixUS-h[i-1].EndUnixUS)
		}
	}
	return float64(longest) / 1000
}

// cpuSeconds returns the CPU time that each agent process has used.
func (g *rankGroup) cpuSeconds() []float64 {
	var out []float64
	for _, p := range g.agents {
		out = append(out, p.usage().cpu)
	}
	return out
}
