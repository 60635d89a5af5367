package expertmap

import (
	"math"
	"time"
)

// Parameters of the estimate.
const (
	// windowDuration is the length of a window in which counts are added up.
	windowDuration = 50 * time.Millisecond
	// maxWindows bounds the windows of an estimate.
	maxWindows = 20
	// recentWindows is the number of newest windows that are compared with the
	// older ones.
	recentWindows = 2
	// minWindows is the least number of windows for an estimate.
	minWindows = 2
	// shiftSimilarity is the cosine similarity of newest and older counts below
	// which demand has shifted. Under constant demand it is 0.99 over half a
	// second; at a shift it is 0.3 to 0.9.
	shiftSimilarity = 0.94
)

// DemandEstimator estimates the load of experts from counts of how often requests
// chose each of them. Older counts are dropped when demand shifts. It is not safe
// for concurrent use.
type DemandEstimator struct {
	sets, experts int
	windows       [][]float64
	current       []float64
	windowStart   time.Time
	// Shifts counts the detected shifts.
	Shifts int
}

// NewDemandEstimator returns an estimator without counts.
func NewDemandEstimator(sets, experts int) *DemandEstimator {
	return &DemandEstimator{sets: sets, experts: experts, current: make([]float64, sets*experts)}
}

// Add adds the counts of choices, with all experts of a set in a row. It ignores
// a list of another length. It reports whether a shift of demand was detected.
func (d *DemandEstimator) Add(choices []uint32, now time.Time) bool {
	if len(choices) != len(d.current) {
		return false
	}
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	shifted := false
	if now.Sub(d.windowStart) >= windowDuration {
		shifted = d.closeWindow()
		d.windowStart = now
	}
	for i, n := range choices {
		d.current[i] += float64(n)
	}
	return shifted
}

// closeWindow ends the current window and reports whether demand has shifted.
// A window without counts is continued.
func (d *DemandEstimator) closeWindow() bool {
	if sum(d.current) == 0 {
		return false
	}
	d.windows = append(d.windows, d.current)
	d.current = make([]float64, d.sets*d.experts)
	if len(d.windows) > maxWindows {
		d.windows = d.windows[1:]
	}
	if len(d.windows) < 2*recentWindows {
		return false
	}
	n := len(d.windows) - recentWindows
	if d.similarity(sumWindows(d.windows[:n]), sumWindows(d.windows[n:])) >= shiftSimilarity {
		return false
	}
	// The window before the newest one may hold choices from before the shift.
	d.windows = d.windows[len(d.windows)-1:]
	d.Shifts++
	return true
}

func sumWindows(windows [][]float64) []float64 {
	out := make([]float64, len(windows[0]))
	for _, s := range windows {
		for i, x := range s {
			out[i] += x
		}
	}
	return out
}

// similarity returns the least cosine similarity over all sets.
func (d *DemandEstimator) similarity(a, b []float64) float64 {
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

// Load returns the estimated load of experts as shares of their set. It reports
// false while there are fewer than minWindows windows.
func (d *DemandEstimator) Load() ([][]float64, bool) {
	if len(d.windows) < minWindows {
		return nil, false
	}
	all := sumWindows(d.windows)
	out := make([][]float64, d.sets)
	for s := range out {
		out[s] = normalize(all[s*d.experts : (s+1)*d.experts])
	}
	return out, true
}

// Reset drops all counts.
func (d *DemandEstimator) Reset() {
	d.windows, d.current, d.windowStart = nil, make([]float64, d.sets*d.experts), time.Time{}
}
