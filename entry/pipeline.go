package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	"nutmegnotch/io/caller"
)

// serve handles one request from admission to its answer.
func (e *Entry) serve(ctx context.Context, r *caller.Request, w *caller.Reply) {
	e.metrics.requests.Add(1)
	e.runningRequests.Add(1)
	defer e.runningRequests.Add(-1)
	refusal, refused := e.admit(ctx, r, w)
	if !refused {
		return
	}
	e.metrics.refusals.Add(1)
	e.metrics.refusalCodes.Add(string(refusal.Code), 1)
	w.Refuse(refusal)
}

// admit checks the limits of the organisation, reserves reply memory and runs the
// request. It returns true with a refusal if the caller must still be answered.
func (e *Entry) admit(ctx context.Context, r *caller.Request, w *caller.Reply) (core.Refusal, bool) {
	if refusal, refused := e.check(r.Fingerprint); refused {
		return refusal, true
	}
	release, refusal, ok := e.cfg.Limiter.Acquire(ctx, r.Contract, r.Request)
	if !ok {
		return refusal, true
	}
	defer release()
	e.reportAdmission(r)
	reservation, ok := e.replyMemory.reserve(r.Organisation, expectedReplyBytes(r.ServiceInfo, r.Request), r.Contract.ReplyMemoryBytes)
	if !ok {
		return core.Refusal{Code: core.CodeReplyMemory, NotRun: true, RetryAfter: defaultRetryAfter,
			Message: "the memory for replies of this organisation is in use"}, true
	}
	defer e.replyMemory.release(reservation)
	c := &call{e: e, r: r, w: w, reservation: reservation, tried: map[string]bool{}}
	return c.run(ctx)
}

// reportAdmission reports an admission with the cost of the request.
func (e *Entry) reportAdmission(r *caller.Request) {
	if e.cfg.Reports == nil {
		return
	}
	e.cfg.Reports.Admitted(report.Admission{
		Subject: r.Subject(), PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Cost: r.Cost(),
	})
}

// check refuses requests during a shutdown or without a confirmed configuration,
// and requests that crash backend servers.
func (e *Entry) check(fingerprint uint64) (core.Refusal, bool) {
	if refusal, closed := e.gate(); closed {
		return refusal, true
	}
	if !e.cfg.Source.Confirmed(time.Now()) {
		return caller.StaleRefusal(), true
	}
	if e.attemptPolicy.status(fingerprint) == core.QuarantineBlocked {
		e.metrics.blockedRefusals.Add(1)
		return blockedRefusal(), true
	}
	return core.Refusal{}, false
}

func blockedRefusal() core.Refusal {
	return core.Refusal{Code: core.CodeCrashesServers, NotRun: true,
		Message: "this request has crashed backend servers and is refused"}
}

// run makes attempts until the request is answered or may not be retried. It
// returns true with a refusal if the caller must still be answered.
func (c *call) run(ctx context.Context) (core.Refusal, bool) {
	c.e.attemptPolicy.countRequest(c.r.Service)
	last := attemptResult{refusal: core.Refusal{Code: core.CodeNoServer, NotRun: true, RetryAfter: defaultRetryAfter}}
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			c.e.metrics.callersGone.Add(1)
			c.w.AbortCallerGone()
			return core.Refusal{}, false
		}
		res, tried := c.tryAgent(ctx, n)
		if res.done {
			return core.Refusal{}, false
		}
		if !tried && n > 1 && last.refusal.Code != "" && res.refusal.Code != core.CodeCrashesServers {
			// The last agent's refusal tells the caller more than the lack of
			// another agent.
			return c.withdrawNotRun(last.refusal), true
		}
		c.mayHaveRun = c.mayHaveRun || (tried && !res.attempt.NotRun && !res.final)
		if !tried || res.final || !c.e.attemptPolicy.allowRetry(c.r.Request, res.attempt) {
			return c.withdrawNotRun(res.refusal), true
		}
		c.crashed = c.crashed || res.attempt.Crashed
		c.e.metrics.retries.Add(1)
		c.e.log.Debug("retry", zap.String("request_id", c.r.ID), zap.Int("attempt", n))
		last = res
	}
}

// tryAgent chooses an agent and makes one attempt. It returns false without an
// attempt if the request may not run now or no agent can take it.
func (c *call) tryAgent(ctx context.Context, number int) (attemptResult, bool) {
	if refusal, refused := c.e.check(c.r.Fingerprint); refused {
		return attemptResult{refusal: refusal}, false
	}
	if !time.Now().Before(c.r.Deadline) {
		return attemptResult{refusal: core.Refusal{Code: core.CodeDeadline, NotRun: true, RetryAfter: defaultRetryAfter,
			Message: "the time for the request ran out before it was sent"}}, false
	}
	p := c.e.attemptPolicy.beginAttempt(c.r.Fingerprint)
	defer c.e.attemptPolicy.endAttempt(c.r.Fingerprint, p)
	switch {
	case p.status == core.QuarantineBlocked:
		return attemptResult{refusal: blockedRefusal()}, false
	case p.alreadyRunning:
		return attemptResult{refusal: core.Refusal{Code: core.CodeOverloaded, NotRun: true, RetryAfter: defaultRetryAfter,
			Message: "an equal request runs alone after a crash of a backend server"}}, false
	}
	c.lastExclusive = p.exclusive() || c.crashed
	ch := c.e.views.choose(c.r.Request, c.tried, c.lastExclusive)
	if !ch.ok {
		return attemptResult{refusal: core.Refusal{Code: ch.code, NotRun: true, RetryAfter: defaultRetryAfter,
			Message: "no backend server can take the request now"}}, false
	}
	c.tried[ch.view.Load.AgentID] = true
	return c.attempt(ctx, ch.view, c.lastExclusive, number), true
}

// withdrawNotRun clears NotRun of a refusal if the request may have run in an
// earlier attempt.
func (c *call) withdrawNotRun(r core.Refusal) core.Refusal {
	if !c.mayHaveRun || !r.NotRun {
		return r
	}
	r.NotRun = false
	if !c.r.Repeatable {
		r.Code, r.OutcomeUnknown = core.CodeOutcomeUnknown, true
	}
	return r
}
