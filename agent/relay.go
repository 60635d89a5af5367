package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/desk"
	"nutmegnotch/io/peer/peerpb"
)

// chunkBytes is the size of one read from the backend server.
const chunkBytes = 4 << 10

// doneEvent ends a streamed model reply.
const doneEvent = "data: [DONE]"

var errCut = errors.New("reply ended before its last event")

// runRepeatable runs a request that may be cancelled and sends its reply while
// it is generated.
func (t *serverTask) runRepeatable() {
	start := time.Now()
	run, cancel := context.WithCancel(t.gone)
	defer cancel()
	clock := newRunClock(min(t.request.Deadline.Sub(start), t.service.RequestTimeout()), cancel)
	defer clock.stop()
	r, err := t.backendRequest(run)
	if err != nil {
		t.free(core.Outcome{Cancelled: true})
		t.refuse(refuse(core.CodeBadRequest, err.Error(), 0))
		return
	}
	resp, err := t.call(r, true)
	if err != nil {
		t.failed(run, err, clock)
		return
	}
	defer resp.Body.Close()
	clock.restart(t.service.RequestTimeout())
	p := newPump(resp, start, clock, t.agent.cfg.BufferBytes, t.service.MaxReplyBytes)
	ended := make(chan bool, 1)
	go func() { defer close(ended); ended <- t.pump(run, p, resp) }()
	total, sent := t.sendReply(resp, p)
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
	broken := p.err != nil && run.Err() == nil && !errors.Is(p.err, errTooLarge)
	crashed := broken && t.agent.crashed(t.admitted)
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
	if notSent {
		t.agent.watcher.poke()
		t.refuse(refuse(core.CodeNoServer, "the backend server does not accept connections", retryLater))
		return
	}
	t.sendEnd(err, clock, 0, crashed)
}

// sendReply sends the head and the chunks as far as the entry permits. It
// reports false when the stream has broken or the caller has gone.
func (t *serverTask) sendReply(resp *http.Response, p *pump) (int64, bool) {
	head := &peerpb.ReplyHead{RequestId: t.head.RequestId, Status: int32(resp.StatusCode), Headers: headersOf(resp.Header)}
	if !t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: head}}) {
		return 0, false
	}
	var total int64
	for data := range p.chunks {
		if !t.sendBytes(t.gone, data) {
			return total, false
		}
		total += int64(len(data))
	}
	return total, true
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
	if err != nil && clock != nil && clock.expired.Load() {
		e.Code = string(core.CodeDeadline)
	}
	if crashed {
		metrics.Add("crashed_runs", 1)
	}
	e.Load = t.agent.admission.load(time.Now())
	t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyEnd{ReplyEnd: e}})
}

var errTooLarge = errors.New("reply exceeds max_reply_bytes")

// pump reads a reply into a bounded buffer.
type pump struct {
	body   io.Reader
	chunks chan []byte
	clock  *runClock
	start  time.Time
	limit  int64
	events bool
	total  int64
	tokens int64
	first  time.Duration
	last   time.Duration
	// stalled reports that a slow reader held the run up, so that its times
	// tell nothing of the backend server.
	stalled bool
	tail    []byte
	err     error
}

func newPump(resp *http.Response, start time.Time, clock *runClock, buffer int, limit int64) *pump {
	return &pump{
		body:   resp.Body,
		chunks: make(chan []byte, max(buffer/chunkBytes, 1)),
		clock:  clock,
		start:  start,
		limit:  limit,
		events: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
	}
}

// read reads until the end of the reply and closes chunks. err is set before.
func (p *pump) read(ctx context.Context) {
	defer close(p.chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.body.Read(buf)
		if n > 0 {
			p.note(buf[:n])
			if p.limit > 0 && p.total > p.limit {
				p.err = errTooLarge
				return
			}
			if !p.push(ctx, buf[:n]) {
				p.err = context.Cause(ctx)
				return
			}
		}
		if err != nil {
			p.end(err)
			return
		}
	}
}

func (p *pump) end(err error) {
	if !errors.Is(err, io.EOF) {
		p.err = err
		return
	}
	if p.events && !bytes.Contains(p.tail, []byte(doneEvent)) {
		p.err = errCut
	}
}

// note counts events, which are tokens, and keeps the end of the reply.
func (p *pump) note(data []byte) {
	p.last = time.Since(p.start)
	if p.total == 0 {
		p.first = p.last
	}
	p.total += int64(len(data))
	if !p.events {
		return
	}
	joined := append(p.tail, data...)
	p.tokens += int64(bytes.Count(joined, []byte("\n\n")) - bytes.Count(p.tail, []byte("\n\n")))
	keep := min(len(joined), len(doneEvent)+4)
	p.tail = bytes.Clone(joined[len(joined)-keep:])
}

// push hands a chunk on. The clock stands while the buffer is full.
func (p *pump) push(ctx context.Context, data []byte) bool {
	select {
	case p.chunks <- data:
		return true
	default:
	}
	p.stalled = true
	p.clock.pause()
	defer p.clock.resume()
	select {
	case p.chunks <- data:
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome tells the admission what to learn from the run.
func (p *pump) outcome(status int, kind core.ServiceKind) core.Outcome {
	o := core.Outcome{Good: p.err == nil && status < http.StatusInternalServerError}
	switch {
	case p.stalled || (kind == core.ServiceModel && p.tokens <= 1):
		// A single token carries no time that could be judged.
		o.OutputTokens = 1
	case kind == core.ServiceModel:
		// The last event is the end mark.
		o.OutputTokens, o.FirstToken, o.Elapsed = p.tokens-1, p.first, p.last
	default:
		o.FirstToken, o.Elapsed = p.first, p.last
	}
	return o
}
