package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/eventstream"
	"nutmegnotch/io/backend"
	"nutmegnotch/io/membuf"
)

// move is a send to another server while an unresponsive one may still go on. The first of
// them that sends an event, or the head of a sealed answer, serves the request.
type move struct {
	// attempts is a copy for this send, since those of the request go on meanwhile.
	attempts *attempts
	to       dispatch.Decision
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// taken is set when the server has taken the request. It is owned by the gateway's task.
	taken bool
	// done is closed when the result is known. It is the request's if given is set.
	done  chan struct{}
	given bool
	reply *backend.Reply
	err   error
	// read is what was read of the body to decide about the result.
	read membuf.Buffer
}

// startMove sends a request to another server. It runs in the task.
func (g *Gateway) startMove(s *movableSend, v dispatch.Decision) {
	a := s.before
	a.sends += 1 + s.moves.sends
	a.serverIDs = slices.Concat(a.serverIDs, s.moves.serverIDs, []string{v.Server.ID})
	m := &move{attempts: &a, to: v, done: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancelCause(a.ctx)
	a.ctx = m.ctx
	s.move = m
	g.beginTrial(s.attempts, g.quarantineVerdict(s.attempts))
	old, begun, fields := s.before, a.relay != nil && a.relay.events > 0, a.backendFields(v)
	old.answerBegun = s.begun
	a.moves.Go(func() {
		defer close(m.done)
		g.runBroke(&old, s.server, false)
		a.sentAt = time.Now()
		if g.ownPauses.await(m.ctx) {
			// The server was chosen before the pause, and may have left.
			m.err = backend.ErrNotSent
			m.cancel(errNotNeeded)
		} else {
			m.reply, m.err = g.client.Send(m.ctx, v.Server, g.backendRequest(&a, fields))
		}
		takes := m.err == nil && g.takes(m, begun)
		g.task.Do(func() { m.given = s.moveEnded(m, takes) })
		if !m.given {
			g.finished(&a, v, g.moveFailed(m))
		}
	})
}

// moveEnded decides about the result of a send to another server. It reports whether the
// request goes on with it. It runs in the task.
func (s *movableSend) moveEnded(m *move, takes bool) bool {
	switch {
	case s.move != m:
		return false
	case s.ended:
		return true
	case takes:
		m.taken = true
		s.cancel(errMoved)
		return true
	}
	s.moves.add(m.to.Server.ID, errors.Is(m.err, backend.ErrNotSent))
	s.move = nil
	return false
}

// takes reports whether a server serves the request: the first event of a stream, or the
// head of another sealed answer, has come. begun reports that the caller has events.
func (g *Gateway) takes(m *move, begun bool) bool {
	r := g.cfg.Headers.Reply(m.reply.Status, m.reply.Header)
	if !r.Sealed || r.Misdirected || r.NotRun || m.reply.Status >= http.StatusInternalServerError {
		return false
	}
	if m.attempts.relay == nil || !isStream(m.reply) {
		return !begun
	}
	m.read = membuf.NewBuffer(g.replyMemory, initialBufferBytes)
	defer func() { m.reply.Body = io.MultiReader(bytes.NewReader(m.read.Data), m.reply.Body) }()
	for used := 0; ; {
		_, err := readEventBytes(&m.read, m.reply.Body)
		read := m.read.Data
		for end := eventstream.EventEnd(read[used:]); end >= 0; end = eventstream.EventEnd(read[used:]) {
			event := read[used : used+end]
			used += end
			if eventstream.HasFields(event) {
				_, numbered := eventstream.EventID(event)
				return !begun || numbered && !eventstream.IsError(event)
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF) && !eventstream.EndsInside(read[used:])
		}
	}
}

// end releases what the send holds, once its result was handled.
func (m *move) end() {
	m.cancel(nil)
	m.read.Free()
}

// moveFailed handles the result of a send to another server that the request does not need.
func (g *Gateway) moveFailed(m *move) dispatch.Outcome {
	defer m.end()
	a, v := m.attempts, m.to
	if m.reply != nil {
		defer m.reply.Close()
	}
	notSent := errors.Is(m.err, backend.ErrNotSent)
	switch {
	case m.ctx.Err() != nil:
		if !notSent && !g.aborted(a) {
			g.runBroke(a, v.Server, false)
		}
		return dispatch.OutcomeCancelled
	case notSent:
		g.logAttempt(a, v, "unreachable", 0, m.err)
		return dispatch.OutcomeUnreachable
	case m.err != nil:
		g.logAttempt(a, v, "no_reply", 0, m.err)
		g.runBroke(a, v.Server, true)
		return dispatch.OutcomeFailed
	}
	if outcome, rejected := g.replyRejected(a, v, m.reply); rejected {
		return outcome
	}
	if m.reply.Status >= http.StatusInternalServerError {
		g.logAttempt(a, v, "server_error", m.reply.Status, nil)
		return dispatch.OutcomeServed
	}
	g.logAttempt(a, v, "move_failed", m.reply.Status, nil)
	g.runBroke(a, v.Server, true)
	return dispatch.OutcomeFailed
}

// attemptMoved goes on with the send to another server that has taken the place of one to
// an unresponsive server.
func (g *Gateway) attemptMoved(a *attempts, m *move) (dispatch.Outcome, bool) {
	defer m.end()
	<-m.done
	if errors.Is(context.Cause(m.ctx), errNotNeeded) {
		return dispatch.OutcomeCancelled, false
	}
	a.serverIDs = append(a.serverIDs, m.to.Server.ID)
	a.sentAt, a.answerBegun = m.attempts.sentAt, false
	s := g.trackSend(a, m.to.Server, m.cancel)
	defer g.untrackSend(s)
	return g.handleReply(m.ctx, a, m.to, s, m.reply, m.err)
}

// takeMove returns the send to another server that goes on with the request, or nil.
func (a *attempts) takeMove() *move {
	m := a.move
	a.move = nil
	return m
}

// endMoves ends the sends to other servers of a request that has ended. cancel ends the
// context of the request.
func (g *Gateway) endMoves(a *attempts, cancel func()) {
	cancel()
	a.moves.Wait()
	m := a.takeMove()
	if m != nil && m.given {
		g.finished(m.attempts, m.to, g.moveFailed(m))
	}
}
