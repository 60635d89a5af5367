package report

import (
	"cmp"
	"slices"
	"time"

	"nutmegnotch/core"
)

// Ending is how a request ended.
type Ending int

// Endings of requests.
const (
	// EndedWhole is a whole reply, whatever its HTTP status.
	EndedWhole Ending = iota
	// EndedCut is a reply that began and did not reach its end.
	EndedCut
	// EndedCallerGone means that the caller went away first.
	EndedCallerGone
	// EndedRefused is an answer of the system itself.
	EndedRefused
)

// Subject is the contract and the service that an event counts for. It holds
// only what is counted, since events are copied.
type Subject struct {
	Organisation      string
	Service           string
	ContractVersion   int64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ReplyTimeMS       int64
}

// SubjectOf returns the subject of requests under a version of a contract.
func SubjectOf(c core.Contract, version int64, service string) Subject {
	return Subject{Organisation: c.Organisation, Service: service, ContractVersion: version,
		RequestsPerSecond: c.RequestsPerSecond, TokensPerSecond: c.TokensPerSecond, ReplyTimeMS: c.ReplyTimeMS}
}

// Outcome is the final outcome of one request. First is the time to the first
// byte of the reply, 0 without one.
type Outcome struct {
	Subject
	Ending          Ending
	Code            core.Code
	NotRun          bool
	OutcomeUnknown  bool
	TimeToFirstByte time.Duration
	Elapsed         time.Duration
	ReplyBytes      int64
}

// Admission is credit that one request has spent.
type Admission struct {
	Subject
	PromptTokens int64
	OutputTokens int64
	Cost         int64
}

type key struct {
	organisation, service string
	version               int64
}

// Counter collects the counts of one interval. It is not safe for concurrent
// use.
type Counter struct{ counts map[key]*Count }

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{counts: map[key]*Count{}} }

// Empty reports whether nothing was counted.
func (c *Counter) Empty() bool { return len(c.counts) == 0 }

func (c *Counter) count(s Subject) *Count {
	k := key{s.Organisation, s.Service, s.ContractVersion}
	n := c.counts[k]
	if n == nil {
		n = &Count{
			Organisation: s.Organisation, Service: s.Service, ContractVersion: s.ContractVersion,
			RequestsPerSecond: s.RequestsPerSecond, TokensPerSecond: s.TokensPerSecond, ReplyTimeMS: s.ReplyTimeMS,
		}
		c.counts[k] = n
	}
	return n
}

// CountAdmission counts spent credit.
func (c *Counter) CountAdmission(a Admission) {
	n := c.count(a.Subject)
	n.AdmittedRequests++
	n.AdmittedTokens += a.Cost
	n.PromptTokens += a.PromptTokens
	n.OutputTokens += a.OutputTokens
}

// CountOutcome counts a final outcome.
func (c *Counter) CountOutcome(o Outcome) {
	n := c.count(o.Subject)
	n.Requests++
	n.ReplyBytes += o.ReplyBytes
	late := o.Elapsed > time.Duration(o.ReplyTimeMS)*time.Millisecond
	if o.TimeToFirstByte > 0 {
		n.FirstByteMS = added(n.FirstByteMS, o.TimeToFirstByte)
	}
	switch o.Ending {
	case EndedWhole:
		n.ReplyMS = added(n.ReplyMS, o.Elapsed)
		n.Whole++
		if late {
			n.Late++
		} else {
			n.OnTime++
		}
	case EndedCut:
		n.Cut++
	case EndedCallerGone:
		n.CallerGone++
		if late {
			n.CallerGoneLate++
		}
	default:
		n.refused(o)
	}
}

func (n *Count) refused(o Outcome) {
	switch {
	case o.OutcomeUnknown:
		n.OutcomeUnknown++
	case o.NotRun:
		n.NotRun = bumped(n.NotRun, string(o.Code), 1)
	default:
		n.Failed = bumped(n.Failed, string(o.Code), 1)
	}
}

// Merge adds the counts of another counter, which must not be used afterwards.
func (c *Counter) Merge(o *Counter) {
	for k, n := range o.counts {
		if have := c.counts[k]; have != nil {
			have.add(*n)
			continue
		}
		c.counts[k] = n
	}
}

// Counts returns the counts, ordered by organisation, service and version.
func (c *Counter) Counts() []Count {
	list := make([]Count, 0, len(c.counts))
	for _, n := range c.counts {
		list = append(list, *n)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.ContractVersion, b.ContractVersion))
	})
	return list
}

// add adds the numbers of b, which must have the same subject. It shares
// nothing with b afterwards.
func (n *Count) add(b Count) {
	n.Requests += b.Requests
	n.Whole += b.Whole
	n.OnTime += b.OnTime
	n.Late += b.Late
	n.Cut += b.Cut
	n.CallerGone += b.CallerGone
	n.CallerGoneLate += b.CallerGoneLate
	n.OutcomeUnknown += b.OutcomeUnknown
	n.NotRun = summed(n.NotRun, b.NotRun)
	n.Failed = summed(n.Failed, b.Failed)
	n.PromptTokens += b.PromptTokens
	n.OutputTokens += b.OutputTokens
	n.ReplyBytes += b.ReplyBytes
	n.AdmittedRequests += b.AdmittedRequests
	n.AdmittedTokens += b.AdmittedTokens
	n.FirstByteMS = merged(n.FirstByteMS, b.FirstByteMS)
	n.ReplyMS = merged(n.ReplyMS, b.ReplyMS)
}

func added(h *Histogram, d time.Duration) *Histogram {
	if h == nil {
		h = newHistogram()
	}
	h.Add(d.Milliseconds(), 1)
	return h
}

func merged(a, b *Histogram) *Histogram {
	if b == nil {
		return a
	}
	if a == nil {
		a = newHistogram()
	}
	a.Merge(b)
	return a
}

func bumped(m map[string]int64, code string, n int64) map[string]int64 {
	if m == nil {
		m = map[string]int64{}
	}
	m[code] += n
	return m
}

func summed(a, b map[string]int64) map[string]int64 {
	for code, n := range b {
		a = bumped(a, code, n)
	}
	return a
}
