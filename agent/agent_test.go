package agent_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/engine"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSource is a configuration of one service in failure domain d1. Tests can drain
// the domain, withdraw the confirmation and stall the group.
type fakeSource struct {
	service     core.Service
	drained     atomic.Bool
	stalled     atomic.Bool
	unconfirmed atomic.Bool
}

func (s *fakeSource) Current() core.Configuration {
	state := core.DomainActive
	if s.drained.Load() {
		state = core.DomainDrained
	}
	return core.Configuration{
		Services: map[string]core.Service{s.service.Name: s.service},
		Domains:  map[string]core.Domain{"d1": {Name: "d1", State: state}},
	}
}

func (s *fakeSource) Confirmed(time.Time) bool { return !s.unconfirmed.Load() }
func (s *fakeSource) Changed() <-chan struct{} { return nil }

// fakeClaimer is a fake claim log in which the first claim of a key wins.
type fakeClaimer struct {
	lock     chan func()
	holders  map[string]*peerpb.Claim
	released map[string]bool
	// delay is the time between recording a claim and answering it.
	delay time.Duration
	// loseAnswers makes Claim record the claim and return an error.
	loseAnswers bool
	// onClaim is called after a claim was recorded and before it is answered.
	onClaim func()
}

func newFakeClaimer() *fakeClaimer {
	c := &fakeClaimer{lock: make(chan func(), 1), holders: map[string]*peerpb.Claim{}, released: map[string]bool{}}
	c.lock <- func() {}
	return c
}

// locked runs op with the maps locked.
func (c *fakeClaimer) locked(op func()) {
	token := <-c.lock
	defer func() { c.lock <- token }()
	op()
}

func (c *fakeClaimer) Claim(ctx context.Context, q *peerpb.Claim) (*peerpb.ClaimVerdict, error) {
	v := &peerpb.ClaimVerdict{ClaimId: q.ClaimId, Result: peerpb.ClaimVerdict_RESULT_WON}
	c.locked(func() {
		if h := c.holders[string(q.KeyHash)]; h != nil {
			v.Result = peerpb.ClaimVerdict_RESULT_LOST
			v.Holder = &peerpb.Holder{ClaimId: h.ClaimId, AgentId: h.AgentId, AgentIncarnation: h.AgentIncarnation, RequestHash: h.RequestHash}
			return
		}
		c.holders[string(q.KeyHash)] = q
	})
	if c.onClaim != nil {
		c.onClaim()
	}
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.loseAnswers {
		return nil, errors.New("answer lost")
	}
	return v, nil
}

func (c *fakeClaimer) Release(_ context.Context, q *peerpb.Claim) error {
	c.locked(func() {
		c.released[q.ClaimId] = true
		if h := c.holders[string(q.KeyHash)]; h != nil && h.ClaimId == q.ClaimId {
			delete(c.holders, string(q.KeyHash))
		}
	})
	return nil
}

// harness is an agent in front of an emulated backend server, and the node of an
// entry that is connected to the agent.
type harness struct {
	t       *testing.T
	agent   *agent.Agent
	entry   *peer.Node
	source  *fakeSource
	control chan *peerpb.Frame
	stop    context.CancelFunc
	stopped chan struct{}
	server  *httptest.Server
	// deaf makes the entry ignore that the agent is leaving.
	deaf atomic.Bool
}

var modelService = core.Service{
	Name: "model", Kind: core.ServiceModel, Models: []string{"m"}, Repeatable: true,
	ColdConcurrency: 4, ColdTokens: 1000, MaxConcurrency: 64, MemoryTokens: 16000,
	MaxBodyBytes: 1 << 20, MaxReplyBytes: 1 << 20, RequestTimeoutMS: 20000,
}

var deskService = core.Service{
	Name: "desk", Kind: core.ServicePlain, PathPrefix: "/bookings",
	ColdConcurrency: 16, ColdTokens: 16, MaxConcurrency: 64, MemoryTokens: 64,
	MaxBodyBytes: 1 << 20, MaxReplyBytes: 1 << 20, RequestTimeoutMS: 20000,
}

func startHarness(t *testing.T, service core.Service, backend http.Handler, edit func(*agent.Config)) *harness {
	t.Helper()
	server := httptest.NewServer(backend)
	r := &harness{t: t, source: &fakeSource{service: service}, control: make(chan *peerpb.Frame, 1024), server: server, stopped: make(chan struct{})}
	self := &peerpb.Hello{Id: "agent-1", Role: core.RoleAgent, Incarnation: "inc-1", FailureDomain: "d1", Service: service.Name}
	cfg := agent.Config{
		Self: self, Service: service.Name, Source: r.source, Claimer: newFakeClaimer(),
		BackendAddress: strings.TrimPrefix(server.URL, "http://"), ReportInterval: 20 * time.Millisecond,
	}
	if edit != nil {
		edit(&cfg)
	}
	r.agent = agent.New(cfg)
	node := peer.New(peer.Config{Self: self, Handlers: r.agent.Handlers(), OnControl: r.agent.Control, OnSessionUp: r.agent.SessionUp})
	r.agent.Attach(node)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = node.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { defer close(r.stopped); _ = r.agent.Run(ctx) }()
	r.entry = peer.New(peer.Config{
		Self: &peerpb.Hello{Id: "entry-1", Role: core.RoleEntry},
		OnControl: func(s *peer.Session, f *peerpb.Frame) {
			if l := f.GetLeaving(); l != nil && !r.deaf.Load() {
				s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_LeavingAck{LeavingAck: &peerpb.LeavingAck{Incarnation: l.Incarnation}}})
			}
			select {
			case r.control <- f:
			default:
			}
		},
	})
	r.entry.KeepConnected(l.Addr().String())
	t.Cleanup(func() {
		cancel()
		r.entry.Stop()
		<-r.stopped
		node.Stop()
		<-served
		server.CloseClientConnections()
		server.Close()
	})
	r.waitFor("agent ready", func() bool { return r.agent.Ready() && r.entry.Session("agent-1") != nil })
	return r
}

func (r *harness) waitFor(what string, cond func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	r.t.Fatalf("timed out after 10 s waiting for %s", what)
}

// waitControlFrame waits for a control frame for which pick returns true.
func (r *harness) waitControlFrame(what string, pick func(*peerpb.Frame) bool) *peerpb.Frame {
	r.t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case f := <-r.control:
			if pick(f) {
				return f
			}
		case <-timeout:
			r.t.Fatalf("timed out after 10 s waiting for control frame %s", what)
		}
	}
}

func modelHead(id string, tokens int64) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		RequestId: id, Organisation: "org", Service: "model", Model: "m", Method: http.MethodPost,
		Path: "/v1/completions", Repeatable: true, PromptTokens: 10, OutputTokens: tokens,
		Weight: 1, DeadlineInMs: 20000, Fingerprint: 7,
	}
}

func modelBody(prompt string, tokens int64) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
}

func bookingHead(id, key string) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		RequestId: id, Organisation: "org", Service: "desk", Method: http.MethodPost, Path: "/bookings",
		IdempotencyKey: key, RequestHash: []byte("h"), Weight: 1, DeadlineInMs: 20000, Fingerprint: 9,
	}
}

// open opens a request stream and sends a head, its body and the first credit.
func (r *harness) open(head *peerpb.RequestHead, body string, credit int64) *peer.Stream {
	r.t.Helper()
	s, err := r.entry.Open("agent-1", peerpb.StreamKind_STREAM_KIND_REQUEST, head.RequestId)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = s.SetDeadline(time.Now().Add(20 * time.Second))
	send(r.t, s, &peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: head}})
	send(r.t, s, &peerpb.Frame{Body: &peerpb.Frame_BodyChunk{BodyChunk: &peerpb.BodyChunk{Data: []byte(body), Last: true}}})
	if credit > 0 {
		sendCredit(r.t, s, credit)
	}
	return s
}

func send(t *testing.T, s *peer.Stream, f *peerpb.Frame) {
	t.Helper()
	if err := s.Send(f); err != nil {
		t.Fatal(err)
	}
}

func sendCredit(t *testing.T, s *peer.Stream, n int64) {
	t.Helper()
	send(t, s, &peerpb.Frame{Body: &peerpb.Frame_ReplyCredit{ReplyCredit: &peerpb.ReplyCredit{Bytes: n}}})
}

// result holds the frames that an entry received on a request stream.
type result struct {
	verdict *peerpb.Verdict
	head    *peerpb.ReplyHead
	body    string
	end     *peerpb.ReplyEnd
	err     error
}

// read receives frames until the end of the reply, a refusal or an error.
func read(s *peer.Stream) result {
	var r result
	for r.end == nil && (r.verdict == nil || r.verdict.Admitted) {
		f, err := s.Receive()
		if err != nil {
			r.err = err
			return r
		}
		switch b := f.Body.(type) {
		case *peerpb.Frame_Verdict:
			r.verdict = b.Verdict
		case *peerpb.Frame_ReplyHead:
			r.head = b.ReplyHead
		case *peerpb.Frame_ReplyChunk:
			r.body += string(b.ReplyChunk.Data)
		case *peerpb.Frame_ReplyEnd:
			r.end = b.ReplyEnd
		}
	}
	return r
}

// do sends one request and reads its result.
func (r *harness) do(head *peerpb.RequestHead, body string) result {
	r.t.Helper()
	s := r.open(head, body, 1<<20)
	defer s.Close()
	return read(s)
}

func newEngine(t *testing.T, edit func(*engine.Options)) *engine.Engine {
	o := engine.Options{
		TokensPerSecond: 1000, MemoryTokens: 16000, ColdTokens: 2000, ColdFactor: 1,
		RestartTime: 300 * time.Millisecond, CrashMarker: "CRASH",
	}
	if edit != nil {
		edit(&o)
	}
	e := engine.New(o)
	t.Cleanup(e.Close)
	return e
}

func newDesk(t *testing.T) *desk.Desk {
	d := desk.New()
	t.Cleanup(d.Close)
	return d
}

// Guards against an agent without requests that exits before the entries know that it
// is leaving, so that the outcome of a request on its way is lost.
func TestLeavingAgentWaitsForEntries(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprintf("deaf entry %t", deaf), func(t *testing.T) {
			r := startHarness(t, deskService, newDesk(t), nil)
			r.deaf.Store(deaf)
			left := time.Now()
			r.agent.Leave()
			if deaf {
				time.Sleep(500 * time.Millisecond)
				if got := r.do(bookingHead("q", "k"), "{}"); core.Code(got.verdict.GetCode()) != core.CodeLeaving || !got.verdict.GetNotRun() {
					t.Errorf("request at the leaving agent: got %+v, want a refusal as not run", got.verdict)
				}
			}
			<-r.agent.Done()
			if took := time.Since(left); (took > 2*time.Second) != deaf || took > 4*time.Second {
				t.Errorf("the agent stopped after %v, want about 3s with a deaf entry and at once without", took)
			}
		})
	}
}
