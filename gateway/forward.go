package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/io/backend"
)

// Limits of the attempts at one request.
const (
	// maxConnectFailures bounds the connections that fail before anything is sent.
	maxConnectFailures = 3
	// minEventTimeout is how long a caller waits for the first event of a
	// stream, and patienceObjectives and patiencePauses are the same in units of
	// the route's objective and pause; the longest holds (PROTOCOL, "Requests").
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutPauses     = 8
	// streamQueueShare is the part of that patience for which a stream may wait for a
	// server; the rest is for its first event.
	streamQueueShare = 0.6
	// callerRetryQueueShare is the same for callers that have come back after a
	// failure, which do not come back again.
	callerRetryQueueShare = 0.9
	// unaryQueueShare is the part of the time left for which other requests may
	// wait for a server.
	unaryQueueShare = 0.5
	// minSendTimeLeft is the least time left with which a request is still sent.
	minSendTimeLeft = 20 * time.Millisecond
)

// attempts is the course of one request.
type attempts struct {
	*call
	ctx context.Context
	// sent counts sends, tried names the servers that were tried.
	sent            int
	connectFailures int
	tried           []string
	// mayHaveRun is set when a send may have run at a server.
	mayHaveRun bool
	relay      *relay
	// callerAge is how long ago the caller's first attempt was made; it is above 0 for
	// a caller that has come back after a failure.
	callerAge time.Duration
	// fallback is a whole failure of a server, which is passed on when no other
	// server does better.
	fallback *bufferedReply
}

// forward sends a request to servers until one has served it or no further
// attempt is allowed.
func (g *Gateway) forward(c *call) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	a := &attempts{call: c, ctx: ctx}
	if c.route.Kind.Stream() {
		a.relay = newRelay(g, c)
	}
	if g.isQuarantined(c) {
		g.refuse(c, refusal{http.StatusServiceUnavailable, "crashes_backend_servers", quarantineRetryAfter})
		return
	}
	g.task.Do(func() {
		g.state.retryBudget.CountRequest(c.service, c.arrived)
		a.callerAge = g.state.callerAges.age(c.route.Name, c.callerDeadline.Sub(c.arrived), c.route.Timeout, c.arrived)
	})
	for {
		v, ok := g.acquireServer(a)
		if !ok {
			g.recordEnd(a, "caller_left")
			return
		}
		if v.Rejected != "" {
			g.giveUp(a, string(v.Rejected), v.RetryAfter)
			return
		}
		if g.attemptOnce(a, v) {
			return
		}
		if why, ok := g.mayRetry(a); !ok {
			g.giveUp(a, why, g.retryAfter(a.service))
			return
		}
	}
}

// quarantineRetryAfter is told to callers of requests that end backend servers.
const quarantineRetryAfter = 5 * time.Second

func (g *Gateway) isQuarantined(c *call) bool {
	quarantined := false
	g.task.Do(func() { quarantined = g.state.quarantine.contains(c.fingerprint, c.arrived) })
	return quarantined
}

// acquireServer waits for a server. It reports false when the caller has left.
func (g *Gateway) acquireServer(a *attempts) (dispatch.Verdict, bool) {
	ch := make(chan dispatch.Verdict, 1)
	r := a.request(g.nextID.Add(1))
	g.task.Do(func() {
		v, decided := g.state.dispatcher.Offer(r, time.Now())
		if decided {
			ch <- v
			return
		}
		g.state.waiting[r.ID] = ch
	})
	select {
	case v := <-ch:
		return v, true
	case <-a.ctx.Done():
	}
	g.task.Do(func() {
		delete(g.state.waiting, r.ID)
		g.state.dispatcher.RemoveWaiting(r.Service, r.ID)
	})
	select {
	case v := <-ch:
		// A server was assigned at the same moment.
		if v.Rejected == "" {
			g.finished(a, v, dispatch.OutcomeCancelled)
		}
	default:
	}
	if a.r.Context().Err() != nil {
		return dispatch.Verdict{}, false
	}
	return dispatch.Verdict{Rejected: dispatch.ReasonTooLate, RetryAfter: g.retryAfter(a.service)}, true
}

// retryAfter returns when a caller of a service should come back.
func (g *Gateway) retryAfter(service string) time.Duration {
	var after time.Duration
	g.task.Do(func() { after = g.state.dispatcher.RetryAfter(service) })
	return after
}

// request describes the request to the dispatcher.
func (a *attempts) request(id uint64) dispatch.Request {
	now := time.Now()
	r := dispatch.Request{
		ID:          id,
		Service:     a.service,
		Arrived:     a.arrived,
		Objective:   a.arrived.Add(a.route.Objective - a.callerAge),
		Priority:    a.priority(),
		Tokens:      a.fields.PromptTokens + a.expectedTokens(),
		CallerRetry: a.callerAge > 0,
		Tried:       a.tried,
	}
	switch {
	case a.relay != nil && a.relay.started:
		// A stream that has begun waits for its next event only so long.
		r.Priority, r.Objective, r.Resumed = -1, now, true
		r.GiveUp = now.Add(a.eventTimeout() / 2)
	case a.relay != nil:
		share := streamQueueShare
		if a.callerAge > 0 {
			share = callerRetryQueueShare
		}
		r.GiveUp = a.arrived.Add(time.Duration(share * float64(a.eventTimeout())))
	default:
		r.GiveUp = a.arrived.Add(time.Duration(unaryQueueShare * float64(a.deadline.Sub(a.arrived))))
	}
	if a.deadline.Before(r.GiveUp) {
		r.GiveUp = a.deadline
	}
	return r
}

func (a *attempts) priority() int {
	if a.holder.HasPriority {
		return a.holder.Priority
	}
	return a.route.Priority
}

// expectedTokens is the caller's estimate, bounded by the most that it takes.
func (a *attempts) expectedTokens() int64 {
	if n := a.fields.ExpectedTokens; n > 0 {
		return min(n, max(1, a.fields.MaxTokens))
	}
	return a.fields.MaxTokens / 2
}

// eventTimeout is how long the caller waits for an event of a stream.
func (a *attempts) eventTimeout() time.Duration {
	return max(minEventTimeout, eventTimeoutObjectives*a.route.Objective, eventTimeoutPauses*a.route.MaxEventGap)
}

// attemptOnce makes one attempt and notes its end, also when the caller's
// connection is cut off by a panic.
func (g *Gateway) attemptOnce(a *attempts, v dispatch.Verdict) (final bool) {
	outcome := dispatch.OutcomeCancelled
	defer func() { g.finished(a, v, outcome) }()
	outcome, final = g.attempt(a, v)
	return final
}

// attempt sends the request to one server. final tells that the caller has its
// answer, or has left.
func (g *Gateway) attempt(a *attempts, v dispatch.Verdict) (dispatch.Outcome, bool) {
	left := time.Until(a.callerDeadline)
	if time.Until(a.deadline) < minSendTimeLeft {
		g.giveUp(a, "deadline", g.retryAfter(a.service))
		return dispatch.OutcomeCancelled, true
	}
	a.tried = append(a.tried, v.Server.ID)
	fields := core.BackendFields{
		ServerID:     v.Server.ID,
		Organisation: a.holder.Organisation,
		TimeLeft:     left,
		Urgency:      -1,
	}
	if a.relay != nil && a.relay.started {
		fields.LastEventID = a.relay.lastEventID
		fields.Urgency = 0
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	defer cancel(nil)
	if a.route.Kind.Repeatable() {
		defer g.cancelIfUnresponsive(v.Server.ID, cancel)()
	}
	reply, err := g.client.Send(ctx, v.Server, backend.Request{
		ID:     a.fields.RequestID,
		Method: a.r.Method,
		Target: a.r.RequestURI,
		Host:   a.r.Host,
		Header: g.cfg.Headers.Backend(a.r.Header, fields),
		Body:   a.body,
		Once:   !a.route.Kind.Repeatable(),
	})
	if err != nil {
		return g.sendFailed(a, v, err, errors.Is(context.Cause(ctx), errServerUnresponsive))
	}
	defer reply.Close()
	a.sent++
	switch r := g.cfg.Headers.Reply(reply.Status, reply.Header); {
	case r.Misdirected:
		g.logAttempt(a, v, "misdirected", reply.Status, nil)
		g.refreshServers()
		return dispatch.OutcomeMisdirected, false
	case r.NotRun:
		g.logAttempt(a, v, "not_run", reply.Status, nil)
		return dispatch.OutcomeShed, false
	}
	a.mayHaveRun = true
	if a.relay != nil && reply.Status >= 200 && reply.Status < 300 {
		return g.attemptStream(a, v, reply)
	}
	return g.attemptUnary(a, v, reply)
}

// sendFailed judges a send without a reply. silent tells that the gateway has
// given up on the server.
func (g *Gateway) sendFailed(a *attempts, v dispatch.Verdict, err error, unresponsive bool) (dispatch.Outcome, bool) {
	if errors.Is(err, backend.ErrNotSent) {
		a.connectFailures++
		if a.ctx.Err() != nil {
			return dispatch.OutcomeCancelled, g.contextEnded(a)
		}
		g.logAttempt(a, v, "unreachable", 0, err)
		return dispatch.OutcomeUnreachable, false
	}
	a.sent++
	a.mayHaveRun = true
	if a.ctx.Err() != nil {
		// A server that has said nothing until its caller left counts as failed.
		return dispatch.OutcomeFailed, g.contextEnded(a)
	}
	if unresponsive {
		g.logAttempt(a, v, "server_silent", 0, err)
		return dispatch.OutcomeCancelled, false
	}
	g.logAttempt(a, v, "no_reply", 0, err)
	g.reportCrash(a.fingerprint, v.Server.ID)
	return dispatch.OutcomeFailed, false
}

// contextEnded answers a request whose deadline has passed; a caller that has
// left gets no answer.
func (g *Gateway) contextEnded(a *attempts) bool {
	if a.r.Context().Err() != nil {
		g.recordEnd(a, "caller_left")
	} else {
		g.giveUp(a, "deadline", g.retryAfter(a.service))
	}
	return true
}

func (g *Gateway) finished(a *attempts, v dispatch.Verdict, o dispatch.Outcome) {
	now := time.Now()
	g.task.Do(func() {
		g.state.dispatcher.Finished(a.service, v.Server.ID, a.fields.PromptTokens+a.expectedTokens(), o, now)
		if o == dispatch.OutcomeServed {
			g.state.quarantine.clear(a.fingerprint)
		}
		if g.state.dispatcher.Waiting() > 0 {
			g.deliver(g.state.dispatcher.DispatchWaiting(now))
		}
	})
}

// mayRetry reports whether another attempt is allowed, or why not.
func (g *Gateway) mayRetry(a *attempts) (string, bool) {
	switch {
	case time.Until(a.deadline) < minSendTimeLeft:
		return "deadline", false
	case a.mayHaveRun && !a.route.Kind.Repeatable():
		return "outcome_unknown", false
	case a.sent >= a.route.MaxAttempts:
		return "attempts", false
	case a.connectFailures >= maxConnectFailures:
		return "unreachable", false
	case g.isQuarantined(a.call):
		return "crashes_backend_servers", false
	}
	if a.sent == 0 {
		return "", true
	}
	ok := false
	g.task.Do(func() { ok = g.state.retryBudget.AllowRetry(a.service, time.Now()) })
	return "retry_budget", ok
}

// giveUp sends the final answer of a request that no server served.
func (g *Gateway) giveUp(a *attempts, why string, after time.Duration) {
	switch {
	case a.relay != nil && a.relay.started:
		g.recordEnd(a, why)
		// The caller must see that the stream is not complete.
		panic(http.ErrAbortHandler)
	case a.fallback != nil:
		g.sendBuffered(a, a.fallback)
	case a.mayHaveRun && time.Until(a.deadline) < minSendTimeLeft:
		g.refuse(a.call, refusal{status: http.StatusGatewayTimeout, reason: why})
	case a.mayHaveRun:
		g.refuse(a.call, refusal{status: http.StatusBadGateway, reason: why})
	default:
		g.refuse(a.call, refusal{http.StatusServiceUnavailable, why, after})
	}
}

// recordEnd logs the recordEnd of a request without an answer of the gateway.
func (g *Gateway) recordEnd(a *attempts, why string) {
	a.outcome = why
	g.log.Info("request ended", zap.String("request_id", a.id()), zap.String("route", a.route.Name), zap.String("reason", why),
		zap.Int("sends", a.sent), zap.Strings("servers", a.tried), zap.Duration("held", time.Since(a.arrived)))
}

func (g *Gateway) logAttempt(a *attempts, v dispatch.Verdict, outcome string, status int, err error) {
	sendsByOutcome.Add(outcome, 1)
	g.log.Info("attempt failed", zap.String("request_id", a.id()), zap.String("route", a.route.Name),
		zap.String("server", v.Server.ID), zap.Int("server_load", v.Load), zap.Int("waiting", v.Waiting),
		zap.String("outcome", outcome), zap.Int("status", status), zap.Int("sends", a.sent),
		zap.Int64("version", a.version), zap.Duration("held", time.Since(a.arrived)), zap.Error(err))
}
