package expertmap

import (
	"math"
	"time"
)

// Settings of the estimate of demand.
const (
	// slotTime is the time over which counts are added up.
	slotTime = 50 * time.Millisecond
	// keptSlots bounds the slots of an estimate.
	keptSlots = 20
	// shortSlots is the number of newest slots that are compared with the older
	// ones.
	shortSlots = 2
	// minSlots is the number of slots from which on there is an estimate.
	minSlots = 2
	// shiftLikeness is the cosine of newest and older counts below which demand
	// has shifted: within one phase it was 0.99 for half a second, at a shift 0.3
	// to 0.9.
	shiftLikeness = 0.94
)

// DemandEstimator estimates which experts are in demand from counts of choices. Older
// counts are dropped when demand shifts. It is not safe for concurrent use.
type DemandEstimator struct {
	sets, experts int
	slots         [][]float64
	open          []float64
	begun         time.Time
	// Shifts counts the shifts that were found.
	Shifts int
}

// NewDemandEstimator returns an estimate without counts.
func NewDemandEstimator(sets, experts int) *DemandEstimator {
	return &DemandEstimator{sets: sets, experts: experts, open: make([]float64, sets*experts)}
}

// Add adds choices, by set and expert in one list. It reports whether demand has
// shifted.
func (d *DemandEstimator) Add(choices []uint32, now time.Time) bool {
	if len(choices) != len(d.open) {
		return false
	}
	if d.begun.IsZero() {
		d.begun = now
	}
	shifted := false
	if now.Sub(d.begun) >= slotTime {
		shifted = d.close()
		d.begun = now
	}
	for i, n := range choices {
		d.open[i] += float64(n)
	}
	return shifted
}

// close ends a slot and looks for a shift.
func (d *DemandEstimator) close() bool {
	if sum(d.open) == 0 {
		return false
	}
	d.slots = append(d.slots, d.open)
	d.open = make([]float64, d.sets*d.experts)
	if len(d.slots) > keptSlots {
		d.slots = d.slots[1:]
	}
	if len(d.slots) < 2*shortSlots {
		return false
	}
	n := len(d.slots) - shortSlots
	if d.likeness(add(d.slots[:n]), add(d.slots[n:])) >= shiftLikeness {
		return false
	}
	// The slot before the newest may hold choices from before the shift.
	d.slots = d.slots[len(d.slots)-1:]
	d.Shifts++
	return true
}

func add(slots [][]float64) []float64 {
	out := make([]float64, len(slots[0]))
	for _, s := range slots {
		for i, x := range s {
			out[i] += x
		}
	}
	return out
}

// likeness is the least cosine of the counts of a set.
func (d *DemandEstimator) likeness(a, b []float64) float64 {
	least := 1.0
	for s := range d.sets {
		least = min(least, cosine(a[s*d.experts:(s+1)*d.experts], b[s*d.experts:(s+1)*d.experts]))
	}
	return least
}

func cosine(a, b []float64) float64 {
	dot, aa, bb := 0.0, 0.0, 0.0
	for i := range a {
		dot, aa, bb = dot+a[i]*b[i], aa+a[i]*a[i], bb+b[i]*b[i]
	}
	if aa == 0 || bb == 0 {
		return 1
	}
	return dot / math.Sqrt(aa*bb)
}

// Load returns the shares of the experts of each set. It reports false while
// there are too few counts.
func (d *DemandEstimator) Load() ([][]float64, bool) {
	if len(d.slots) < minSlots {
		return nil, false
	}
	all := add(d.slots)
	out := make([][]float64, d.sets)
	for s := range out {
		out[s] = shares(all[s*d.experts : (s+1)*d.experts])
	}
	return out, true
}

// Reset drops all counts.
func (d *DemandEstimator) Reset() {
	d.slots, d.open, d.begun = nil, make([]float64, d.sets*d.experts), time.Time{}
}
