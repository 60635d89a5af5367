package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/peer/peerpb"
)

// result is how one attempt ended. With done, the caller has got an answer or
// can get none; otherwise refusal is the answer if there is no other attempt.
type result struct {
	done    bool
	final   bool
	refusal core.Refusal
	attempt core.Attempt
}

// call is one request on its way.
type call struct {
	e           *Entry
	r           *caller.Request
	w           *caller.Reply
	reservation core.Reservation
	tried       map[string]bool
	// mayHaveRun reports an attempt that was not proven not run.
	mayHaveRun bool
	crashed    bool
	// exclusive reports that the last attempt had to be alone on its server.
	exclusive bool
}

// attempt hands the request to one agent.
func (c *call) attempt(ctx context.Context, view core.AgentView, exclusive bool, number int) result {
	x, err := openExchange(c.e.node, view.Load.AgentID, c.r.ID)
	if err != nil {
		c.e.views.settle(c.r.Request, view, false, nil)
		return result{
			refusal: core.Refusal{Code: core.CodeConnectionBroken, NotRun: true, RetryAfter: retryOther, Message: "the agent is not reachable"},
			attempt: core.Attempt{Number: number, NotRun: true},
		}
	}
	x.start(headOf(c.r, exclusive, time.Now()), c.r.Body, c.reservation.Bytes, c.r.Deadline)
	v, err := awaitVerdict(ctx, x, c.r.Repeatable)
	c.e.views.settle(c.r.Request, view, v.GetAdmitted(), v.GetLoad())
	if err != nil || !v.GetAdmitted() {
		x.close()
		return c.refused(ctx, v, err, number)
	}
	return c.relay(ctx, x, number, func(end *peerpb.ReplyEnd) { c.ended(end, view, exclusive, number) })
}

// awaitVerdict returns the agent's verdict. After an error nobody knows whether
// the request runs.
func awaitVerdict(ctx context.Context, x *exchange, repeatable bool) (*peerpb.Verdict, error) {
	gone := ctx.Done()
	for {
		select {
		case f, ok := <-x.frames:
			if !ok {
				return nil, errCut
			}
			if v := f.GetVerdict(); v != nil {
				return v, nil
			}
			return nil, errProtocol
		case <-gone:
			// A run that may not be repeated goes on without its caller.
			gone = nil
			if repeatable {
				x.cancel(errGone.Error())
				return nil, errGone
			}
		}
	}
}

// refused turns a verdict other than admitted, or the lack of one, into a
// result.
func (c *call) refused(ctx context.Context, v *peerpb.Verdict, err error, number int) result {
	switch {
	case errors.Is(err, errGone):
		return result{done: true}
	case err != nil:
		c.count(err)
		code := core.CodeConnectionBroken
		if !time.Now().Before(c.r.Deadline) {
			code = core.CodeDeadline
		}
		return result{refusal: c.unknown(code, "the agent gave no verdict"), attempt: core.Attempt{Number: number}}
	case v.GetHolder() != nil:
		return c.repeated(ctx, v.GetHolder())
	}
	refusal := refusalOf(v)
	if refusal.Code == "" {
		refusal.Code, refusal.RetryAfter = core.CodeOverloaded, retryOther
	}
	final := !elsewhere(refusal) || (c.exclusive && time.Since(c.r.Arrived) > exclusiveWait)
	return result{refusal: refusal, final: final, attempt: core.Attempt{Number: number, NotRun: refusal.NotRun}}
}

// exclusiveWait bounds the time after which a request that must be alone is not
// tried elsewhere, so that its refusal comes within 3 s.
const exclusiveWait = time.Second

// elsewhere reports whether another agent may answer differently.
func elsewhere(r core.Refusal) bool {
	switch r.Code {
	case core.CodeBadRequest, core.CodeKeyRequired, core.CodeKeyMismatch, core.CodeKeyExpired, core.CodeTooLarge,
		core.CodeLogUnavailable, core.CodeStillRunning, core.CodeCrashesServers, core.CodeForbidden, core.CodeNotFound:
		return false
	}
	return true
}

// unknown is the answer when a run may have happened. Only a request that may
// not be repeated has an outcome that matters to its caller.
func (c *call) unknown(code core.Code, message string) core.Refusal {
	if !c.r.Repeatable {
		return core.Refusal{Code: core.CodeOutcomeUnknown, OutcomeUnknown: true, RetryAfter: retryOther,
			Message: message + "; repeat with the same Idempotency-Key to learn the outcome"}
	}
	return core.Refusal{Code: code, RetryAfter: retryOther, Message: message}
}

// relay passes the reply on.
func (c *call) relay(ctx context.Context, x *exchange, number int, onEnd func(*peerpb.ReplyEnd)) result {
	// The relay has time limits of its own.
	_ = x.s.SetDeadline(time.Time{})
	l := newRelay(x, c.r.ID, c.reservation.Bytes)
	l.repeatable, l.deadline, l.idle, l.metrics = c.r.Repeatable, c.r.Deadline, c.e.cfg.ReplyIdleTimeout, c.e.metrics
	l.ended = onEnd
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx) }()
	writeErr := c.copyReply(l)
	<-done
	if l.err == nil && writeErr == nil && !l.dropping {
		return c.finish(l)
	}
	return c.broken(l, writeErr, number)
}

// copyReply writes the lent pieces to the caller.
func (c *call) copyReply(l *relay) error {
	var failed error
	for piece := range l.out {
		if !c.w.Started() {
			c.r.DropBody()
			failed = c.w.Begin(int(l.head.GetStatus()), fromHeaders(l.head.GetHeaders()))
		}
		if failed == nil {
			failed = c.w.Write(piece)
		}
		l.ack <- struct{}{}
		if failed != nil {
			close(l.gone)
			break
		}
	}
	for range l.out {
		l.ack <- struct{}{}
	}
	return failed
}

// finish ends a whole reply.
func (c *call) finish(l *relay) result {
	if !c.w.Started() {
		if err := c.w.Begin(int(l.head.GetStatus()), fromHeaders(l.head.GetHeaders())); err != nil {
			return c.broken(l, err, 0)
		}
	}
	c.e.metrics.replies.Add(1)
	return result{done: true}
}

// broken ends a reply that the caller did not get whole.
func (c *call) broken(l *relay, writeErr error, number int) result {
	c.count(l.err)
	if writeErr != nil || l.dropping || errors.Is(l.err, errGone) {
		c.e.metrics.callersGone.Add(1)
		c.w.CallerGone()
		return result{done: true, attempt: core.Attempt{Crashed: l.end.GetCrashed()}}
	}
	c.e.log.Warn("reply was not whole", zap.String("request_id", c.r.ID),
		zap.String("organisation", c.r.Organisation), zap.Error(l.err))
	a := core.Attempt{Number: number, ReplyStarted: c.w.Started(), Crashed: l.end.GetCrashed()}
	if a.ReplyStarted {
		c.e.metrics.cut.Add(1)
		c.w.Abort(l.code())
		return result{done: true, attempt: a}
	}
	return result{refusal: c.unknown(l.code(), "the backend server gave no whole reply"), attempt: a}
}

// ended takes what the agent's end frame shows: its load, a good completion that
// clears a suspect, or a crash on an exclusive run.
func (c *call) ended(end *peerpb.ReplyEnd, view core.AgentView, exclusive bool, number int) {
	c.e.views.load(&peerpb.Hello{Id: view.Load.AgentID}, end.GetLoad())
	switch {
	case end.GetComplete():
		c.e.suspects.completed(c.r.Fingerprint)
	case end.GetCrashed() && exclusive:
		c.e.suspects.observed(fmt.Sprintf("request/%s/%d", c.r.ID, number), c.r.Fingerprint)
		c.e.log.Warn("backend server crashed on an exclusive run", zap.String("request_id", c.r.ID),
			zap.String("agent", view.Load.AgentID))
	}
}

// count counts faults of the agents.
func (c *call) count(err error) {
	switch {
	case errors.Is(err, errWrongID):
		c.e.metrics.wrongRequestIDs.Add(1)
	case errors.Is(err, errProtocol):
		c.e.metrics.protocolErrors.Add(1)
	}
}
