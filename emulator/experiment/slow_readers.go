package experiment

import (
	"math/rand/v2"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
)

// Parameters of the slow reader experiment.
const (
	readersStepSeconds     = 0.1
	readersDurationSeconds = 600
	readersSlots           = 12 * 16 // of 12 backend servers
	// generatedBytesPerSecond is the rate at which a server generates one reply.
	generatedBytesPerSecond = 32 << 10
	// ReplyBudgetBytes is the reply budget of the process.
	ReplyBudgetBytes       = 16 << 20
	organisationLimitBytes = 12 << 20
	minReplyBytes          = 4 << 10
	maxReplyBytes          = 64 << 10
)

// readerClass is a group of callers of one organisation with the same read speed.
type readerClass struct {
	organisation      string
	bytesPerSecond    float64
	requestsPerSecond float64 // at most one per step
}

var readerClasses = []readerClass{
	{"slow", 10, 2}, {"slow", 100, 2}, {"slow", 1000, 2}, {"fast", 1e6, 10},
}

// ReaderCounts counts the requests of the slow or the fast organisation.
type ReaderCounts struct {
	Served, RefusedMemory, RefusedSlots int
}

// ReadersResult holds the peaks of the unread and of the reserved reply bytes, the
// total time for which slots were in use, and the counts of both organisations.
type ReadersResult struct {
	PeakHeld, PeakReserved float64
	SlotSeconds            float64
	Slow, Fast             ReaderCounts
}

// readerReply is a reply that the caller has not read completely.
type readerReply struct {
	bytesPerSecond float64
	size           float64
	sent, read     float64
	done           bool
	reservation    core.Reservation
}

type readersRun struct {
	budget    core.ReplyBudget
	rng       *rand.Rand
	replies   []*readerReply
	usedSlots int
	result    ReadersResult
}

// SlowReaders simulates all classes with one reply budget. A reply occupies a slot
// until the agent has sent its last byte.
func SlowReaders(b core.ReplyBudget, seed uint64) ReadersResult {
	r := &readersRun{budget: b, rng: rand.New(rand.NewPCG(seed, seed))}
	for n := 0; n < readersDurationSeconds/readersStepSeconds; n++ {
		for _, c := range readerClasses {
			if r.rng.Float64() < c.requestsPerSecond*readersStepSeconds {
				r.arrive(c)
			}
		}
		r.step()
	}
	return r.result
}

func (r *readersRun) arrive(c readerClass) {
	counts := &r.result.Slow
	if c.organisation == "fast" {
		counts = &r.result.Fast
	}
	size := float64(minReplyBytes + r.rng.IntN(maxReplyBytes-minReplyBytes))
	reservation, ok := r.budget.Reserve(c.organisation, int64(size), organisationLimitBytes)
	if !ok {
		counts.RefusedMemory++
		return
	}
	if r.usedSlots >= readersSlots {
		r.budget.Release(reservation)
		counts.RefusedSlots++
		return
	}
	r.usedSlots++
	counts.Served++
	r.replies = append(r.replies, &readerReply{bytesPerSecond: c.bytesPerSecond, size: size, reservation: reservation})
}

func (r *readersRun) step() {
	held := 0.0
	kept := r.replies[:0]
	for _, x := range r.replies {
		r.advance(x)
		held += x.sent - x.read
		if x.read >= x.size {
			r.budget.Release(x.reservation)
			continue
		}
		kept = append(kept, x)
	}
	r.replies = kept
	r.result.PeakHeld = max(r.result.PeakHeld, held)
	_, all := r.budget.Held("")
	r.result.PeakReserved = max(r.result.PeakReserved, float64(all))
}

func (r *readersRun) advance(x *readerReply) {
	if !x.done {
		r.result.SlotSeconds += readersStepSeconds
		x.sent = min(x.size, x.sent+generatedBytesPerSecond*readersStepSeconds, x.read+float64(x.reservation.Bytes))
		if x.sent >= x.size {
			x.done = true
			r.usedSlots--
		}
	}
	x.read = min(x.sent, x.read+x.bytesPerSecond*readersStepSeconds)
}

func (r ReadersResult) values() []float64 {
	return []float64{
		r.PeakHeld / (1 << 20), r.PeakReserved / (1 << 20),
		r.SlotSeconds, r.SlotSeconds / float64(r.Slow.Served+r.Fast.Served),
		float64(r.Fast.Served), float64(r.Fast.RefusedMemory), float64(r.Fast.RefusedSlots),
		float64(r.Slow.Served), float64(r.Slow.RefusedMemory), float64(r.Slow.RefusedSlots),
	}
}

func slowReaders() Experiment {
	policies := []struct {
		name string
		make func() core.ReplyBudget
	}{
		{"policy", func() core.ReplyBudget { return reply.NewBudget(ReplyBudgetBytes) }},
		{"unbounded", func() core.ReplyBudget { return reply.NewUnbounded() }},
		{"backpressure", func() core.ReplyBudget { return reply.NewBackpressure(ReplyBudgetBytes) }},
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
