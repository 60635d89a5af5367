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

// Guards against streamed replies with events that are missing, reordered or of
// another request.
func TestStreamedReply(t *testing.T) {
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, nil)
	got := r.do(modelHead("q1", 50), modelBody("hello", 50))
	if got.end == nil || !got.end.Complete || got.end.TotalBytes != int64(len(got.body)) {
		t.Fatalf("reply end: got %+v, want a complete reply of %d bytes", got.end, len(got.body))
	}
	at := 0
	for i := range 50 {
		want := fmt.Sprintf(`"index":%d,"prompt_hash":%q`, i, engine.PromptHash("hello"))
		n := strings.Index(got.body[at:], want)
		if n < 0 {
			t.Fatalf("event %d: %s is missing or out of order", i, want)
		}
		at += n
	}
	if runs := e.Runs(); len(runs) != 1 || runs[0].RequestID != "q1" || runs[0].Outcome != engine.OutcomeDone {
		t.Errorf("runs: got %+v, want one finished run of q1", runs)
	}
}

// Guards against "not run" refusals of requests that ran on the backend server.
func TestRefusalsRunNothing(t *testing.T) {
	tests := []struct {
		name string
		edit func(*harness, *peerpb.RequestHead)
		want core.Code
	}{
		{"drained", func(r *harness, _ *peerpb.RequestHead) { r.source.drained.Store(true) }, core.CodeDrained},
		{"unconfirmed", func(r *harness, _ *peerpb.RequestHead) { r.source.unconfirmed.Store(true) }, core.CodeStaleConfig},
		{"group stands still", func(r *harness, _ *peerpb.RequestHead) { r.source.stalled.Store(true) }, core.CodeNoServer},
		{"deadline", func(_ *harness, h *peerpb.RequestHead) { h.DeadlineInMs = 1 }, core.CodeDeadline},
		{"over limit", func(_ *harness, h *peerpb.RequestHead) { h.OutputTokens = 5000 }, core.CodeOverloaded},
		{"over memory", func(_ *harness, h *peerpb.RequestHead) { h.OutputTokens = 50000 }, core.CodeTooLarge},
		{"body", func(_ *harness, h *peerpb.RequestHead) { h.BodyBytes = 1 << 30 }, core.CodeTooLarge},
		{"wrong service", func(_ *harness, h *peerpb.RequestHead) { h.Service = "other" }, core.CodeNoServer},
		{"no key", func(_ *harness, h *peerpb.RequestHead) { h.Repeatable = false }, core.CodeKeyRequired},
		{"wrong id", func(_ *harness, h *peerpb.RequestHead) { h.RequestId = "q2" }, core.CodeBadRequest},
	}
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, func(c *agent.Config) { c.GroupStalled = c.Source.(*fakeSource).stalled.Load })
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

// Guards against an agent that sends more bytes than the entry granted, and
// against a short reply to a slow reader that keeps its reservation.
func TestFlowControl(t *testing.T) {
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, func(c *agent.Config) { c.ReplyBufferBytes = 32 << 10 })
	s := r.open(modelHead("q1", 100), modelBody("p", 100), 0)
	defer s.Close()
	r.waitFor("run done while nothing is read", func() bool {
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

// Guards against runs that continue after the caller disconnected.
func TestCancelEndsModelRun(t *testing.T) {
	e := newEngine(t, func(o *engine.Options) { o.TokensPerSecond = 100 })
	r := startHarness(t, modelService, e, nil)
	for i, id := range []string{"cancelled", "broken"} {
		s := r.open(modelHead(id, 900), modelBody("p", 900), 1<<20)
		r.waitFor("run", func() bool { return len(e.Runs()) == i+1 })
		if id == "cancelled" {
			send(t, s, &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
		} else {
			s.Close()
		}
		r.waitFor(id, func() bool { return e.Runs()[i].Outcome == engine.OutcomeCancelled })
		s.Close()
		r.waitFor("release", func() bool { return r.agent.Status().HeldTokens == 0 })
	}
}

// Guards against an engine that crashes under load right after its start because
// the agent admits more than a cold engine can hold.
func TestFreshEngineSurvivesFullLoad(t *testing.T) {
	e := newEngine(t, func(o *engine.Options) { o.ColdTokens, o.ColdFactor = modelService.ColdTokens, 2 })
	r := startHarness(t, modelService, e, nil)
	var wg sync.WaitGroup
	var complete atomic.Int32
	for i := range 32 {
		wg.Go(func() {
			for j := range 12 {
				if r.do(modelHead(fmt.Sprintf("q%d-%d", i, j), 190), modelBody("p", 190)).end.GetComplete() {
					complete.Add(1)
				} else {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	if e.Crashes() != 0 || complete.Load() == 0 {
		t.Errorf("got %d crashes and %d complete replies, want 0 and some", e.Crashes(), complete.Load())
	}
	t.Logf("%d complete replies, limit %d tokens", complete.Load(), r.agent.Status().LimitTokens)
}

// Guards against crashes that are not reported to the entries, and against a
// restarted server that is loaded like a warm one.
func TestCrashReport(t *testing.T) {
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, nil)
	other := modelHead("q1", 500)
	other.Fingerprint = 11
	s := r.open(other, modelBody("p", 500), 1<<20)
	defer s.Close()
	r.waitFor("run", func() bool { return len(e.Runs()) == 1 })
	got := r.do(modelHead("q2", 10), modelBody("CRASH", 10))
	if !got.end.GetCrashed() || got.end.GetComplete() {
		t.Errorf("end: got %+v, want an incomplete reply of a crashed server", got.end)
	}
	if end := read(s).end; !end.GetCrashed() {
		t.Errorf("end of the other run: got %+v, want crashed", end)
	}
	f := r.waitControlFrame("crash report", func(f *peerpb.Frame) bool { return f.GetCrashReport() != nil })
	reported := map[uint64]bool{}
	for _, p := range f.GetCrashReport().Fingerprints {
		reported[p] = true
	}
	if !reported[7] || !reported[11] || len(reported) != 2 {
		t.Errorf("fingerprints: got %v, want 7 and 11", f.GetCrashReport().Fingerprints)
	}
	r.waitFor("restart", r.agent.Ready)
	if st := r.agent.Status(); st.LimitCount != modelService.ColdConcurrency {
		t.Errorf("limit after the crash: got %d, want %d", st.LimitCount, modelService.ColdConcurrency)
	}
	if got := r.do(modelHead("q3", 10), modelBody("p", 10)); !got.end.GetComplete() {
		t.Errorf("reply after the restart: got %+v, want complete", got.end)
	}
}

// Guards against a leaving agent that cuts off a reply or admits new requests.
func TestLeavingFinishesHeldWork(t *testing.T) {
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, nil)
	s := r.open(modelHead("q1", 400), modelBody("p", 400), 1<<20)
	defer s.Close()
	r.waitFor("run", func() bool { return len(e.Runs()) == 1 })
	r.stop()
	r.waitControlFrame("leaving", func(f *peerpb.Frame) bool { return f.GetLeaving().GetId() == "agent-1" })
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

// Guards against an agent that keeps running although the host list marks it as
// leaving.
func TestHostListMark(t *testing.T) {
	list := hostList{{ID: "agent-1", Role: core.RoleAgent, State: core.HostLeaving}}
	e := newEngine(t, nil)
	unblock := make(chan struct{})
	r := startHarness(t, modelService, e, func(c *agent.Config) { c.Hosts = blockedHosts{list: list, unblock: unblock} })
	close(unblock)
	select {
	case <-r.agent.Done():
	case <-time.After(3 * time.Second):
		t.Fatal("agent still runs 3 s after the host list marked it as leaving")
	}
}

// Guards against load reports that are not sent while a request runs or that omit
// what the backend server holds.
func TestLoadReports(t *testing.T) {
	e := newEngine(t, nil)
	r := startHarness(t, modelService, e, nil)
	s := r.open(modelHead("q1", 400), modelBody("p", 400), 1<<20)
	defer s.Close()
	l := r.waitControlFrame("load", func(f *peerpb.Frame) bool { return f.GetLoad().GetHeldTokens() > 0 }).GetLoad()
	if l.HeldTokens != 410 || l.HeldCount != 1 || l.LimitCount != 4 || l.State != string(core.AgentReady) {
		t.Errorf("load: got %+v, want 410 tokens held by 1 of 4 requests, ready", l)
	}
}
