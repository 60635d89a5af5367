package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Epoch is the time at which each simulation starts.
var Epoch = time.Unix(1_000_000, 0)

// Means of the requests that draw returns, in tokens.
const (
	meanCost   = 350
	meanOutput = 150
)

// gap draws the time until the next arrival, at rate arrivals per second.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// draw returns the n-th request, of one of ten organisations.
func drawRequest(rng *rand.Rand, n int) core.Request {
	return core.Request{
		ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % 10), Weight: 1,
		PromptTokens: 100 + rng.Int64N(201), OutputTokens: 50 + rng.Int64N(201),
	}
}

// phaseOf returns the index of the phase that a time is in. ends holds the
// ends of all phases; a later time counts to the last one.
func phaseOf(ends []time.Duration, at time.Duration) int {
	for i, end := range ends {
		if at < end {
			return i
		}
	}
	return len(ends) - 1
}

// percentile sorts x and returns its q-quantile, or 0 without values.
func percentile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
