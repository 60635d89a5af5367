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

// Guards against a position that goes back when old records or an old snapshot
// arrive late.
func TestPositionNeverGoesBack(t *testing.T) {
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

// Guards against agents that load the log while an entry feeds them, and
// against a fed agent that misses a change.
func TestAgentIsFedByAnEntry(t *testing.T) {
	c := newCluster(t)
	entry := c.start("entry", core.RoleEntry, nil)
	agent := c.start("agent", core.RoleAgent, nil, entry)
	publish(t, entry, drain("one", "x", 0), 5*time.Second, config.Accepted)
	wait(t, "fed agent", 5*time.Second, func() bool { return agent.Current().Drained("x") })
	time.Sleep(500 * time.Millisecond)
	calls := agent.valve.calls.Load()
	publish(t, entry, drain("two", "y", 0), 5*time.Second, config.Accepted)
	wait(t, "change through the entry", time.Second, func() bool { return agent.Current().Drained("y") })
	time.Sleep(time.Second)
	if got := agent.valve.calls.Load(); got != calls {
		t.Errorf("calls to the log while fed: got %d, want none", got-calls)
	}
	entry.stop()
	wait(t, "own reading after the entry went", 5*time.Second, func() bool { return agent.valve.calls.Load() > calls })
}

// Guards against an agent that stays unconfirmed, or misses a change, when the
// few entries that it exchanges positions with fail together.
func TestAgentChangesItsEntries(t *testing.T) {
	c := newCluster(t)
	usual := func(cfg *configlog.Config) { cfg.ExchangeInterval, cfg.ReadWait = 500*time.Millisecond, time.Second }
	var entries []*process
	for i := range 6 {
		entries = append(entries, c.start(fmt.Sprint("entry-", i), core.RoleEntry, usual, entries...))
	}
	agent := c.start("agent", core.RoleAgent, usual, entries...)
	agent.valve.closed.Store(true)
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
			// The sessions stay, as they do when a host hangs.
			e.freeze.Store(true)
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
	wait(t, "change in force at the agent", 5*time.Second, func() bool { return agent.Current().Drained("x") })
}

// Guards against an entry that stays in the set after it has gone, and against
// members that are dropped though they are only unreachable from one side.
func TestEntrySetFollowsHosts(t *testing.T) {
	c := newCluster(t)
	ps := c.three()
	c.hosts.list.Store(&[]core.Host{{ID: "b", Role: core.RoleEntry, State: core.HostLive}})
	ps[1].stop()
	ps[2].stop()
	wait(t, "removal of the entry that is gone", 10*time.Second, func() bool {
		e := ps[0].Current().EntrySet.Entries
		return len(e) == 2 && e[0].ID == "a" && e[1].ID == "b"
	})
}
