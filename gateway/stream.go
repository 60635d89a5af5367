package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/eventstream"
	"nutmegnotch/io/backend"
	"nutmegnotch/io/membuf"
)

// Limits of streams.
const (
	// maxEventBytes limits the size of one event.
	maxEventBytes      = 1 << 20
	initialBufferBytes = 4 << 10
)

// Errors of relaying a stream.
const (
	errCallerWrite  = errors.ConstError("write to caller failed")
	errInvalidEvent = errors.ConstError("invalid event")
	errInsideEvent  = errors.ConstError("stream ended inside an event")
	// errNotContinued ends a reply to a request for the rest of a stream that holds
	// something else.
	errNotContinued = errors.ConstError("reply does not continue the stream")
)

// relay forwards the events of a stream to a caller. The events may come from
// several servers in turn, when a stream is resumed. Only complete events are
// forwarded.
type relay struct {
	gateway *Gateway
	call    *call
	rc      *http.ResponseController
	// serverID is the server whose events are being relayed.
	serverID string
	started  bool
	// resumed is set while the reply has to continue a stream that has begun.
	resumed bool
	// unnumbered is set once an event without an id has been forwarded. No other server can
	// go on behind it.
	unnumbered atomic.Bool
	// send is the send whose events are being relayed, if it can be moved.
	send *movableSend
	// lastEventID and events are written in the gateway's task, which reads them too.
	lastEventID string
	lastEventAt time.Time
	// events counts the events of all replies, and eventsBefore those before this one.
	events, eventsBefore int
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

func newRelay(g *Gateway, c *call) *relay {
	return &relay{gateway: g, call: c, rc: http.NewResponseController(c.w), lastEventID: c.fields.LastEventID}
}

// attemptStream relays the events of one reply, which ends with ctx. If the reply breaks
// off, another server may resume the stream.
func (g *Gateway) attemptStream(ctx context.Context, a *attempts, v dispatch.Decision, reply *backend.Reply) (dispatch.Outcome, bool) {
	if !g.cfg.Headers.Reply(reply.Status, reply.Header).Sealed {
		g.logAttempt(a, v, "not_sealed", reply.Status, nil)
		return dispatch.OutcomeFailed, false
	}
	a.relay.eventsBefore = a.relay.events
	a.relay.serverID, a.relay.resumed = v.Server.ID, a.relay.started
	err := a.relay.copyEvents(reply)
	a.answerBegun = a.relay.events > a.relay.eventsBefore
	unverified := errors.Is(err, backend.ErrUnverifiedEnd)
	if err == nil || unverified && !a.relay.promisesLastChunk() {
		reply.MarkBodyRead()
		a.relay.writeHeader(reply)
		if err := g.endReply(a.call); err != nil {
			g.recordEnd(a, "caller_left")
		} else {
			g.logForwarded(a, reply.Status, reply.Framing)
		}
		return g.replyEnded(a, v, reply.Framing), true
	}
	switch {
	case errors.Is(err, errCallerWrite):
		g.recordEnd(a, "caller_left")
		return dispatch.OutcomeCancelled, true
	case a.ctx.Err() != nil:
		if !a.answerBegun && !g.aborted(a) {
			g.runBroke(a, v.Server, false)
		}
		return dispatch.OutcomeCancelled, g.contextEnded(a)
	case errors.Is(context.Cause(ctx), errMoved):
		return g.sendMoved(a, v, reply.Status, err), false
	case errors.Is(err, membuf.ErrNoMemory):
		g.logAttempt(a, v, "no_reply_memory", reply.Status, err)
		return dispatch.OutcomeFailed, false
	case errors.Is(err, errNotContinued):
		g.logAttempt(a, v, "stream_not_continued", reply.Status, err)
		return dispatch.OutcomeFailed, false
	case unverified:
		// The caller was promised a last chunk, which needs a server that marks the end of
		// its reply.
		g.logAttempt(a, v, "end_unverified", reply.Status, err)
		g.checkEnded(a, v.Server, true)
		return dispatch.OutcomeUnverified, false
	}
	g.logAttempt(a, v, "stream_broken", reply.Status, fmt.Errorf("after %d events, last id %q: %w", a.relay.events-a.relay.eventsBefore, a.relay.lastEventID, err))
	g.runBroke(a, v.Server, true)
	return dispatch.OutcomeFailed, false
}

// promisesLastChunk reports whether the caller's reply has begun in chunks.
func (r *relay) promisesLastChunk() bool { return r.started && !r.call.closeDelimited }

// writeHeader sends status and headers of the first reply. It does nothing for
// replies that resume the stream.
func (r *relay) writeHeader(reply *backend.Reply) {
	if r.started {
		return
	}
	r.started = true
	r.gateway.beginReply(r.call, reply.Status, reply.Header, reply.Framing, unknownLength)
}

// copyEvents relays one reply until it ends. A nil error means that the stream is
// complete, and backend.ErrUnverifiedEnd that it may be.
func (r *relay) copyEvents(reply *backend.Reply) error {
	buf := membuf.NewBuffer(r.gateway.replyMemory, initialBufferBytes)
	defer buf.Free()
	for {
		n, err := readEventBytes(&buf, reply.Body)
		if n > 0 {
			used, writeErr := r.forwardEvents(reply, buf.Data)
			if writeErr != nil {
				return writeErr
			}
			buf.Data = append(buf.Data[:0], buf.Data[used:]...)
		}
		if err != nil {
			return r.finish(reply, buf.Data, err)
		}
	}
}

// readEventBytes reads further bytes of a stream whose unfinished event is in buf. It
// returns the number of bytes read.
func readEventBytes(buf *membuf.Buffer, r io.Reader) (int, error) {
	size := len(buf.Data)
	if size == cap(buf.Data) {
		if size >= maxEventBytes {
			return 0, fmt.Errorf("event is larger than %d bytes: %w", maxEventBytes, errInvalidEvent)
		}
		if err := buf.Grow(min(maxEventBytes, 2*int64(size))); err != nil {
			return 0, fmt.Errorf("event is larger than %d bytes: %w", size, err)
		}
	}
	n, err := r.Read(buf.Data[size:cap(buf.Data)])
	buf.Data = buf.Data[:size+n]
	return n, err
}

// finish handles the end of a reply. A reply that ends inside an event has been broken
// off, whatever its framing says.
func (r *relay) finish(reply *backend.Reply, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) && !errors.Is(err, backend.ErrUnverifiedEnd) {
		return fmt.Errorf("read stream: %w", err)
	}
	if eventstream.EndsInside(rest) {
		replyEnds.Add("inside_event", 1)
		return fmt.Errorf("%d bytes after the last complete event: %w", len(rest), errInsideEvent)
	}
	if len(rest) > 0 {
		r.writeHeader(reply)
		if _, err := r.call.w.Write(rest); err != nil {
			return fmt.Errorf("%w: %w", err, errCallerWrite)
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("read stream: %w", err)
}

// forwardEvents sends the complete events in buf to the caller and returns the
// number of bytes consumed.
func (r *relay) forwardEvents(reply *backend.Reply, buf []byte) (int, error) {
	used := 0
	var out []byte
	var invalid error
	for invalid == nil {
		end := eventstream.EventEnd(buf[used:])
		if end < 0 {
			break
		}
		event := buf[used : used+end]
		used += end
		var ok bool
		if ok, invalid = r.accept(event); ok {
			out = append(out, event...)
		}
	}
	if len(out) == 0 {
		return used, invalid
	}
	r.writeHeader(reply)
	if _, err := r.call.w.Write(out); err != nil {
		return used, fmt.Errorf("%w: %w", err, errCallerWrite)
	}
	if err := r.rc.Flush(); err != nil {
		return used, fmt.Errorf("%w: %w", err, errCallerWrite)
	}
	return used, invalid
}

// accept records an event and reports whether to forward it: events that the caller
// already has, going by their id, are skipped. Events without an id are forwarded, but
// do not continue a stream that another server has begun, and neither does an error.
func (r *relay) accept(event []byte) (bool, error) {
	id, ok := eventstream.EventID(event)
	if !ok {
		if !eventstream.HasFields(event) {
			return true, nil
		}
		if r.resumed {
			return false, fmt.Errorf("event without an id: %w", errNotContinued)
		}
		moved := false
		r.gateway.task.Do(func() {
			moved = !r.send.answers()
			r.unnumbered.Store(!moved)
		})
		if moved {
			return false, errMoved
		}
		return true, nil
	}
	if !eventstream.IsNewerID(id, r.lastEventID) {
		return false, nil
	}
	if r.resumed && r.events == r.eventsBefore && eventstream.IsError(event) {
		return false, fmt.Errorf("error event %q: %w", id, errNotContinued)
	}
	now := time.Now()
	pause := time.Duration(0)
	if r.events > 0 {
		pause = now.Sub(r.lastEventAt)
		r.longestPause = max(r.longestPause, pause)
	}
	g, moved := r.gateway, false
	g.task.Do(func() {
		if moved = !r.send.answers(); moved {
			return
		}
		r.lastEventID = id
		r.events++
		g.state.dispatcher.ObserveEvent(r.call.service, r.serverID, pause, r.call.route.MaxEventGap, now)
	})
	if moved {
		return false, errMoved
	}
	r.lastEventAt = now
	return true, nil
}
