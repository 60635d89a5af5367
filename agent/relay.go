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

// runRepeatable runs a request that may be cancelled and sends its reply while
// it is generated.
func (t *serverTask) runRepeatable() {
	start := time.Now()
	run, cancel := context.WithCancel(t.gone)
	defer cancel()
	clock := newRunClock(min(t.request.Deadline.Sub(start), t.runTimeout()), cancel)
	defer clock.stop()
	r, err := t.backendRequest(run)
	if err != nil {
		t.free(core.Outcome{Cancelled: true})
		t.refuse(refuse(core.CodeBadRequest, err.Error(), 0))
		return
	}
	resp, err := t.call(r, true) //nolint:bodyclose // closed below and by pump
	if err != nil {
		t.failed(run, err, clock)
		return
	}
	defer resp.Body.Close()
	clock.restart(t.runTimeout())
	p := newPump(resp, start, clock, t.service.MaxReplyBytes)
	chunks := buffer(p.chunks, t.agent.cfg.ReplyBufferBytes, t.gone.Done())
	ended := make(chan bool, 1)
	go func() { defer close(ended); ended <- t.pump(run, p, resp) }()
	total, sent := t.sendReply(resp, chunks)
	cancel()
	crashed := <-ended
	if sent {
		t.sendEnd(p.err, clock, total, crashed)
	}
}

// pump reads the whole reply and then frees the reservation, however slowly the
// caller reads. It reports whether the backend server crashed.
func (t *serverTask) pump(run context.Context, p *pump, resp *http.Response) bool {
	p.read(run)
	resp.Body.Close()
	crashed := p.broken && t.agent.crashed(t.admitted)
	o := p.outcome(resp.StatusCode, t.service.Kind)
	o.Crashed, o.Cancelled = crashed, t.gone.Err() != nil
	t.free(o)
	return crashed
}

// failed answers a request that got no reply.
func (t *serverTask) failed(run context.Context, err error, clock *runClock) {
	notSent := errors.Is(err, desk.ErrNotSent)
	broken := !notSent && run.Err() == nil
	crashed := broken && t.agent.crashed(t.admitted)
	t.free(core.Outcome{Crashed: crashed, Cancelled: notSent || t.gone.Err() != nil})
	if notSent && clock.expired.Load() {
		t.refuse(refuse(core.CodeDeadline, "the deadline passed before the request was sent", retrySoon))
		return
	}
	if notSent {
		t.agent.watcher.poke()
		t.refuse(refuse(core.CodeNoServer, "the backend server does not accept connections", retryLater))
		return
	}
	t.sendEnd(err, clock, 0, crashed)
}

// sendReply sends the head and the chunks as far as the entry permits. It
// reports false when the stream has broken or the caller has gone.
func (t *serverTask) sendReply(resp *http.Response, chunks <-chan []byte) (int64, bool) {
	head := &peerpb.ReplyHead{RequestId: t.head.RequestId, Status: int32(resp.StatusCode), Headers: headersOf(resp.Header)}
	if !t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: head}}) {
		return 0, false
	}
	var total int64
	for data := range chunks {
		if !t.sendBytes(t.gone, data) {
			return total, false
		}
		total += int64(len(data))
	}
	// The buffer also ends when the caller has gone, and then lacks a part.
	return total, t.gone.Err() == nil
}

// sendBytes sends data in frames as credit permits.
func (t *serverTask) sendBytes(ctx context.Context, data []byte) bool {
	for len(data) > 0 {
		n := t.credit.take(ctx, min(len(data), maxChunk))
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

// maxChunk bounds the data of one ReplyChunk, below the bound of a frame.
const maxChunk = 64 << 10

// sendEnd ends the reply.
func (t *serverTask) sendEnd(err error, clock *runClock, total int64, crashed bool) {
	e := &peerpb.ReplyEnd{RequestId: t.head.RequestId, Complete: err == nil, TotalBytes: total, Crashed: crashed}
	if err != nil {
		e.Code, e.Message = string(core.CodeBackendFailed), err.Error()
	}
	if err != nil && !t.request.Repeatable {
		e.Code = string(core.CodeOutcomeUnknown)
	}
	if err != nil && clock != nil && clock.expired.Load() {
		e.Code = string(core.CodeDeadline)
	}
	if crashed {
		metrics.Add("crashed_runs", 1)
	}
	e.Load = t.agent.admission.load(time.Now())
	t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyEnd{ReplyEnd: e}})
}
