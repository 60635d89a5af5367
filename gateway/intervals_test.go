package gateway

import (
	"testing"
	"time"

	"nutmegnotch/core"
)

// Guards against messages to a gateway and calls to the store that grow with the number
// of gateways, and against intervals that keep a change unknown for too long.
func TestIntervalsByNumberOfGateways(t *testing.T) {
	const base = 700 * time.Millisecond
	for _, c := range []struct {
		gateways                             int
		heartbeat, servers, backoff, longest time.Duration
		spacing                              time.Duration
	}{
		{1, 100 * time.Millisecond, base, 800 * time.Millisecond, 2 * time.Second, 0},
		{5, 100 * time.Millisecond, base, 800 * time.Millisecond, 2 * time.Second, 0},
		{12, 100 * time.Millisecond, 1200 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 0},
		{54, 441666666 * time.Nanosecond, 5400 * time.Millisecond, 2 * time.Second, 9 * time.Second, 500 * time.Millisecond},
		{1600, 13325 * time.Millisecond, 160 * time.Second, 2 * time.Second, 10 * time.Second, 500 * time.Millisecond},
	} {
		if got := heartbeatInterval(c.gateways); got != c.heartbeat {
			t.Errorf("%d gateways, heartbeats: got every %v, want %v", c.gateways, got, c.heartbeat)
		}
		if got := serversInterval(base, c.gateways); got != c.servers {
			t.Errorf("%d gateways, reads of servers: got every %v, want %v", c.gateways, got, c.servers)
		}
		if got := operatorSpacing(c.gateways); got != c.spacing {
			t.Errorf("%d gateways, time between reads of operators' records: got %v, want at least %v", c.gateways, got, c.spacing)
		}
		if got := readBackoff(core.TopicServers, c.gateways); got != c.backoff {
			t.Errorf("%d gateways, backoff: got %v, want %v", c.gateways, got, c.backoff)
		}
		if got := operatorWait(c.gateways, 1); got != c.longest {
			t.Errorf("%d gateways, longest wait for an operator's record: got %v, want %v", c.gateways, got, c.longest)
		}
		if got := operatorWait(c.gateways, 0); got > operatorReadWait {
			t.Errorf("%d gateways, shortest wait for an operator's record: got %v, want at most %v", c.gateways, got, operatorReadWait)
		}
	}
}
