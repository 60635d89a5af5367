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

// lookupKeep is how long a session with the holder of a claim is kept.
const lookupKeep = time.Minute

// pollHosts reads the host list until ctx ends. An error leaves the last list
// in force, since the sessions decide.
func (e *Entry) pollHosts(ctx context.Context) {
	t := time.NewTicker(e.cfg.HostListInterval)
	defer t.Stop()
	for {
		hosts, err := e.cfg.Hosts.Hosts(ctx)
		if err == nil {
			e.views.setHosts(hosts)
		} else if ctx.Err() == nil {
			e.log.Debug("host list unavailable", zap.Error(err))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// followConfig reconnects when the configuration changes, since drained failure
// domains and the entry set decide whom this entry dials.
func (e *Entry) followConfig(ctx context.Context) {
	for {
		changed := e.cfg.Source.Changed()
		e.views.Do(e.views.reconnect)
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
		// Choosing the subsets costs milliseconds at the design size; the host
		// list hands out the same slice while it has not changed. Addresses of
		// lookups expire, and are rare.
		if !unchanged || len(v.lookups) > 0 {
			v.reconnect()
		}
	})
}

// markLeaving applies the host list to the agents.
func (v *views) markLeaving() {
	for _, h := range v.hosts {
		if a := v.agents[h.ID]; a != nil {
			a.hostLeaving = h.State == core.HostLeaving
		}
	}
}

// reconnect makes the dialled addresses match the wanted ones.
func (v *views) reconnect() {
	if v.node == nil {
		return
	}
	want := v.wanted(time.Now())
	for address := range want {
		if !v.kept[address] {
			v.kept[address] = true
			v.node.Keep(address)
		}
	}
	for address := range v.kept {
		if !want[address] {
			delete(v.kept, address)
			v.node.Drop(address)
		}
	}
}

// wanted returns the addresses of all other entries, of the subset of agents
// of each service, and of the holders of claims that were asked lately.
func (v *views) wanted(now time.Time) map[string]bool {
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
	for address, until := range v.lookups {
		if now.Before(until) {
			want[address] = true
		} else {
			delete(v.lookups, address)
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

// reach keeps a session with the holder of a claim for a while.
func (v *views) reach(address string) {
	v.Do(func() {
		v.lookups[address] = time.Now().Add(lookupKeep)
		v.reconnect()
	})
}

// sortScratch gives the router the same order for the same agents, so that its
// choices depend only on its seed.
func (v *views) sortScratch() {
	slices.SortFunc(v.scratch, func(a, b core.AgentView) int {
		return cmp.Compare(a.Load.AgentID, b.Load.AgentID)
	})
}
