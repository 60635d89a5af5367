package report

import (
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// TargetShare is the share of requests for which the promises on accepted work
// and on reply time must hold. It equals the latency target of 95%.
const TargetShare = 0.95

// maxLogDelay is how much later than its sending the log's time of a record can
// be. It is the default timeout of one append.
const maxLogDelay = 2 * time.Second

// Names of promises.
const (
	PromiseAccepted = "work_accepted"
	PromiseTime     = "reply_time"
	PromiseWhole    = "whole_replies"
	PromiseRequests = "request_limit"
	PromiseTokens   = "token_limit"
)

// Promise compares one promise of a contract with what was delivered. Promised
// and Delivered are shares, numbers of replies, or amounts of credit.
type Promise struct {
	Name      string  `json:"name"`
	Verdict   Verdict `json:"verdict"`
	Promised  float64 `json:"promised"`
	Delivered float64 `json:"delivered"`
}

// Refusals counts, by code, the requests that were refused without being run.
// OwnLimit has the refusals for the organisation's limits, OwnRequest those for
// faults of the request, and System all others.
type Refusals struct {
	OwnLimit   map[string]int64 `json:"own_limit,omitempty"`
	OwnRequest map[string]int64 `json:"own_request,omitempty"`
	System     map[string]int64 `json:"system,omitempty"`
}

// Organisation is the report on one organisation.
type Organisation struct {
	Organisation     string    `json:"organisation"`
	Verdict          Verdict   `json:"verdict"`
	ContractVersions []int64   `json:"contract_versions"`
	Promises         []Promise `json:"promises"`
	ShareOnTime      float64   `json:"share_on_time"`
	Unfinished       int64     `json:"unfinished"`
	Refusals         Refusals  `json:"refusals"`
	FirstByteP95MS   int64     `json:"first_ms_95"`
	ReplyP95MS       int64     `json:"reply_ms_95"`
	Total            Count     `json:"total"`
	Services         []Count   `json:"services"`
}

// ownLimits are the codes of refusals for the organisation's own limits.
var ownLimits = []core.Code{core.CodeRateLimit, core.CodeConcurrency}

// ownRequests are the codes of refusals for faults of the request itself. All
// other codes count as refusals by the system, also the one for reply memory,
// whose budget is shared between organisations.
var ownRequests = []core.Code{core.CodeBadRequest, core.CodeUnauthorized, core.CodeForbidden, core.CodeNotFound,
	core.CodeTooLarge, core.CodeUploadTimeout, core.CodeKeyRequired, core.CodeKeyMismatch, core.CodeKeyExpired,
	core.CodeStillRunning, core.CodeCrashesServers}

// creditUse is the credit that was spent in one interval.
type creditUse struct {
	start, end time.Time
	amount     core.CreditAmount
}

// accumulator adds up the counts of one organisation.
type accumulator struct {
	total      Count
	services   map[string]*Count
	versions   []int64
	creditUses []creditUse
}

func newAccumulator(organisation string) *accumulator {
	return &accumulator{total: Count{Organisation: organisation}, services: map[string]*Count{}}
}

func (a *accumulator) add(c Count, start, end time.Time) {
	a.addCounts(&a.total, c)
	s := a.services[c.Service]
	if s == nil {
		s = &Count{Organisation: c.Organisation, Service: c.Service}
		a.services[c.Service] = s
	}
	a.addCounts(s, c)
	if !slices.Contains(a.versions, c.ContractVersion) {
		a.versions = append(a.versions, c.ContractVersion)
	}
	if c.AdmittedRequests > 0 || c.AdmittedTokens > 0 {
		a.creditUses = append(a.creditUses, creditUse{start, end, core.CreditAmount{Requests: float64(c.AdmittedRequests), Tokens: float64(c.AdmittedTokens)}})
	}
}

// addCounts adds c to a total. If the window covers several versions of the
// contract, the total has the highest version and the highest limits, since each
// of them may have applied.
func (a *accumulator) addCounts(to *Count, c Count) {
	to.add(c)
	to.ContractVersion = max(to.ContractVersion, c.ContractVersion)
	to.RequestsPerSecond = max(to.RequestsPerSecond, c.RequestsPerSecond)
	to.TokensPerSecond = max(to.TokensPerSecond, c.TokensPerSecond)
	to.ReplyTimeMS = max(to.ReplyTimeMS, c.ReplyTimeMS)
}

func (a *accumulator) organisation(gap bool) Organisation {
	n := a.total
	o := Organisation{Organisation: n.Organisation, Verdict: Kept, ContractVersions: slices.Sorted(slices.Values(a.versions)),
		Unfinished: n.AdmittedRequests - n.finished(), Refusals: refusals(n), Total: n}
	if n.FirstByteMS != nil {
		o.FirstByteP95MS = n.FirstByteMS.Percentile(95)
	}
	if n.ReplyMS != nil {
		o.ReplyP95MS = n.ReplyMS.Percentile(95)
	}
	for _, name := range a.serviceNames() {
		o.Services = append(o.Services, *a.services[name])
	}
	o.Promises = append(n.replyPromises(o.Refusals, gap), a.limitPromises(gap)...)
	for _, p := range o.Promises {
		o.Verdict = worseVerdict(o.Verdict, p.Verdict)
		if p.Name == PromiseTime {
			o.ShareOnTime = p.Delivered
		}
	}
	return o
}

func (a *accumulator) serviceNames() []string {
	names := make([]string, 0, len(a.services))
	for name := range a.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// finished returns the number of final outcomes of requests that were certainly
// admitted. A request that was refused and not run may have been refused before
// or after its admission.
func (n Count) finished() int64 {
	return n.Whole + n.Unverified + n.Cut + n.CallerGone + n.OutcomeUnknown + sumCounts(n.Failed)
}

func sumCounts(m map[string]int64) int64 {
	var sum int64
	for _, n := range m {
		sum += n
	}
	return sum
}

func refusals(n Count) Refusals {
	var r Refusals
	for code, k := range n.NotRun {
		switch {
		case slices.Contains(ownLimits, core.Code(code)):
			r.OwnLimit = addToCode(r.OwnLimit, code, k)
		case slices.Contains(ownRequests, core.Code(code)):
			r.OwnRequest = addToCode(r.OwnRequest, code, k)
		default:
			r.System = addToCode(r.System, code, k)
		}
	}
	return r
}

// replyPromises returns the promises on replies. Missing records can hold enough
// good outcomes to reach a target share, but cannot undo a reply that was cut. An
// unverified reply may have been whole or cut.
func (n Count) replyPromises(r Refusals, gap bool) []Promise {
	begun := n.Whole + n.Unverified + n.Cut + n.CallerGoneLate + n.OutcomeUnknown + sumCounts(n.Failed)
	valid := n.Requests - sumCounts(r.OwnLimit) - sumCounts(r.OwnRequest)
	bad := n.Cut + n.OutcomeUnknown
	whole := Promise{Name: PromiseWhole, Verdict: verdictOf(bad == 0, gap || n.Unverified > 0), Promised: float64(n.Whole + n.Unverified + bad),
		Delivered: float64(n.Whole)}
	if bad > 0 {
		whole.Verdict = Broken
	}
	return []Promise{
		sharePromise(PromiseAccepted, valid-sumCounts(r.System), 0, valid, gap),
		sharePromise(PromiseTime, n.OnTime, n.Unverified-n.UnverifiedLate, begun, gap),
		whole,
	}
}

// sharePromise compares a share of good outcomes with the target. maybe counts the
// outcomes of which it is not known whether they are good.
func sharePromise(name string, good, maybe, all int64, gap bool) Promise {
	share, atMost := 1.0, 1.0
	if all > 0 {
		share, atMost = float64(good)/float64(all), float64(good+maybe)/float64(all)
	}
	known := share >= TargetShare || atMost < TargetShare
	return Promise{Name: name, Promised: TargetShare, Delivered: share, Verdict: verdictOf(share >= TargetShare, gap || !known)}
}

func verdictOf(ok, gap bool) Verdict {
	switch {
	case gap:
		return NotKnown
	case ok:
		return Kept
	}
	return Broken
}

// limitPromises compares the admitted credit with rate times duration plus burst,
// over all records and over each period of two intervals.
func (a *accumulator) limitPromises(gap bool) []Promise {
	c := core.Contract{RequestsPerSecond: a.total.RequestsPerSecond, TokensPerSecond: a.total.TokensPerSecond}
	allowed, used := core.CreditAmount{}, core.CreditAmount{}
	brokenRequests, brokenTokens := false, false
	for i, p := range a.periods() {
		limit := permittedCredit(c, p.end.Sub(p.start))
		if i == 0 {
			allowed, used = limit, p.amount
		}
		if p.amount.Requests > limit.Requests && !brokenRequests {
			brokenRequests, allowed.Requests, used.Requests = true, limit.Requests, p.amount.Requests
		}
		if p.amount.Tokens > limit.Tokens && !brokenTokens {
			brokenTokens, allowed.Tokens, used.Tokens = true, limit.Tokens, p.amount.Tokens
		}
	}
	return []Promise{
		limitPromise(PromiseRequests, allowed.Requests, used.Requests, brokenRequests, gap),
		limitPromise(PromiseTokens, allowed.Tokens, used.Tokens, brokenTokens, gap),
	}
}

func limitPromise(name string, allowed, used float64, broken, gap bool) Promise {
	p := Promise{Name: name, Promised: allowed, Delivered: used, Verdict: verdictOf(true, gap)}
	if broken {
		p.Verdict = Broken
	}
	return p
}

// permittedCredit returns the most credit that a contract permits in any period
// of length d. It adds maxLogDelay, the inaccuracy of the times of records.
func permittedCredit(c core.Contract, d time.Duration) core.CreditAmount {
	b := share.Burst(c)
	s := (d + maxLogDelay).Seconds()
	return core.CreditAmount{Requests: c.RequestsPerSecond*s + b.Requests, Tokens: c.TokensPerSecond*s + b.Tokens}
}

// periods returns the credit used in the whole time first, and then in each
// period of two intervals. A period counts the records whose intervals lie wholly
// inside it.
func (a *accumulator) periods() []creditUse {
	if len(a.creditUses) == 0 {
		return nil
	}
	all, longest := a.creditUses[0], time.Second
	all.amount = core.CreditAmount{}
	for _, s := range a.creditUses {
		if s.start.Before(all.start) {
			all.start = s.start
		}
		if s.end.After(all.end) {
			all.end = s.end
		}
		longest = max(longest, s.end.Sub(s.start))
		all.amount = addAmounts(all.amount, s.amount)
	}
	pairs := make([]creditUse, int(all.end.Sub(all.start)/longest)+1)
	for i := range pairs {
		pairs[i].start = all.start.Add(time.Duration(i) * longest)
		pairs[i].end = pairs[i].start.Add(2 * longest)
	}
	for _, s := range a.creditUses {
		i := int(s.start.Sub(all.start) / longest)
		pairs[i].amount = addAmounts(pairs[i].amount, s.amount)
		if i > 0 && !s.end.After(pairs[i-1].end) {
			pairs[i-1].amount = addAmounts(pairs[i-1].amount, s.amount)
		}
	}
	return append([]creditUse{all}, pairs...)
}

func addAmounts(a, b core.CreditAmount) core.CreditAmount {
	return core.CreditAmount{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}
