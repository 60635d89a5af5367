// Package admission decides what a backend server may hold. It reserves the
// whole expected memory of each request, warms a cold server up step by step
// and divides a nearly full server fairly between organisations.
package admission

import (
	"fmt"
	"time"

	"nutmegnotch/core"
)

// Limits are the bounds of one backend server, in tokens and in requests.
type Limits struct {
	ColdTokens      int64
	ColdConcurrency int
	MemoryTokens    int64
	MaxConcurrency  int
}

// LimitsOf returns the limits that a service's settings give its servers.
func LimitsOf(s core.Service) Limits {
	return Limits{
		ColdTokens:      s.ColdTokens,
		ColdConcurrency: s.ColdConcurrency,
		MemoryTokens:    s.MemoryTokens,
		MaxConcurrency:  s.MaxConcurrency,
	}
}

// Admitter admits by memory, warm-up and fair share. It implements
// core.Admitter.
type Admitter struct {
	limits    Limits
	warm      warmUp
	orgs      shares
	held      map[string]holding
	tokens    int64
	exclusive bool
	drain     drain
	releases  releaseRate
}

// holding is what one request reserves. Its values are kept from the time of
// admission, so that the release equals the reservation.
type holding struct {
	organisation string
	cost         int64
	exclusive    bool
}

// New returns an admitter for a server that has just started.
func New(l Limits, now time.Time) *Admitter {
	a := &Admitter{limits: l, orgs: newShares(), held: map[string]holding{}}
	a.warm.restart(now)
	return a
}

// SetLimits replaces the limits and keeps what is held and how warm the server
// is.
func (a *Admitter) SetLimits(l Limits) { a.limits = l }

// Admit reserves the cost of r or refuses it as not run.
func (a *Admitter) Admit(r core.Request, now time.Time) (core.Refusal, bool) {
	refusal, ok := a.check(r, now)
	if !ok {
		a.orgs.refused(r.Organisation, weightOf(r), a.belowShare(r, now), now)
		return refusal, false
	}
	h := holding{organisation: r.Organisation, cost: r.Cost(), exclusive: r.Exclusive}
	a.held[r.ID] = h
	a.tokens += h.cost
	a.exclusive = r.Exclusive
	a.endDrain(r, now)
	a.orgs.add(r.Organisation, weightOf(r), h.cost)
	return core.Refusal{}, true
}

func (a *Admitter) check(r core.Request, now time.Time) (core.Refusal, bool) {
	cost := r.Cost()
	limitTokens, limitCount := a.limit()
	if _, ok := a.held[r.ID]; ok {
		return refuse(core.CodeStillRunning, "a request with this id is held", a.wait(cost)), false
	}
	if cost > a.limits.MemoryTokens {
		text := fmt.Sprintf("request needs %d tokens of memory, the backend server has %d", cost, a.limits.MemoryTokens)
		return refuse(core.CodeTooLarge, text, 0), false
	}
	if a.barred(r, now) {
		return refuse(core.CodeOverloaded, "the backend server is drained for another request", a.wait(a.tokens)), false
	}
	if a.exclusive || (r.Exclusive && len(a.held) > 0) {
		return refuse(core.CodeOverloaded, "a request must be alone on the backend server", a.wait(a.tokens)), false
	}
	if over := a.tokens + cost - limitTokens; over > 0 {
		return refuse(core.CodeOverloaded, "memory limit of the backend server", a.wait(over)), false
	}
	if len(a.held) >= limitCount {
		return refuse(core.CodeOverloaded, "request limit of the backend server", a.wait(a.meanCost())), false
	}
	if over := a.overShare(r, now); over > 0 {
		return refuse(core.CodeOverloaded, "fair share of the organisation", a.waitOrganisation(r.Organisation, over)), false
	}
	return core.Refusal{}, true
}

// belowShare reports whether the request fits the fair share of its
// organisation.
func (a *Admitter) belowShare(r core.Request, now time.Time) bool {
	limitTokens, limitCount := a.limit()
	part, mine := a.orgs.part(r.Organisation, weightOf(r), now), a.orgs.held(r.Organisation)
	return mine.tokens+r.Cost() <= int64(part*float64(limitTokens)) && float64(mine.count+1) <= part*float64(limitCount)
}

// spare reports whether the request leaves room for spareRequests of mean cost,
// and no other organisation was lately refused below its share. Without this,
// the shares of organisations that want less left an eighth of a full server
// unused.
func (a *Admitter) spare(r core.Request, now time.Time) bool {
	limitTokens, limitCount := a.limit()
	return a.tokens+r.Cost()+spareRequests*a.meanCost() <= limitTokens && len(a.held)+1+spareRequests <= limitCount && !a.orgs.starved(r.Organisation, now)
}

// overShare returns by how many tokens the request exceeds the fair share of
// its organisation on a nearly full server; zero means that it fits. An
// organisation that holds nothing may always hold one request. One above its
// share may use what is spare.
func (a *Admitter) overShare(r core.Request, now time.Time) int64 {
	limitTokens, limitCount := a.limit()
	full := float64(a.tokens+r.Cost()) > fairShareLevel*float64(limitTokens) ||
		float64(len(a.held)+1) > fairShareLevel*float64(limitCount)
	mine := a.orgs.held(r.Organisation)
	if !full || mine.count == 0 || a.spare(r, now) {
		return 0
	}
	part := a.orgs.part(r.Organisation, weightOf(r), now)
	over := mine.tokens + r.Cost() - int64(part*float64(limitTokens))
	if over <= 0 && float64(mine.count+1) > part*float64(limitCount) {
		over = a.meanCost()
	}
	return max(over, 0)
}

// Done releases what Admit reserved and learns from the outcome.
func (a *Admitter) Done(r core.Request, o core.Outcome, now time.Time) {
	h, ok := a.held[r.ID]
	if !ok {
		return
	}
	running := len(a.held)
	delete(a.held, r.ID)
	a.tokens -= h.cost
	if h.exclusive {
		a.exclusive = false
	}
	a.orgs.remove(h.organisation, h.cost)
	a.releases.add(h.cost, now)
	_, limitCount := a.limit()
	a.warm.completed(o, running, limitCount, a.saturated(), now)
}

// Restarted falls back to the cold limit. What is held stays held until Done.
func (a *Admitter) Restarted(now time.Time) { a.warm.restart(now) }

// Load returns the held and limit values.
func (a *Admitter) Load() (heldTokens int64, heldCount int, limitTokens int64, limitCount int) {
	limitTokens, limitCount = a.limit()
	return a.tokens, len(a.held), limitTokens, limitCount
}

func (a *Admitter) limit() (int64, int) {
	return doubled(a.limits.ColdTokens, a.limits.MemoryTokens, a.warm.level),
		int(doubled(int64(a.limits.ColdConcurrency), int64(a.limits.MaxConcurrency), a.warm.level))
}

// saturated reports whether another doubling changes nothing.
func (a *Admitter) saturated() bool {
	tokens, count := a.limit()
	return tokens == a.limits.MemoryTokens && count == a.limits.MaxConcurrency
}

// doubled returns v doubled n times, bounded by limit.
func doubled(v, limit int64, n int) int64 {
	for ; n > 0 && v < limit; n-- {
		v *= 2
	}
	return min(v, limit)
}

func (a *Admitter) meanCost() int64 {
	if len(a.held) == 0 {
		return 1
	}
	return max(a.tokens/int64(len(a.held)), 1)
}

func weightOf(r core.Request) int { return max(r.Weight, 1) }

func refuse(code core.Code, message string, after time.Duration) core.Refusal {
	return core.Refusal{Code: code, Message: message, NotRun: true, RetryAfter: after}
}
