package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/eventstream"
	"nutmegnotch/io/backend"
)

// Limits of the attempts to forward one request.
const (
	// maxConnectFailures limits the failed connection attempts. They do not count
	// as sends, since nothing of the request was sent.
	maxConnectFailures = 3
	// A caller waits for an event of a stream for the longest of minEventTimeout,
	// eventTimeoutObjectives times the route's objective and eventTimeoutGaps
	// times its longest event gap (PROTOCOL, "Requests").
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
	// streamQueueShare is the share of the event timeout that a stream may spend in
	// the queue; the rest is for the server to send the first event.
	streamQueueShare = 0.6
	// callerRetryQueueShare replaces streamQueueShare for requests that are a
	// caller's retry. It is larger since such a caller does not retry again.
	callerRetryQueueShare = 0.9
	// unaryQueueShare is the share of the time left that other requests may spend in
	// the queue.
	unaryQueueShare = 0.5
	// resumedPriority goes before all other priorities.
	resumedPriority = -1
	// minSendTimeLeft is the least time left with which a request is sent.
	minSendTimeLeft = 20 * time.Millisecond
)

// forward sends a request to backend servers until one has served it or no further
// attempt is allowed.
func (g *Gateway) forward(c *call) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	e := expire(c.deadline, func() { cancel(context.DeadlineExceeded) })
	defer e.stop()
	defer g.logExtended(c)
	a := &attempts{call: c, ctx: ctx, stop: func() { cancel(errStopAborts) }, replying: &atomic.Bool{}, moves: conc.NewWaitGroup()}
	// Without this, aborted requests would stay unanswered until their connections are cut
	// off.
	defer context.AfterFunc(g.aborting, func() {
		if !a.replying.Load() {
			a.stop()
		}
	})()
	defer context.AfterFunc(g.breakingOff, a.stop)()
	if c.route.Kind.Stream() {
		a.relay = newRelay(g, c)
	}
	defer g.endTrial(a)
	defer func() {
		if a.fallback != nil {
			a.fallback.body.Free()
		}
	}()
	if reason, retryAfter := g.checkQuarantine(a); reason != "" {
		g.refuse(c, refusal{http.StatusServiceUnavailable, reason, retryAfter})
		return
	}
	g.task.Do(func() {
		g.state.retryBudget.CountRequest(c.service, c.arrived)
		a.callerAge = g.state.callerAges.age(c.route.Name, c.callerDeadline.Sub(c.arrived), c.route.Timeout, c.arrived)
	})
	defer g.endMoves(a, func() { cancel(nil) })
	for {
		var v dispatch.Decision
		m := a.takeMove()
		if m != nil {
			v = m.to
		} else {
			var ok bool
			if v, ok = g.acquireServer(a); !ok {
				g.recordEnd(a, "caller_left")
				return
			}
		}
		if v.Rejected != "" {
			g.giveUp(a, string(v.Rejected), v.RetryAfter)
			return
		}
		if g.attemptOnce(a, v, m) {
			return
		}
		if a.move != nil {
			continue
		}
		if reason, ok := g.mayRetry(a); !ok {
			g.giveUp(a, reason, g.retryAfter(a.service))
			return
		}
	}
}

// attemptOnce makes one attempt, or goes on with m, and reports its outcome to the
// dispatcher, even if the attempt aborts the caller's connection with a panic.
func (g *Gateway) attemptOnce(a *attempts, v dispatch.Decision, m *move) (final bool) {
	outcome := dispatch.OutcomeCancelled
	defer func() {
		g.finished(a, v, outcome)
		if a.replying.Store(false); g.aborting.Err() != nil {
			a.stop()
		}
	}()
	if m != nil {
		outcome, final = g.attemptMoved(a, m)
	} else {
		outcome, final = g.attempt(a, v)
	}
	return final
}

// attempt sends the request to one server. It reports true if the caller has got
// its response or has disconnected, so that no further attempt is made.
func (g *Gateway) attempt(a *attempts, v dispatch.Decision) (dispatch.Outcome, bool) {
	paused := g.ownPauses.await(a.ctx)
	if a.ctx.Err() != nil {
		return dispatch.OutcomeCancelled, g.contextEnded(a)
	}
	if paused {
		// The server was chosen before the pause, and may have left.
		return dispatch.OutcomeCancelled, false
	}
	if a.outOfTime() {
		g.giveUp(a, "deadline", g.retryAfter(a.service))
		return dispatch.OutcomeCancelled, true
	}
	// The request may have waited in the queue while other copies crashed servers.
	if reason, retryAfter := g.beginSend(a); reason != "" {
		g.giveUp(a, reason, retryAfter)
		return dispatch.OutcomeCancelled, true
	}
	a.serverIDs = append(a.serverIDs, v.Server.ID)
	fields := a.backendFields(v)
	ctx, cancel := context.WithCancelCause(a.ctx)
	defer cancel(nil)
	a.sentAt, a.answerBegun = time.Now(), false
	s := g.trackSend(a, v.Server, cancel)
	defer g.untrackSend(s)
	reply, err := g.client.Send(ctx, v.Server, g.backendRequest(a, fields))
	return g.handleReply(ctx, a, v, s, reply, err)
}

// backendFields returns the fields of a send for its server.
func (a *attempts) backendFields(v dispatch.Decision) core.BackendFields {
	fields := core.BackendFields{
		ServerID:     v.Server.ID,
		Organisation: a.holder.Organisation,
		TimeLeft:     time.Until(a.callerDeadline),
		Urgency:      -1,
	}
	if a.relay != nil && a.relay.events > 0 {
		fields.LastEventID = a.relay.lastEventID
		fields.Urgency = 0
	}
	return fields
}

func (g *Gateway) backendRequest(a *attempts, fields core.BackendFields) backend.Request {
	return backend.Request{
		ID:         a.fields.RequestID,
		Method:     a.r.Method,
		Target:     a.r.RequestURI,
		Host:       a.r.Host,
		Header:     g.cfg.Headers.Backend(a.r.Header, fields),
		Body:       a.body.Data,
		AtMostOnce: !a.route.Kind.Repeatable(),
	}
}

// handleReply handles the result of a send, which ends with ctx.
func (g *Gateway) handleReply(ctx context.Context, a *attempts, v dispatch.Decision, s *movableSend, reply *backend.Reply, err error) (dispatch.Outcome, bool) {
	if err != nil {
		return g.sendFailed(a, v, err, errors.Is(context.Cause(ctx), errMoved))
	}
	defer reply.Close()
	a.sends++
	if outcome, rejected := g.replyRejected(a, v, reply); rejected {
		return outcome, false
	}
	a.mayHaveRun = true
	a.replying.Store(true)
	if a.relay != nil && isStream(reply) {
		a.relay.send = s
		return g.attemptStream(ctx, a, v, reply)
	}
	if reply.Status < http.StatusInternalServerError {
		ok := true
		g.task.Do(func() {
			if ok = s.answers(); ok && s != nil {
				s.plain = true
			}
		})
		if !ok {
			return g.sendMoved(a, v, reply.Status, errMoved), false
		}
	}
	return g.attemptUnary(a, v, reply)
}

// replyRejected reports whether a reply says that its server has not run the request.
func (g *Gateway) replyRejected(a *attempts, v dispatch.Decision, reply *backend.Reply) (dispatch.Outcome, bool) {
	r := g.cfg.Headers.Reply(reply.Status, reply.Header)
	g.observeServer(v.Server, r, a.sentAt)
	switch {
	case r.Misdirected:
		g.logAttempt(a, v, "misdirected", reply.Status, nil)
		g.refreshServers()
		return dispatch.OutcomeMisdirected, true
	case r.NotRun && r.Pause > 0:
		g.logAttempt(a, v, "paused", reply.Status, nil)
		return dispatch.OutcomePaused, true
	case r.NotRun:
		g.logAttempt(a, v, "not_run", reply.Status, nil)
		return dispatch.OutcomeShed, true
	}
	return dispatch.OutcomeServed, false
}

// isStream reports whether a reply is a stream of events.
func isStream(reply *backend.Reply) bool {
	return reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices && eventstream.IsContentType(reply.Header.Get("Content-Type"))
}

// sendFailed handles a send without a reply. moved reports that the gateway cancelled the
// send because another server has taken the request.
func (g *Gateway) sendFailed(a *attempts, v dispatch.Decision, err error, moved bool) (dispatch.Outcome, bool) {
	if errors.Is(err, backend.ErrNotSent) {
		a.connectFailures++
		if a.ctx.Err() != nil {
			return dispatch.OutcomeCancelled, g.contextEnded(a)
		}
		g.logAttempt(a, v, "unreachable", 0, err)
		return dispatch.OutcomeUnreachable, false
	}
	a.sends++
	a.mayHaveRun = true
	if g.aborted(a) {
		return dispatch.OutcomeCancelled, g.contextEnded(a)
	}
	if a.ctx.Err() != nil {
		// A server that sent nothing until the caller disconnected or the deadline
		// passed counts as failed.
		g.runBroke(a, v.Server, false)
		return dispatch.OutcomeFailed, g.contextEnded(a)
	}
	if moved {
		return g.sendMoved(a, v, 0, err), false
	}
	g.logAttempt(a, v, "no_reply", 0, err)
	g.runBroke(a, v.Server, true)
	return dispatch.OutcomeFailed, false
}

// sendMoved handles the end of a send to a server from which the request was moved.
func (g *Gateway) sendMoved(a *attempts, v dispatch.Decision, status int, err error) dispatch.Outcome {
	g.logAttempt(a, v, "server_silent", status, err)
	return dispatch.OutcomeCancelled
}

// contextEnded ends a request whose deadline has passed, which a planned stop aborts, or
// whose caller has disconnected; the last gets no response. It always reports true.
func (g *Gateway) contextEnded(a *attempts) bool {
	switch {
	case a.r.Context().Err() != nil:
		g.recordEnd(a, "caller_left")
	case g.aborted(a):
		g.giveUp(a, string(dispatch.ReasonLeaving), drainingRetryAfter)
	default:
		g.giveUp(a, "deadline", g.retryAfter(a.service))
	}
	return true
}

// aborted reports whether a planned stop has ended a request whose caller still waits.
func (g *Gateway) aborted(a *attempts) bool {
	return errors.Is(context.Cause(a.ctx), errStopAborts) && a.r.Context().Err() == nil
}

func (g *Gateway) finished(a *attempts, v dispatch.Decision, o dispatch.Outcome) {
	now := time.Now()
	g.task.Do(func() {
		if a.served {
			g.requestCompleted(a.keys, now)
		}
		g.state.dispatcher.Finished(a.service, v.Server, a.fields.PromptTokens+a.expectedTokens(), o, now)
		g.dispatchWaiting(now)
	})
}

// mayRetry reports whether another attempt is allowed, and the reason if not.
func (g *Gateway) mayRetry(a *attempts) (string, bool) {
	switch {
	case a.outOfTime():
		return "deadline", false
	case a.mayHaveRun && !a.route.Kind.Repeatable():
		return "outcome_unknown", false
	case !a.mayContinue():
		return "events_without_ids", false
	case a.sends >= a.route.MaxAttempts:
		return "attempts", false
	case a.connectFailures >= maxConnectFailures:
		return "unreachable", false
	}
	if reason, _ := g.checkQuarantine(a); reason != "" {
		return reason, false
	}
	if a.sends == 0 {
		return "", true
	}
	ok := false
	g.task.Do(func() { ok = g.allowRetry(a.service, time.Now()) })
	return "retry_budget", ok
}

// giveUp sends the final response to a request that no server has served.
func (g *Gateway) giveUp(a *attempts, reason string, retryAfter time.Duration) {
	switch {
	case a.relay != nil && a.relay.started:
		g.recordEnd(a, reason)
		a.abort()
	case a.fallback != nil:
		g.sendBuffered(a, a.fallback)
	case a.mayHaveRun && a.outOfTime():
		g.refuse(a.call, refusal{status: http.StatusGatewayTimeout, reason: reason})
	case a.mayHaveRun:
		g.refuse(a.call, refusal{status: http.StatusBadGateway, reason: reason})
	default:
		g.refuse(a.call, refusal{http.StatusServiceUnavailable, reason, retryAfter})
	}
}

// recordEnd records the outcome of a request that gets no further response.
func (g *Gateway) recordEnd(a *attempts, reason string) {
	a.outcome = reason
	g.log.Info("request ended", zap.String("request_id", a.id()), zap.String("route", a.route.Name), zap.String("reason", reason),
		zap.Int("sends", a.sends), zap.Strings("servers", a.serverIDs), zap.Duration("held", time.Since(a.arrived)))
}

func (g *Gateway) logAttempt(a *attempts, v dispatch.Decision, outcome string, status int, err error) {
	sendsByOutcome.Add(outcome, 1)
	g.log.Info("attempt failed", zap.String("request_id", a.id()), zap.String("route", a.route.Name),
		fingerprintField(a.fingerprint), zap.Strings("prompt_parts", a.fields.SharedPromptParts), zap.String("server", v.Server.ID), zap.Int64("server_started_ms", v.Server.StartedUnixMS),
		zap.Int("server_load", v.Load), zap.Int("waiting", v.Waiting),
		zap.String("outcome", outcome), zap.Int("status", status), zap.Int("sends", a.sends),
		zap.Int64("version", a.version), zap.Duration("held", time.Since(a.arrived)), zap.Error(err))
}
