package entry_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/entry"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against a request that crashes more than three backend servers.
func TestCrashingRequestIsRefused(t *testing.T) {
	crash := func(c requestStream) {
		c.readBody()
		c.verdict(&peerpb.Verdict{Admitted: true})
		c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Code: "backend_failed", Crashed: true})
	}
	var agents []*fakeAgent
	for i := range 5 {
		agents = append(agents, newFakeAgent(fmt.Sprint("a", i), "text", "d1", crash))
	}
	g := newHarness(t, nil, agents...)
	for range 5 {
		g.ask("k1", "")
	}
	var crashes int64
	for _, a := range agents {
		crashes += a.runs.Load()
	}
	if crashes > 3 {
		t.Errorf("crashes: got %d, want at most 3", crashes)
	}
	if status, _, got := g.ask("k1", ""); status != 422 || got.Code != "crashes_backend_servers" || !got.NotRun {
		t.Errorf("answer: got %d %+v, want 422 not run", status, got)
	}
}

// Guards against crashes and completions that only one entry observed and that the
// other entries are not told.
func TestEntriesExchangeCrashes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frames := make(chan *peerpb.Frame, 64)
	other := peer.New(peer.Config{Self: &peerpb.Hello{Id: "e2", Role: core.RoleEntry},
		OnControl: func(_ *peer.Session, f *peerpb.Frame) { frames <- f }})
	done := make(chan struct{})
	go func() { defer close(done); _ = other.Serve(l) }()
	t.Cleanup(func() { other.Stop(); <-done })
	fingerprint := make(chan uint64, 1)
	a := newFakeAgent("a1", "text", "d1", func(c requestStream) {
		select {
		case fingerprint <- c.head.Fingerprint:
		default:
		}
		answerHello(c)
	})
	g := newHarness(t, func(c *entry.Config) {
		c.Hosts = append(c.Hosts.(hostList), core.Host{ID: "e2", Role: core.RoleEntry, Address: l.Addr().String()})
	}, a)
	waitFor(t, "the entries have a session", func() bool { return len(other.Sessions()) == 1 })
	g.ask("k1", "")
	fp := <-fingerprint
	crash := func(id string, fps ...uint64) *peerpb.Frame {
		return &peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: &peerpb.CrashReport{CrashId: id, Fingerprints: fps}}}
	}
	a.node.Broadcast(core.RoleEntry, crash("one", fp, fp+1))
	nextFrame := func() *peerpb.Frame {
		select {
		case f := <-frames:
			return f
		case <-time.After(10 * time.Second):
			t.Fatal("no control frame after 10 s")
			return nil
		}
	}
	if got := nextFrame().GetCrashReport().GetCrashId(); got != "one" {
		t.Fatalf("forwarded crash report: got %q, want %q", got, "one")
	}
	g.ask("k1", "")
	if got := nextFrame().GetCompletionReport().GetFingerprints(); len(got) != 1 || got[0] != fp {
		t.Fatalf("completion report: got %v, want [%d]", got, fp)
	}
	// The request is refused after two more crashes, unless a completion between
	// the two reports clears it.
	waitFor(t, "the crashes that another entry reports are counted", func() bool {
		other.Broadcast(core.RoleEntry, crash(fmt.Sprint("a", time.Now()), fp))
		other.Broadcast(core.RoleEntry, crash(fmt.Sprint("b", time.Now()), fp))
		status, _, _ := g.ask("k1", "")
		return status == 422
	})
}
