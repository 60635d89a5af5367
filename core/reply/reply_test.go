package reply_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
)

// Guards against reservations over a limit, and against a ledger that drifts.
func TestReservationsStayBelowLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, orgLimit = 1 << 20, 1 << 19
		b := reply.NewBudget(limit)
		var live []core.Reservation
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(live) > 0 && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				b.Release(live[i])
				b.Release(live[i])
				live = append(live[:i], live[i+1:]...)
				continue
			}
			org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
			want := rapid.Int64Range(1, 200_000).Draw(t, "want")
			r, ok := b.Reserve(org, want, orgLimit)
			if ok {
				live = append(live, r)
			}
			own, all := b.Held(org)
			if own > orgLimit || all > limit {
				t.Fatalf("held: got %d and %d, want at most %d and %d", own, all, orgLimit, limit)
			}
			if ok && r.Bytes < min(want, reply.WindowBytes) {
				t.Fatalf("reservation: got %d bytes, want at least a window", r.Bytes)
			}
		}
		var sum int64
		for _, r := range live {
			sum += r.Bytes
		}
		if _, got := b.Held(""); got != sum {
			t.Fatalf("held: got %d, want %d", got, sum)
		}
	})
}

// Guards against one organisation that leaves no room for others.
func TestRoomIsLeftForOthers(t *testing.T) {
	for _, limit := range []int64{1 << 20, 10 << 20} {
		b := reply.NewBudget(limit)
		for {
			if _, ok := b.Reserve("slow", 64<<10, 0); !ok {
				break
			}
		}
		for _, org := range []string{"b", "c", "d"} {
			if _, ok := b.Reserve(org, 64<<10, 0); !ok {
				t.Errorf("limit %d, organisation %q: got refused, want a reservation", limit, org)
			}
		}
	}
}

// class is a group of callers of one organisation in the simulation.
type class struct {
	org      string
	rate     float64 // bytes read per second
	arrivals float64 // requests per second, at most one per step
}

var classes = []class{
	{"slow", 10, 2}, {"slow", 100, 2}, {"slow", 1000, 2}, {"fast", 1e6, 10},
}

// Sizes of the simulation.
const (
	simStep     = 0.1
	simSeconds  = 600
	simServers  = 12 * 16 // slots of 12 backend servers
	simGenerate = 32 << 10
	simLimit    = 16 << 20
	simOrgLimit = 12 << 20
	simMinReply = 4 << 10
	simMaxReply = 64 << 10
)

type simReply struct {
	class      int
	size       float64
	sent, read float64
	done       bool
	res        core.Reservation
}

type figures struct {
	peakHeld, peakReserved   float64
	occupancy                float64
	served                   [2]int // slow, fast
	refusedMemory, noServers [2]int
}

// simulate runs all classes against one budget in simulated time. A reply
// holds a server slot until the agent has sent its last byte.
func simulate(b core.ReplyBudget, seed uint64) figures {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var f figures
	var live []*simReply
	busy := 0
	for step := 0; step < simSeconds/simStep; step++ {
		for i, c := range classes {
			if rnd.Float64() < c.arrivals*simStep {
				live = arrive(b, rnd, i, live, &busy, &f)
			}
		}
		held := 0.0
		kept := live[:0]
		for _, r := range live {
			advance(r, &busy, &f)
			held += r.sent - r.read
			if r.read >= r.size {
				b.Release(r.res)
				continue
			}
			kept = append(kept, r)
		}
		live = kept
		f.peakHeld = max(f.peakHeld, held)
		_, all := b.Held("")
		f.peakReserved = max(f.peakReserved, float64(all))
	}
	return f
}

func arrive(b core.ReplyBudget, rnd *rand.Rand, i int, live []*simReply, busy *int, f *figures) []*simReply {
	c, group := classes[i], 0
	if classes[i].org == "fast" {
		group = 1
	}
	size := float64(simMinReply + rnd.IntN(simMaxReply-simMinReply))
	res, ok := b.Reserve(c.org, int64(size), simOrgLimit)
	if !ok {
		f.refusedMemory[group]++
		return live
	}
	if *busy >= simServers {
		b.Release(res)
		f.noServers[group]++
		return live
	}
	*busy++
	f.served[group]++
	return append(live, &simReply{class: i, size: size, res: res})
}

func advance(r *simReply, busy *int, f *figures) {
	if !r.done {
		f.occupancy += simStep
		r.sent = min(r.size, r.sent+simGenerate*simStep, r.read+float64(r.res.Bytes))
		if r.sent >= r.size {
			r.done = true
			*busy--
		}
	}
	r.read = min(r.sent, r.read+classes[r.class].rate*simStep)
}

// Guards against slow readers that hold more than the bound or starve a fast
// organisation.
func TestSlowReadersInSimulation(t *testing.T) {
	for seed := range uint64(5) {
		f := simulate(reply.NewBudget(simLimit), seed)
		if f.peakHeld > simLimit || f.peakReserved > simLimit {
			t.Errorf("seed %d: held %.0f, reserved %.0f, want at most %d", seed, f.peakHeld, f.peakReserved, simLimit)
		}
		if got := f.refusedMemory[1] + f.noServers[1]; got != 0 {
			t.Errorf("seed %d: refusals of the fast organisation: got %d, want 0", seed, got)
		}
	}
}

func BenchmarkSlowReaders(b *testing.B) {
	policies := []struct {
		name string
		make func() core.ReplyBudget
	}{
		{"policy", func() core.ReplyBudget { return reply.NewBudget(simLimit) }},
		{"unbounded", func() core.ReplyBudget { return reply.NewUnbounded() }},
		{"backpressure", func() core.ReplyBudget { return reply.NewBackpressure(simLimit) }},
	}
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			var f figures
			for b.Loop() {
				f = simulate(p.make(), 1)
			}
			served := float64(f.served[0] + f.served[1])
			b.ReportMetric(f.peakHeld/(1<<20), "peak-held-MiB")
			b.ReportMetric(f.peakReserved/(1<<20), "peak-reserved-MiB")
			b.ReportMetric(f.occupancy, "server-s")
			b.ReportMetric(f.occupancy/served, "server-s/served")
			b.ReportMetric(float64(f.served[0]), "slow-served")
			b.ReportMetric(float64(f.served[1]), "fast-served")
			b.ReportMetric(float64(f.refusedMemory[0]), "slow-refused-memory")
			b.ReportMetric(float64(f.refusedMemory[1]), "fast-refused-memory")
			b.ReportMetric(float64(f.noServers[0]), "slow-refused-servers")
			b.ReportMetric(float64(f.noServers[1]), "fast-refused-servers")
		})
	}
}
