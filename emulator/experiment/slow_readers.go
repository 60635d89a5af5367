package experiment

import (
	"math/rand/v2"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
)

// Sizes of the slow reader experiment.
const (
	readersStep    = 0.1 // seconds
	readersSeconds = 600
	readersSlots   = 12 * 16 // of 12 backend servers
	// readersGenerate is what a server generates, in bytes per second.
	readersGenerate = 32 << 10
	// ReplyLimit is the reply budget of the process, in bytes.
	ReplyLimit          = 16 << 20
	readersOrgLimit     = 12 << 20
	readersLeastReply   = 4 << 10
	readersLargestReply = 64 << 10
)

// readerClass is a group of callers of one organisation.
type readerClass struct {
	org      string
	rate     float64 // bytes read per second
	arrivals float64 // requests per second, at most one per step
}

var readerClasses = []readerClass{
	{"slow", 10, 2}, {"slow", 100, 2}, {"slow", 1000, 2}, {"fast", 1e6, 10},
}

// ReaderCounts counts the requests of the slow or the fast organisation.
type ReaderCounts struct {
	Served, RefusedMemory, RefusedSlots int
}

// ReadersResult holds the most bytes at any time, the slot time in seconds and
// the counts of both organisations.
type ReadersResult struct {
	PeakHeld, PeakReserved float64
	Occupancy              float64
	Slow, Fast             ReaderCounts
}

// readerReply is a reply that is generated or still read.
type readerReply struct {
	rate       float64
	size       float64
	sent, read float64
	done       bool
	res        core.Reservation
}

type readers struct {
	budget core.ReplyBudget
	rng    *rand.Rand
	live   []*readerReply
	busy   int
	out    ReadersResult
}

// SlowReaders runs all classes against one budget. A reply holds a slot until
// the agent has sent its last byte.
func SlowReaders(b core.ReplyBudget, seed uint64) ReadersResult {
	r := &readers{budget: b, rng: rand.New(rand.NewPCG(seed, seed))}
	for n := 0; n < readersSeconds/readersStep; n++ {
		for _, c := range readerClasses {
			if r.rng.Float64() < c.arrivals*readersStep {
				r.arrive(c)
			}
		}
		r.step()
	}
	return r.out
}

func (r *readers) arrive(c readerClass) {
	counts := &r.out.Slow
	if c.org == "fast" {
		counts = &r.out.Fast
	}
	size := float64(readersLeastReply + r.rng.IntN(readersLargestReply-readersLeastReply))
	res, ok := r.budget.Reserve(c.org, int64(size), readersOrgLimit)
	if !ok {
		counts.RefusedMemory++
		return
	}
	if r.busy >= readersSlots {
		r.budget.Release(res)
		counts.RefusedSlots++
		return
	}
	r.busy++
	counts.Served++
	r.live = append(r.live, &readerReply{rate: c.rate, size: size, res: res})
}

func (r *readers) step() {
	held := 0.0
	kept := r.live[:0]
	for _, x := range r.live {
		r.advance(x)
		held += x.sent - x.read
		if x.read >= x.size {
			r.budget.Release(x.res)
			continue
		}
		kept = append(kept, x)
	}
	r.live = kept
	r.out.PeakHeld = max(r.out.PeakHeld, held)
	_, all := r.budget.Held("")
	r.out.PeakReserved = max(r.out.PeakReserved, float64(all))
}

func (r *readers) advance(x *readerReply) {
	if !x.done {
		r.out.Occupancy += readersStep
		x.sent = min(x.size, x.sent+readersGenerate*readersStep, x.read+float64(x.res.Bytes))
		if x.sent >= x.size {
			x.done = true
			r.busy--
		}
	}
	x.read = min(x.sent, x.read+x.rate*readersStep)
}

func (r ReadersResult) values() []float64 {
	return []float64{
		r.PeakHeld / (1 << 20), r.PeakReserved / (1 << 20),
		r.Occupancy, r.Occupancy / float64(r.Slow.Served+r.Fast.Served),
		float64(r.Fast.Served), float64(r.Fast.RefusedMemory), float64(r.Fast.RefusedSlots),
		float64(r.Slow.Served), float64(r.Slow.RefusedMemory), float64(r.Slow.RefusedSlots),
	}
}

func slowReaders() Experiment {
	policies := []struct {
		name string
		make func() core.ReplyBudget
	}{
		{"policy", func() core.ReplyBudget { return reply.NewBudget(ReplyLimit) }},
		{"unbounded", func() core.ReplyBudget { return reply.NewUnbounded() }},
		{"backpressure", func() core.ReplyBudget { return reply.NewBackpressure(ReplyLimit) }},
	}
	return Experiment{
		Name:  "slow-readers",
		About: "Reply memory and slots with callers that read slowly, for 600 s with 192 slots.",
		Columns: []string{"peak held, MiB", "peak reserved, MiB", "slots, s", "slots, s per reply",
			"fast served", "fast refused (memory)", "fast refused (no slot)",
			"slow served", "slow refused (memory)", "slow refused (no slot)"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, p := range policies {
				rows = append(rows, Row{p.name, SlowReaders(p.make(), seed).values()})
			}
			return rows
		},
	}
}
