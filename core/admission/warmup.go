package admission

import (
	"math/bits"
	"time"

	"nutmegnotch/core"
)

// Settings of the warm-up.
const (
	// minWarmUpWindow is the minimum time between two doublings of the limits.
	minWarmUpWindow = 500 * time.Millisecond
	// maxGoodSlowdown and minColdSlowdown apply to the ratio of a time per token
	// to the best recent one. Completions up to maxGoodSlowdown count towards the
	// warm-up; one above minColdSlowdown shows that the server is cold.
	maxGoodSlowdown = 2
	minColdSlowdown = 3
	// bestTimePeriod is the rotation period of the best times. A best time is
	// kept for one to two periods.
	bestTimePeriod = 30 * time.Second
	// minTimedTokens is the shortest output whose time per token is evaluated,
	// since the first token dominates the time of shorter ones.
	minTimedTokens = 8
	// tokenTimeTolerance and requestTimeTolerance are time differences that do not
	// indicate a cold server, since timer and scheduling delays can cause them.
	tokenTimeTolerance   = 3 * time.Millisecond
	requestTimeTolerance = 50 * time.Millisecond
	// loadLevels is the number of load levels; a level is log2 of the number of
	// running requests.
	loadLevels = 20
)

// warmUp tracks how warm a server is. Level n means that the cold limits have
// been doubled n times.
type warmUp struct {
	level           int
	windowStart     time.Time
	goodCompletions int
	best            [2]bestTimes
	bestStart       time.Time
}

// bestTimes holds the best time per token by load level, since a larger batch is
// slower on a server that is equally warm.
type bestTimes [loadLevels]time.Duration

// restart resets the level. The best times are kept, so that completions of a
// server that is slower than it was when warm do not raise its limits.
func (w *warmUp) restart(now time.Time) {
	w.level = 0
	w.goodCompletions = 0
	w.windowStart = now
}

// completed updates the level after a completion on a server with the given number
// of running requests.
func (w *warmUp) completed(o core.Outcome, running, limitCount int, saturated bool, now time.Time) {
	if o.Crashed {
		w.restart(now)
		return
	}
	if o.Cancelled {
		return
	}
	if !o.Succeeded {
		w.goodCompletions = 0
		w.windowStart = now
		return
	}
	per, tolerance := timePerToken(o)
	if per > 0 {
		best := w.recentBest(loadLevel(running), now)
		w.observe(loadLevel(running), per, now)
		if best > 0 && per > minColdSlowdown*best && per-best > tolerance {
			w.restart(now)
			return
		}
		if best > 0 && per > maxGoodSlowdown*best && per-best > tolerance {
			return
		}
	}
	w.goodCompletions++
	if w.goodCompletions < limitCount || now.Sub(w.windowStart) < minWarmUpWindow || saturated {
		return
	}
	w.level++
	w.goodCompletions = 0
	w.windowStart = now
}

// timePerToken returns the time per token after the first one, or the whole
// time of a plain request, and the tolerated difference. Zero means that the time
// of the completion is not evaluated.
func timePerToken(o core.Outcome) (per, tolerance time.Duration) {
	if o.OutputTokens >= minTimedTokens {
		return (o.Elapsed - o.FirstToken) / time.Duration(o.OutputTokens-1), tokenTimeTolerance
	}
	if o.OutputTokens == 0 {
		return o.Elapsed, requestTimeTolerance
	}
	return 0, 0
}

func loadLevel(running int) int { return min(bits.Len(uint(running)), loadLevels-1) }

// recentBest returns the best time known for the load level. Without one, it
// takes the next smaller level, since doubling a batch at most doubles the time
// of a step, and otherwise the next larger level. Zero means unknown.
func (w *warmUp) recentBest(l int, now time.Time) time.Duration {
	w.rotate(now)
	for i := l; i >= 0; i-- {
		if b := w.bestAt(i); b > 0 {
			return b << (l - i)
		}
	}
	for i := l + 1; i < loadLevels; i++ {
		if b := w.bestAt(i); b > 0 {
			return b
		}
	}
	return 0
}

func (w *warmUp) bestAt(l int) time.Duration {
	a, b := w.best[0][l], w.best[1][l]
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func (w *warmUp) observe(l int, per time.Duration, now time.Time) {
	w.rotate(now)
	if b := w.best[0][l]; b == 0 || per < b {
		w.best[0][l] = per
	}
}

// rotate drops best times that are older than two periods.
func (w *warmUp) rotate(now time.Time) {
	if w.bestStart.IsZero() {
		w.bestStart = now
	}
	periods := now.Sub(w.bestStart) / bestTimePeriod
	if periods == 0 {
		return
	}
	w.best[1] = w.best[0]
	if periods > 1 {
		w.best[1] = bestTimes{}
	}
	w.best[0] = bestTimes{}
	w.bestStart = w.bestStart.Add(periods * bestTimePeriod)
}
