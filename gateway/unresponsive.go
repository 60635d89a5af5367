package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
)

// Cancellation causes of sends.
const (
	// errMoved ends a send to a server that has stopped sending events, once another server
	// has taken the request.
	errMoved = errors.ConstError("request was moved from an unresponsive server")
	// errNotNeeded ends a send to another server, since the unresponsive one goes on.
	errNotNeeded = errors.ConstError("unresponsive server goes on")
)

// movableSends holds the sends of repeatable requests that may be sent once more, by
// server id and a sequence number. It is owned by the gateway's task.
type movableSends map[string]map[uint64]*movableSend

// movableSend is a send in progress. It is owned by the gateway's task.
type movableSend struct {
	number   uint64
	attempts *attempts
	// before is a copy of attempts from before the send.
	before  attempts
	server  core.BackendServer
	request dispatch.Request
	cancel  context.CancelCauseFunc
	// begun is set when events of the answer have come, plain when the head of another answer
	// has come, and ended when the send has ended.
	begun, plain, ended bool
	// move is the send to another server, if there is one.
	move *move
	// moves counts the failed sends to other servers.
	moves moveCounts
}

type moveCounts struct {
	sends, connectFailures int
	serverIDs              []string
}

// trackSend makes it possible to move a request while it is being sent to a server, until
// untrackSend is called. It returns nil if no other server may run the request.
func (g *Gateway) trackSend(a *attempts, server core.BackendServer, cancel context.CancelCauseFunc) *movableSend {
	if !a.route.Kind.Repeatable() || a.sends+1 >= a.route.MaxAttempts {
		return nil
	}
	s := &movableSend{number: g.nextID.Add(1), attempts: a, before: *a, server: server, request: a.request(0, time.Now()), cancel: cancel}
	s.request.Priority, s.request.Resumed = resumedPriority, true
	g.task.Do(func() {
		if g.state.movableSends[server.ID] == nil {
			g.state.movableSends[server.ID] = map[uint64]*movableSend{}
		}
		g.state.movableSends[server.ID][s.number] = s
	})
	return s
}

// untrackSend records the end of a send. A send to another server that is in progress
// takes its place.
func (g *Gateway) untrackSend(s *movableSend) {
	if s == nil {
		return
	}
	g.task.Do(func() {
		a, id := s.attempts, s.server.ID
		s.ended = true
		a.move = s.move
		a.sends += s.moves.sends
		a.connectFailures += s.moves.connectFailures
		a.mayHaveRun = a.mayHaveRun || s.moves.sends > 0
		a.serverIDs = append(a.serverIDs, s.moves.serverIDs...)
		delete(g.state.movableSends[id], s.number)
		if len(g.state.movableSends[id]) == 0 {
			delete(g.state.movableSends, id)
		}
	})
}

// answers records that the server of a send goes on, which ends the send to another
// server. It reports false if that one has taken the request. It runs in the task.
func (s *movableSend) answers() bool {
	switch {
	case s == nil:
		return true
	case s.move == nil:
	case s.move.taken:
		return false
	default:
		s.move.cancel(errNotNeeded)
		s.moves.add(s.move.to.Server.ID, false)
		s.move = nil
	}
	s.begun = true
	return true
}

func (c *moveCounts) add(serverID string, notSent bool) {
	c.serverIDs = append(c.serverIDs, serverID)
	if notSent {
		c.connectFailures++
	} else {
		c.sends++
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
	return s.move == nil && !s.plain && a.mayContinue() && a.deadline().Sub(now) >= minSendTimeLeft &&
		s.before.sends+1+s.moves.sends < a.route.MaxAttempts &&
		s.before.connectFailures+s.moves.connectFailures < maxConnectFailures &&
		g.quarantineVerdict(a).reason == ""
}

// moveSend sends a request to another server too. It reports false if none has a place for
// it, or the retry budget does not allow it. It runs in the task.
func (g *Gateway) moveSend(s *movableSend, now time.Time) bool {
	budget, r := g.currentRetryBudget(now), s.request
	if !budget.AllowsRetry(r.Service, now) {
		return false
	}
	r.ID = g.nextID.Add(1)
	r.Tried = slices.Concat(r.Tried, s.moves.serverIDs)
	v, decided := g.state.dispatcher.Offer(r, now)
	if !decided {
		g.state.dispatcher.RemoveWaiting(r.Service, r.ID)
		return false
	}
	if v.Rejected != "" || !budget.AllowRetry(r.Service, now) {
		return false
	}
	g.startMove(s, v)
	return true
}
