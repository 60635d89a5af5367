package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core/dispatch"
)

// errMoved is the cancellation cause of a send to a server that has stopped sending
// events, once another server has taken the request.
const errMoved = errors.ConstError("request was moved from an unresponsive server")

// movableSends holds the sends of repeatable requests that may be sent once more, by
// server id and a sequence number. It is owned by the gateway's task.
type movableSends map[string]map[uint64]*movableSend

// movableSend is a send in progress. to is set when another server has taken the request.
type movableSend struct {
	attempts *attempts
	request  dispatch.Request
	cancel   context.CancelCauseFunc
	to       *dispatch.Decision
}

// trackSend makes it possible to move a request while it is being sent to a server. The
// returned function ends that.
func (g *Gateway) trackSend(a *attempts, server string, cancel context.CancelCauseFunc) func() {
	n := g.nextID.Add(1)
	s := &movableSend{attempts: a, request: a.request(0, time.Now()), cancel: cancel}
	s.request.Priority, s.request.Resumed = resumedPriority, true
	g.task.Do(func() {
		if g.state.movableSends[server] == nil {
			g.state.movableSends[server] = map[uint64]*movableSend{}
		}
		g.state.movableSends[server][n] = s
	})
	return func() {
		g.task.Do(func() {
			a.movedTo = s.to
			delete(g.state.movableSends[server], n)
			if len(g.state.movableSends[server]) == 0 {
				delete(g.state.movableSends, server)
			}
		})
	}
}

// detectUnresponsive looks for servers that have become unresponsive, whose requests other
// servers may take. It runs in the task.
func (g *Gateway) detectUnresponsive(now time.Time) {
	for _, id := range g.state.dispatcher.DetectUnresponsive(now) {
		g.log.Warn("server is unresponsive; moving requests that another server takes", zap.String("server", id),
			zap.Int("movable", len(g.state.movableSends[id])))
		g.state.unresponsive[id] = true
	}
}

// moveRequests moves requests from unresponsive servers to others that have a place for
// them at once. The rest stays: its server may go on. It runs in the task.
func (g *Gateway) moveRequests(now time.Time) {
	for id := range g.state.unresponsive {
		sends := g.state.movableSends[id]
		if len(sends) == 0 || !g.state.dispatcher.Excluded(id) {
			delete(g.state.unresponsive, id)
			continue
		}
		moved := 0
		for _, s := range sends {
			if !g.mayMove(s, now) {
				continue
			}
			if !g.moveSend(s, now) {
				break
			}
			moved++
		}
		if moved > 0 {
			g.log.Info("requests moved from an unresponsive server", zap.String("server", id), zap.Int("moved", moved))
		}
	}
}

// mayMove reports whether a request may be sent to another server. It runs in the task.
func (g *Gateway) mayMove(s *movableSend, now time.Time) bool {
	a := s.attempts
	return s.to == nil && a.mayContinue() && a.deadline().Sub(now) >= minSendTimeLeft && g.quarantineVerdict(a).reason == ""
}

// moveSend moves a request to another server. It reports false if none has a place for it,
// or the retry budget does not allow it. It runs in the task.
func (g *Gateway) moveSend(s *movableSend, now time.Time) bool {
	budget, r := g.currentRetryBudget(now), s.request
	if !budget.AllowsRetry(r.Service, now) {
		return false
	}
	r.ID = g.nextID.Add(1)
	v, decided := g.state.dispatcher.Offer(r, now)
	if !decided {
		g.state.dispatcher.RemoveWaiting(r.Service, r.ID)
		return false
	}
	if v.Rejected != "" || !budget.AllowRetry(r.Service, now) {
		return false
	}
	s.to = &v
	s.cancel(errMoved)
	return true
}

// takeMove returns the server to which a request was moved.
func (a *attempts) takeMove() (dispatch.Decision, bool) {
	if a.movedTo == nil {
		return dispatch.Decision{}, false
	}
	v := *a.movedTo
	a.movedTo = nil
	return v, true
}

// releaseMove gives up the place at the server to which a request was moved that has
// ended at the same time.
func (g *Gateway) releaseMove(a *attempts) {
	if v, ok := a.takeMove(); ok {
		g.finished(a, v, dispatch.OutcomeCancelled)
	}
}
