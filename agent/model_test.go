package agent_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/emulator/engine"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against streamed replies that lose, reorder or mix up events.
func TestStreamedReply(t *testing.T) {
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, nil)
	got := r.do(modelHead("q1", 50), modelBody("hello", 50))
	if got.end == nil || !got.end.Complete || got.end.TotalBytes != int64(len(got.body)) {
		t.Fatalf("reply end: got %+v, want a complete reply of %d bytes", got.end, len(got.body))
	}
	at := 0
	for i := range 50 {
		want := fmt.Sprintf(`"index":%d,"prompt_hash":%q`, i, engine.PromptHash("hello"))
		n := strings.Index(got.body[at:], want)
		if n < 0 {
			t.Fatalf("event %d: %s is not in its place", i, want)
		}
		at += n
	}
	if runs := e.Runs(); len(runs) != 1 || runs[0].RequestID != "q1" || runs[0].Outcome != engine.OutcomeDone {
		t.Errorf("runs: got %+v, want one finished run of q1", runs)
	}
}

// Guards against refusals that say "not run" for a request that ran.
func TestRefusalsRunNothing(t *testing.T) {
	tests := []struct {
		name string
		edit func(*rig, *peerpb.RequestHead)
		want core.Code
	}{
		{"drained", func(r *rig, _ *peerpb.RequestHead) { r.source.drained.Store(true) }, core.CodeDrained},
		{"unconfirmed", func(r *rig, _ *peerpb.RequestHead) { r.source.unconfirmed.Store(true) }, core.CodeStaleConfig},
		{"group stands still", func(r *rig, _ *peerpb.RequestHead) { r.source.stalled.Store(true) }, core.CodeNoServer},
		{"deadline", func(_ *rig, h *peerpb.RequestHead) { h.DeadlineInMs = 1 }, core.CodeDeadline},
		{"over limit", func(_ *rig, h *peerpb.RequestHead) { h.OutputTokens = 5000 }, core.CodeOverloaded},
		{"over memory", func(_ *rig, h *peerpb.RequestHead) { h.OutputTokens = 50000 }, core.CodeTooLarge},
		{"body", func(_ *rig, h *peerpb.RequestHead) { h.BodyBytes = 1 << 30 }, core.CodeTooLarge},
		{"wrong service", func(_ *rig, h *peerpb.RequestHead) { h.Service = "other" }, core.CodeNoServer},
		{"no key", func(_ *rig, h *peerpb.RequestHead) { h.Repeatable = false }, core.CodeKeyRequired},
		{"wrong id", func(_ *rig, h *peerpb.RequestHead) { h.RequestId = "q2" }, core.CodeBadRequest},
	}
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, func(c *agent.Config) { c.GroupStalled = c.Source.(*source).stalled.Load })
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r.source.stalled.Store(false)
			r.source.drained.Store(false)
			r.source.unconfirmed.Store(false)
			head := modelHead("q1", 10)
			s, err := r.entry.Open("agent-1", peerpb.StreamKind_STREAM_KIND_REQUEST, "q1")
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			tt.edit(r, head)
			send(t, s, &peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: head}})
			_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_BodyChunk{BodyChunk: &peerpb.BodyChunk{Data: []byte(modelBody("p", 10)), Last: true}}})
			got := read(s)
			if got.verdict.GetCode() != string(tt.want) || !got.verdict.GetNotRun() {
				t.Errorf("verdict: got %+v, want not run with code %q", got.verdict, tt.want)
			}
		})
	}
	if n := len(e.Runs()); n != 0 {
		t.Errorf("runs: got %d, want 0", n)
	}
}

// Guards against agents that send more than the entry has room for, or that
// hold the backend server for a slow reader of a short reply.
func TestFlowControl(t *testing.T) {
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, func(c *agent.Config) { c.ReplyBufferBytes = 32 << 10 })
	s := r.open(modelHead("q1", 100), modelBody("p", 100), 0)
	defer s.Close()
	r.await("run done while nothing is read", func() bool {
		runs := e.Runs()
		return len(runs) == 1 && runs[0].Outcome == engine.OutcomeDone && r.agent.Status().HeldCount == 0
	})
	got, credit := 0, 0
	for range 100000 {
		f, err := s.Receive()
		if err != nil {
			t.Fatal(err)
		}
		got += len(f.GetReplyChunk().GetData())
		if got > credit {
			t.Fatalf("received %d bytes with credit for %d", got, credit)
		}
		if f.GetReplyEnd() != nil {
			if !f.GetReplyEnd().Complete || f.GetReplyEnd().TotalBytes != int64(got) {
				t.Errorf("end: got %+v, want a complete reply of %d bytes", f.GetReplyEnd(), got)
			}
			return
		}
		if got == credit && f.GetVerdict() == nil {
			credit += 700
			_ = s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyCredit{ReplyCredit: &peerpb.ReplyCredit{Bytes: 700}}})
		}
	}
	t.Fatal("reply did not end")
}

// Guards against runs that go on for a caller that has gone.
func TestCancelEndsModelRun(t *testing.T) {
	e := newEngine(t, func(o *engine.Options) { o.TokensPerSecond = 100 })
	r := startRig(t, modelService, e, nil)
	for i, id := range []string{"cancelled", "broken"} {
		s := r.open(modelHead(id, 900), modelBody("p", 900), 1<<20)
		r.await("run", func() bool { return len(e.Runs()) == i+1 })
		if id == "cancelled" {
			send(t, s, &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
		} else {
			s.Close()
		}
		r.await(id, func() bool { return e.Runs()[i].Outcome == engine.OutcomeCancelled })
		s.Close()
		r.await("release", func() bool { return r.agent.Status().HeldTokens == 0 })
	}
}

// Guards against a fresh engine that gets more work than it can hold.
func TestFreshEngineSurvivesFullLoad(t *testing.T) {
	e := newEngine(t, func(o *engine.Options) { o.ColdTokens, o.ColdFactor = modelService.ColdTokens, 2 })
	r := startRig(t, modelService, e, nil)
	var wg sync.WaitGroup
	var whole atomic.Int32
	for i := range 32 {
		wg.Go(func() {
			for j := range 12 {
				if r.do(modelHead(fmt.Sprintf("q%d-%d", i, j), 190), modelBody("p", 190)).end.GetComplete() {
					whole.Add(1)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	if e.Crashes() != 0 || whole.Load() == 0 {
		t.Errorf("got %d crashes and %d whole replies, want 0 and some", e.Crashes(), whole.Load())
	}
	t.Logf("%d whole replies, limit %d tokens", whole.Load(), r.agent.Status().LimitTokens)
}

// Guards against crashes that no entry hears of, and against a server that gets
// full load after a crash.
func TestCrashReport(t *testing.T) {
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, nil)
	other := modelHead("q1", 500)
	other.Fingerprint = 11
	s := r.open(other, modelBody("p", 500), 1<<20)
	defer s.Close()
	r.await("run", func() bool { return len(e.Runs()) == 1 })
	got := r.do(modelHead("q2", 10), modelBody("CRASH", 10))
	if !got.end.GetCrashed() || got.end.GetComplete() {
		t.Errorf("end: got %+v, want an incomplete reply of a crashed server", got.end)
	}
	if end := read(s).end; !end.GetCrashed() {
		t.Errorf("end of the other run: got %+v, want crashed", end)
	}
	f := r.controlFrame("crash report", func(f *peerpb.Frame) bool { return f.GetCrashReport() != nil })
	prints := map[uint64]bool{}
	for _, p := range f.GetCrashReport().Fingerprints {
		prints[p] = true
	}
	if !prints[7] || !prints[11] || len(prints) != 2 {
		t.Errorf("fingerprints: got %v, want 7 and 11", f.GetCrashReport().Fingerprints)
	}
	r.await("restart", r.agent.Ready)
	if st := r.agent.Status(); st.LimitCount != modelService.ColdConcurrency {
		t.Errorf("limit after the crash: got %d, want %d", st.LimitCount, modelService.ColdConcurrency)
	}
	if got := r.do(modelHead("q3", 10), modelBody("p", 10)); !got.end.GetComplete() {
		t.Errorf("reply after the restart: got %+v, want complete", got.end)
	}
}

// Guards against leaving agents that cut off a reply or take new work.
func TestLeavingFinishesHeldWork(t *testing.T) {
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, nil)
	s := r.open(modelHead("q1", 400), modelBody("p", 400), 1<<20)
	defer s.Close()
	r.await("run", func() bool { return len(e.Runs()) == 1 })
	r.stop()
	r.controlFrame("leaving", func(f *peerpb.Frame) bool { return f.GetLeaving().GetId() == "agent-1" })
	got := r.do(modelHead("q2", 10), modelBody("p", 10))
	if got.verdict.GetCode() != string(core.CodeLeaving) || !got.verdict.GetNotRun() {
		t.Errorf("verdict while leaving: got %+v, want not run, leaving", got.verdict)
	}
	if end := read(s).end; !end.GetComplete() {
		t.Errorf("held reply: got %+v, want complete", end)
	}
	select {
	case <-r.stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("agent did not stop")
	}
	if n := len(e.Runs()); n != 1 {
		t.Errorf("runs: got %d, want 1", n)
	}
}

// Guards against agents that the host list marks as leaving and that go on.
func TestHostListMark(t *testing.T) {
	list := hostList{{ID: "agent-1", Role: core.RoleAgent, State: core.HostLeaving}}
	e := newEngine(t, nil)
	gate := make(chan struct{})
	r := startRig(t, modelService, e, func(c *agent.Config) { c.Hosts = gatedHosts{list: list, gate: gate} })
	close(gate)
	select {
	case <-r.agent.Done():
	case <-time.After(3 * time.Second):
		t.Fatal("agent took new work for 3 s after the mark")
	}
}

// Guards against load reports that stop or that hide what is held.
func TestLoadReports(t *testing.T) {
	e := newEngine(t, nil)
	r := startRig(t, modelService, e, nil)
	s := r.open(modelHead("q1", 400), modelBody("p", 400), 1<<20)
	defer s.Close()
	l := r.controlFrame("load", func(f *peerpb.Frame) bool { return f.GetLoad().GetHeldTokens() > 0 }).GetLoad()
	if l.HeldTokens != 410 || l.HeldCount != 1 || l.LimitCount != 4 || l.State != string(core.AgentReady) {
		t.Errorf("load: got %+v, want 410 tokens held by 1 of 4 requests, ready", l)
	}
}
