package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// requestReceiveTimeout bounds the time until the head and the body of a request
// have arrived.
const requestReceiveTimeout = 30 * time.Second

// defaultRunTimeout applies when a service sets no request_timeout_ms.
const defaultRunTimeout = time.Minute

// requestTask serves one request stream of an entry.
type requestTask struct {
	agent   *Agent
	stream  *peer.Stream
	log     *zap.Logger
	head    *peerpb.RequestHead
	body    []byte
	request core.Request
	service core.Service
	credit  *replyCredit
	// callerCtx is done when the caller disconnects or the stream breaks.
	callerCtx   context.Context
	verdictSent atomic.Bool
	reservation reservation
	// claimStartedAt is the time before the claim was sent.
	claimStartedAt time.Time
}

// ServeRequest serves one request stream.
func (a *Agent) ServeRequest(ctx context.Context, s *peer.Stream) {
	metrics.Add("requests", 1)
	a.openStreams.Add(1)
	defer a.openStreams.Add(-1)
	t := &requestTask{agent: a, stream: s, credit: newReplyCredit(), log: a.log.With(zap.String("request_id", s.OpenFrame().GetRequestId()))}
	if refusal, ok := t.receive(time.Now()); !ok {
		t.refuse(refusal)
		return
	}
	callerCtx, cancel := context.WithCancel(ctx)
	t.callerCtx = callerCtx
	receiverDone := make(chan struct{})
	go func() { defer close(receiverDone); t.receiveCredit(cancel) }()
	t.serve(ctx)
	// The entry closes its side of the stream after it has read the last frame,
	// which ends the receiver.
	_ = s.Close()
	_ = s.SetDeadline(time.Now().Add(streamCloseTimeout))
	<-receiverDone
	cancel()
}

// receive reads the head and the body. It returns false with a refusal if the
// request is invalid, and a refusal without a code if the stream broke.
func (t *requestTask) receive(now time.Time) (core.Refusal, bool) {
	if err := t.stream.SetDeadline(now.Add(requestReceiveTimeout)); err != nil {
		return core.Refusal{}, false
	}
	f, err := t.stream.Receive()
	if err != nil {
		return core.Refusal{}, false
	}
	t.head = f.GetRequestHead()
	if t.head == nil || t.head.RequestId != t.stream.OpenFrame().GetRequestId() {
		return notRunRefusal(core.CodeBadRequest, "the stream does not start with the head of its request", 0), false
	}
	t.log = t.log.With(zap.String("organisation", t.head.Organisation))
	t.request = toRequest(t.head, now)
	var known bool
	if t.service, known = t.agent.service(); !known {
		return notRunRefusal(core.CodeNoServer, fmt.Sprintf("service %q is not configured", t.agent.cfg.Service), longRetryAfter), false
	}
	if refusal, ok := t.receiveBody(); !ok {
		return refusal, false
	}
	return core.Refusal{}, t.stream.SetDeadline(time.Time{}) == nil
}

func (t *requestTask) receiveBody() (core.Refusal, bool) {
	tooLarge := notRunRefusal(core.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", t.service.MaxBodyBytes), 0)
	if t.head.BodyBytes > t.service.MaxBodyBytes {
		return tooLarge, false
	}
	var buf bytes.Buffer
	for {
		f, err := t.stream.Receive()
		if err != nil {
			return core.Refusal{}, false
		}
		if c := f.GetReplyCredit(); c != nil {
			t.credit.add(c.Bytes)
			continue
		}
		c := f.GetBodyChunk()
		if c == nil {
			return notRunRefusal(core.CodeBadRequest, "a frame of another kind came inside the body", 0), false
		}
		if int64(buf.Len()+len(c.Data)) > t.service.MaxBodyBytes {
			return tooLarge, false
		}
		buf.Write(c.Data)
		if c.Last {
			t.body = buf.Bytes()
			return core.Refusal{}, true
		}
	}
}

// receiveCredit adds the credit that the entry grants until the request is
// cancelled or the stream ends. It then calls callerGone.
func (t *requestTask) receiveCredit(callerGone context.CancelFunc) {
	defer callerGone()
	for {
		f, err := t.stream.Receive()
		if err != nil || f.GetCancel() != nil {
			return
		}
		t.credit.add(f.GetReplyCredit().GetBytes())
	}
}

// serve admits and runs a received request.
func (t *requestTask) serve(ctx context.Context) {
	once := !t.request.Repeatable
	if once && t.request.IdempotencyKey == "" {
		t.refuse(notRunRefusal(core.CodeKeyRequired, "a request that must not run twice needs a key", 0))
		return
	}
	rsv, refusal, ok := t.agent.admission.admitExclusive(t.callerCtx, t.request)
	if !ok {
		t.refuse(refusal)
		return
	}
	t.reservation = rsv
	defer t.agent.admission.requestDone()
	if once {
		t.runAtMostOnce(ctx)
		return
	}
	t.runRepeatable()
}

// runTimeout returns the time limit of one run.
func (t *requestTask) runTimeout() time.Duration {
	if d := t.service.RequestTimeout(); d > 0 {
		return d
	}
	return defaultRunTimeout
}

// refuse sends a refusal. It ignores a refusal without a code, which means that
// the stream broke.
func (t *requestTask) refuse(r core.Refusal) {
	if r.Code == "" {
		return
	}
	metrics.Add("refused", 1)
	metrics.Add("refused_"+string(r.Code), 1)
	t.log.Debug("request refused", zap.String("code", string(r.Code)), zap.Bool("not_run", r.NotRun))
	t.sendVerdict(&peerpb.Verdict{
		Code:           string(r.Code),
		Message:        r.Message,
		NotRun:         r.NotRun,
		OutcomeUnknown: r.OutcomeUnknown,
		RetryAfterMs:   r.RetryAfter.Milliseconds(),
	})
}

// accept sends the verdict that the request is admitted. It is called before the
// first byte is sent to the backend server.
func (t *requestTask) accept() {
	metrics.Add("admitted", 1)
	t.sendVerdict(&peerpb.Verdict{Admitted: true})
}

// sendVerdict sends v unless a verdict was already sent for this request.
func (t *requestTask) sendVerdict(v *peerpb.Verdict) {
	if t.verdictSent.Swap(true) {
		return
	}
	v.Load = t.agent.admission.loadReport(time.Now())
	t.send(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: v}})
}

func (t *requestTask) send(f *peerpb.Frame) bool {
	if err := t.stream.Send(f); err != nil {
		t.log.Debug("failed to send frame to entry", zap.Error(err))
		return false
	}
	return true
}

// newBackendRequest builds the HTTP request for the backend server.
func (t *requestTask) newBackendRequest(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, t.head.Method, "http://"+t.agent.cfg.BackendAddress+t.head.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if len(t.body) > 0 {
		// GetBody is set for repeatable requests only: without it, net/http cannot
		// resend the body.
		r.Body = io.NopCloser(bytes.NewReader(t.body))
		if t.request.Repeatable {
			r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(t.body)), nil }
		}
		r.ContentLength = int64(len(t.body))
	}
	for _, h := range t.head.Headers {
		if !hopByHop(h.Name) {
			r.Header[http.CanonicalHeaderKey(h.Name)] = h.Values
		}
	}
	r.Header.Set("X-Request-Id", t.head.RequestId)
	if t.request.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", t.request.IdempotencyKey)
	}
	return r, nil
}

// call sends a request to the backend server. An error that is desk.ErrNotSent
// proves that nothing ran.
func (t *requestTask) call(r *http.Request, repeatable bool) (*http.Response, error) {
	if repeatable && t.service.Kind == core.ServiceModel {
		return t.agent.engine.Do(r, t.accept)
	}
	return t.agent.desk.Do(r, repeatable, t.accept)
}
