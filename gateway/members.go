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
	m.known[address] = true
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
func (m *members) countLive(now time.Time) int {
	n := 1
	for _, at := range m.lastHeard {
		if now.Sub(at) < memberTimeout {
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

// watchMembers registers this gateway in the store and then watches the store for
// other gateways.
func (g *Gateway) watchMembers(ctx context.Context) {
	g.task.Do(func() {
		for a := range g.state.members.known {
			g.node.KeepConnected(a)
		}
	})
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
	w := &topicWatcher{gateway: g, topic: core.TopicMembers, wait: membersReadWait, apply: func(b core.KeyedBatch, _ bool) {
		g.task.Do(func() {
			for _, r := range b.Records {
				if !r.Deleted {
					g.addMember(string(r.Value))
				}
			}
		})
	}}
	w.run(ctx)
}
