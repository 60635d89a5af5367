package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// memberTimeout is how long a gateway counts after it was last heard.
const memberTimeout = 30 * time.Second

// retryBudgetShare is the part of the shared budget of repeats that gateways use, so
// that gateways that start anew within one window do not exceed it together.
const retryBudgetShare = 0.7

// members are the gateways that this one knows, by address.
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

// add notes an address and reports whether it is new.
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

// countLive is the number of gateways heard of lately, this one included.
func (m *members) countLive(now time.Time) int {
	n := 1
	for _, at := range m.lastHeard {
		if now.Sub(at) < memberTimeout {
			n++
		}
	}
	return n
}

// addMember notes the address of a gateway and dials it. It runs in the task.
func (g *Gateway) addMember(address string) {
	if g.state.members.add(address) {
		g.node.Keep(address)
	}
}

// watchMembers makes this gateway known in the store and reads the others.
func (g *Gateway) watchMembers(ctx context.Context) {
	g.task.Do(func() {
		for a := range g.state.members.known {
			g.node.Keep(a)
		}
	})
	for ctx.Err() == nil {
		err := g.cfg.Store.Put(ctx, core.TopicMembers, g.cfg.ID, []byte(g.cfg.PeerAddress))
		if err == nil {
			break
		}
		g.log.Warn("gateway could not be made known in the store", zap.Error(err))
		select {
		case <-time.After(maxBackoff):
		case <-ctx.Done():
		}
	}
	f := &topicWatcher{gateway: g, topic: core.TopicMembers, wait: membersReadWait, apply: func(b core.KeyedBatch, _ bool) {
		g.task.Do(func() {
			for _, r := range b.Records {
				if !r.Deleted {
					g.addMember(string(r.Value))
				}
			}
		})
	}}
	f.run(ctx)
}
