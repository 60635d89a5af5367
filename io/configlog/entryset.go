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

// Timing of entry set proposals.
const (
	hostListInterval     = 500 * time.Millisecond
	maxHostListAge       = 5 * time.Second
	proposalDelayPerRank = 100 * time.Millisecond
	maxProposalDelay     = 2 * time.Second
	minProposalInterval  = time.Second
)

// membership is the state of comparing the entry set with the host list and the
// sessions.
type membership struct {
	hostLists   chan []core.Host
	hosts       []core.Host
	hostsReadAt time.Time
	// checkedAt is when the entry set was last compared.
	checkedAt time.Time
	// desired is an entry set that differs from the configured one; it has stayed
	// the same since desiredSince.
	desired      []core.EntryInfo
	desiredSince time.Time
	proposing    bool
	notBefore    time.Time
}

func newMembership() membership {
	return membership{hostLists: make(chan []core.Host, 1)}
}

func (m *membership) update(hosts []core.Host) { m.hosts, m.hostsReadAt = hosts, time.Now() }

// hostListLoop reads the host list periodically.
func (t *task) hostListLoop() {
	for {
		hosts, err := t.f.cfg.Hosts.Hosts(t.ctx)
		if err == nil {
			select {
			case t.membership.hostLists <- hosts:
			case <-t.ctx.Done():
				return
			}
		} else if t.ctx.Err() == nil {
			t.log.Warn("reading the host list failed", zap.Error(err))
		}
		select {
		case <-time.After(hostListInterval):
		case <-t.ctx.Done():
			return
		}
	}
}

// proposeEntrySet publishes a new entry set when the host list and the sessions
// have differed from the configured one for EntrySetDelay. Each entry waits
// longer by its position in the set, so that usually only one of them proposes.
func (t *task) proposeEntrySet(now time.Time) {
	m := &t.membership
	if t.f.cfg.Role != core.RoleEntry || m.proposing || now.Before(m.notBefore) || !config.Fresh(t.logReadAt, now) {
		return
	}
	cfg := t.state.Configuration()
	connected := t.connectedEntries()
	desired := desiredEntrySet(cfg.EntrySet.Entries, t.f.cfg.Self, connected, m.hosts, now.Sub(m.hostsReadAt) < maxHostListAge)
	if len(desired) == 0 || reflect.DeepEqual(desired, sortedByID(cfg.EntrySet.Entries)) {
		m.desired = nil
		return
	}
	if !reflect.DeepEqual(desired, m.desired) {
		m.desired, m.desiredSince = desired, now
	}
	if now.Sub(m.desiredSince) < t.f.cfg.EntrySetDelay+t.proposalDelay(desired) || !t.freshness().EntrySetSettled(now) {
		return
	}
	t.propose(desired, cfg.Versions[core.ObjectEntrySet])
}

// proposalDelay returns the extra delay of this entry, which grows with its
// position in the desired set.
func (t *task) proposalDelay(desired []core.EntryInfo) time.Duration {
	for i, e := range desired {
		if e.ID == t.f.cfg.Self.ID {
			return min(maxProposalDelay, time.Duration(i)*proposalDelayPerRank)
		}
	}
	return maxProposalDelay
}

func (t *task) propose(desired []core.EntryInfo, version int64) {
	value, err := json.Marshal(core.EntrySet{Entries: desired})
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
	t.membership.proposing = true
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, DefaultPublishTimeout)
		defer cancel()
		o, err := t.f.Publish(ctx, c)
		t.log.Info("entry set proposed", zap.String("result", string(o.Result)), zap.String("reason", o.Reason), zap.Error(err))
		t.f.do(t.ctx, func(t *task) {
			t.membership.proposing = false
			t.membership.notBefore = time.Now().Add(minProposalInterval)
		})
	})
}

// connectedEntries returns the entries with which this process has a session.
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

// desiredEntrySet computes the entry set from the host list and the sessions. An
// entry is added when it is connected and not listed as leaving. A member is
// removed when it is listed as leaving, or when it is neither connected nor
// listed; a member that is only unreachable from here stays, since the fault may
// be on this side. Without a current host list no member is removed.
func desiredEntrySet(current []core.EntryInfo, self core.EntryInfo, connected []core.EntryInfo, hosts []core.Host, hostsCurrent bool) []core.EntryInfo {
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
		if _, ok := set[e.ID]; !ok && (!hostsCurrent || state[e.ID] == core.HostLive) {
			set[e.ID] = e
		}
	}
	list := make([]core.EntryInfo, 0, len(set))
	for _, e := range set {
		list = append(list, e)
	}
	return sortedByID(list)
}

func sortedByID(list []core.EntryInfo) []core.EntryInfo {
	list = append([]core.EntryInfo{}, list...)
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
