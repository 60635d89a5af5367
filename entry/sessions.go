package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/routing"
)

// holderSessionTTL is how long the session with the holder of a claim is kept
// after a lookup.
const holderSessionTTL = time.Minute

// pollHosts polls the host list until ctx is done. After an error the last list
// stays in use: only agents with a live session get requests, so that a stale list
// does no harm.
func (e *Entry) pollHosts(ctx context.Context) {
	t := time.NewTicker(e.cfg.HostListInterval)
	defer t.Stop()
	for {
		hosts, err := e.cfg.Hosts.Hosts(ctx)
		if err == nil {
			e.views.setHosts(hosts)
		} else if ctx.Err() == nil {
			e.log.Debug("failed to read host list", zap.Error(err))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// watchConfig reconciles the sessions after each configuration change, because
// drained failure domains and the entry set determine which addresses this entry
// dials.
func (e *Entry) watchConfig(ctx context.Context) {
	for {
		changed := e.cfg.Source.Changed()
		e.views.Do(e.views.reconcileSessions)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (v *views) setHosts(hosts []core.Host) {
	v.Do(func() {
		unchanged := len(hosts) > 0 && len(hosts) == len(v.hosts) && &hosts[0] == &v.hosts[0]
		v.hosts = hosts
		v.markLeaving()
		// Choosing the subsets takes milliseconds with a host list of the size
		// that the system is designed for, so skip it while the list is unchanged:
		// the host list client then returns the same slice. Sessions for lookups
		// are rare, and they expire.
		if !unchanged || len(v.holderSessions) > 0 {
			v.reconcileSessions()
		}
	})
}

// markLeaving copies the leaving state of hosts in the host list to the agents.
func (v *views) markLeaving() {
	for _, h := range v.hosts {
		if a := v.agents[h.ID]; a != nil {
			a.hostLeaving = h.State == core.HostLeaving
		}
	}
}

// reconcileSessions dials wanted addresses and drops the others.
func (v *views) reconcileSessions() {
	if v.node == nil {
		return
	}
	want := v.wantedAddresses(time.Now())
	for address := range want {
		if !v.dialled[address] {
			v.dialled[address] = true
			v.node.KeepConnected(address)
		}
	}
	for address := range v.dialled {
		if !want[address] {
			delete(v.dialled, address)
			v.node.StopDialing(address)
		}
	}
}

// wantedAddresses returns the addresses of all other entries, of this entry's
// subset of the agents of each service, and of claim holders with a recent lookup.
func (v *views) wantedAddresses(now time.Time) map[string]bool {
	cfg := v.cfg.Source.Current()
	want := map[string]bool{}
	services := map[string]map[string]string{}
	for _, h := range v.hosts {
		switch {
		case h.ID == v.cfg.Self.GetId() || h.Address == "":
		case h.Role == core.RoleEntry:
			want[h.Address] = true
		case h.Role == core.RoleAgent && h.State == core.HostLive && !cfg.Drained(h.Domain):
			if services[h.Service] == nil {
				services[h.Service] = map[string]string{}
			}
			services[h.Service][h.ID] = h.Address
		}
	}
	for _, other := range cfg.EntrySet.Entries {
		if other.ID != v.cfg.Self.GetId() && other.Address != "" {
			want[other.Address] = true
		}
	}
	for service, byID := range services {
		v.addSubset(want, service, byID)
	}
	for address, until := range v.holderSessions {
		if now.Before(until) {
			want[address] = true
		} else {
			delete(v.holderSessions, address)
		}
	}
	return want
}

func (v *views) addSubset(want map[string]bool, service string, byID map[string]string) {
	ids := make([]string, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	for _, id := range routing.Subset(v.cfg.Self.GetId()+"/"+service, ids, v.cfg.SubsetSize) {
		want[byID[id]] = true
	}
}

// keepHolderSession keeps a session with the holder of a claim for
// holderSessionTTL.
func (v *views) keepHolderSession(address string) {
	v.Do(func() {
		v.holderSessions[address] = time.Now().Add(holderSessionTTL)
		v.reconcileSessions()
	})
}

// sortCandidates sorts the candidates by agent id, so that the choices of the
// router depend on its seed but not on the order of map iteration.
func (v *views) sortCandidates() {
	slices.SortFunc(v.candidates, func(a, b core.AgentView) int {
		return cmp.Compare(a.Load.AgentID, b.Load.AgentID)
	})
}
