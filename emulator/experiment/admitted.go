package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"nutmegnotch/core/share"
)

const (
	admittedDuration = time.Minute
	// admittedWarmup is the time before counting starts.
	admittedWarmup = 10 * time.Second
	admittedSlots  = 10
)

// AdmittedResult holds the admitted requests as a share of the offered ones or, if
// that is less, of those that the contract permits, and the credit messages per
// second.
type AdmittedResult struct {
	AdmittedShare, MessagesPerSecond float64
}

// admittedRun is a run of n entries that share one contract.
type admittedRun struct {
	entries []creditEntry
	statics []*share.Static
	// weights are the cumulative load weights of the entries. The load of the i-th
	// entry is proportional to 1/i.
	weights                          []float64
	offered, admittedCount, messages float64
}

func newAdmittedRun(n int, split Split) *admittedRun {
	r := &admittedRun{}
	contracts := creditContract(admittedSlots)
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i
	}
	pools, sum := map[string]*share.Pool{}, 0.0
	send := func(p *share.Pool, q share.BorrowRequest, now time.Time) {
		r.messages += 2
		lend(p, pools[q.Home], q, now)
	}
	for i := range n {
		if split == Lending {
			p := share.New(fmt.Sprint(i), 0, Epoch)
			p.Update(contracts, entrySet(ids...), Epoch)
			pools[fmt.Sprint(i)] = p
			r.entries = append(r.entries, creditEntry{p, send})
		} else {
			r.statics = append(r.statics, share.NewStatic(contracts, n))
		}
		sum += 1 / float64(i+1)
		r.weights = append(r.weights, sum)
	}
	return r
}

// Admitted simulates n entries for a minute after a warm-up of 10 s. load is a
// multiple of the rate of the contract. Refused requests are not retried.
func Admitted(n int, load float64, split Split, seed uint64) AdmittedResult {
	r := newAdmittedRun(n, split)
	rng := rand.New(rand.NewPCG(seed, 2))
	tick := time.Duration(0)
	for now := time.Duration(0); now < admittedWarmup+admittedDuration; {
		now += interarrivalTime(rng, creditRate*load)
		for ; tick < now; tick += creditTickInterval {
			for _, e := range r.entries {
				e.tick(Epoch.Add(tick))
			}
		}
		if now < admittedWarmup {
			r.messages = 0
		}
		ok := r.spend(r.drawEntry(rng), Epoch.Add(now))
		if now > admittedWarmup {
			r.offered++
			if ok {
				r.admittedCount++
			}
		}
	}
	s := admittedDuration.Seconds()
	return AdmittedResult{r.admittedCount / math.Min(r.offered, creditRate*s), r.messages / s}
}

// drawEntry draws the entry that receives a request.
func (r *admittedRun) drawEntry(rng *rand.Rand) int {
	at, i := rng.Float64()*r.weights[len(r.weights)-1], 0
	for r.weights[i] < at {
		i++
	}
	return i
}

func (r *admittedRun) spend(i int, now time.Time) bool {
	if r.statics == nil {
		return r.entries[i].spend(now)
	}
	_, ok := r.statics[i].Spend(creditOrg, creditAmount, now)
	return ok
}

func admitted() Experiment {
	return Experiment{
		Name:    "admitted",
		About:   "Admitted part of a contract of 200 requests/s over entries of unequal load, for 60 s.",
		Columns: []string{"admitted, %", "messages/s"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, n := range []int{3, 16, 64} {
				for _, load := range []float64{0.5, 0.9, 1.5} {
					for _, split := range []Split{Static, Lending} {
						r := Admitted(n, load, split, seed)
						rows = append(rows, Row{fmt.Sprintf("entries=%d/load=%v/%s", n, load, split), []float64{100 * r.AdmittedShare, r.MessagesPerSecond}})
					}
				}
			}
			return rows
		},
	}
}
