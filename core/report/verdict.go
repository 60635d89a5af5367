package report

import (
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// TargetShare is the share of requests that a promise about many requests
// speaks of: 95 in 100, as the latency target of the design.
const TargetShare = 0.95

// logDelay is how much the log's time of a record may be behind the moment at
// which it was sent: the default time-out of one append.
const logDelay = 2 * time.Second

// Names of promises.
const (
	PromiseAccepted = "work_accepted"
	PromiseTime     = "reply_time"
	PromiseWhole    = "whole_replies"
	PromiseRequests = "request_limit"
	PromiseTokens   = "token_limit"
)

// Promise is one promise of a contract against what was delivered. Promised and
// Delivered are shares, numbers of replies, or amounts of credit.
type Promise struct {
	Name      string  `json:"name"`
	Verdict   Verdict `json:"verdict"`
	Promised  float64 `json:"promised"`
	Delivered float64 `json:"delivered"`
}

// Refusals are the refusals as not run by code.
type Refusals struct {
	OwnLimit   map[string]int64 `json:"own_limit,omitempty"`
	OwnRequest map[string]int64 `json:"own_request,omitempty"`
	System     map[string]int64 `json:"system,omitempty"`
}

// Organisation is what one organisation was promised and got.
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

// ownLimits are the codes of the organisation's own limits.
var ownLimits = []core.Code{core.CodeRateLimit, core.CodeConcurrency}

// ownRequests are the codes of faults of the request itself. Every other code,
// reply memory included, is the system's: its budget is shared.
var ownRequests = []core.Code{core.CodeBadRequest, core.CodeUnauthorized, core.CodeForbidden, core.CodeNotFound,
	core.CodeTooLarge, core.CodeUploadTimeout, core.CodeKeyRequired, core.CodeKeyMismatch, core.CodeKeyExpired,
	core.CodeStillRunning, core.CodeCrashesServers}

// spent is the credit that one record shows.
type spent struct {
	start, end time.Time
	amount     core.CreditAmount
}

// tally sums up one organisation.
type tally struct {
	total    Count
	services map[string]*Count
	versions []int64
	spent    []spent
}

func newTally(organisation string) *tally {
	return &tally{total: Count{Organisation: organisation}, services: map[string]*Count{}}
}

func (t *tally) add(c Count, start, end time.Time) {
	t.sum(&t.total, c)
	s := t.services[c.Service]
	if s == nil {
		s = &Count{Organisation: c.Organisation, Service: c.Service}
		t.services[c.Service] = s
	}
	t.sum(s, c)
	if !slices.Contains(t.versions, c.ContractVersion) {
		t.versions = append(t.versions, c.ContractVersion)
	}
	if c.AdmittedRequests > 0 || c.AdmittedTokens > 0 {
		t.spent = append(t.spent, spent{start, end, core.CreditAmount{Requests: float64(c.AdmittedRequests), Tokens: float64(c.AdmittedTokens)}})
	}
}

// sum adds counts. Of several versions the highest version and the most
// generous limits are shown, since the window may hold each of them.
func (t *tally) sum(to *Count, c Count) {
	to.add(c)
	to.ContractVersion = max(to.ContractVersion, c.ContractVersion)
	to.RequestsPerSecond = max(to.RequestsPerSecond, c.RequestsPerSecond)
	to.TokensPerSecond = max(to.TokensPerSecond, c.TokensPerSecond)
	to.ReplyTimeMS = max(to.ReplyTimeMS, c.ReplyTimeMS)
}

func (t *tally) organisation(gap bool) Organisation {
	n := t.total
	o := Organisation{Organisation: n.Organisation, Verdict: Kept, ContractVersions: slices.Sorted(slices.Values(t.versions)),
		Unfinished: n.AdmittedRequests - n.finished(), Refusals: refusals(n), Total: n}
	if n.FirstByteMS != nil {
		o.FirstByteP95MS = n.FirstByteMS.Percentile(95)
	}
	if n.ReplyMS != nil {
		o.ReplyP95MS = n.ReplyMS.Percentile(95)
	}
	for _, name := range t.serviceNames() {
		o.Services = append(o.Services, *t.services[name])
	}
	o.Promises = append(n.shares(o.Refusals, gap), t.limits(gap)...)
	for _, p := range o.Promises {
		o.Verdict = worse(o.Verdict, p.Verdict)
		if p.Name == PromiseTime {
			o.ShareOnTime = p.Delivered
		}
	}
	return o
}

func (t *tally) serviceNames() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// finished returns the outcomes of requests that were certainly admitted. Those
// refused as not run may have been refused before or after admission.
func (n Count) finished() int64 {
	return n.Whole + n.Cut + n.CallerGone + n.OutcomeUnknown + total(n.Failed)
}

func total(m map[string]int64) int64 {
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
			r.OwnLimit = bumped(r.OwnLimit, code, k)
		case slices.Contains(ownRequests, core.Code(code)):
			r.OwnRequest = bumped(r.OwnRequest, code, k)
		default:
			r.System = bumped(r.System, code, k)
		}
	}
	return r
}

// shares judges the promises about replies. Missing records can hold enough
// good outcomes to mend a share, but cannot mend a cut reply.
func (n Count) shares(r Refusals, gap bool) []Promise {
	begun := n.Whole + n.Cut + n.CallerGoneLate + n.OutcomeUnknown + total(n.Failed)
	valid := n.Requests - total(r.OwnLimit) - total(r.OwnRequest)
	bad := n.Cut + n.OutcomeUnknown
	whole := Promise{Name: PromiseWhole, Verdict: judge(bad == 0, gap), Promised: float64(n.Whole + bad), Delivered: float64(n.Whole)}
	if bad > 0 {
		whole.Verdict = Broken
	}
	return []Promise{
		sharePromise(PromiseAccepted, valid-total(r.System), valid, gap),
		sharePromise(PromiseTime, n.OnTime, begun, gap),
		whole,
	}
}

func sharePromise(name string, good, all int64, gap bool) Promise {
	share := 1.0
	if all > 0 {
		share = float64(good) / float64(all)
	}
	return Promise{Name: name, Promised: TargetShare, Delivered: share, Verdict: judge(share >= TargetShare, gap)}
}

func judge(ok, gap bool) Verdict {
	switch {
	case gap:
		return NotKnown
	case ok:
		return Kept
	}
	return Broken
}

// limits holds the admitted credit against rate times time plus burst, over all
// records and over each two intervals.
func (t *tally) limits(gap bool) []Promise {
	c := core.Contract{RequestsPerSecond: t.total.RequestsPerSecond, TokensPerSecond: t.total.TokensPerSecond}
	allowed, used := core.CreditAmount{}, core.CreditAmount{}
	brokenRequests, brokenTokens := false, false
	for i, p := range t.periods() {
		limit := permitted(c, p.end.Sub(p.start))
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
	p := Promise{Name: name, Promised: allowed, Delivered: used, Verdict: judge(true, gap)}
	if broken {
		p.Verdict = Broken
	}
	return p
}

// permitted returns the most that a contract permits in any d. Times of records
// are known up to logDelay.
func permitted(c core.Contract, d time.Duration) core.CreditAmount {
	b := share.Burst(c)
	s := (d + logDelay).Seconds()
	return core.CreditAmount{Requests: c.RequestsPerSecond*s + b.Requests, Tokens: c.TokensPerSecond*s + b.Tokens}
}

// periods returns the whole time first, and then each period of two intervals
// with the records that lie wholly inside it.
func (t *tally) periods() []spent {
	if len(t.spent) == 0 {
		return nil
	}
	all, longest := t.spent[0], time.Second
	all.amount = core.CreditAmount{}
	for _, s := range t.spent {
		if s.start.Before(all.start) {
			all.start = s.start
		}
		if s.end.After(all.end) {
			all.end = s.end
		}
		longest = max(longest, s.end.Sub(s.start))
		all.amount = sumOf(all.amount, s.amount)
	}
	cells := make([]spent, int(all.end.Sub(all.start)/longest)+1)
	for i := range cells {
		cells[i].start = all.start.Add(time.Duration(i) * longest)
		cells[i].end = cells[i].start.Add(2 * longest)
	}
	for _, s := range t.spent {
		i := int(s.start.Sub(all.start) / longest)
		cells[i].amount = sumOf(cells[i].amount, s.amount)
		if i > 0 && !s.end.After(cells[i-1].end) {
			cells[i-1].amount = sumOf(cells[i-1].amount, s.amount)
		}
	}
	return append([]spent{all}, cells...)
}

func sumOf(a, b core.CreditAmount) core.CreditAmount {
	return core.CreditAmount{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}
