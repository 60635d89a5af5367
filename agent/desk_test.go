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

// gatedHosts answers once its gate is open.
type gatedHosts struct {
	list hostList
	gate chan struct{}
}

func (g gatedHosts) Hosts(ctx context.Context) ([]core.Host, error) {
	select {
	case <-g.gate:
		return g.list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *rig) lookup(claimID, incarnation string) *peerpb.LookupResult {
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

func bookings(d *desk.Desk, key string) int {
	n := 0
	for _, run := range d.Runs() {
		if run.Kind == desk.KindBooking && run.IdempotencyKey == key {
			n++
		}
	}
	return n
}

// Guards against two runs of one key, whatever the log does to the answers.
func TestAtMostOneRunPerKey(t *testing.T) {
	tests := []struct {
		name string
		edit func(*claimer)
	}{
		{"answers in time", func(*claimer) {}},
		{"answers lost", func(c *claimer) { c.lose = true }},
		{"answers late", func(c *claimer) { c.delay = 300 * time.Millisecond }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(t)
			c := newClaimer()
			tt.edit(c)
			r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer, cfg.ClaimTimeout = c, 100*time.Millisecond })
			var wg sync.WaitGroup
			results := make([]result, 12)
			for i := range results {
				s := r.open(bookingHead(fmt.Sprintf("q%d", i), "k"), "{}", 1<<20)
				wg.Go(func() { defer s.Close(); results[i] = read(s) })
			}
			wg.Wait()
			ran := 0
			for i, res := range results {
				if res.end.GetComplete() {
					ran++
				} else if res.verdict.GetHolder() == nil && !res.verdict.GetNotRun() {
					t.Errorf("request %d: got %+v, want a holder or not run", i, res.verdict)
				}
			}
			if n := bookings(d, "k"); n > 1 || n != ran {
				t.Errorf("runs of the key: got %d with %d whole replies, want equal and at most 1", n, ran)
			}
		})
	}
}

// Guards against a verdict that arrives after the agent has answered "not run".
func TestLostVerdictIsReleased(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	c.lose = true
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	got := r.do(bookingHead("q1", "k"), "{}")
	if !got.verdict.GetNotRun() || got.verdict.GetRetryAfterMs() <= 0 {
		t.Errorf("verdict: got %+v, want not run with a time to come back", got.verdict)
	}
	r.await("release", func() bool {
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
	c.lose = false
	if again := r.do(bookingHead("q2", "k"), "{}"); !again.end.GetComplete() {
		t.Errorf("repeat after the release: got %+v, want a reply", again.verdict)
	}
	if n := bookings(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}

// Guards against a process that was paused between claim and run and then runs
// in a drained failure domain.
func TestPausedBetweenClaimAndRun(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	c.won = func() { r.source.drained.Store(true) }
	got := r.do(bookingHead("q1", "k"), "{}")
	if got.verdict.GetCode() != string(core.CodeDrained) || !got.verdict.GetNotRun() {
		t.Errorf("verdict: got %+v, want not run, drained", got.verdict)
	}
	if n := len(d.Runs()); n != 0 {
		t.Errorf("runs: got %d, want 0", n)
	}
	r.await("release", func() bool {
		n := 0
		c.locked(func() { n = len(c.released) })
		return n == 1
	})
}

// Guards against a run of a claim that the log may have forgotten, after the
// agent was paused for long.
func TestOldClaimIsNotRun(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer, cfg.StoredReplyTTL = c, 200*time.Millisecond })
	c.won = func() { time.Sleep(100 * time.Millisecond) }
	if got := r.do(bookingHead("q1", "k"), "{}"); !got.verdict.GetNotRun() {
		t.Errorf("verdict: got %+v, want not run", got.verdict)
	}
	if n := len(d.Runs()); n != 0 {
		t.Errorf("runs: got %d, want 0", n)
	}
}

// Guards against a key that stays claimed although its request was never sent.
func TestUnreachableDeskIsNotRun(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	c.won = func() { r.server.CloseClientConnections(); r.server.Close() }
	got := r.do(bookingHead("q1", "k"), "{}")
	if !got.verdict.GetNotRun() || len(d.Runs()) != 0 {
		t.Errorf("verdict: got %+v with %d runs, want not run and none", got.verdict, len(d.Runs()))
	}
	r.await("release", func() bool {
		n := 0
		c.locked(func() { n = len(c.released) })
		return n == 1
	})
}

// Guards against wrong answers to repeats of a key.
func TestLookup(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
	d.Inject(desk.Faults{DelayMS: 300})
	s := r.open(bookingHead("q1", "k"), "{}", 1<<20)
	r.await("run", func() bool { return len(d.Runs()) == 1 })
	holder := r.do(bookingHead("q2", "k"), "{}").verdict.GetHolder()
	if st := r.lookup(holder.GetClaimId(), "inc-1").State; st != peerpb.LookupResult_STATE_RUNNING {
		t.Errorf("lookup while running: got %v, want running", st)
	}
	// The caller goes; the run goes on and its reply is kept.
	s.Close()
	var got *peerpb.LookupResult
	r.await("stored reply", func() bool {
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
	if n := bookings(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}

// Guards against a second run after the answer of the first one was lost: the
// HTTP client must not send a request with a key again by itself.
func TestLostAnswerIsUnknown(t *testing.T) {
	d := newDesk(t)
	c := newClaimer()
	r := startRig(t, deskService, d, func(cfg *agent.Config) { cfg.Claimer = c })
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
	if n := bookings(d, "k"); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}
