package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nutmegnotch/core"
)

// Range and precision of the latency histograms.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 2
)

var (
	requestsByOutcome = expvar.NewMap("gateway_requests")
	sendsByOutcome    = expvar.NewMap("gateway_sends")
	refusalsByReason  = expvar.NewMap("gateway_refusals")
	// replyEnds counts complete replies by their framing, and streams that ended inside
	// an event.
	replyEnds        = expvar.NewMap("gateway_reply_ends")
	quarantineEvents = expvar.NewMap("gateway_quarantine")
	// callerConnEnds counts connections of callers that a limit has ended, by the limit.
	callerConnEnds = expvar.NewMap("gateway_caller_connection_ends")
	// extendedRequests counts requests in progress that a raised timeout kept.
	extendedRequests = expvar.NewInt("gateway_extended_requests")
	// failures counts input whose handling ended in a panic, by its source.
	failures = expvar.NewMap("gateway_failures")
	// ownPauseCount counts pauses of this process.
	ownPauseCount = expvar.NewInt("gateway_own_pauses")
	latencies     = &latencyHistograms{byName: map[string]*hdrhistogram.Histogram{}}
)

func init() { expvar.Publish("gateway_latency_ms", expvar.Func(latencies.summary)) }

// latencyHistograms holds one histogram for each request kind and outcome.
type latencyHistograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func (t *latencyHistograms) record(name string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		t.byName[name] = h
	}
	// Longer times count as the end of the range.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds()))
}

// latencySummary summarizes one histogram in the published metrics. Times are in
// milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (t *latencyHistograms) summary() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]latencySummary, len(t.byName))
	for name, h := range t.byName {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[name] = latencySummary{Count: h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), Max: float64(h.Max()) / 1000}
	}
	return out
}

// kindNames holds the names of request kinds in metrics.
var kindNames = map[core.RequestKind]string{
	core.RequestKindAtMostOnce:      "once",
	core.RequestKindRepeatable:      "repeatable",
	core.RequestKindStream:          "stream",
	core.RequestKindResumableStream: "resumable_stream",
}

// observe records the outcome and the latency of a request.
func (c *call) observe() {
	if c.outcome == "" {
		return
	}
	requestsByOutcome.Add(c.outcome, 1)
	name := "none"
	if c.route.Name != "" {
		name = kindNames[c.route.Kind]
	}
	latencies.record(name+"/"+c.outcome, time.Since(c.arrived))
}
