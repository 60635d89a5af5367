package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	maxLatency                 = 10 * time.Minute
	latencySignificantDigits   = 3
	microsecondsPerMillisecond = 1000.0
)

// Results are the measurements of a run.
type Results struct {
	Seconds float64 `json:"seconds"`
	Sent    int     `json:"sent"`
	Skipped int     `json:"skipped"`
	// Good counts complete replies within Options.GoodTime, and Late those after it.
	Good          int     `json:"good"`
	GoodPerSecond float64 `json:"good_per_second"`
	Late          int     `json:"late"`
	// Truncated counts incomplete replies, whether the connection broke or the reply
	// ended regularly. Crossed counts replies to another request.
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

// collector aggregates outcomes. It is used by a single goroutine.
type collector struct {
	opts                Options
	out                 Results
	firstTokenHistogram *hdrhistogram.Histogram
	wholeReplyHistogram *hdrhistogram.Histogram
}

func newCollector(o Options) *collector {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
	}
	return &collector{
		opts:                o,
		out:                 Results{Refusals: map[string]int{}, Organisations: map[string]*OrganisationResults{}},
		firstTokenHistogram: newHistogram(),
		wholeReplyHistogram: newHistogram(),
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
		c.addRefusal(o)
	default:
		c.addReply(o, org)
	}
}

func (c *collector) addRefusal(o outcome) {
	c.out.Refusals[o.code]++
	if o.notRun {
		c.out.NotRun++
	}
	if o.outcomeUnknown {
		c.out.OutcomeUnknown++
	}
}

func (c *collector) addReply(o outcome, org *OrganisationResults) {
	if o.job.kind == kindModel {
		_ = c.firstTokenHistogram.RecordValue(o.firstToken.Microseconds())
	}
	_ = c.wholeReplyHistogram.RecordValue(o.wholeReply.Microseconds())
	if o.wholeReply > c.opts.GoodTime {
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
	r.FirstToken, r.WholeReply = percentiles(c.firstTokenHistogram), percentiles(c.wholeReplyHistogram)
	return r
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsecondsPerMillisecond }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsecondsPerMillisecond}
}
