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
	// EndedWhole is a complete reply, whatever its HTTP status.
	EndedWhole Ending = iota
	// EndedCut is a reply that was cut off after it had begun.
	EndedCut
	// EndedCallerGone means that the caller disconnected before the end.
	EndedCallerGone
	// EndedRefused is a reply of the system itself instead of a backend server's.
	EndedRefused
	// EndedUnverified is a reply of which nobody can tell whether it is whole, since the
	// backend server did not mark its end.
	EndedUnverified
)

// Subject is the contract and the service that an event is counted for. It holds
// only the fields that are counted, since events are copied.
type Subject struct {
	Organisation      string
	Service           string
	ContractVersion   int64
	RequestsPerSecond float64
	TokensPerSecond   float64
	ReplyTimeMS       int64
}

// SubjectOf returns the subject of requests to a service under a version of a
// contract.
func SubjectOf(c core.Contract, version int64, service string) Subject {
	return Subject{Organisation: c.Organisation, Service: service, ContractVersion: version,
		RequestsPerSecond: c.RequestsPerSecond, TokensPerSecond: c.TokensPerSecond, ReplyTimeMS: c.ReplyTimeMS}
}

// Outcome is the final outcome of one request. TimeToFirstByte is 0 without a
// reply.
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

// Admission is the credit that one admitted request has spent.
type Admission struct {
	Subject
	PromptTokens int64
	OutputTokens int64
	Cost         int64
}

type countKey struct {
	organisation, service string
	version               int64
}

// Counter collects the counts of one reporting interval. It is not safe for
// concurrent use.
type Counter struct{ counts map[countKey]*Count }

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{counts: map[countKey]*Count{}} }

// Empty reports whether nothing was counted.
func (c *Counter) Empty() bool { return len(c.counts) == 0 }

func (c *Counter) count(s Subject) *Count {
	k := countKey{s.Organisation, s.Service, s.ContractVersion}
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

// CountAdmission counts an admitted request and the credit that it has spent.
func (c *Counter) CountAdmission(a Admission) {
	n := c.count(a.Subject)
	n.AdmittedRequests++
	n.AdmittedTokens += a.Cost
	n.PromptTokens += a.PromptTokens
	n.OutputTokens += a.OutputTokens
}

// CountOutcome counts the final outcome of a request.
func (c *Counter) CountOutcome(o Outcome) {
	n := c.count(o.Subject)
	n.Requests++
	n.ReplyBytes += o.ReplyBytes
	late := o.Elapsed > time.Duration(o.ReplyTimeMS)*time.Millisecond
	if o.TimeToFirstByte > 0 {
		n.FirstByteMS = addTime(n.FirstByteMS, o.TimeToFirstByte)
	}
	switch o.Ending {
	case EndedWhole:
		n.ReplyMS = addTime(n.ReplyMS, o.Elapsed)
		n.Whole++
		if late {
			n.Late++
		} else {
			n.OnTime++
		}
	case EndedUnverified:
		n.Unverified++
		if late {
			n.UnverifiedLate++
		}
	case EndedCut:
		n.Cut++
	case EndedCallerGone:
		n.CallerGone++
		if late {
			n.CallerGoneLate++
		}
	default:
		n.addRefusal(o)
	}
}

func (n *Count) addRefusal(o Outcome) {
	switch {
	case o.OutcomeUnknown:
		n.OutcomeUnknown++
	case o.NotRun:
		n.NotRun = addToCode(n.NotRun, string(o.Code), 1)
	default:
		n.Failed = addToCode(n.Failed, string(o.Code), 1)
	}
}

// Merge adds the counts of another counter, which must not be used afterwards
// because both may share counts.
func (c *Counter) Merge(o *Counter) {
	for k, n := range o.counts {
		if have := c.counts[k]; have != nil {
			have.add(*n)
			continue
		}
		c.counts[k] = n
	}
}

// Counts returns the counts, sorted by organisation, service and contract
// version.
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

// add adds the numbers of b, which must have the same subject. n shares no maps
// or histograms with b afterwards.
func (n *Count) add(b Count) {
	n.Requests += b.Requests
	n.Whole += b.Whole
	n.OnTime += b.OnTime
	n.Late += b.Late
	n.Unverified += b.Unverified
	n.UnverifiedLate += b.UnverifiedLate
	n.Cut += b.Cut
	n.CallerGone += b.CallerGone
	n.CallerGoneLate += b.CallerGoneLate
	n.OutcomeUnknown += b.OutcomeUnknown
	n.NotRun = addCodes(n.NotRun, b.NotRun)
	n.Failed = addCodes(n.Failed, b.Failed)
	n.PromptTokens += b.PromptTokens
	n.OutputTokens += b.OutputTokens
	n.ReplyBytes += b.ReplyBytes
	n.AdmittedRequests += b.AdmittedRequests
	n.AdmittedTokens += b.AdmittedTokens
	n.FirstByteMS = mergeHistograms(n.FirstByteMS, b.FirstByteMS)
	n.ReplyMS = mergeHistograms(n.ReplyMS, b.ReplyMS)
}

func addTime(h *Histogram, d time.Duration) *Histogram {
	if h == nil {
		h = newHistogram()
	}
	h.Add(d.Milliseconds(), 1)
	return h
}

func mergeHistograms(a, b *Histogram) *Histogram {
	if b == nil {
		return a
	}
	if a == nil {
		a = newHistogram()
	}
	a.Merge(b)
	return a
}

func addToCode(m map[string]int64, code string, n int64) map[string]int64 {
	if m == nil {
		m = map[string]int64{}
	}
	m[code] += n
	return m
}

func addCodes(a, b map[string]int64) map[string]int64 {
	for code, n := range b {
		a = addToCode(a, code, n)
	}
	return a
}
