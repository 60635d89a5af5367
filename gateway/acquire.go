package gateway

import (
	"time"

	"nutmegnotch/core/dispatch"
)

// acquireServer waits until the dispatcher has assigned a server or rejected the
// request, or the request has ended. It reports false if the caller has disconnected.
func (g *Gateway) acquireServer(a *attempts) (dispatch.Decision, bool) {
	since := time.Now()
	r := a.request(g.nextID.Add(1), since)
	for {
		v, ok := g.awaitServer(a, r)
		if !ok || v.Rejected == "" || v.Rejected == dispatch.ReasonLeaving {
			return v, ok
		}
		// The dispatcher has judged by a deadline that may have moved meanwhile.
		again := a.request(g.nextID.Add(1), since)
		if !again.QueueDeadline.After(r.QueueDeadline) {
			return v, true
		}
		r = again
	}
}

// awaitServer waits for the decision of the dispatcher on one offer of a request.
func (g *Gateway) awaitServer(a *attempts, r dispatch.Request) (dispatch.Decision, bool) {
	ch := make(chan dispatch.Decision, 1)
	g.task.Do(func() {
		now := time.Now()
		v, decided := g.state.dispatcher.Offer(r, now)
		if decided {
			ch <- v
		} else {
			g.state.waiting[r.ID] = ch
		}
		g.askPermits(now)
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
		// A server was assigned concurrently.
		if v.Rejected == "" {
			g.finished(a, v, dispatch.OutcomeCancelled)
		}
	default:
	}
	if a.r.Context().Err() != nil {
		return dispatch.Decision{}, false
	}
	reason := dispatch.ReasonTooLate
	if g.aborted(a) {
		reason = dispatch.ReasonLeaving
	}
	return dispatch.Decision{Rejected: reason, RetryAfter: g.retryAfter(a.service)}, true
}

// retryAfter returns the Retry-After for requests to a service.
func (g *Gateway) retryAfter(service string) time.Duration {
	var after time.Duration
	g.task.Do(func() { after = g.state.dispatcher.RetryAfter(service, time.Now()) })
	return after
}
