package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/desk"
	"nutmegnotch/io/peer/peerpb"
)

// runRepeatable runs a request that may be cancelled and streams its reply to
// the entry.
func (t *requestTask) runRepeatable() {
	start := time.Now()
	runCtx, cancel := context.WithCancel(t.callerCtx)
	defer cancel()
	countdown := newRunCountdown(min(t.request.Deadline.Sub(start), t.runTimeout()), cancel)
	defer countdown.stop()
	r, err := t.newBackendRequest(runCtx)
	if err != nil {
		t.freeReservation(core.Outcome{Cancelled: true})
		t.refuse(notRunRefusal(core.CodeBadRequest, err.Error(), 0))
		return
	}
	resp, err := t.call(r, true) //nolint:bodyclose // closed below and by readReply
	if err != nil {
		t.answerCallError(runCtx, err, countdown)
		return
	}
	defer resp.Body.Close()
	countdown.restart(t.runTimeout())
	pipe := newReplyPipe(resp, start, countdown, t.service)
	chunks := bufferChunks(pipe.chunks, t.agent.cfg.ReplyBufferBytes, t.callerCtx.Done())
	readDone := make(chan bool, 1)
	go func() { defer close(readDone); readDone <- t.readReply(runCtx, pipe, resp) }()
	total, sent := t.sendReply(resp, pipe.unverified, chunks)
	cancel()
	crashed := <-readDone
	if sent {
		t.sendEnd(pipe.err, countdown, total, crashed)
	}
}

// readReply reads the whole reply and then frees the reservation, even if the
// caller has not yet read what is buffered. It reports whether the backend server
// crashed.
func (t *requestTask) readReply(runCtx context.Context, p *replyPipe, resp *http.Response) bool {
	p.read(runCtx)
	resp.Body.Close()
	crashed := p.broken && t.agent.checkCrashed(t.reservation)
	if p.unverified && p.err == nil {
		crashed = t.agent.checkUnverified(t.reservation)
	}
	o := p.outcome(resp.StatusCode, t.service.Kind)
	o.Crashed, o.Cancelled = crashed, t.callerCtx.Err() != nil
	t.freeReservation(o)
	return crashed
}

// answerCallError answers a request for which the backend server returned no
// reply.
func (t *requestTask) answerCallError(runCtx context.Context, err error, countdown *runCountdown) {
	notSent := errors.Is(err, desk.ErrNotSent)
	broken := !notSent && runCtx.Err() == nil
	crashed := broken && t.agent.checkCrashed(t.reservation)
	t.freeReservation(core.Outcome{Crashed: crashed, Cancelled: notSent || t.callerCtx.Err() != nil})
	if notSent && countdown.expired.Load() {
		t.refuse(notRunRefusal(core.CodeDeadline, "the deadline passed before the request was sent", shortRetryAfter))
		return
	}
	if notSent {
		t.agent.health.requestProbe()
		t.refuse(notRunRefusal(core.CodeNoServer, "the backend server does not accept connections", longRetryAfter))
		return
	}
	t.sendEnd(err, countdown, 0, crashed)
}

// sendReply sends the reply head and the chunks as the entry grants credit.
// unverified is set if the end of the reply will not show whether it is whole. It
// returns the bytes sent, and false if the stream broke or the caller
// disconnected.
func (t *requestTask) sendReply(resp *http.Response, unverified bool, chunks <-chan []byte) (int64, bool) {
	head := &peerpb.ReplyHead{RequestId: t.head.RequestId, Status: int32(resp.StatusCode), Headers: toHeaders(resp.Header), CloseDelimited: unverified}
	if !t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: head}}) {
		return 0, false
	}
	var total int64
	for data := range chunks {
		if !t.sendBytes(t.callerCtx, data) {
			return total, false
		}
		total += int64(len(data))
	}
	// If the caller disconnects, chunks is closed before the reply is complete.
	return total, t.callerCtx.Err() == nil
}

// sendBytes sends data in ReplyChunk frames as credit permits. It returns false
// if the stream broke or ctx is done.
func (t *requestTask) sendBytes(ctx context.Context, data []byte) bool {
	for len(data) > 0 {
		n := t.credit.take(ctx, min(len(data), maxChunkBytes))
		if n == 0 {
			return false
		}
		c := &peerpb.ReplyChunk{RequestId: t.head.RequestId, Data: data[:n]}
		if !t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyChunk{ReplyChunk: c}}) {
			return false
		}
		data = data[n:]
	}
	return true
}

// maxChunkBytes bounds the data of one ReplyChunk. It is below the size limit of
// a frame.
const maxChunkBytes = 64 << 10

// sendEnd sends the ReplyEnd frame. The reply is complete if err is nil.
// countdown is nil for runs that have none.
func (t *requestTask) sendEnd(err error, countdown *runCountdown, total int64, crashed bool) {
	e := &peerpb.ReplyEnd{RequestId: t.head.RequestId, Complete: err == nil, TotalBytes: total, Crashed: crashed}
	if err != nil {
		e.Code, e.Message = string(core.CodeBackendFailed), err.Error()
	}
	if err != nil && !t.request.Repeatable {
		e.Code = string(core.CodeOutcomeUnknown)
	}
	if err != nil && countdown != nil && countdown.expired.Load() {
		e.Code = string(core.CodeDeadline)
	}
	if crashed {
		metrics.Add("crashed_runs", 1)
	}
	e.Load = t.agent.admission.loadReport(time.Now())
	t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyEnd{ReplyEnd: e}})
}
