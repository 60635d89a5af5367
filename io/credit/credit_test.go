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

// fakeConfig is a core.ConfigSource whose configuration never changes. It is
// confirmed unless stale is set.
type fakeConfig struct {
	core.Configuration
	stale atomic.Bool
}

func (c *fakeConfig) Current() core.Configuration { return c.Configuration }
func (c *fakeConfig) Confirmed(time.Time) bool    { return !c.stale.Load() }
func (c *fakeConfig) Changed() <-chan struct{}    { return nil }

// startEntries starts n entries and waits until each has a session with each
// other.
func startEntries(t *testing.T, n int, cfg *fakeConfig) ([]*credit.Limiter, []*peer.Node) {
	limiters, nodes := make([]*credit.Limiter, n), make([]*peer.Node, n)
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
		limiters[i] = credit.New(credit.Config{Self: self.Id, Peers: nodes[i], Config: cfg})
		handlers[peerpb.StreamKind_STREAM_KIND_CREDIT] = limiters[i].ServeStream
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
			limiters[i].Stop()
			nodes[i].Stop()
		}
		served.Wait()
	})
	return limiters, nodes
}

var oneRequest = core.CreditAmount{Requests: 1, Tokens: 1}

// Guards against entries that together exceed a contract or cannot use it, against
// slots that are not returned or exceed the contract, against an entry without
// peers that waits too long for credit, and against an entry that admits requests
// with a configuration that is not confirmed.
func TestContractOverEntries(t *testing.T) {
	cfg := &fakeConfig{Configuration: core.Configuration{Contracts: map[string]core.Contract{
		"rate":  {RequestsPerSecond: 100, TokensPerSecond: 1000, Concurrency: 1000},
		"slots": {RequestsPerSecond: 1000, TokensPerSecond: 1000, Concurrency: 7},
	}}}
	limiters, nodes := startEntries(t, 5, cfg)
	if _, r, ok := limiters[0].Acquire(context.Background(), "rate", oneRequest); ok || !r.NotRun || r.RetryAfter <= 0 {
		t.Errorf("before the shares settle: got %v, %+v, want a refusal with Retry-After", ok, r)
	}
	time.Sleep(share.SettleTime + share.SlotLeaseTTL + 200*time.Millisecond)
	checkRate(t, limiters, cfg.Contracts["rate"])
	checkSlots(t, limiters)
	if _, r, ok := limiters[1].Acquire(context.Background(), "rate", core.CreditAmount{Requests: 1, Tokens: 1e6}); ok || r.RetryAfter != 0 {
		t.Errorf("more than the contract ever gives: got %v, %+v, want a permanent refusal", ok, r)
	}
	nodes[4].Stop()
	start := time.Now()
	if _, r, ok := limiters[4].Acquire(context.Background(), "unknown", oneRequest); ok || !r.NotRun {
		t.Errorf("organisation without contract: got %v, %+v, want a refusal", ok, r)
	}
	_, _, _ = limiters[4].Acquire(context.Background(), "rate", oneRequest)
	if d := time.Since(start); d > 300*time.Millisecond {
		t.Errorf("answer of an entry without peers: took %v, want less than 300 ms", d)
	}
	cfg.stale.Store(true)
	if _, r, ok := limiters[0].Acquire(context.Background(), "slots", oneRequest); ok || r.Code != core.CodeStaleConfig {
		t.Errorf("without confirmation: got %v, %+v, want code %q", ok, r, core.CodeStaleConfig)
	}
}

// checkRate sends requests at up to twice the rate of the contract through two of
// the entries for 2 s. The admitted number must be within the contract and at least
// 70 % of it.
func checkRate(t *testing.T, limiters []*credit.Limiter, c core.Contract) {
	t.Helper()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for _, limiter := range limiters[:2] {
		wg.Go(func() {
			for time.Since(start) < 2*time.Second {
				if release, _, ok := limiter.Acquire(context.Background(), "rate", oneRequest); ok {
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

// checkSlots takes slots through all entries until they are in use, twice. Each slot
// is released twice, which must return it once.
func checkSlots(t *testing.T, limiters []*credit.Limiter) {
	t.Helper()
	for round := range 2 {
		var releases []func()
		for i := range 40 {
			release, r, ok := limiters[i%len(limiters)].Acquire(context.Background(), "slots", oneRequest)
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
