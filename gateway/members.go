package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// memberTimeout is the time after its last heartbeat for which a gateway counts as
// live.
const memberTimeout = 30 * time.Second

// members holds the other gateways that this gateway knows, by peer address.
// lastHeard is the time of the last heartbeat of each.
type members struct {
	self      string
	lastHeard map[string]time.Time
	known     map[string]bool
	// changed reports that an address was added since the addresses were last sent.
	changed bool
}

func newMembers(self string, seeds []string) *members {
	m := &members{self: self, lastHeard: map[string]time.Time{}, known: map[string]bool{}}
	for _, a := range seeds {
		m.add(a)
	}
	return m
}

// add adds an address and reports whether it is new.
func (m *members) add(address string) bool {
	if address == "" || address == m.self || m.known[address] {
		return false
	}
	m.known[address], m.changed = true, true
	return true
}

func (m *members) addresses() []string {
	out := []string{m.self}
	for a := range m.known {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// countLive returns the number of live gateways, including this one.
func (m *members) countLive(now time.Time) int { return m.countHeard(now, memberTimeout) }

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

// addMember adds the address of a gateway and starts to dial it. It runs in the
// task.
func (g *Gateway) addMember(address string) {
	if g.state.members.add(address) {
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

// applyMembers adds the gateways that the store lists. If a full list lacks this one, as
// after its start and when the store has come back from an older copy, it is registered.
func (g *Gateway) applyMembers(read topicRead) {
	listed := false
	g.task.Do(func() {
		for _, r := range read.Records {
			listed = listed || r.Key == g.cfg.ID && string(r.Value) == g.cfg.PeerAddress
			if !r.Deleted {
				g.addMember(string(r.Value))
			}
		}
	})
	if read.full && !listed {
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
			case <-time.After(maxBackoff):
			case <-ctx.Done():
			}
		}
	}
}
