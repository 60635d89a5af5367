package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// errServerUnresponsive is the cancellation cause of a send to a server that has
// stopped sending events while other servers of its group continue.
const errServerUnresponsive = errors.ConstError("server is unresponsive")

// sendCancels holds the cancel functions of the repeatable requests at each server,
// by server id and a sequence number of the send. It is owned by the gateway's
// task.
type sendCancels map[string]map[uint64]context.CancelCauseFunc

// cancelIfUnresponsive registers a send to be cancelled if its server becomes
// unresponsive. The returned function unregisters it.
func (g *Gateway) cancelIfUnresponsive(server string, cancel context.CancelCauseFunc) func() {
	n := g.nextID.Add(1)
	g.task.Do(func() {
		if g.state.sendCancels[server] == nil {
			g.state.sendCancels[server] = map[uint64]context.CancelCauseFunc{}
		}
		g.state.sendCancels[server][n] = cancel
	})
	return func() {
		g.task.Do(func() {
			delete(g.state.sendCancels[server], n)
			if len(g.state.sendCancels[server]) == 0 {
				delete(g.state.sendCancels, server)
			}
		})
	}
}

// cancelUnresponsiveSends cancels the repeatable requests at servers that have
// become unresponsive, so that other servers run them. It runs in the task.
func (g *Gateway) cancelUnresponsiveSends(now time.Time) {
	for _, id := range g.state.dispatcher.DetectUnresponsive(now) {
		list := g.state.sendCancels[id]
		g.log.Warn("server is unresponsive; moving its requests", zap.String("server", id), zap.Int("moved", len(list)))
		for _, cancel := range list {
			cancel(errServerUnresponsive)
		}
	}
}
