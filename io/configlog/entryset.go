package configlog

import (
	"context"
	"encoding/json"
	"reflect"
	"sort"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Times of proposing the entry set.
const (
	hostInterval    = 500 * time.Millisecond
	hostsMaxAge     = 5 * time.Second
	proposalRank    = 100 * time.Millisecond
	maxProposalRank = 2 * time.Second
	proposalPause   = time.Second
)

// membership compares the entry set with the host list and the sessions.
type membership struct {
	rows    chan []core.Host
	hosts   []core.Host
	hostsAt time.Time
	// checkedAt is when the set was last compared.
	checkedAt time.Time
	// wanted is the set that has differed from the folded one since.
	wanted []core.EntryInfo
	since  time.Time
	busy   bool
	after  time.Time
}

func newMembership() membership {
	return membership{rows: make(chan []core.Host, 1)}
}

func (m *membership) update(hosts []core.Host) { m.hosts, m.hostsAt = hosts, time.Now() }

// hostLoop reads the host list.
func (t *task) hostLoop() {
	for {
		hosts, err := t.f.cfg.Hosts.Hosts(t.ctx)
		if err == nil {
			select {
			case t.members.rows <- hosts:
			case <-t.ctx.Done():
				return
			}
		} else if t.ctx.Err() == nil {
			t.log.Warn("reading the host list failed", zap.Error(err))
		}
		select {
		case <-time.After(hostInterval):
		case <-t.ctx.Done():
			return
		}
	}
}

// proposeEntrySet publishes another entry set when host list and sessions have
// disagreed with the folded one for a while. Entries wait by their rank in the
// set, so that one of them proposes and the others find it done.
func (t *task) proposeEntrySet(now time.Time) {
	m := &t.members
	if t.f.cfg.Role != core.RoleEntry || m.busy || now.Before(m.after) || !config.Fresh(t.readAt, now) {
		return
	}
	cfg := t.fold.Configuration()
	connected := t.connectedEntries()
	wanted := desiredSet(cfg.EntrySet.Entries, t.f.cfg.Self, connected, m.hosts, now.Sub(m.hostsAt) < hostsMaxAge)
	if len(wanted) == 0 || reflect.DeepEqual(wanted, sorted(cfg.EntrySet.Entries)) {
		m.wanted = nil
		return
	}
	if !reflect.DeepEqual(wanted, m.wanted) {
		m.wanted, m.since = wanted, now
	}
	if now.Sub(m.since) < t.f.cfg.EntrySetDelay+t.rank(wanted) || !t.freshness().EntrySetSettled(now) {
		return
	}
	t.propose(wanted, cfg.Versions[core.ObjectEntrySet])
}

// rank returns the extra delay of this entry by its place in the wanted set.
func (t *task) rank(wanted []core.EntryInfo) time.Duration {
	for i, e := range wanted {
		if e.ID == t.f.cfg.Self.ID {
			return min(maxProposalRank, time.Duration(i)*proposalRank)
		}
	}
	return maxProposalRank
}

func (t *task) propose(wanted []core.EntryInfo, version int64) {
	value, err := json.Marshal(core.EntrySet{Entries: wanted})
	if err != nil {
		t.log.Error("encoding the entry set failed", zap.Error(err))
		return
	}
	c := config.Change{
		ChangeID: "entry-set-" + uuid.NewString(),
		Author:   "entry/" + t.f.cfg.Self.ID,
		Object:   core.ObjectEntrySet,
		BasedOn:  version,
		Value:    value,
	}
	t.members.busy = true
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, DefaultPublishTimeout)
		defer cancel()
		o, err := t.f.Publish(ctx, c)
		t.log.Info("entry set proposed", zap.String("result", string(o.Result)), zap.String("reason", o.Reason), zap.Error(err))
		t.f.do(t.ctx, func(t *task) {
			t.members.busy = false
			t.members.after = time.Now().Add(proposalPause)
		})
	})
}

// connectedEntries returns the entries that this process has a session with.
func (t *task) connectedEntries() []core.EntryInfo {
	if t.peers == nil {
		return nil
	}
	var list []core.EntryInfo
	for _, s := range t.peers.Sessions() {
		if h := s.Hello; h.Role == core.RoleEntry {
			list = append(list, core.EntryInfo{ID: h.Id, Address: h.Address, Domain: h.FailureDomain, Region: h.Region})
		}
	}
	return list
}

// desiredSet returns the entry set as host list and sessions show it. An entry
// joins when it is connected and not listed as leaving. A member goes when it is
// listed as leaving, or when it is neither connected nor listed; a member that
// is only unreachable from here stays, since the fault may be on this side.
// Without a current host list no member goes.
func desiredSet(current []core.EntryInfo, self core.EntryInfo, connected []core.EntryInfo, hosts []core.Host, listed bool) []core.EntryInfo {
	state := map[string]core.HostState{}
	for _, h := range hosts {
		if h.Role == core.RoleEntry {
			state[h.ID] = h.State
		}
	}
	set := map[string]core.EntryInfo{}
	for _, e := range append([]core.EntryInfo{self}, connected...) {
		if state[e.ID] != core.HostLeaving {
			set[e.ID] = e
		}
	}
	for _, e := range current {
		if _, ok := set[e.ID]; !ok && (!listed || state[e.ID] == core.HostLive) {
			set[e.ID] = e
		}
	}
	list := make([]core.EntryInfo, 0, len(set))
	for _, e := range set {
		list = append(list, e)
	}
	return sorted(list)
}

func sorted(list []core.EntryInfo) []core.EntryInfo {
	list = append([]core.EntryInfo{}, list...)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
