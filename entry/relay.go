package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Errors of a relay.
const (
	errTruncated  = errors.ConstError("reply was cut short")
	errProtocol   = errors.ConstError("agent broke the protocol")
	errWrongID    = errors.ConstError("frame has another request id")
	errTimeout    = errors.ConstError("reply did not come in time")
	errCallerGone = errors.ConstError("caller has gone")
)

// writeChunkBytes bounds the chunk that is passed to the caller's connection at
// once.
const writeChunkBytes = 16 << 10

// relay copies a reply from an agent's stream to the caller's connection through a
// buffer of the size of the reservation. The agent may fill the buffer without
// waiting for the caller, and gets new credit as the caller reads.
type relay struct {
	x           *exchange
	id          string
	repeatable  bool
	deadline    time.Time
	idleTimeout time.Duration
	metrics     *metrics
	// onEnd is called when the agent's ReplyEnd frame arrives, which may be before
	// the caller has read the reply.
	onEnd func(head *peerpb.ReplyHead, end *peerpb.ReplyEnd)

	// out passes chunks of buf to the writer, which acknowledges each on ack and
	// must not use it afterwards. out is closed when the reply has ended or
	// failed; head, end and err may be read then. head may also be read once a
	// chunk was received. The writer closes writerFailed after a write error.
	out          chan []byte
	ack          chan struct{}
	writerFailed chan struct{}

	buf           ring
	unackedBytes  int
	credit        int64
	unsentCredit  int64
	receivedBytes int64
	dropping      bool
	head          *peerpb.ReplyHead
	end           *peerpb.ReplyEnd
	err           error
}

func newRelay(x *exchange, id string, reservation int64) *relay {
	return &relay{
		x: x, id: id, credit: reservation, buf: ring{limit: int(reservation)},
		out: make(chan []byte), ack: make(chan struct{}), writerFailed: make(chan struct{}),
	}
}

// run relays the reply until its end. It closes the exchange as soon as the agent
// has sent the whole reply, without waiting for the caller to read it.
func (l *relay) run(ctx context.Context) {
	defer close(l.out)
	timer := time.NewTimer(time.Until(l.deadline))
	defer timer.Stop()
	writerFailed, ctxDone, frames := l.writerFailed, ctx.Done(), l.x.frames
	for l.err == nil && (l.end == nil || l.buf.n > 0) {
		out, chunk := l.nextChunk()
		creditOut, grant := l.nextGrant(frames != nil)
		select {
		case f, ok := <-frames:
			l.handleFrame(f, ok)
			l.resetTimer(timer)
		case out <- chunk:
			l.unackedBytes = len(chunk)
		case <-l.ack:
			l.chunkReturned()
		case creditOut <- creditFrame(grant):
			l.credit += grant
			l.unsentCredit -= grant
			l.resetTimer(timer)
		case <-timer.C:
			l.timedOut(timer)
		case <-writerFailed:
			writerFailed = nil
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
	l.cleanUp(frames != nil)
}

// cleanUp closes the exchange if it is open, waits until the writer has returned
// its chunk and frees the buffer.
func (l *relay) cleanUp(streamOpen bool) {
	if streamOpen {
		if l.err != nil && l.repeatable {
			l.x.cancel(l.err.Error())
		}
		l.x.close()
	}
	l.metrics.replyBytesBuffered.Add(-int64(l.buf.n))
	if l.unackedBytes > 0 {
		<-l.ack
	}
	l.buf.clear()
}

// nextChunk returns the next chunk for the writer and the channel to send it on.
// The channel is nil if the writer still has a chunk or there is none to send.
func (l *relay) nextChunk() (chan<- []byte, []byte) {
	if l.unackedBytes > 0 || l.buf.n == 0 || l.dropping {
		return nil, nil
	}
	return l.out, l.buf.peek(writeChunkBytes)
}

// nextGrant returns the credit to grant next and the channel to send it on. The
// channel is nil while the unsent credit is less than a quarter of the
// reservation, unless the agent has no credit left.
func (l *relay) nextGrant(streamOpen bool) (chan<- *peerpb.Frame, int64) {
	if !streamOpen || l.unsentCredit == 0 || (l.unsentCredit < int64(l.buf.limit)/4 && l.credit > 0) {
		return nil, 0
	}
	return l.x.out, l.unsentCredit
}

// chunkReturned frees the chunk that the writer has acknowledged.
func (l *relay) chunkReturned() {
	n := l.unackedBytes
	l.unackedBytes = 0
	if l.dropping {
		return
	}
	l.buf.pop(n)
	l.unsentCredit += int64(n)
	l.metrics.replyBytesBuffered.Add(-int64(n))
}

// handleFrame handles a frame from the agent. ok is false if the stream ended.
func (l *relay) handleFrame(f *peerpb.Frame, ok bool) {
	if !ok {
		l.err = errTruncated
		return
	}
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_ReplyHead:
		l.handleHead(b.ReplyHead)
	case *peerpb.Frame_ReplyChunk:
		l.handleChunk(b.ReplyChunk)
	case *peerpb.Frame_ReplyEnd:
		l.handleEnd(b.ReplyEnd)
	default:
		l.err = errProtocol
	}
}

func (l *relay) handleHead(h *peerpb.ReplyHead) {
	switch {
	case h.GetRequestId() != l.id:
		l.err = errWrongID
	case l.head != nil, h.GetStatus() < 200, h.GetStatus() > 599:
		l.err = errProtocol
	default:
		l.head = h
	}
}

func (l *relay) handleChunk(c *peerpb.ReplyChunk) {
	n := int64(len(c.GetData()))
	switch {
	case c.GetRequestId() != l.id:
		l.err = errWrongID
		return
	case l.head == nil, n > l.credit:
		l.err = errProtocol
		return
	}
	l.receivedBytes += n
	l.credit -= n
	if l.dropping {
		l.unsentCredit += n
		return
	}
	if !l.buf.push(c.GetData()) {
		l.err = errProtocol
		return
	}
	l.metrics.replyBytesBuffered.Add(n)
}

func (l *relay) handleEnd(e *peerpb.ReplyEnd) {
	switch {
	case e.GetRequestId() != l.id:
		l.err = errWrongID
	case !e.GetComplete():
		l.end = e
		l.onEnd(l.head, e)
		l.err = fmt.Errorf("agent reports %q: %w", e.GetCode(), errTruncated)
	case l.head == nil || e.GetTotalBytes() != l.receivedBytes:
		l.err = errProtocol
	default:
		l.end = e
		l.onEnd(l.head, e)
	}
}

// resetTimer restarts the idle timeout. Before the first byte of the body, the
// request's deadline applies instead.
func (l *relay) resetTimer(t *time.Timer) {
	if l.receivedBytes > 0 {
		t.Reset(l.idleTimeout)
	}
}

// timedOut fails a reply that makes no progress, unless the agent has sent all of
// it or waits for credit.
func (l *relay) timedOut(t *time.Timer) {
	if l.end != nil || (l.receivedBytes > 0 && l.credit == 0) {
		t.Reset(l.idleTimeout)
		return
	}
	l.err = errTimeout
}

// callerGone handles a caller that has disconnected. A repeatable run is cancelled.
// Other runs continue, so that the agent stores the reply for a repeat of the
// idempotency key; the relay then drops the reply bytes.
func (l *relay) callerGone() {
	if l.dropping {
		return
	}
	if l.repeatable {
		l.err = errCallerGone
		return
	}
	l.dropping = true
	l.unsentCredit += int64(l.buf.n)
	l.metrics.replyBytesBuffered.Add(-int64(l.buf.n))
	l.buf.clear()
}

// failureCode returns the code for a reply that failed.
func (l *relay) failureCode() core.Code {
	switch {
	case errors.Is(l.err, errTimeout):
		return core.CodeDeadline
	case l.end.GetCode() != "":
		return core.Code(l.end.GetCode())
	case errors.Is(l.err, errTruncated):
		return core.CodeConnectionBroken
	}
	return core.CodeBackendFailed
}
