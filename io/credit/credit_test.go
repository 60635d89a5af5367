package credit_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
	"nutmegnotch/io/credit"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeConfig is a configuration that never changes.
type fakeConfig struct {
	core.Configuration
	stale atomic.Bool
}

func (c *fakeConfig) Current() core.Configuration { return c.Configuration }
func (c *fakeConfig) Confirmed(time.Time) bool    { return !c.stale.Load() }
func (c *fakeConfig) Changed() <-chan struct{}    { return nil }

// start runs n entries that all have sessions with each other.
func start(t *testing.T, n int, cfg *fakeConfig) ([]*credit.Limiter, []*peer.Node) {
	credits, nodes := make([]*credit.Limiter, n), make([]*peer.Node, n)
	for i := range n {
		cfg.EntrySet.Entries = append(cfg.EntrySet.Entries, core.EntryInfo{ID: fmt.Sprint("entry-", i)})
	}
	var served sync.WaitGroup
	up := make(chan struct{}, n*n)
	var addresses []string
	for i := range n {
		self := &peerpb.Hello{Id: fmt.Sprint("entry-", i), Role: core.RoleEntry, Incarnation: "one"}
		handlers := map[peerpb.StreamKind]peer.Handler{}
		nodes[i] = peer.New(peer.Config{Self: self, Handlers: handlers, OnSessionUp: func(*peer.Session) { up <- struct{}{} }})
		credits[i] = credit.New(credit.Config{Self: self.Id, Peers: nodes[i], Config: cfg})
		handlers[peerpb.StreamKind_STREAM_KIND_CREDIT] = credits[i].ServeStream
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served.Go(func() { _ = nodes[i].Serve(l) })
		for _, a := range addresses {
			nodes[i].KeepConnected(a)
		}
		addresses = append(addresses, l.Addr().String())
	}
	for range n * (n - 1) {
		<-up
	}
	t.Cleanup(func() {
		for i := range n {
			credits[i].Stop()
			nodes[i].Stop()
		}
		served.Wait()
	})
	return credits, nodes
}

var one = core.CreditAmount{Requests: 1, Tokens: 1}

// Guards against a contract that entries together exceed or can't use, against
// slots that are not given back or exceed the contract, and against an entry
// that works on a configuration that is not confirmed.
func TestContractOverEntries(t *testing.T) {
	cfg := &fakeConfig{Configuration: core.Configuration{Contracts: map[string]core.Contract{
		"rate":  {RequestsPerSecond: 100, TokensPerSecond: 1000, Concurrency: 1000},
		"slots": {RequestsPerSecond: 1000, TokensPerSecond: 1000, Concurrency: 7},
	}}}
	credits, nodes := start(t, 5, cfg)
	if _, r, ok := credits[0].Acquire(context.Background(), "rate", one); ok || !r.NotRun || r.RetryAfter <= 0 {
		t.Errorf("before the shares settle: got %v, %+v, want a refusal with Retry-After", ok, r)
	}
	time.Sleep(share.SettleTime + share.SlotLeaseTTL + 200*time.Millisecond)
	checkRate(t, credits, cfg.Contracts["rate"])
	checkSlots(t, credits)
	if _, r, ok := credits[1].Acquire(context.Background(), "rate", core.CreditAmount{Requests: 1, Tokens: 1e6}); ok || r.RetryAfter != 0 {
		t.Errorf("more than the contract ever gives: got %v, %+v, want a permanent refusal", ok, r)
	}
	nodes[4].Stop()
	start := time.Now()
	if _, r, ok := credits[4].Acquire(context.Background(), "unknown", one); ok || !r.NotRun {
		t.Errorf("organisation without contract: got %v, %+v, want a refusal", ok, r)
	}
	_, _, _ = credits[4].Acquire(context.Background(), "rate", one)
	if d := time.Since(start); d > 300*time.Millisecond {
		t.Errorf("answer of an entry without peers: took %v, want less than 300 ms", d)
	}
	cfg.stale.Store(true)
	if _, r, ok := credits[0].Acquire(context.Background(), "slots", one); ok || r.Code != core.CodeStaleConfig {
		t.Errorf("without confirmation: got %v, %+v, want code %q", ok, r, core.CodeStaleConfig)
	}
}

// checkRate sends twice the contract through two of the entries for 2 s.
func checkRate(t *testing.T, credits []*credit.Limiter, c core.Contract) {
	t.Helper()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for _, cr := range credits[:2] {
		wg.Go(func() {
			for time.Since(start) < 2*time.Second {
				if release, _, ok := cr.Acquire(context.Background(), "rate", one); ok {
					admitted.Add(1)
					release()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	limit := share.Burst(c).Requests + c.RequestsPerSecond*time.Since(start).Seconds()
	got := float64(admitted.Load())
	if got > limit {
		t.Errorf("admitted in 2 s: got %v, want at most %v", got, limit)
	}
	if want := 0.7 * c.RequestsPerSecond * 2; got < want {
		t.Errorf("admitted in 2 s: got %v, want at least %v", got, want)
	}
	t.Logf("admitted %v of at most %v", got, limit)
}

func checkSlots(t *testing.T, credits []*credit.Limiter) {
	t.Helper()
	for round := range 2 {
		var releases []func()
		for i := range 40 {
			release, r, ok := credits[i%len(credits)].Acquire(context.Background(), "slots", one)
			if ok {
				releases = append(releases, release)
			} else if r.Code != core.CodeConcurrency || !r.NotRun || r.RetryAfter <= 0 {
				t.Errorf("refusal: got %+v, want code %q with Retry-After", r, core.CodeConcurrency)
			}
		}
		if got := len(releases); got > 7 || got < 5 {
			t.Errorf("round %d: slots in use: got %d, want 5 to 7", round, got)
		}
		for _, release := range releases {
			release()
			release()
		}
		time.Sleep(3 * time.Second)
	}
}
