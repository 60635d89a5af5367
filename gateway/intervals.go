package gateway

import (
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
)

// Timing of the exchange between gateways. What each of them does at an interval becomes
// rarer the more there are, so that the messages to one gateway and the calls to the
// store do not grow with their number.
const (
	minHeartbeatInterval = 100 * time.Millisecond
	// maxHeartbeatsPerSecond limits the heartbeats that a gateway receives.
	maxHeartbeatsPerSecond = 120
	// membersRepeatInterval is the interval at which the addresses of gateways are sent
	// although they have not changed.
	membersRepeatInterval = 10 * time.Second
	// groupViewInterval is the least time between two group views, which change often
	// while servers and gateways start.
	groupViewInterval = 500 * time.Millisecond
	// A gateway is active for activeIntervals heartbeat intervals, and for minActiveAge at
	// least, after its last heartbeat.
	activeIntervals = 3
	minActiveAge    = time.Second
	// operatorPullDelay and serversPullDelay are how long a gateway waits for
	// records that another gateway already has before it pulls them from that
	// gateway. The store delivers operators' records at once, while the servers are
	// read at an interval.
	operatorPullDelay = 150 * time.Millisecond
	serversPullDelay  = 900 * time.Millisecond
	// domainPullDelay replaces serversPullDelay for pulls from a gateway of the same
	// failure domain, and otherPullDelay for others, where gateways read the servers in
	// turn.
	domainPullDelay = 300 * time.Millisecond
	otherPullDelay  = 500 * time.Millisecond
	// minPullInterval is the least time between two pulls of a topic.
	minPullInterval = 200 * time.Millisecond
	// serversReadSpacing is the mean time between the reads of the servers by any of the
	// gateways, if they have to read less often than their settings say.
	serversReadSpacing = 100 * time.Millisecond
	// maxServersAge is how long a gateway waits for others to learn of newer records of
	// servers before it reads them itself. With a read it is below the time in which
	// requests to a leaving server must end (drain_ms).
	maxServersAge = 1500 * time.Millisecond
	// operatorReadWait is the long-poll timeout of reads of the operators' topic. It
	// is short because a dead connection is not detected before it ends.
	operatorReadWait = 2 * time.Second
	// maxOperatorReadWait bounds it where the other gateways would notice the loss of a
	// record, and gatewaysPerWait is the number of gateways for which it grows by
	// operatorReadWait.
	maxOperatorReadWait = 10 * time.Second
	gatewaysPerWait     = 12
	// minWaitFraction is the least part of a longer wait. The waits differ, so that a few
	// gateways end theirs soon after all connections have been lost.
	minWaitFraction = 0.2
	// operatorSpacingPerGateway is the least time between two reads of the operators' topic
	// for each gateway above gatewaysPerWait, and maxOperatorSpacing its bound. In a series
	// of changes each one would else be read by all gateways by itself.
	operatorSpacingPerGateway = 12 * time.Millisecond
	maxOperatorSpacing        = 500 * time.Millisecond
	// maxSharedBackoff bounds the backoff of reads of the operators' topic and of the
	// servers, which grows by maxBackoff for gatewaysPerWait gateways.
	maxSharedBackoff = 2 * time.Second
	// minSilentReadInterval is the interval at which reads are repeated while the store does
	// not answer, and silentReadSpacing its growth for each gateway.
	minSilentReadInterval = 400 * time.Millisecond
	silentReadSpacing     = 25 * time.Millisecond
	// maxRareBackoff is the longest backoff of reads of the other topics.
	maxRareBackoff = 5 * time.Second
)

// heartbeatInterval returns the interval of heartbeats among a number of gateways.
func heartbeatInterval(gateways int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(gateways-1)*time.Second/maxHeartbeatsPerSecond)
}

// serversInterval returns the interval at which each of a number of gateways reads the
// servers, where base is the interval for few of them.
func serversInterval(base time.Duration, gateways int) time.Duration {
	return max(base, time.Duration(gateways)*serversReadSpacing)
}

// operatorWait returns the long-poll timeout of reads of the operators' topic. random is
// at least 0 and below 1.
func operatorWait(gateways int, random float64) time.Duration {
	wait := min(maxOperatorReadWait, time.Duration(gateways)*operatorReadWait/gatewaysPerWait)
	if wait <= operatorReadWait {
		return operatorReadWait
	}
	return max(operatorReadWait/2, time.Duration((minWaitFraction+(1-minWaitFraction)*random)*float64(wait)))
}

// operatorSpacing returns the least time between two reads of the operators' topic by each
// of a number of gateways.
func operatorSpacing(gateways int) time.Duration {
	return min(maxOperatorSpacing, time.Duration(max(0, gateways-gatewaysPerWait))*operatorSpacingPerGateway)
}

// readBackoff returns the longest backoff of reads of a topic by each of a number of
// gateways.
func readBackoff(t core.Topic, gateways int) time.Duration {
	if t == core.TopicOperator || t == core.TopicServers {
		return max(maxBackoff, min(maxSharedBackoff, time.Duration(gateways)*maxBackoff/gatewaysPerWait))
	}
	return maxRareBackoff
}

// silentReadInterval returns the interval at which each of a number of gateways begins
// another read of a topic while the store does not answer. Many gateways tell each other.
func silentReadInterval(gateways int) time.Duration {
	return max(minSilentReadInterval, time.Duration(gateways)*silentReadSpacing)
}

func (w *topicWatcher) maxBackoff() time.Duration {
	return readBackoff(w.topic, int(w.gateway.activeGateways.Load()))
}

// readWait returns the long-poll timeout of the next read of a topic. A read after a failed
// one does not wait for news, so that the return of the store is noticed at once.
func (w *topicWatcher) readWait() time.Duration {
	if w.failed || w.gateway.ownPauses.isPending(w.topic) {
		return 0
	}
	if w.topic == core.TopicOperator {
		return operatorWait(int(w.gateway.activeGateways.Load()), rand.Float64())
	}
	return w.wait
}

// readSpacing returns the least time between two reads of a topic.
func (w *topicWatcher) readSpacing() time.Duration {
	if w.topic == core.TopicOperator {
		return operatorSpacing(int(w.gateway.activeGateways.Load()))
	}
	return w.spacing
}

// readsInTurn reports whether the gateways read the servers less often than their
// settings say.
func (g *Gateway) readsInTurn() bool {
	return serversInterval(g.cfg.ServersInterval, int(g.activeGateways.Load())) > g.cfg.ServersInterval
}

// pullDelay returns how long this gateway waits for records of a topic before it pulls
// them from another one.
func (g *Gateway) pullDelay(t core.Topic, from *peer.Session) time.Duration {
	switch {
	case t == core.TopicOperator:
		return operatorPullDelay + operatorSpacing(int(g.activeGateways.Load()))
	case !g.readsInTurn():
		return serversPullDelay
	case from.Hello.GetFailureDomain() == g.cfg.FailureDomain:
		return domainPullDelay
	}
	return otherPullDelay
}

// serversDue returns the time until this gateway has to read the servers itself.
func (w *topicWatcher) serversDue(now time.Time) time.Duration {
	due := w.readAt.Add(serversInterval(w.interval, int(w.gateway.activeGateways.Load())))
	if w.gateway.readsInTurn() {
		learned := w.readAt
		w.gateway.task.Do(func() { learned = w.gateway.state.serversLearnedAt })
		if oldest := learned.Add(maxServersAge); oldest.Before(due) {
			due = oldest
		}
	}
	return due.Sub(now)
}
