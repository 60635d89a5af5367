package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Faults of a reply.
const (
	errCut      = errors.ConstError("reply was cut short")
	errProtocol = errors.ConstError("agent broke the protocol")
	errWrongID  = errors.ConstError("frame has another request id")
	errLate     = errors.ConstError("reply did not come in time")
	errGone     = errors.ConstError("caller has gone")
)

// pieceBytes bounds what is lent to the caller's connection at once.
const pieceBytes = 16 << 10

// relay is the task between the agent's stream and the caller's connection. It
// reads as fast as the agent sends into the reservation, whatever the caller's
// speed, and grants the agent credit as the caller reads.
type relay struct {
	x          *exchange
	id         string
	repeatable bool
	deadline   time.Time
	idle       time.Duration
	metrics    *metrics
	// ended is told of the agent's end frame at once, before the caller has read
	// the reply.
	ended func(end *peerpb.ReplyEnd)

	// out lends pieces to the writer, which returns each by ack. It is closed
	// when the reply has ended or failed; head, end and err may be read then.
	// head may also be read once a piece was lent.
	out  chan []byte
	ack  chan struct{}
	gone chan struct{}

	buf      ring
	lent     int
	credit   int64
	owed     int64
	received int64
	dropping bool
	head     *peerpb.ReplyHead
	end      *peerpb.ReplyEnd
	err      error
}

func newRelay(x *exchange, id string, reservation int64) *relay {
	return &relay{
		x: x, id: id, credit: reservation, buf: ring{limit: int(reservation)},
		out: make(chan []byte), ack: make(chan struct{}), gone: make(chan struct{}),
	}
}

// run moves the reply until its end. The exchange is closed when the agent has
// nothing more to send, before the caller has read everything.
func (l *relay) run(ctx context.Context) {
	defer close(l.out)
	timer := time.NewTimer(time.Until(l.deadline))
	defer timer.Stop()
	gone, ctxDone, frames := l.gone, ctx.Done(), l.x.frames
	for l.err == nil && (l.end == nil || l.buf.n > 0) {
		out, piece := l.offer()
		creditOut, grant := l.grant(frames != nil)
		select {
		case f, ok := <-frames:
			l.take(f, ok)
			l.rearm(timer)
		case out <- piece:
			l.lent = len(piece)
		case <-l.ack:
			l.returned()
		case creditOut <- creditFrame(grant):
			l.credit += grant
			l.owed -= grant
			l.rearm(timer)
		case <-timer.C:
			l.late(timer)
		case <-gone:
			gone = nil
			l.callerGone()
		case <-ctxDone:
			ctxDone = nil
			l.callerGone()
		}
		if l.end != nil && frames != nil {
			frames = nil
			l.x.close()
		}
	}
	l.finish(frames != nil)
}

// finish waits for the lent piece and frees everything.
func (l *relay) finish(open bool) {
	if open {
		if l.err != nil && l.repeatable {
			l.x.cancel(l.err.Error())
		}
		l.x.close()
	}
	l.metrics.replyBytesBuffer.Add(-int64(l.buf.n))
	if l.lent > 0 {
		<-l.ack
	}
	l.buf.clear()
}

// offer returns the piece to lend next, if none is lent.
func (l *relay) offer() (chan<- []byte, []byte) {
	if l.lent > 0 || l.buf.n == 0 || l.dropping {
		return nil, nil
	}
	return l.out, l.buf.peek(pieceBytes)
}

// grant returns the credit to send next. Small grants wait until they are a
// quarter of the reservation, unless the agent has no credit left.
func (l *relay) grant(open bool) (chan<- *peerpb.Frame, int64) {
	if !open || l.owed == 0 || (l.owed < int64(l.buf.limit)/4 && l.credit > 0) {
		return nil, 0
	}
	return l.x.out, l.owed
}

// returned takes back a lent piece.
func (l *relay) returned() {
	n := l.lent
	l.lent = 0
	if l.dropping {
		return
	}
	l.buf.pop(n)
	l.owed += int64(n)
	l.metrics.replyBytesBuffer.Add(-int64(n))
}

// take handles a frame of the agent.
func (l *relay) take(f *peerpb.Frame, ok bool) {
	if !ok {
		l.err = errCut
		return
	}
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_ReplyHead:
		l.takeHead(b.ReplyHead)
	case *peerpb.Frame_ReplyChunk:
		l.takeChunk(b.ReplyChunk)
	case *peerpb.Frame_ReplyEnd:
		l.takeEnd(b.ReplyEnd)
	default:
		l.err = errProtocol
	}
}

func (l *relay) takeHead(h *peerpb.ReplyHead) {
	switch {
	case h.GetRequestId() != l.id:
		l.err = errWrongID
	case l.head != nil, h.GetStatus() < 200, h.GetStatus() > 599:
		l.err = errProtocol
	default:
		l.head = h
	}
}

func (l *relay) takeChunk(c *peerpb.ReplyChunk) {
	n := int64(len(c.GetData()))
	switch {
	case c.GetRequestId() != l.id:
		l.err = errWrongID
		return
	case l.head == nil, n > l.credit:
		l.err = errProtocol
		return
	}
	l.received += n
	l.credit -= n
	if l.dropping {
		l.owed += n
		return
	}
	if !l.buf.push(c.GetData()) {
		l.err = errProtocol
		return
	}
	l.metrics.replyBytesBuffer.Add(n)
}

func (l *relay) takeEnd(e *peerpb.ReplyEnd) {
	switch {
	case e.GetRequestId() != l.id:
		l.err = errWrongID
	case !e.GetComplete():
		l.end = e
		l.ended(e)
		l.err = fmt.Errorf("agent reports %q: %w", e.GetCode(), errCut)
	case l.head == nil || e.GetTotalBytes() != l.received:
		l.err = errProtocol
	default:
		l.end = e
		l.ended(e)
	}
}

// rearm restarts the time limit: the deadline until the first byte, and the
// idle time after it.
func (l *relay) rearm(t *time.Timer) {
	if l.received > 0 {
		t.Reset(l.idle)
	}
}

// late ends a reply that makes no progress, unless it waits for the caller.
func (l *relay) late(t *time.Timer) {
	if l.end != nil || (l.received > 0 && l.credit == 0) {
		t.Reset(l.idle)
		return
	}
	l.err = errLate
}

// callerGone ends a repeatable run. Others run to their end, so that the agent
// stores the reply for a repeat of the key; what they send is dropped.
func (l *relay) callerGone() {
	if l.dropping {
		return
	}
	if l.repeatable {
		l.err = errGone
		return
	}
	l.dropping = true
	l.owed += int64(l.buf.n)
	l.metrics.replyBytesBuffer.Add(-int64(l.buf.n))
	l.buf.clear()
}

// code names the fault of the reply.
func (l *relay) code() core.Code {
	switch {
	case errors.Is(l.err, errLate):
		return core.CodeDeadline
	case l.end.GetCode() != "":
		return core.Code(l.end.GetCode())
	case errors.Is(l.err, errCut):
		return core.CodeConnectionBroken
	}
	return core.CodeBackendFailed
}
