package configlog_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/core/rendezvous"
	"nutmegnotch/io/configlog"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Guards against a position that decreases when old records or an old snapshot
// arrive late.
func TestPositionNeverDecreases(t *testing.T) {
	c := newCluster(t)
	p := c.start("a", core.RoleEntry, nil)
	publish(t, p, drain("one", "x", 0), 5*time.Second, config.Accepted)
	before := p.Current()
	empty, err := config.New().EncodeState()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []*peerpb.Frame{
		{Body: &peerpb.Frame_Snapshot{Snapshot: &peerpb.Snapshot{NextOffset: 1, State: empty, Parts: 1}}},
		{Body: &peerpb.Frame_Records{Records: &peerpb.Records{Records: []*peerpb.LogRecord{{Offset: 0, Data: []byte("null")}}}}},
	} {
		p.Control(&peer.Session{Hello: &peerpb.Hello{Id: "old"}}, f)
	}
	time.Sleep(200 * time.Millisecond)
	if got := p.Current(); got.NextOffset < before.NextOffset || !got.Drained("x") {
		t.Errorf("offset after old frames: got %d, want at least %d", got.NextOffset, before.NextOffset)
	}
}

// Guards against agents that read the log while an entry sends them records, and
// against such an agent that misses a change.
func TestAgentReliesOnEntryInsteadOfLog(t *testing.T) {
	c := newCluster(t)
	entry := c.start("entry", core.RoleEntry, nil)
	agent := c.start("agent", core.RoleAgent, nil, entry)
	publish(t, entry, drain("one", "x", 0), 5*time.Second, config.Accepted)
	wait(t, "change at the agent", 5*time.Second, func() bool { return agent.Current().Drained("x") })
	time.Sleep(500 * time.Millisecond)
	calls := agent.transport.calls.Load()
	publish(t, entry, drain("two", "y", 0), 5*time.Second, config.Accepted)
	wait(t, "change through the entry", time.Second, func() bool { return agent.Current().Drained("y") })
	time.Sleep(time.Second)
	if got := agent.transport.calls.Load(); got != calls {
		t.Errorf("calls to the log beside a live entry: got %d, want none", got-calls)
	}
	entry.stop()
	wait(t, "read of the log after the entry stopped", 5*time.Second, func() bool { return agent.transport.calls.Load() > calls })
}

// Guards against an agent that becomes unconfirmed, or misses a change, when the
// few entries with which it exchanges positions hang at the same time.
func TestAgentFailsOverToOtherEntries(t *testing.T) {
	c := newCluster(t)
	defaultIntervals := func(cfg *configlog.Config) { cfg.ExchangeInterval, cfg.ReadWait = 500*time.Millisecond, time.Second }
	var entries []*process
	for i := range 6 {
		entries = append(entries, c.start(fmt.Sprint("entry-", i), core.RoleEntry, defaultIntervals, entries...))
	}
	agent := c.start("agent", core.RoleAgent, defaultIntervals, entries...)
	agent.transport.blocked.Store(true)
	wait(t, "confirmed agent", 10*time.Second, func() bool { return agent.Confirmed(time.Now()) })
	time.Sleep(2 * time.Second)
	infos := make([]core.EntryInfo, len(entries))
	for i := range entries {
		infos[i].ID = fmt.Sprint("entry-", i)
	}
	var left *process
	chosen := rendezvous.Top("agent", infos, 3)
	for i, e := range entries {
		if slices.ContainsFunc(chosen, func(x core.EntryInfo) bool { return x.ID == infos[i].ID }) {
			// The sessions stay open, as they do when a host hangs.
			e.ignoreFrames.Store(true)
		} else {
			left = e
		}
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !agent.Confirmed(time.Now()) {
			t.Fatal("agent: got not confirmed after its entries hung, want confirmed by the others")
		}
	}
	publish(t, left, drain("one", "x", 0), 5*time.Second, config.Accepted)
	wait(t, "change applied at the agent", 5*time.Second, func() bool { return agent.Current().Drained("x") })
}

// Guards against an entry that stays in the set after it was removed from the host
// list and stopped, and against a member that is removed although it is only
// unreachable from one entry.
func TestEntrySetFollowsHosts(t *testing.T) {
	c := newCluster(t)
	ps := c.startThreeEntries()
	c.hosts.list.Store(&[]core.Host{{ID: "b", Role: core.RoleEntry, State: core.HostLive}})
	ps[1].stop()
	ps[2].stop()
	wait(t, "removal of the unlisted entry", 10*time.Second, func() bool {
		e := ps[0].Current().EntrySet.Entries
		return len(e) == 2 && e[0].ID == "a" && e[1].ID == "b"
	})
}
