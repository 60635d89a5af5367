package peer

import (
	"time"

	"github.com/hashicorp/yamux"

	"nutmegnotch/core"
)

// Intervals of keepalives. A session is checked when nothing has arrived for that long.
const (
	minKeepAlive = time.Second
	// agentKeepAlive is the longer interval of agents. An entry has
	// hundreds of sessions with agents and sends its own keepalives each second.
	// An agent may detect the loss of an entry later, since it then only ends the
	// runs of that entry. Sessions between agents exist only within a group; a
	// leader that gets no answer checks the session at once.
	agentKeepAlive = 5 * time.Second
	// rankAgentKeepAlive is the interval of sessions between gateways and rank agents,
	// of which a gateway has hundreds. Neither waits for the other.
	rankAgentKeepAlive = 4 * time.Second
	// acceptedFactor makes the interval of the end that was dialled longer, so that the
	// checks of the other end keep it from checking too.
	acceptedFactor = 2
)

// keepAlive checks a session.
type keepAlive struct {
	conn     *coalescingConn
	dialed   bool
	interval time.Duration
}

// keepAliveInterval returns the interval at which a process checks a session.
func keepAliveInterval(own, other string, dialed bool) time.Duration {
	interval := minKeepAlive
	switch {
	case own == core.RoleAgent:
		return agentKeepAlive
	case own != other && (own == core.RoleRankAgent || other == core.RoleRankAgent):
		interval = rankAgentKeepAlive
	case own != core.RoleGateway:
		return minKeepAlive
	}
	if !dialed {
		interval *= acceptedFactor
	}
	return interval
}

// run pings the peer whenever nothing has arrived for the interval, and closes the
// session if it does not answer within writeTimeout.
func (k keepAlive) run(mux *yamux.Session) {
	for {
		if left := k.interval - k.conn.idle(); left > 0 {
			select {
			case <-time.After(left):
			case <-mux.CloseChan():
				return
			}
			continue
		}
		if _, err := mux.Ping(); err != nil {
			mux.Close()
			return
		}
	}
}
