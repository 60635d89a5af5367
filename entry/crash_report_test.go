package entry_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/entry"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against entries that send a request on because they started, or were cut
// off, when its crashes were reported.
func TestEntriesLearnOfEarlierCrashes(t *testing.T) {
	a := newFakeAgent("a1", "text", "d1", answerHello)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	g := newHarness(t, func(c *entry.Config) {
		c.Hosts = append(c.Hosts.(hostList), core.Host{ID: "e2", Role: core.RoleEntry, Address: address})
	}, a)
	g.ask("k1", "")
	for i := range 3 {
		a.node.Broadcast(core.RoleEntry, &peerpb.Frame{Body: &peerpb.Frame_CrashReport{
			CrashReport: &peerpb.CrashReport{CrashId: fmt.Sprint("crash-", i), Fingerprints: []uint64{1, uint64(100 + i)}}}})
	}
	frames := make(chan *peerpb.Frame, 64)
	late := peer.New(peer.Config{Self: &peerpb.Hello{Id: "e2", Role: core.RoleEntry},
		OnControl: func(_ *peer.Session, f *peerpb.Frame) { frames <- f }})
	done := make(chan struct{})
	// The entry has had time to count the reports before it finds the other entry.
	time.Sleep(200 * time.Millisecond)
	go func() { defer close(done); _ = late.Serve(l) }()
	t.Cleanup(func() { late.Stop(); <-done })
	got := map[string]bool{}
	for len(got) < 3 {
		select {
		case f := <-frames:
			if c := f.GetCrashReport(); c != nil && slices.Contains(c.GetFingerprints(), 1) {
				got[c.GetCrashId()] = true
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("crash reports at an entry that connects later: got %v, want 3", got)
		}
	}
}
