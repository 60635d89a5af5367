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

// attemptResult is the result of one attempt. If done is set, the caller has been
// answered or has disconnected. Otherwise refusal is the answer to the caller
// unless another attempt follows; final rules out another attempt.
type attemptResult struct {
	done    bool
	final   bool
	refusal core.Refusal
	attempt core.Attempt
}

// call is one caller's request with the state that its attempts share.
type call struct {
	e           *Entry
	r           *caller.Request
	w           *caller.Reply
	reservation core.Reservation
	tried       map[string]bool
	// mayHaveRun is set if the request may have run in an earlier attempt.
	mayHaveRun bool
	crashed    bool
	// lastExclusive reports that the last attempt had to run alone on its backend
	// server.
	lastExclusive bool
}

// attempt sends the request to one agent and relays the reply.
func (c *call) attempt(ctx context.Context, view core.AgentView, exclusive bool, number int) attemptResult {
	x, err := openExchange(c.e.node, view.Load.AgentID, c.r.ID)
	if err != nil {
		c.e.views.settleSent(c.r.Request, view, false, nil)
		return attemptResult{
			refusal: core.Refusal{Code: core.CodeConnectionBroken, NotRun: true, RetryAfter: defaultRetryAfter, Message: "the agent is not reachable"},
			attempt: core.Attempt{Number: number, NotRun: true},
		}
	}
	x.start(requestHead(c.r, exclusive, time.Now()), c.r.Body, c.reservation.Bytes, c.r.Deadline)
	v, err := waitVerdict(ctx, x, c.r.Repeatable)
	c.e.views.settleSent(c.r.Request, view, v.GetAdmitted(), v.GetLoad())
	if err != nil || !v.GetAdmitted() {
		x.close()
		return c.notAdmitted(ctx, v, err, number)
	}
	return c.relay(ctx, x, number, func(head *peerpb.ReplyHead, end *peerpb.ReplyEnd) {
		c.handleReplyEnd(head, end, view, exclusive, number)
	})
}

// waitVerdict waits for the agent's verdict. After an error it is not known
// whether the request runs.
func waitVerdict(ctx context.Context, x *exchange, repeatable bool) (*peerpb.Verdict, error) {
	callerGone := ctx.Done()
	for {
		select {
		case f, ok := <-x.frames:
			if !ok {
				return nil, errTruncated
			}
			if v := f.GetVerdict(); v != nil {
				return v, nil
			}
			return nil, errProtocol
		case <-callerGone:
			// A run that may not be repeated continues without its caller.
			callerGone = nil
			if repeatable {
				x.cancel(errCallerGone.Error())
				return nil, errCallerGone
			}
		}
	}
}

// notAdmitted returns the result of an attempt that was not admitted or that got
// no verdict.
func (c *call) notAdmitted(ctx context.Context, v *peerpb.Verdict, err error, number int) attemptResult {
	switch {
	case errors.Is(err, errCallerGone):
		c.e.metrics.callersGone.Add(1)
		c.w.AbortCallerGone()
		return attemptResult{done: true}
	case err != nil:
		c.countAgentFault(err)
		code := core.CodeConnectionBroken
		if !time.Now().Before(c.r.Deadline) {
			code = core.CodeDeadline
		}
		return attemptResult{refusal: c.outcomeUnknownRefusal(code, "the agent gave no verdict"), attempt: core.Attempt{Number: number}}
	case v.GetHolder() != nil:
		return c.answerDuplicate(ctx, v.GetHolder())
	}
	refusal := toRefusal(v)
	if refusal.Code == "" {
		refusal.Code, refusal.RetryAfter = core.CodeOverloaded, defaultRetryAfter
	}
	final := !retryableElsewhere(refusal) || (c.lastExclusive && time.Since(c.r.Arrived) > maxExclusiveRetryTime)
	return attemptResult{refusal: refusal, final: final, attempt: core.Attempt{Number: number, NotRun: refusal.NotRun}}
}

// maxExclusiveRetryTime is the age of a request up to which an exclusive attempt
// is retried at another agent. It keeps the time until a refusal below 3 s.
const maxExclusiveRetryTime = time.Second

// retryableElsewhere reports whether another agent may admit the request after
// this refusal.
func retryableElsewhere(r core.Refusal) bool {
	switch r.Code {
	case core.CodeBadRequest, core.CodeKeyRequired, core.CodeKeyMismatch, core.CodeKeyExpired, core.CodeTooLarge,
		core.CodeLogUnavailable, core.CodeStillRunning, core.CodeCrashesServers, core.CodeForbidden, core.CodeNotFound:
		return false
	}
	return true
}

// outcomeUnknownRefusal returns the refusal of a request that may have run. Only
// a request that may not be repeated gets the code for an unknown outcome; others
// get the given code.
func (c *call) outcomeUnknownRefusal(code core.Code, message string) core.Refusal {
	if !c.r.Repeatable {
		return core.Refusal{Code: core.CodeOutcomeUnknown, OutcomeUnknown: true, RetryAfter: defaultRetryAfter,
			Message: message + "; repeat with the same Idempotency-Key to learn the outcome"}
	}
	return core.Refusal{Code: code, RetryAfter: defaultRetryAfter, Message: message}
}

// relay forwards the agent's reply to the caller.
func (c *call) relay(ctx context.Context, x *exchange, number int, onEnd func(*peerpb.ReplyHead, *peerpb.ReplyEnd)) attemptResult {
	// The relay enforces its own time limits.
	_ = x.s.SetDeadline(time.Time{})
	l := newRelay(x, c.r.ID, c.reservation.Bytes)
	l.repeatable, l.deadline, l.idleTimeout, l.metrics = c.r.Repeatable, c.r.Deadline, c.e.cfg.ReplyIdleTimeout, c.e.metrics
	l.onEnd = onEnd
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx) }()
	writeErr := c.copyReply(l)
	<-done
	if l.err == nil && writeErr == nil && !l.dropping {
		return c.finishReply(l)
	}
	return c.failReply(l, writeErr, number)
}

// copyReply writes the chunks of the relay to the caller and acknowledges each.
func (c *call) copyReply(l *relay) error {
	var writeErr error
	for chunk := range l.out {
		if !c.w.Started() {
			c.r.ReleaseBody()
			writeErr = c.startReply(l.head)
		}
		if writeErr == nil {
			writeErr = c.w.Write(chunk)
		}
		l.ack <- struct{}{}
		if writeErr != nil {
			close(l.writerFailed)
			break
		}
	}
	for range l.out {
		l.ack <- struct{}{}
	}
	return writeErr
}

// startReply sends the head of a reply to the caller.
func (c *call) startReply(h *peerpb.ReplyHead) error {
	start := c.w.Start
	if h.GetCloseDelimited() {
		start = c.w.StartUnverified
	}
	return start(int(h.GetStatus()), fromHeaders(h.GetHeaders()))
}

func (c *call) countReply(unverified bool) {
	if unverified {
		c.e.metrics.repliesUnverified.Add(1)
		return
	}
	c.e.metrics.replies.Add(1)
}

// finishReply completes a reply that the caller got in full.
func (c *call) finishReply(l *relay) attemptResult {
	if !c.w.Started() {
		if err := c.startReply(l.head); err != nil {
			return c.failReply(l, err, 0)
		}
	}
	c.countReply(l.head.GetCloseDelimited())
	return attemptResult{done: true}
}

// failReply handles a reply that the caller did not get in full.
func (c *call) failReply(l *relay, writeErr error, number int) attemptResult {
	c.countAgentFault(l.err)
	if writeErr != nil || l.dropping || errors.Is(l.err, errCallerGone) {
		c.e.metrics.callersGone.Add(1)
		c.w.AbortCallerGone()
		return attemptResult{done: true, attempt: core.Attempt{Crashed: l.end.GetCrashed()}}
	}
	c.e.log.Warn("reply was incomplete", zap.String("request_id", c.r.ID),
		zap.String("organisation", c.r.Organisation), zap.Error(l.err))
	a := core.Attempt{Number: number, ReplyStarted: c.w.Started(), Crashed: l.end.GetCrashed()}
	if a.ReplyStarted {
		c.e.metrics.repliesCut.Add(1)
		c.w.Abort(l.failureCode())
		return attemptResult{done: true, attempt: a}
	}
	return attemptResult{refusal: c.outcomeUnknownRefusal(l.failureCode(), "the backend server gave no whole reply"), attempt: a}
}

// handleReplyEnd evaluates the agent's ReplyEnd frame: the load report, a
// completion that clears a suspect, and a crash during an exclusive run.
func (c *call) handleReplyEnd(head *peerpb.ReplyHead, end *peerpb.ReplyEnd, view core.AgentView, exclusive bool, number int) {
	c.e.views.handleLoad(&peerpb.Hello{Id: view.Load.AgentID}, end.GetLoad())
	switch {
	case end.GetComplete() && !head.GetCloseDelimited():
		c.e.attemptPolicy.completed(c.r.Fingerprint)
	case end.GetCrashed() && exclusive:
		c.e.attemptPolicy.recordCrash(fmt.Sprintf("request/%s/%d", c.r.ID, number), c.r.Fingerprint)
		c.e.log.Warn("backend server crashed on an exclusive run", zap.String("request_id", c.r.ID),
			zap.String("agent", view.Load.AgentID))
	}
}

// countAgentFault counts protocol violations of agents.
func (c *call) countAgentFault(err error) {
	switch {
	case errors.Is(err, errWrongID):
		c.e.metrics.wrongRequestIDs.Add(1)
	case errors.Is(err, errProtocol):
		c.e.metrics.protocolErrors.Add(1)
	}
}
