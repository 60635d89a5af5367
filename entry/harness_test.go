package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/entry"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSource is a core.ConfigSource whose configuration tests can change.
type fakeSource struct {
	cfg   atomic.Pointer[core.Configuration]
	stale atomic.Bool
}

func (s *fakeSource) Current() core.Configuration { return *s.cfg.Load() }
func (s *fakeSource) Confirmed(time.Time) bool    { return !s.stale.Load() }
func (s *fakeSource) Changed() <-chan struct{}    { return nil }

func (s *fakeSource) drain(domains ...string) {
	cfg := s.Current()
	cfg.Domains = map[string]core.Domain{}
	for _, d := range domains {
		cfg.Domains[d] = core.Domain{Name: d, State: core.DomainDrained}
	}
	s.cfg.Store(&cfg)
}

func newFakeSource() *fakeSource {
	services := []string{"text", "desk"}
	contract := func(org string) core.Contract {
		return core.Contract{Organisation: org, Services: services, ReplyTimeMS: 5000, ReplyMemoryBytes: 1 << 20, Weight: 1}
	}
	s := &fakeSource{}
	s.cfg.Store(&core.Configuration{
		Contracts:        map[string]core.Contract{"trails": contract("trails"), "other": contract("other")},
		KeyOrganisations: map[string]string{caller.KeyHash("k1"): "trails", caller.KeyHash("k2"): "other"},
		Services: map[string]core.Service{
			"text": {Name: "text", Kind: core.ServiceModel, Models: []string{"m"}, Repeatable: true, MaxOutputTokens: 100,
				MaxBodyBytes: 1 << 16, BytesPerToken: 1000, MaxReplyBytes: 100_000},
			"desk": {Name: "desk", Kind: core.ServicePlain, PathPrefix: "/desk", MaxBodyBytes: 1 << 16, MaxReplyBytes: 8 << 10},
		},
	})
	return s
}

type noLimits struct{}

func (noLimits) Acquire(context.Context, core.Contract, core.Request) (func(), core.Refusal, bool) {
	return func() {}, core.Refusal{}, true
}

// requestStream is one request stream on the side of the fake agent.
type requestStream struct {
	s    *peer.Stream
	head *peerpb.RequestHead
}

func (c requestStream) verdict(v *peerpb.Verdict) {
	_ = c.s.Send(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: v}})
}

func (c requestStream) replyHead(id string) {
	_ = c.s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: &peerpb.ReplyHead{RequestId: id, Status: 200}}})
}

func (c requestStream) chunk(id string, data []byte) {
	_ = c.s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyChunk{ReplyChunk: &peerpb.ReplyChunk{RequestId: id, Data: data}}})
}

func (c requestStream) end(e *peerpb.ReplyEnd) {
	_ = c.s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyEnd{ReplyEnd: e}})
}

// readBody reads the body frames and reports whether the body was complete.
func (c requestStream) readBody() bool {
	for {
		f, err := c.s.Receive()
		if err != nil {
			return false
		}
		if f.GetBodyChunk().GetLast() {
			return true
		}
	}
}

// answer admits the request and sends a complete reply as the entry's credit
// permits.
func (c requestStream) answer(data []byte) {
	c.readBody()
	c.verdict(&peerpb.Verdict{Admitted: true})
	c.replyHead(c.head.RequestId)
	total := int64(len(data))
	for len(data) > 0 {
		f, err := c.s.Receive()
		if err != nil || f.GetCancel() != nil {
			return
		}
		n := min(int64(len(data)), f.GetReplyCredit().GetBytes())
		c.chunk(c.head.RequestId, data[:n])
		data = data[n:]
	}
	c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: total})
}

// fakeAgent is an agent that serves each request stream with the serve function
// and each lookup with the lookup result found.
type fakeAgent struct {
	host   core.Host
	serve  func(c requestStream)
	found  atomic.Pointer[peerpb.LookupResult]
	runs   atomic.Int64
	served atomic.Int64
	node   *peer.Node
}

func (a *fakeAgent) request(_ context.Context, s *peer.Stream) {
	f, err := s.Receive()
	if err != nil || f.GetRequestHead() == nil {
		return
	}
	a.runs.Add(1)
	a.serve(requestStream{s, f.GetRequestHead()})
	a.served.Add(1)
}

func (a *fakeAgent) lookup(_ context.Context, s *peer.Stream) {
	if _, err := s.Receive(); err == nil {
		_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_LookupResult{LookupResult: a.found.Load()}})
	}
}

func (a *fakeAgent) start(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.host.Address, a.host.Role, a.host.State = l.Addr().String(), core.RoleAgent, core.HostLive
	a.node = peer.New(peer.Config{
		Self: &peerpb.Hello{Id: a.host.ID, Role: core.RoleAgent, Incarnation: "1", Address: a.host.Address,
			Service: a.host.Service, FailureDomain: a.host.Domain},
		Handlers: map[peerpb.StreamKind]peer.Handler{
			peerpb.StreamKind_STREAM_KIND_REQUEST: a.request, peerpb.StreamKind_STREAM_KIND_LOOKUP: a.lookup},
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = a.node.Serve(l) }()
	reports := make(chan struct{})
	go func() { defer close(reports); a.report() }()
	t.Cleanup(func() { a.node.Stop(); <-done; <-reports })
}

func (a *fakeAgent) report() {
	for seq := uint64(1); ; seq++ {
		l := &peerpb.Load{AgentId: a.host.ID, Incarnation: "1", Service: a.host.Service, FailureDomain: a.host.Domain, State: "ready",
			Models: []string{"m"}, LimitTokens: 1e6, LimitCount: 1000, Seq: seq}
		if seq%5 != 0 {
			l = &peerpb.Load{Brief: true, State: "ready", LimitTokens: 1e6, LimitCount: 1000, Seq: seq}
		}
		a.node.Broadcast(core.RoleEntry, &peerpb.Frame{Body: &peerpb.Frame_Load{Load: l}})
		select {
		case <-time.After(20 * time.Millisecond):
		case <-a.node.Done():
			return
		}
	}
}

type hostList []core.Host

func (h hostList) Hosts(context.Context) ([]core.Host, error) { return h, nil }

// harness is one entry with fake agents.
type harness struct {
	t    *testing.T
	e    *entry.Entry
	src  *fakeSource
	url  string
	stop context.CancelFunc
	err  chan error
}

func newHarness(t *testing.T, change func(*entry.Config), agents ...*fakeAgent) *harness {
	t.Helper()
	g := &harness{t: t, src: newFakeSource(), err: make(chan error, 1)}
	var hosts hostList
	for _, a := range agents {
		a.start(t)
		hosts = append(hosts, a.host)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := &peerpb.Hello{Id: "e1", Role: core.RoleEntry, FailureDomain: "d1"}
	cfg := entry.Config{Self: self, Listener: l, Source: g.src, Hosts: hosts, Limiter: noLimits{},
		DrainDelay: 50 * time.Millisecond, HostListInterval: 20 * time.Millisecond, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	if g.e, err = entry.New(cfg); err != nil {
		t.Fatal(err)
	}
	n := peer.New(peer.Config{Self: self, OnControl: g.e.Control, OnSessionUp: g.e.SessionUp, OnSessionDown: g.e.SessionDown})
	g.e.Attach(n)
	ctx, cancel := context.WithCancel(context.Background())
	g.stop, g.url = cancel, "http://"+l.Addr().String()
	go func() { g.err <- g.e.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-g.e.Done(); n.Stop(); http.DefaultClient.CloseIdleConnections() })
	waitFor(t, "agents are ready", func() bool { return g.e.Status().AgentsReady == len(agents) })
	return g
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 10 s waiting until %s", what)
		}
	}
}

// request returns a request for the plain service, or for the model service if
// idempotencyKey is empty.
func (g *harness) request(key, idempotencyKey string) *http.Request {
	g.t.Helper()
	path, body := "/v1/completions", `{"model":"m","prompt":"How much water do four mules need?","stream":true}`
	if idempotencyKey != "" {
		path, body = "/desk/book", "deposit"
	}
	req, err := http.NewRequest(http.MethodPost, g.url+path, bytes.NewBufferString(body))
	if err != nil {
		g.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return req
}

// refusal is the error in the body of a refusal.
type refusal struct {
	Code           string `json:"code"`
	NotRun         bool   `json:"not_run"`
	OutcomeUnknown bool   `json:"outcome_unknown"`
}

// ask sends a request and returns the status, the body and the refusal of the
// response.
func (g *harness) ask(key, idempotencyKey string) (int, string, refusal) {
	g.t.Helper()
	resp, err := http.DefaultClient.Do(g.request(key, idempotencyKey))
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		g.t.Fatal(fmt.Errorf("read reply: %w", err))
	}
	var body struct {
		Error refusal `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	return resp.StatusCode, string(data), body.Error
}

func newFakeAgent(id, service, domain string, serve func(requestStream)) *fakeAgent {
	return &fakeAgent{host: core.Host{ID: id, Service: service, Domain: domain}, serve: serve}
}
