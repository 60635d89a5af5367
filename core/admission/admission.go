// Package admission decides which requests a backend server may run. It
// reserves the expected memory of each request in advance, raises the limits of
// a cold server step by step (slow start) and divides a nearly full server
// fairly between organisations.
package admission

import (
	"fmt"
	"time"

	"nutmegnotch/core"
)

// Limits holds the limits of one backend server, in tokens of memory and in
// requests. A cold server starts with ColdTokens and ColdConcurrency, which grow
// up to MemoryTokens and MaxConcurrency.
type Limits struct {
	ColdTokens      int64
	ColdConcurrency int
	MemoryTokens    int64
	MaxConcurrency  int
}

// LimitsOf returns the limits of the backend servers of a service.
func LimitsOf(s core.Service) Limits {
	return Limits{
		ColdTokens:      s.ColdTokens,
		ColdConcurrency: s.ColdConcurrency,
		MemoryTokens:    s.MemoryTokens,
		MaxConcurrency:  s.MaxConcurrency,
	}
}

// Admitter admits requests by memory, warm-up and fair share. It implements
// core.Admitter.
type Admitter struct {
	limits     Limits
	warm       warmUp
	orgs       shares
	held       map[string]reservation
	heldTokens int64
	exclusive  bool
	drain      drain
	releases   releaseRate
}

// reservation is what one request has reserved. Its values are stored at
// admission, so that exactly the same amount is released.
type reservation struct {
	organisation string
	cost         int64
	exclusive    bool
}

// New returns an admitter for a server that has just started.
func New(l Limits, now time.Time) *Admitter {
	a := &Admitter{limits: l, orgs: newShares(), held: map[string]reservation{}}
	a.warm.restart(now)
	return a
}

// SetLimits replaces the limits. Reservations and the warm-up level are kept.
func (a *Admitter) SetLimits(l Limits) { a.limits = l }

// Admit reserves the cost of r or refuses it as not run.
func (a *Admitter) Admit(r core.Request, now time.Time) (core.Refusal, bool) {
	refusal, ok := a.check(r, now)
	if !ok {
		a.orgs.refused(r.Organisation, weightOf(r), a.withinShare(r, now), now)
		return refusal, false
	}
	h := reservation{organisation: r.Organisation, cost: r.Cost(), exclusive: r.Exclusive}
	a.held[r.ID] = h
	a.heldTokens += h.cost
	a.exclusive = r.Exclusive
	a.endDrain(r, now)
	a.orgs.add(r.Organisation, weightOf(r), h.cost)
	return core.Refusal{}, true
}

func (a *Admitter) check(r core.Request, now time.Time) (core.Refusal, bool) {
	cost := r.Cost()
	limitTokens, limitCount := a.limit()
	if _, ok := a.held[r.ID]; ok {
		return refuse(core.CodeStillRunning, "a request with this id is held", a.retryAfter(cost)), false
	}
	if cost > a.limits.MemoryTokens {
		text := fmt.Sprintf("request needs %d tokens of memory, the backend server has %d", cost, a.limits.MemoryTokens)
		return refuse(core.CodeTooLarge, text, 0), false
	}
	if a.drainedForOther(r, now) {
		return refuse(core.CodeOverloaded, "the backend server is drained for another request", a.retryAfter(a.heldTokens)), false
	}
	if a.exclusive || (r.Exclusive && len(a.held) > 0) {
		return refuse(core.CodeOverloaded, "a request must be alone on the backend server", a.retryAfter(a.heldTokens)), false
	}
	if over := a.heldTokens + cost - limitTokens; over > 0 {
		return refuse(core.CodeOverloaded, "memory limit of the backend server", a.retryAfter(over)), false
	}
	if len(a.held) >= limitCount {
		return refuse(core.CodeOverloaded, "request limit of the backend server", a.retryAfter(a.meanCost())), false
	}
	if over := a.overShare(r, now); over > 0 {
		return refuse(core.CodeOverloaded, "fair share of the organisation", a.organisationRetryAfter(r.Organisation, over)), false
	}
	return core.Refusal{}, true
}

// withinShare reports whether the request fits into the fair share of its
// organisation.
func (a *Admitter) withinShare(r core.Request, now time.Time) bool {
	limitTokens, limitCount := a.limit()
	fraction, usage := a.orgs.fraction(r.Organisation, weightOf(r), now), a.orgs.held(r.Organisation)
	return usage.tokens+r.Cost() <= int64(fraction*float64(limitTokens)) && float64(usage.count+1) <= fraction*float64(limitCount)
}

// leavesHeadroom reports whether the request leaves room for headroomRequests of
// mean cost, and no other organisation was recently refused below its share. An
// organisation may exceed its share then; otherwise the unused shares of the
// others left an eighth of a full server idle.
func (a *Admitter) leavesHeadroom(r core.Request, now time.Time) bool {
	limitTokens, limitCount := a.limit()
	return a.heldTokens+r.Cost()+headroomRequests*a.meanCost() <= limitTokens && len(a.held)+1+headroomRequests <= limitCount && !a.orgs.otherStarved(r.Organisation, now)
}

// overShare returns by how many tokens the request exceeds the fair share of
// its organisation on a nearly full server; zero means that it is admitted. An
// organisation without a running request may always run one. One above its share
// may use capacity that the others do not want.
func (a *Admitter) overShare(r core.Request, now time.Time) int64 {
	limitTokens, limitCount := a.limit()
	full := float64(a.heldTokens+r.Cost()) > fairShareThreshold*float64(limitTokens) ||
		float64(len(a.held)+1) > fairShareThreshold*float64(limitCount)
	usage := a.orgs.held(r.Organisation)
	if !full || usage.count == 0 || a.leavesHeadroom(r, now) {
		return 0
	}
	fraction := a.orgs.fraction(r.Organisation, weightOf(r), now)
	over := usage.tokens + r.Cost() - int64(fraction*float64(limitTokens))
	if over <= 0 && float64(usage.count+1) > fraction*float64(limitCount) {
		over = a.meanCost()
	}
	return max(over, 0)
}

// Done releases what Admit reserved and passes the outcome to the warm-up.
func (a *Admitter) Done(r core.Request, o core.Outcome, now time.Time) {
	h, ok := a.held[r.ID]
	if !ok {
		return
	}
	running := len(a.held)
	delete(a.held, r.ID)
	a.heldTokens -= h.cost
	if h.exclusive {
		a.exclusive = false
	}
	a.orgs.remove(h.organisation, h.cost)
	a.releases.add(h.cost, now)
	_, limitCount := a.limit()
	a.warm.completed(o, running, limitCount, a.saturated(), now)
}

// Restarted resets the limits to those of a cold server. Reservations are kept
// until Done.
func (a *Admitter) Restarted(now time.Time) { a.warm.restart(now) }

// Load returns the reserved tokens and requests and their current limits.
func (a *Admitter) Load() (heldTokens int64, heldCount int, limitTokens int64, limitCount int) {
	limitTokens, limitCount = a.limit()
	return a.heldTokens, len(a.held), limitTokens, limitCount
}

func (a *Admitter) limit() (int64, int) {
	return doubled(a.limits.ColdTokens, a.limits.MemoryTokens, a.warm.level),
		int(doubled(int64(a.limits.ColdConcurrency), int64(a.limits.MaxConcurrency), a.warm.level))
}

// saturated reports whether the limits have reached their maximum.
func (a *Admitter) saturated() bool {
	tokens, count := a.limit()
	return tokens == a.limits.MemoryTokens && count == a.limits.MaxConcurrency
}

// doubled returns v doubled n times, but at most limit.
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
	return max(a.heldTokens/int64(len(a.held)), 1)
}

func weightOf(r core.Request) int { return max(r.Weight, 1) }

func refuse(code core.Code, message string, after time.Duration) core.Refusal {
	return core.Refusal{Code: code, Message: message, NotRun: true, RetryAfter: after}
}
