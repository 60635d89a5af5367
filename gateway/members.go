package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/task"
)

const (
	// memberTimeout is the time after its last heartbeat for which a gateway counts as
	// live.
	memberTimeout = 30 * time.Second
	// introductionTime is how long after its start a gateway may not have heard others
	// that share the servers with it.
	introductionTime = 5 * time.Second
	// maxToldTime is how long after its start a gateway waits for another one to tell of
	// the state of servers before it is ready.
	maxToldTime = time.Second
	// defaultForgetAfter is the time without a heartbeat after which a gateway is no
	// longer dialled. Its record in the store is removed within as much time again.
	defaultForgetAfter = time.Minute
	// maxMembers limits the addresses that are dialled.
	maxMembers = 4096
	// forgetInterval is the interval at which gateways to forget are looked for.
	forgetInterval = time.Second
	// registerRetryInterval is the time between two attempts to write to the topic of
	// members.
	registerRetryInterval = 800 * time.Millisecond
)

// members holds the other gateways that this gateway knows, by peer address.
// lastHeard is the time of the last heartbeat of each.
type members struct {
	self        string
	forgetAfter time.Duration
	lastHeard   map[string]time.Time
	// known is when each address was last learned from the settings, the store or a
	// gateway that hears it.
	known map[string]time.Time
	// ids are the ids of the gateways that were heard, by address.
	ids map[string]string
	// activeAge is the time after its last heartbeat for which a gateway counts as reached.
	activeAge time.Duration
	// seeds are addresses that are never forgotten.
	seeds []string
	// records are the addresses in the store by the id of the gateway, and removals the
	// ids whose records are to be removed, with the time.
	records  map[string]string
	removals map[string]time.Time
	// told is set once another gateway has told of the state of servers.
	told bool
	// introduced is set once the store or another gateway has told of the gateways.
	introduced bool
	// changed reports that the addresses have changed since they were last sent.
	changed bool
}

func newMembers(self string, seeds []string, forgetAfter time.Duration) *members {
	if forgetAfter <= 0 {
		forgetAfter = defaultForgetAfter
	}
	m := &members{
		self: self, forgetAfter: forgetAfter, lastHeard: map[string]time.Time{}, known: map[string]time.Time{},
		records: map[string]string{}, removals: map[string]time.Time{}, ids: map[string]string{}, activeAge: minActiveAge,
	}
	m.setSeeds(seeds, time.Now())
	return m
}

// setSeeds replaces the seeds. Those that are no longer seeds stay known while they are
// heard.
func (m *members) setSeeds(seeds []string, now time.Time) {
	m.seeds = seeds
	for _, a := range seeds {
		m.add(a, now)
	}
}

// add adds an address and reports whether it is new. It ignores what is no address, and
// more than maxMembers.
func (m *members) add(address string, now time.Time) bool {
	if address == "" || address == m.self {
		return false
	}
	_, ok := m.known[address]
	if _, err := netip.ParseAddrPort(address); !ok && (err != nil || len(m.known) >= maxMembers) {
		return false
	}
	m.known[address] = now
	return !ok
}

// heard records a heartbeat.
func (m *members) heard(address string, now time.Time) {
	if _, ok := m.known[address]; !ok {
		return
	}
	m.changed = m.changed || now.Sub(m.lastHeard[address]) >= memberTimeout
	m.lastHeard[address] = now
}

// addresses returns the live gateways, including this one. Others are not passed on, so
// that nobody keeps an address that no one has heard.
func (m *members) addresses(now time.Time) []string {
	out := []string{m.self}
	for a, at := range m.lastHeard {
		if now.Sub(at) < memberTimeout {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// countLive returns the number of live gateways, including this one.
func (m *members) countLive(now time.Time) int { return m.countHeard(now, memberTimeout) }

// sharers returns the gateways that may share the servers, in the order of their
// addresses. One that was started a short time ago also counts those that it knows and has
// not heard: after a loss of power all start at the same time. Until the store or another
// gateway has told it of others, it does not know how many there are.
func (m *members) sharers(now, startedAt time.Time) dispatch.Sharers {
	settled := now.Sub(startedAt) >= introductionTime
	if !settled && !m.introduced {
		return dispatch.Sharers{}
	}
	s := dispatch.Sharers{Gateways: 1}
	for a := range m.known {
		at, heard := m.lastHeard[a]
		if settled && (!heard || now.Sub(at) >= memberTimeout) {
			continue
		}
		s.Gateways++
		if a < m.self {
			s.Index++
		}
	}
	return s
}

// reached returns the gateways that this one hears, with itself, and the number of those
// that may send requests to the same servers, heard or not. It returns none while it cannot
// know which there are. An address that nobody has heard and the store does not list counts
// only while this gateway hears no other.
func (m *members) reached(now, startedAt time.Time) (addresses []string, sharing int) {
	settled := now.Sub(startedAt) >= introductionTime
	if !settled && !m.introduced {
		return nil, 0
	}
	addresses = []string{m.self}
	for a, at := range m.lastHeard {
		if now.Sub(at) < m.activeAge {
			addresses = append(addresses, a)
		}
	}
	listed := make(map[string]bool, len(m.records))
	for _, a := range m.records {
		listed[a] = true
	}
	sharing = 1
	for a := range m.known {
		if _, heard := m.lastHeard[a]; heard || listed[a] || !settled || len(addresses) == 1 {
			sharing++
		}
	}
	return addresses, sharing
}

// knowsServers reports whether the records of the servers may be relied on: another gateway
// has told of servers that leave, which a copy of the store may list as ready, or there is
// none that could.
func (m *members) knowsServers(now, startedAt time.Time) bool {
	return m.told || len(m.known) == 0 || now.Sub(startedAt) >= maxToldTime
}

// countKnown returns the number of gateways that are known, heard or not, including this
// one.
func (m *members) countKnown() int { return len(m.known) + 1 }

// countHeard returns the number of gateways that have sent a heartbeat within a time,
// including this one.
func (m *members) countHeard(now time.Time, within time.Duration) int {
	n := 1
	for _, at := range m.lastHeard {
		if now.Sub(at) < within {
			n++
		}
	}
	return n
}

// forget removes the gateways that nobody has heard for forgetAfter and returns them. It
// removes none while this one hears no other, since it may be cut off itself. random
// returns a number of at least 0 and below 1.
func (m *members) forget(now time.Time, random func() float64) []string {
	if m.countHeard(now, min(memberTimeout, m.forgetAfter)) < 2 {
		return nil
	}
	var out []string
	for a, known := range m.known {
		last := known
		if at := m.lastHeard[a]; at.After(last) {
			last = at
		}
		if now.Sub(last) < m.forgetAfter || slices.Contains(m.seeds, a) {
			continue
		}
		out = append(out, a)
		delete(m.known, a)
		delete(m.lastHeard, a)
		delete(m.ids, a)
		for id, listed := range m.records {
			if listed == a {
				// The gateways that remain try at different times.
				m.removals[id] = now.Add(time.Duration(random() * float64(m.forgetAfter)))
			}
		}
	}
	m.changed = m.changed || len(out) > 0
	return out
}

// listed records what the store says of a gateway. An empty address means that its
// record was removed.
func (m *members) listed(id, address string) {
	delete(m.removals, id)
	if address == "" {
		delete(m.records, id)
	} else {
		m.records[id] = address
	}
}

// dueRemovals returns the ids of the gateways whose records are to be removed by now.
func (m *members) dueRemovals(now time.Time) []string {
	var out []string
	for id, at := range m.removals {
		if !now.Before(at) {
			out = append(out, id)
			delete(m.removals, id)
		}
	}
	return out
}

// updateSharers tells the dispatcher which gateways share the servers. It runs in the task.
func (g *Gateway) updateSharers(now time.Time) {
	g.state.dispatcher.SetSharers(g.state.members.sharers(now, g.startedAt))
}

// addMember adds the address of a gateway and starts to dial it. It runs in the
// task.
func (g *Gateway) addMember(address string) {
	if g.state.members.add(address, time.Now()) {
		g.node.KeepConnected(address)
	}
}

// dialSeeds dials the gateways that are known at the start.
func (g *Gateway) dialSeeds() {
	g.task.Do(func() {
		for a := range g.state.members.known {
			g.node.KeepConnected(a)
		}
	})
}

// applyMembers adds the gateways that the store lists. If it does not list this one, as
// after its start, when the store has come back from an older copy, and when others have
// not heard this one for long, it is registered.
func (g *Gateway) applyMembers(read topicRead) {
	listed := !read.full
	g.task.Do(func() {
		for _, r := range read.Records {
			address := string(r.Value)
			if r.Deleted {
				address = ""
			}
			g.state.members.listed(r.Key, address)
			if r.Key == g.cfg.ID {
				listed = address == g.cfg.PeerAddress
			}
			g.addMember(address)
		}
		g.state.members.introduced = true
		g.updateSharers(time.Now())
	})
	if !listed {
		signal(g.registerSignal)
	}
}

// registerMember registers this gateway in the store whenever it is not listed.
func (g *Gateway) registerMember(ctx context.Context) {
	for {
		select {
		case <-g.registerSignal:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			err := g.cfg.Store.Put(ctx, core.TopicMembers, g.cfg.ID, []byte(g.cfg.PeerAddress))
			if err == nil {
				break
			}
			g.log.Warn("registering the gateway in the store failed; retrying", zap.Error(err))
			select {
			case <-time.After(registerRetryInterval):
			case <-ctx.Done():
			}
		}
	}
}

// forgetMembers stops dialling the gateways that have been gone for long and removes
// their records from the store, until ctx is done.
func (g *Gateway) forgetMembers(ctx context.Context) {
	task.Every(ctx, min(forgetInterval, g.state.members.forgetAfter), func() {
		var gone, remove []string
		g.task.Do(func() {
			m := g.state.members
			now := time.Now()
			gone, remove = m.forget(now, rand.Float64), m.dueRemovals(now)
			for _, a := range gone {
				g.node.Disconnect(a)
			}
			g.updateSharers(now)
		})
		if len(gone) > 0 {
			g.log.Info("gateways forgotten", zap.Strings("addresses", gone))
		}
		for _, id := range remove {
			if err := g.cfg.Store.Put(ctx, core.TopicMembers, id, nil); err != nil {
				g.log.Warn("removing the record of a gateway failed", zap.String("id", id), zap.Error(err))
				continue
			}
			g.log.Info("record of a gateway removed", zap.String("id", id))
		}
	})
}
