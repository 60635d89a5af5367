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

// headTimeout bounds the arrival of a head and its body.
const headTimeout = 30 * time.Second

// defaultRunTimeout applies when a service sets no request_timeout_ms.
const defaultRunTimeout = time.Minute

// serverTask serves one request of an entry.
type serverTask struct {
	agent   *Agent
	stream  *peer.Stream
	log     *zap.Logger
	head    *peerpb.RequestHead
	body    []byte
	request core.Request
	service core.Service
	credit  *creditGate
	// gone ends when the caller has gone or the stream has broken.
	gone     context.Context
	verdict  atomic.Bool
	admitted admitted
	// claimedAt is when the claim was asked for.
	claimedAt time.Time
}

// ServeRequest serves one request stream.
func (a *Agent) ServeRequest(ctx context.Context, s *peer.Stream) {
	metrics.Add("requests", 1)
	a.open.Add(1)
	defer a.open.Add(-1)
	t := &serverTask{agent: a, stream: s, credit: newCreditGate(), log: a.log.With(zap.String("request_id", s.Opening().GetRequestId()))}
	if refusal, ok := t.receive(time.Now()); !ok {
		t.refuse(refusal)
		return
	}
	gone, cancel := context.WithCancel(ctx)
	t.gone = gone
	listening := make(chan struct{})
	go func() { defer close(listening); t.listen(cancel) }()
	t.serve(ctx)
	// The listener ends when the entry, which closes its side after the last
	// frame, has read it.
	_ = s.Close()
	_ = s.SetDeadline(time.Now().Add(closeTimeout))
	<-listening
	cancel()
}

// receive reads the head and the body. A refusal without code means that the
// stream broke before.
func (t *serverTask) receive(now time.Time) (core.Refusal, bool) {
	if err := t.stream.SetDeadline(now.Add(headTimeout)); err != nil {
		return core.Refusal{}, false
	}
	f, err := t.stream.Receive()
	if err != nil {
		return core.Refusal{}, false
	}
	t.head = f.GetRequestHead()
	if t.head == nil || t.head.RequestId != t.stream.Opening().GetRequestId() {
		return refuse(core.CodeBadRequest, "the stream does not start with the head of its request", 0), false
	}
	t.log = t.log.With(zap.String("organisation", t.head.Organisation))
	t.request = requestOf(t.head, now)
	var known bool
	if t.service, known = t.agent.service(); !known {
		return refuse(core.CodeNoServer, fmt.Sprintf("service %q is not configured", t.agent.cfg.Service), retryLater), false
	}
	if refusal, ok := t.receiveBody(); !ok {
		return refusal, false
	}
	return core.Refusal{}, t.stream.SetDeadline(time.Time{}) == nil
}

func (t *serverTask) receiveBody() (core.Refusal, bool) {
	tooLarge := refuse(core.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", t.service.MaxBodyBytes), 0)
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
			return refuse(core.CodeBadRequest, "a frame of another kind came inside the body", 0), false
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

// listen takes credit until the caller has gone or the stream ends.
func (t *serverTask) listen(gone context.CancelFunc) {
	defer gone()
	for {
		f, err := t.stream.Receive()
		if err != nil || f.GetCancel() != nil {
			return
		}
		t.credit.add(f.GetReplyCredit().GetBytes())
	}
}

// serve admits and runs the request.
func (t *serverTask) serve(ctx context.Context) {
	once := !t.request.Repeatable
	if once && t.request.IdempotencyKey == "" {
		t.refuse(refuse(core.CodeKeyRequired, "a request that must not run twice needs a key", 0))
		return
	}
	ad, refusal, ok := t.agent.admission.admitAlone(t.gone, t.request)
	if !ok {
		t.refuse(refusal)
		return
	}
	t.admitted = ad
	defer t.agent.admission.ended()
	if once {
		t.runOnce(ctx)
		return
	}
	t.runRepeatable()
}

// runTimeout returns the bound on one run.
func (t *serverTask) runTimeout() time.Duration {
	if d := t.service.RequestTimeout(); d > 0 {
		return d
	}
	return defaultRunTimeout
}

// refuse sends a refusal. One without code is dropped: the stream has broken.
func (t *serverTask) refuse(r core.Refusal) {
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

// accept sends the verdict that the request runs. It is called before the first
// byte goes to the backend server.
func (t *serverTask) accept() {
	metrics.Add("admitted", 1)
	t.sendVerdict(&peerpb.Verdict{Admitted: true})
}

// sendVerdict sends the first verdict; a request has one.
func (t *serverTask) sendVerdict(v *peerpb.Verdict) {
	if t.verdict.Swap(true) {
		return
	}
	v.Load = t.agent.admission.load(time.Now())
	t.send(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: v}})
}

func (t *serverTask) send(f *peerpb.Frame) bool {
	if err := t.stream.Send(f); err != nil {
		t.log.Debug("send to entry failed", zap.Error(err))
		return false
	}
	return true
}

// backendRequest makes the request that goes to the backend server.
func (t *serverTask) backendRequest(ctx context.Context) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, t.head.Method, "http://"+t.agent.cfg.BackendAddress+t.head.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if len(t.body) > 0 {
		// Without GetBody, net/http cannot send the body a second time.
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
func (t *serverTask) call(r *http.Request, repeatable bool) (*http.Response, error) {
	if repeatable && t.service.Kind == core.ServiceModel {
		return t.agent.engine.Do(r, t.accept)
	}
	return t.agent.desk.Do(r, repeatable, t.accept)
}
