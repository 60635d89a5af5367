package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	"nutmegnotch/io/caller"
)

// serve takes one request from admission to its answer.
func (e *Entry) serve(ctx context.Context, r *caller.Request, w *caller.Reply) {
	e.metrics.requests.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	refusal, refused := e.admit(ctx, r, w)
	if !refused {
		return
	}
	e.metrics.refusals.Add(1)
	e.metrics.refusalCodes.Add(string(refusal.Code), 1)
	w.Refuse(refusal)
}

// admit checks the limits of the organisation and takes what the request needs.
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
	held, ok := e.memory.reserve(r.Organisation, expectedReply(r.ServiceInfo, r.Request), r.Contract.ReplyMemoryBytes)
	if !ok {
		return core.Refusal{Code: core.CodeReplyMemory, NotRun: true, RetryAfter: retryOther,
			Message: "the memory for replies of this organisation is in use"}, true
	}
	defer e.memory.release(held)
	c := &call{e: e, r: r, w: w, reservation: held, tried: map[string]bool{}}
	return c.run(ctx)
}

// reportAdmission counts the credit that the request has spent.
func (e *Entry) reportAdmission(r *caller.Request) {
	if e.cfg.Reports == nil {
		return
	}
	e.cfg.Reports.Admitted(report.Admission{
		Subject: r.Subject(), PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Cost: r.Cost(),
	})
}

// check refuses new work without a confirmed configuration, during a stop, and
// for requests that crash backend servers.
func (e *Entry) check(fingerprint uint64) (core.Refusal, bool) {
	if refusal, closed := e.gate(); closed {
		return refusal, true
	}
	if !e.cfg.Source.Confirmed(time.Now()) {
		return caller.StaleRefusal(), true
	}
	if e.suspects.status(fingerprint) == core.QuarantineConvicted {
		e.metrics.convicted.Add(1)
		return convictedRefusal(), true
	}
	return core.Refusal{}, false
}

func convictedRefusal() core.Refusal {
	return core.Refusal{Code: core.CodeCrashesServers, NotRun: true,
		Message: "this request has crashed backend servers and is refused for good"}
}

// run makes attempts until one ends the request. The returned refusal is the
// answer unless the second result is false.
func (c *call) run(ctx context.Context) (core.Refusal, bool) {
	c.e.suspects.request(c.r.Service)
	last := result{refusal: core.Refusal{Code: core.CodeNoServer, NotRun: true, RetryAfter: retryOther}}
	for n := 1; ; n++ {
		if ctx.Err() != nil {
			c.e.metrics.callersGone.Add(1)
			c.w.CallerGone()
			return core.Refusal{}, false
		}
		res, tried := c.once(ctx, n)
		if res.done {
			return core.Refusal{}, false
		}
		if !tried && n > 1 && last.refusal.Code != "" && res.refusal.Code != core.CodeCrashesServers {
			// The last agent's answer says more than the lack of another agent.
			return c.truthful(last.refusal), true
		}
		c.mayHaveRun = c.mayHaveRun || (tried && !res.attempt.NotRun && !res.final)
		if !tried || res.final || !c.e.suspects.retry(c.r.Request, res.attempt) {
			return c.truthful(res.refusal), true
		}
		c.crashed = c.crashed || res.attempt.Crashed
		c.e.metrics.retries.Add(1)
		c.e.log.Debug("retry", zap.String("request_id", c.r.ID), zap.Int("attempt", n))
		last = res
	}
}

// once makes one attempt, unless the request may not run now or no agent can
// take it; then it reports false.
func (c *call) once(ctx context.Context, number int) (result, bool) {
	if refusal, refused := c.e.check(c.r.Fingerprint); refused {
		return result{refusal: refusal}, false
	}
	if !time.Now().Before(c.r.Deadline) {
		return result{refusal: core.Refusal{Code: core.CodeDeadline, NotRun: true, RetryAfter: retryOther,
			Message: "the time for the request ran out before it was sent"}}, false
	}
	p := c.e.suspects.enter(c.r.Fingerprint)
	defer c.e.suspects.leave(c.r.Fingerprint, p)
	switch {
	case p.status == core.QuarantineConvicted:
		return result{refusal: convictedRefusal()}, false
	case p.busy:
		return result{refusal: core.Refusal{Code: core.CodeOverloaded, NotRun: true, RetryAfter: retryOther,
			Message: "an equal request runs alone after a crash of a backend server"}}, false
	}
	c.exclusive = p.exclusive() || c.crashed
	ch := c.e.views.choose(c.r.Request, c.tried, c.exclusive)
	if !ch.ok {
		return result{refusal: core.Refusal{Code: ch.code, NotRun: true, RetryAfter: retryOther,
			Message: "no backend server can take the request now"}}, false
	}
	c.tried[ch.view.Load.AgentID] = true
	return c.attempt(ctx, ch.view, c.exclusive, number), true
}

// truthful withdraws "not run" when an earlier attempt may have run.
func (c *call) truthful(r core.Refusal) core.Refusal {
	if !c.mayHaveRun || !r.NotRun {
		return r
	}
	r.NotRun = false
	if !c.r.Repeatable {
		r.Code, r.OutcomeUnknown = core.CodeOutcomeUnknown, true
	}
	return r
}
