package admission

import (
	"math/bits"
	"time"

	"nutmegnotch/core"
)

// Rules of the warm-up.
const (
	// minWarmUpWindow bounds how fast the limit doubles.
	minWarmUpWindow = 500 * time.Millisecond
	// goodFactor and coldFactor compare a time per token with the recent best.
	goodFactor = 2
	coldFactor = 3
	// bestAge is the age at which the recent best is forgotten; a best lives
	// for one to two of these.
	bestAge = 30 * time.Second
	// minJudgedTokens is the shortest output whose time per token is judged, as
	// the first token dominates shorter ones.
	minJudgedTokens = 8
	// slackPerToken and slackPerRequest are differences too small to be a sign
	// of a cold server; timer and scheduling delays reach them.
	slackPerToken   = 3 * time.Millisecond
	slackPerRequest = 50 * time.Millisecond
	// loadLevels bounds log2 of the requests that a server holds.
	loadLevels = 20
)

// warmUp follows how warm a server is. Level n means that the cold limit has
// been doubled n times.
type warmUp struct {
	level       int
	windowStart time.Time
	good        int
	best        [2]bests
	bestStart   time.Time
}

// bests holds the best time per token by log2 of the requests held, since a
// larger batch is slower on a server that is just as warm.
type bests [loadLevels]time.Duration

// restart falls back to the cold limit. The recent best is kept: a cold server
// that is slower than it was when warm does not count as good.
func (w *warmUp) restart(now time.Time) {
	w.level = 0
	w.good = 0
	w.windowStart = now
}

// completed learns from one completion on a server that held running requests.
func (w *warmUp) completed(o core.Outcome, running, limitCount int, saturated bool, now time.Time) {
	if o.Crashed {
		w.restart(now)
		return
	}
	if o.Cancelled {
		return
	}
	if !o.Succeeded {
		w.good = 0
		w.windowStart = now
		return
	}
	per, slack := timePerToken(o)
	if per > 0 {
		best := w.recentBest(level(running), now)
		w.learn(level(running), per, now)
		if best > 0 && per > coldFactor*best && per-best > slack {
			w.restart(now)
			return
		}
		if best > 0 && per > goodFactor*best && per-best > slack {
			return
		}
	}
	w.good++
	if w.good < limitCount || now.Sub(w.windowStart) < minWarmUpWindow || saturated {
		return
	}
	w.level++
	w.good = 0
	w.windowStart = now
}

// timePerToken returns the time per token after the first one, or the whole
// time of a plain request, and the difference that is below notice. Zero means
// that the completion is not judged by time.
func timePerToken(o core.Outcome) (per, slack time.Duration) {
	if o.OutputTokens >= minJudgedTokens {
		return (o.Elapsed - o.FirstToken) / time.Duration(o.OutputTokens-1), slackPerToken
	}
	if o.OutputTokens == 0 {
		return o.Elapsed, slackPerRequest
	}
	return 0, 0
}

func level(running int) int { return min(bits.Len(uint(running)), loadLevels-1) }

// recentBest returns the best time known for the load level. Without one, it
// takes the next smaller level, since doubling a batch at most doubles the time
// of a step, and otherwise the next larger level. Zero means unknown.
func (w *warmUp) recentBest(l int, now time.Time) time.Duration {
	w.age(now)
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

func (w *warmUp) learn(l int, per time.Duration, now time.Time) {
	w.age(now)
	if b := w.best[0][l]; b == 0 || per < b {
		w.best[0][l] = per
	}
}

// age forgets bests that are older than two periods.
func (w *warmUp) age(now time.Time) {
	if w.bestStart.IsZero() {
		w.bestStart = now
	}
	periods := now.Sub(w.bestStart) / bestAge
	if periods == 0 {
		return
	}
	w.best[1] = w.best[0]
	if periods > 1 {
		w.best[1] = bests{}
	}
	w.best[0] = bests{}
	w.bestStart = w.bestStart.Add(periods * bestAge)
}
