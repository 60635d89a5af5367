package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// errServerUnresponsive is the cause of a send that ends because its server says nothing
// while others of its group do.
const errServerUnresponsive = errors.ConstError("server has fallen silent")

// sendCancels holds what ends the repeatable requests at each server, by server and a
// number of the send. It is owned by the gateway's task.
type sendCancels map[string]map[uint64]context.CancelCauseFunc

// cancelIfUnresponsive lets a send end when its server falls silent. The returned
// function ends the watch.
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

// cancelUnresponsiveSends ends the repeatable requests at servers that have fallen
// silent, so that they go to others. It runs in the task.
func (g *Gateway) cancelUnresponsiveSends(now time.Time) {
	for _, id := range g.state.dispatcher.DetectUnresponsive(now) {
		list := g.state.sendCancels[id]
		g.log.Warn("server has fallen silent", zap.String("server", id), zap.Int("moved", len(list)))
		for _, cancel := range list {
			cancel(errServerUnresponsive)
		}
	}
}
