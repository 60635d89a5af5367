package claimlog_test

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
	"nutmegnotch/core/claim"
	"nutmegnotch/io/claimlog"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	won         = peerpb.ClaimVerdict_RESULT_WON
	lost        = peerpb.ClaimVerdict_RESULT_LOST
	void        = peerpb.ClaimVerdict_RESULT_VOID
	notAppended = peerpb.ClaimVerdict_RESULT_NOT_APPENDED
	unknown     = peerpb.ClaimVerdict_RESULT_UNKNOWN
)

// fakeLog is an in-memory log with faults. loseAnswers and rateLimited count down
// the appends that take effect but return an error, and those that are refused by
// the rate limit.
type fakeLog struct {
	mu          sync.Mutex
	streams     map[string][]core.Record
	appended    chan struct{}
	delay       time.Duration
	loseAnswers atomic.Int64
	rateLimited atomic.Int64
	down        atomic.Bool
	noReads     atomic.Bool
	appends     atomic.Int64
	recordAge   time.Duration
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]core.Record{}, appended: make(chan struct{})}
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	time.Sleep(l.delay)
	if l.down.Load() {
		return 0, core.ErrUnavailable
	}
	if l.rateLimited.Add(-1) >= 0 {
		return 0, core.ErrRateLimited
	}
	l.appends.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], core.Record{Offset: n, Time: time.Now().Add(-l.recordAge), Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseAnswers.Add(-1) >= 0 {
		return 0, core.ErrUnavailable
	}
	return n, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (core.Batch, error) {
	timeout := time.After(wait)
	for {
		if l.down.Load() || l.noReads.Load() {
			return core.Batch{}, core.ErrUnavailable
		}
		l.mu.Lock()
		all, appended := l.streams[stream], l.appended
		l.mu.Unlock()
		b := core.Batch{NextOffset: int64(len(all))}
		if from < b.NextOffset {
			b.Records = all[from:min(from+int64(limit), b.NextOffset)]
		}
		if len(b.Records) > 0 || wait == 0 {
			return b, nil
		}
		select {
		case <-appended:
		case <-timeout:
			return b, nil
		case <-ctx.Done():
			return core.Batch{}, ctx.Err()
		}
	}
}

// fakeConfig is a configuration that never changes.
type fakeConfig core.Configuration

func (c fakeConfig) Current() core.Configuration { return core.Configuration(c) }
func (c fakeConfig) Confirmed(time.Time) bool    { return true }
func (c fakeConfig) Changed() <-chan struct{}    { return nil }

// harness runs entries and one agent over loopback.
type harness struct {
	log      *fakeLog
	batchers map[string]*claimlog.Batcher
	nodes    map[string]*peer.Node
	claimer  *claimlog.Claimer
	config   fakeConfig
}

func newHarness(t testing.TB, entries, partitions int) *harness {
	return newHarnessWithLog(t, newFakeLog(), entries, partitions)
}

func newHarnessWithLog(t testing.TB, log *fakeLog, entries, partitions int) *harness {
	b := &harness{log: log, batchers: map[string]*claimlog.Batcher{}, nodes: map[string]*peer.Node{}}
	for i := range entries {
		b.config.EntrySet.Entries = append(b.config.EntrySet.Entries, core.EntryInfo{ID: fmt.Sprint("entry-", i)})
	}
	self := &peerpb.Hello{Id: "agent", Role: core.RoleAgent, Incarnation: "one", Address: "127.0.0.1:1"}
	up := make(chan struct{}, entries)
	agent := peer.New(peer.Config{Self: self, OnSessionUp: func(*peer.Session) { up <- struct{}{} }})
	var served sync.WaitGroup
	for _, e := range b.config.EntrySet.Entries {
		batcher := claimlog.NewBatcher(claimlog.BatcherConfig{
			Self: e.ID, Log: b.log, Config: b.config, Partitions: partitions, Window: time.Hour,
			VerdictTimeout: time.Second, IdleTimeout: 100 * time.Millisecond,
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := peer.New(peer.Config{Self: &peerpb.Hello{Id: e.ID, Role: core.RoleEntry}, Handlers: map[peerpb.StreamKind]peer.Handler{
			peerpb.StreamKind_STREAM_KIND_CLAIM: batcher.ServeStream,
		}})
		served.Go(func() { _ = n.Serve(l) })
		agent.KeepConnected(l.Addr().String())
		b.batchers[e.ID], b.nodes[e.ID] = batcher, n
		t.Cleanup(func() { batcher.Stop(); n.Stop() })
	}
	b.claimer = claimlog.NewClaimer(claimlog.ClaimerConfig{
		Self: self, Peers: agent, Config: b.config, Partitions: partitions, Window: time.Hour, AttemptTimeout: 2 * time.Second,
	})
	t.Cleanup(func() { b.claimer.Stop(); agent.Stop() })
	for range entries {
		<-up
	}
	for n := range partitions {
		first := claim.Batchers(n, b.config.EntrySet, 1)[0].ID
		eventually(t, "partition is ready", func() bool { return b.batchers[first].Ready(context.Background(), n) })
	}
	return b
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not within 5 s: %s", what)
}

func (b *harness) newClaim(key string) *peerpb.Claim {
	return b.claimer.NewClaim("org", "desk", key, make([]byte, claim.HashBytes), time.Now().Add(time.Second))
}

func (b *harness) claim(key string) *peerpb.ClaimVerdict {
	return b.claimer.Claim(context.Background(), b.newClaim(key))
}

func wantResult(t *testing.T, v *peerpb.ClaimVerdict, r peerpb.ClaimVerdict_Result) {
	t.Helper()
	if v.GetResult() != r {
		t.Fatalf("verdict: got %v, want %v", v, r)
	}
}

// Guards against two winners of one key, a lost claim without a holder, and a key
// that stays claimed after its release.
func TestClaimAndRelease(t *testing.T) {
	b := newHarness(t, 2, 4)
	c := b.newClaim("k")
	wantResult(t, b.claimer.Claim(context.Background(), c), won)
	wantResult(t, b.claimer.Claim(context.Background(), c), won)
	v := b.claim("k")
	wantResult(t, v, lost)
	if got := v.GetHolder(); got.GetClaimId() != c.ClaimId || got.GetAgentIncarnation() != "one" || got.GetAgentAddress() == "" {
		t.Errorf("holder: got %v, want claim %s", got, c.ClaimId)
	}
	n := int32(claim.Partition(claim.Hash(c.KeyHash), 4))
	r := &peerpb.ReleaseRequest{Partition: n, ClaimId: c.ClaimId}
	first := b.batchers[claim.Batchers(int(n), b.config.EntrySet, 1)[0].ID]
	wantResult(t, first.Release(context.Background(), r, "agent", "two"), notAppended)
	b.claimer.Abandon(c)
	eventually(t, "release is read back", func() bool { return b.claimer.Abandoned() == 0 })
	wantResult(t, b.claimer.Claim(context.Background(), c), void)
	wantResult(t, b.claim("k"), won)
}

// Guards against wrong verdicts when the responses to appends are lost, and against
// claims that are refused at the first append that meets the rate limit.
func TestLostAnswersAndRateLimit(t *testing.T) {
	b := newHarness(t, 1, 1)
	b.log.loseAnswers.Store(3)
	wantResult(t, b.claim("a"), won)
	wantResult(t, b.claim("a"), lost)
	b.log.loseAnswers.Store(0)
	b.log.rateLimited.Store(3)
	wantResult(t, b.claim("b"), won)
	b.log.rateLimited.Store(1 << 30)
	wantResult(t, b.claim("c"), notAppended)
	b.log.rateLimited.Store(0)
	wantResult(t, b.claim("c"), won)
}

// Guards against claims that wait during an outage of the log, and against a claim
// with an unknown verdict that is never released.
func TestOutage(t *testing.T) {
	b := newHarness(t, 2, 1)
	b.log.loseAnswers.Store(1 << 30)
	b.log.noReads.Store(true)
	wantResult(t, b.claim("k"), unknown)
	b.log.down.Store(true)
	eventually(t, "refusal at once", func() bool {
		start := time.Now()
		return b.claim("other").GetResult() == notAppended && time.Since(start) < 100*time.Millisecond
	})
	b.log.loseAnswers.Store(0)
	b.log.noReads.Store(false)
	b.log.down.Store(false)
	eventually(t, "release after the outage", func() bool { return b.claimer.Abandoned() == 0 })
	wantResult(t, b.claim("k"), won)
}

// Guards against two winners when two batchers append concurrently, and against
// batchers that return different verdicts of the same claim.
func TestTwoBatchers(t *testing.T) {
	b := newHarness(t, 2, 1)
	b.log.loseAnswers.Store(20)
	for _, batcher := range b.batchers {
		batcher.Claim(context.Background(), 0, b.newClaim("start"))
		eventually(t, "both are ready", func() bool { return batcher.Ready(context.Background(), 0) })
	}
	var winners [10]atomic.Int64
	var wg sync.WaitGroup
	for i := range 100 {
		for _, batcher := range b.batchers {
			wg.Go(func() {
				c := b.newClaim(fmt.Sprint(i % len(winners)))
				v := batcher.Claim(context.Background(), 0, c)
				if v.GetResult() == won {
					winners[i%len(winners)].Add(1)
				}
				for _, other := range b.batchers {
					if got := other.Claim(context.Background(), 0, c); v.GetResult() == won && got.GetResult() != won {
						t.Errorf("other batcher: got %v, want %v", got, v)
					}
				}
			})
		}
	}
	wg.Wait()
	for i := range winners {
		if got := winners[i].Load(); got != 1 {
			t.Errorf("winners of key %d: got %d, want 1", i, got)
		}
	}
}

// Guards against an agent that does not fail over when the preferred batcher has
// stopped, and against partitions that are read although nobody requests them.
func TestFailoverAndIdle(t *testing.T) {
	b := newHarness(t, 2, 1)
	order := claim.Batchers(0, b.config.EntrySet, 2)
	b.nodes[order[0].ID].Stop()
	eventually(t, "next entry takes over", func() bool { return b.claim("k").GetResult() == won })
	next := b.batchers[order[1].ID]
	if !next.Ready(context.Background(), 0) {
		t.Error("next entry does not read the partition after a request for it")
	}
	eventually(t, "reading stops", func() bool { return !next.Ready(context.Background(), 0) })
}

// Guards against a new batcher that starts reading after the claim of a key that is
// still claimed, or that keeps keys whose window has passed.
func TestStartInsideStream(t *testing.T) {
	log := newFakeLog()
	write := func(n int, key string) {
		k := claim.KeyHash("org", "desk", key)
		data, err := claim.Encode([]claim.Op{{Op: claim.OpClaim, ClaimID: claim.ID{1, byte(n >> 8), byte(n)}, KeyHash: k, AgentID: "a", AgentIncarnation: "i", AgentAddress: "x"}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(context.Background(), claim.Stream(0), data); err != nil {
			t.Fatal(err)
		}
	}
	for i, age := range []time.Duration{3 * time.Hour, 50 * time.Minute} {
		log.recordAge = age
		for j := range 1500 {
			write(1500*i+j, fmt.Sprint(age, j))
		}
	}
	log.recordAge = 0
	write(3000, "recent")
	b := newHarnessWithLog(t, log, 1, 1)
	wantResult(t, b.claim("recent"), lost)
	wantResult(t, b.claim(fmt.Sprint(50*time.Minute, 0)), lost)
	wantResult(t, b.claim(fmt.Sprint(3*time.Hour, 1499)), won)
}

func BenchmarkClaims(b *testing.B) {
	for _, perSecond := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			w := newHarness(b, 1, 1)
			w.log.delay = 5 * time.Millisecond
			var total, worst atomic.Int64
			var wg sync.WaitGroup
			tick := time.NewTicker(time.Second / time.Duration(perSecond))
			defer tick.Stop()
			n := 0
			for b.Loop() {
				<-tick.C
				n++
				wg.Go(func() {
					start := time.Now()
					if v := w.claim(fmt.Sprint("key ", n, start.UnixNano())); v.GetResult() != won {
						b.Errorf("verdict: got %v, want won", v)
					}
					d := time.Since(start).Microseconds()
					total.Add(d)
					for old := worst.Load(); d > old && !worst.CompareAndSwap(old, d); old = worst.Load() {
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(n)/float64(w.log.appends.Load()), "claims/append")
			b.ReportMetric(float64(total.Load())/float64(n)/1000, "ms/claim")
			b.ReportMetric(float64(worst.Load())/1000, "ms-worst")
		})
	}
}

// BenchmarkReplay measures how long a batcher takes to become ready when the window
// contains 400,000 claims in records of 100.
func BenchmarkReplay(b *testing.B) {
	log := newFakeLog()
	config := fakeConfig{EntrySet: core.EntrySet{Entries: []core.EntryInfo{{ID: "e"}}}}
	for i := range 4000 {
		var ops []claim.Op
		for j := range 100 {
			key := claim.KeyHash("o", "s", fmt.Sprint(i, j))
			ops = append(ops, claim.Op{Op: claim.OpClaim, ClaimID: claim.ID(key), KeyHash: key, AgentID: "a", AgentIncarnation: "i", AgentAddress: "x"})
		}
		data, err := claim.Encode(ops)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := log.Append(context.Background(), claim.Stream(0), data); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		batcher := claimlog.NewBatcher(claimlog.BatcherConfig{Self: "e", Log: log, Config: config, Partitions: 1, Window: time.Hour})
		for !batcher.Ready(context.Background(), 0) {
			time.Sleep(time.Millisecond)
		}
		batcher.Stop()
	}
}
