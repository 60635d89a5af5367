package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Epoch is the start time of each simulation.
var Epoch = time.Unix(1_000_000, 0)

// Means of the requests that drawRequest returns, in tokens. The cost is the sum of
// the prompt tokens and the output tokens.
const (
	meanCost   = 350
	meanOutput = 150
)

// interarrivalTime draws the time until the next arrival of a Poisson process. rate
// is in arrivals per second.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// drawRequest draws the n-th request. The requests cycle through ten organisations.
func drawRequest(rng *rand.Rand, n int) core.Request {
	return core.Request{
		ID: fmt.Sprint(n), Organisation: fmt.Sprint(n % 10), Weight: 1,
		PromptTokens: 100 + rng.Int64N(201), OutputTokens: 50 + rng.Int64N(201),
	}
}

// phaseOf returns the index of the phase that contains a time. ends holds the end of
// each phase. A time after the last end belongs to the last phase.
func phaseOf(ends []time.Duration, at time.Duration) int {
	for i, end := range ends {
		if at < end {
			return i
		}
	}
	return len(ends) - 1
}

// percentile sorts x and returns its q-quantile, or 0 if x is empty.
func percentile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
