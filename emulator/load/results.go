package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	maxLatency        = 10 * time.Minute
	latencyDigits     = 3
	microsecondsPerMS = 1000.0
)

// Results are the measurements of a run.
type Results struct {
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Skipped int     `json:"skipped"`
	// Good counts whole replies within the good time, Late those after it.
	Good          int     `json:"good"`
	GoodPerSecond float64 `json:"good_per_second"`
	Late          int     `json:"late"`
	// Truncated counts replies that were visibly or silently cut, Crossed those
	// that belong to another request.
	Truncated      int                             `json:"truncated"`
	Crossed        int                             `json:"crossed"`
	NotRun         int                             `json:"not_run"`
	OutcomeUnknown int                             `json:"outcome_unknown"`
	Refusals       map[string]int                  `json:"refusals"`
	Bytes          int64                           `json:"bytes"`
	FirstToken     Percentiles                     `json:"first_token_ms"`
	WholeReply     Percentiles                     `json:"whole_reply_ms"`
	Organisations  map[string]*OrganisationResults `json:"organisations"`
}

// OrganisationResults counts the requests of one organisation.
type OrganisationResults struct {
	Sent int `json:"sent"`
	Good int `json:"good"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// collector is owned by the task that receives outcomes.
type collector struct {
	opts  Options
	out   Results
	first *hdrhistogram.Histogram
	whole *hdrhistogram.Histogram
}

func newCollector(o Options) *collector {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &collector{
		opts:  o,
		out:   Results{Refusals: map[string]int{}, Organisations: map[string]*OrganisationResults{}},
		first: newHistogram(),
		whole: newHistogram(),
	}
}

func (c *collector) add(o outcome) {
	org := c.out.Organisations[o.job.organisation.Name]
	if org == nil {
		org = &OrganisationResults{}
		c.out.Organisations[o.job.organisation.Name] = org
	}
	c.out.Sent++
	org.Sent++
	c.out.Bytes += o.bytes
	switch {
	case o.fault == "crossed":
		c.out.Crossed++
	case o.fault != "":
		c.out.Truncated++
	case o.code != "":
		c.refused(o)
	default:
		c.replied(o, org)
	}
}

func (c *collector) refused(o outcome) {
	c.out.Refusals[o.code]++
	if o.notRun {
		c.out.NotRun++
	}
	if o.unknown {
		c.out.OutcomeUnknown++
	}
}

func (c *collector) replied(o outcome, org *OrganisationResults) {
	if o.job.kind == kindModel {
		_ = c.first.RecordValue(o.firstToken.Microseconds())
	}
	_ = c.whole.RecordValue(o.whole.Microseconds())
	if o.whole > c.opts.GoodTime {
		c.out.Late++
		return
	}
	c.out.Good++
	org.Good++
}

func (c *collector) results(elapsed time.Duration, skipped int) Results {
	r := c.out
	r.Seconds, r.Skipped = elapsed.Seconds(), skipped
	r.GoodPerSecond = float64(r.Good) / elapsed.Seconds()
	r.FirstToken, r.WholeReply = percentiles(c.first), percentiles(c.whole)
	return r
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsecondsPerMS }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsecondsPerMS}
}
