package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"nutmegnotch/core"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

const (
	bodyChunkBytes = 64 << 10
	// cancelTimeout bounds how long sending a cancellation may take.
	cancelTimeout = time.Second
)

// exchange is the request stream to an agent for one attempt. One goroutine sends
// all frames and another receives all frames, so that a refusal can be read while
// the body is still being sent.
type exchange struct {
	s      *peer.Stream
	frames chan *peerpb.Frame
	out    chan *peerpb.Frame
	sent   chan struct{}
	stop   context.CancelFunc
	ctx    context.Context
	wg     *conc.WaitGroup
}

// openExchange opens a request stream to an agent. If it returns an error, nothing
// of the request was sent.
func openExchange(n *peer.Node, agentID, requestID string) (*exchange, error) {
	s, err := n.Open(agentID, peerpb.StreamKind_STREAM_KIND_REQUEST, requestID)
	if err != nil {
		return nil, fmt.Errorf("open request stream: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &exchange{s: s, frames: make(chan *peerpb.Frame), out: make(chan *peerpb.Frame), sent: make(chan struct{}),
		ctx: ctx, stop: cancel, wg: conc.NewWaitGroup()}, nil
}

// start starts both goroutines, which send the head, the body and the first
// credit, and receive frames.
func (x *exchange) start(head *peerpb.RequestHead, body []byte, credit int64, deadline time.Time) {
	// If setting the deadline fails, the stream still ends with its session.
	_ = x.s.SetDeadline(deadline)
	x.wg.Go(x.receive)
	x.wg.Go(func() { x.send(head, body, credit) })
}

func (x *exchange) receive() {
	defer close(x.frames)
	for {
		f, err := x.s.Receive()
		if err != nil {
			return
		}
		select {
		case x.frames <- f:
		case <-x.ctx.Done():
			return
		}
	}
}

func (x *exchange) send(head *peerpb.RequestHead, body []byte, credit int64) {
	defer close(x.sent)
	if x.s.Send(&peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: head}}) != nil {
		return
	}
	for last := false; !last; {
		n := min(len(body), bodyChunkBytes)
		last = n == len(body)
		chunk := &peerpb.BodyChunk{Data: body[:n], Last: last}
		if x.s.Send(&peerpb.Frame{Body: &peerpb.Frame_BodyChunk{BodyChunk: chunk}}) != nil {
			return
		}
		body = body[n:]
	}
	if x.s.Send(creditFrame(credit)) != nil {
		return
	}
	for {
		select {
		case f := <-x.out:
			if x.s.Send(f) != nil {
				return
			}
		case <-x.ctx.Done():
			return
		}
	}
}

// cancel tells the agent that the reply is no longer needed.
func (x *exchange) cancel(reason string) {
	t := time.NewTimer(cancelTimeout)
	defer t.Stop()
	select {
	case x.out <- &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Reason: reason}}}:
	case <-x.sent:
	case <-t.C:
	}
}

// close ends the stream and waits for both goroutines.
func (x *exchange) close() {
	x.stop()
	_ = x.s.SetDeadline(time.Unix(1, 0))
	x.wg.Wait()
	x.s.Close()
}

func creditFrame(n int64) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_ReplyCredit{ReplyCredit: &peerpb.ReplyCredit{Bytes: n}}}
}

// requestHead returns the RequestHead frame for an agent. Its deadline is relative
// to now.
func requestHead(r *caller.Request, exclusive bool, now time.Time) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		RequestId: r.ID, Organisation: r.Organisation, Service: r.Service, Model: r.Model, Adapter: r.Adapter,
		Method: r.Method, Path: r.Path, Headers: toHeaders(r.Header), Repeatable: r.Repeatable,
		IdempotencyKey: r.IdempotencyKey, RequestHash: r.RequestHash[:], Fingerprint: r.Fingerprint,
		PrefixHash: r.PrefixHash, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Priority: int32(r.Priority), Weight: int32(r.Weight), DeadlineInMs: r.Deadline.Sub(now).Milliseconds(),
		Exclusive: exclusive, BodyBytes: int64(len(r.Body)), ConfigOffset: r.ConfigOffset,
	}
}

func toHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func fromHeaders(headers []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, header := range headers {
		for _, v := range header.GetValues() {
			h.Add(header.GetName(), v)
		}
	}
	return h
}

// toRefusal converts an agent's verdict to a refusal.
func toRefusal(v *peerpb.Verdict) core.Refusal {
	return core.Refusal{
		Code: core.Code(v.GetCode()), Message: v.GetMessage(), NotRun: v.GetNotRun(),
		OutcomeUnknown: v.GetOutcomeUnknown(), RetryAfter: time.Duration(v.GetRetryAfterMs()) * time.Millisecond,
	}
}
