package agent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/emulator/desk"
	"nutmegnotch/io/peer/peerpb"
)

type hostList []core.Host

// blockedHosts is a host list that answers once unblock is closed.
type blockedHosts struct {
	list    hostList
	unblock chan struct{}
}

func (g blockedHosts) Hosts(ctx context.Context) ([]core.Host, error) {
	select {
	case <-g.unblock:
		return g.list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *harness) lookup(claimID, incarnation string) *peerpb.LookupResult {
	r.t.Helper()
	s, err := r.entry.Open("agent-1", peerpb.StreamKind_STREAM_KIND_LOOKUP, "l")
	if err != nil {
		r.t.Fatal(err)
	}
	defer s.Close()
	send(r.t, s, &peerpb.Frame{Body: &peerpb.Frame_ReplyLookup{ReplyLookup: &peerpb.ReplyLookup{ClaimId: claimID, AgentIncarnation: incarnation}}})
	f, err := s.Receive()
	if err != nil {
		r.t.Fatal(err)
	}
	return f.GetLookupResult()
}

func bookingRuns(d *desk.Desk, key string) int {
	n := 0
	for _, run := range d.Runs() {
		if run.Kind == desk.KindBooking && run.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// Guards against two runs of one idempotency key when the log answers late or
// its answers are lost.
func TestAtMostOneRunPerKey(t *testing.T) {
	tests := []struct {
		name string
		edit func(*fakeClaimer)
	}{
		{"answers in time", func(*fakeClaimer) {}},
		{"answers lost", func(c *fakeClaimer) { c.loseAnswers = true }},
		{"answers late", func(c *fakeClaimer) { c.delay = 300 * time.Millisecond }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(t)
			c := newFakeClaimer()
			tt.edit(c)
			r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer, cfg.ClaimTimeout = c, 100*time.Millisecond })
			var wg sync.WaitGroup
			results := make([]result, 12)
			for i := range results {
				s := r.open(bookingHead(fmt.Sprintf("q%d", i), "k"), "{}", 1<<20)
				wg.Go(func() { defer s.Close(); results[i] = read(s) })
			}
			wg.Wait()
			complete := 0
			for i, res := range results {
				if res.end.GetComplete() {
					complete++
				} else if res.verdict.GetHolder() == nil && !res.verdict.GetNotRun() {
					t.Errorf("request %d: got %+v, want a holder or not run", i, res.verdict)
				}
			}
			if n := bookingRuns(d, "k"); n > 1 || n != complete {
				t.Errorf("runs of the key: got %d with %d complete replies, want equal and at most 1", n, complete)
			}
		})
	}
}

// Guards against a run after the agent answered "not run" because the verdict on
// its claim was lost, and against a key that stays claimed afterwards.
func TestLostVerdictIsReleased(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	c.loseAnswers = true
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	got := r.do(bookingHead("q1", "k"), "{}")
	if !got.verdict.GetNotRun() || got.verdict.GetRetryAfterMs() <= 0 {
		t.Errorf("verdict: got %+v, want not run with a retry delay", got.verdict)
	}
	r.waitFor("release", func() bool {
		n := 0
		c.locked(func() { n = len(c.released) })
		return n == 1
	})
	c.locked(func() {
		for id := range c.released {
			if st := r.lookup(id, "inc-1").State; st != peerpb.LookupResult_STATE_ABANDONED {
				t.Errorf("lookup: got %v, want abandoned", st)
			}
		}
	})
	c.loseAnswers = false
	if again := r.do(bookingHead("q2", "k"), "{}"); !again.end.GetComplete() {
		t.Errorf("repeat after the release: got %+v, want a reply", again.verdict)
	}
	if n := bookingRuns(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}

// Guards against a run in a failure domain that was drained while the agent
// waited for its claim, for example because its process was paused.
func TestPausedBetweenClaimAndRun(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	c.onClaim = func() { r.source.drained.Store(true) }
	got := r.do(bookingHead("q1", "k"), "{}")
	if got.verdict.GetCode() != string(core.CodeDrained) || !got.verdict.GetNotRun() {
		t.Errorf("verdict: got %+v, want not run, drained", got.verdict)
	}
	if n := len(d.Runs()); n != 0 {
		t.Errorf("runs: got %d, want 0", n)
	}
	r.waitFor("release", func() bool {
		n := 0
		c.locked(func() { n = len(c.released) })
		return n == 1
	})
}

// Guards against running a claim so old that the log may have forgotten it, for
// example because the agent's process was paused.
func TestOldClaimIsNotRun(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer, cfg.StoredReplyTTL = c, 200*time.Millisecond })
	c.onClaim = func() { time.Sleep(100 * time.Millisecond) }
	if got := r.do(bookingHead("q1", "k"), "{}"); !got.verdict.GetNotRun() {
		t.Errorf("verdict: got %+v, want not run", got.verdict)
	}
	if n := len(d.Runs()); n != 0 {
		t.Errorf("runs: got %d, want 0", n)
	}
}

// Guards against a key that stays claimed although the backend server refused
// the connection and the request was never sent.
func TestUnreachableDeskIsNotRun(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	c.onClaim = func() { r.server.CloseClientConnections(); r.server.Close() }
	got := r.do(bookingHead("q1", "k"), "{}")
	if !got.verdict.GetNotRun() || len(d.Runs()) != 0 {
		t.Errorf("verdict: got %+v with %d runs, want not run and none", got.verdict, len(d.Runs()))
	}
	r.waitFor("release", func() bool {
		n := 0
		c.locked(func() { n = len(c.released) })
		return n == 1
	})
}

// Guards against wrong lookup results for a running, a finished and an unknown
// claim. A repeat of an idempotency key is answered from them.
func TestLookup(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	d.Inject(desk.Faults{DelayMS: 300})
	s := r.open(bookingHead("q1", "k"), "{}", 1<<20)
	r.waitFor("run", func() bool { return len(d.Runs()) == 1 })
	holder := r.do(bookingHead("q2", "k"), "{}").verdict.GetHolder()
	if st := r.lookup(holder.GetClaimId(), "inc-1").State; st != peerpb.LookupResult_STATE_RUNNING {
		t.Errorf("lookup while running: got %v, want running", st)
	}
	// The caller disconnects. The run continues and its reply is stored.
	s.Close()
	var got *peerpb.LookupResult
	r.waitFor("stored reply", func() bool {
		got = r.lookup(holder.GetClaimId(), "inc-1")
		return got.State == peerpb.LookupResult_STATE_STORED
	})
	if got.Status != 201 || len(got.Body) == 0 {
		t.Errorf("stored reply: got status %d and %d bytes, want 201 and a body", got.Status, len(got.Body))
	}
	for _, id := range [][2]string{{holder.GetClaimId(), "inc-0"}, {"no such claim", "inc-1"}} {
		if st := r.lookup(id[0], id[1]).State; st != peerpb.LookupResult_STATE_UNKNOWN {
			t.Errorf("lookup of %v: got %v, want unknown", id, st)
		}
	}
	if n := bookingRuns(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}

// Guards against a second run when the reply to the first one is lost: net/http
// must not resend a request that has an Idempotency-Key.
func TestLostAnswerIsUnknown(t *testing.T) {
	d := newDesk(t)
	c := newFakeClaimer()
	r := startHarness(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	if got := r.do(bookingHead("q0", "k0"), ""); !got.end.GetComplete() {
		t.Fatalf("first booking: got %+v, want a reply", got.verdict)
	}
	d.Inject(desk.Faults{DropAnswer: true})
	got := r.do(bookingHead("q1", "k"), "")
	if got.end == nil || got.end.Complete || got.verdict.GetNotRun() {
		t.Errorf("reply: got %+v, want an incomplete reply that is not refused", got)
	}
	holder := r.do(bookingHead("q2", "k"), "").verdict.GetHolder()
	if st := r.lookup(holder.GetClaimId(), "inc-1").State; st != peerpb.LookupResult_STATE_UNKNOWN {
		t.Errorf("lookup: got %v, want unknown", st)
	}
	if n := bookingRuns(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}
