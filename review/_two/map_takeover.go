package main

import (
	"errors"
	"fmt"
	"time"
)

// Times of the case.
const (
	groupSize = 4
	groupHost = 20
	// restartGap is how long the platform takes to start a process that was killed.
	restartGap = 700 * time.Millisecond
	// silentRank is the runner that says nothing for the time silence.
	silentRank = groupSize - 1
	silence    = 800 * time.Millisecond
	// unansweredTime is how long from then on it leaves orders without an answer.
	unansweredTime = time.Second
	// minLate and maxLate bound when an order without an answer is carried out.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	calmTime         = 40 * time.Second
	// afterwards is how long the group is watched after a round.
	afterwards = 10 * time.Second
	roundLimit = 35 * time.Second
	mapRounds  = 2
)

// mapTakeover kills the leader of a group while its order to release a held pass has no
// answer yet, which the runner carries out seconds later. The agent that is started again
// takes over the hold.
func mapTakeover(s *scene) (bool, error) {
	g, err := s.startGroup(groupHost, groupSize)
	if err != nil {
		return false, err
	}
	g.register()
	s.publish(map[string]any{"version": 1, "routes": []any{}, "services": []any{engineConfig()}, "limits": limits})
	gateways, err := s.startGateways("tamarin")
	if err != nil {
		return false, err
	}
	agents, err := s.startAgents(g, gateways[0])
	if err != nil {
		return false, err
	}
	if err := g.awaitMaps(2, roundLimit); err != nil {
		return false, fmt.Errorf("before the disruption: %w", err)
	}
	if !s.trouble {
		time.Sleep(calmTime)
		return g.broken(), nil
	}
	for round := range mapRounds {
		if err := g.killReleasingLeader(agents[0], round+1); err != nil {
			return false, err
		}
		if g.broken() {
			break
		}
	}
	return g.broken(), nil
}

// register writes the entries of the runners.
func (g *group) register() {
	for i, r := range g.ranks {
		g.scene.store.PutJSON(serversTopic, fmt.Sprintf("i-%d", i), map[string]any{"service": "model", "addr": r.address, "zone": "tamarin", "version": "v1",
			"slots": engineSlots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": r.born, "size": len(g.ranks),
			"group": map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}})
	}
}

func (g *group) broken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed > 0
}

// startAgents starts the agent of each rank beside its runner.
func (s *scene) startAgents(g *group, gw *gateway) ([]*process, error) {
	port, err := s.freePort(groupHost)
	if err != nil {
		return nil, err
	}
	var out []*process
	for i, r := range g.ranks {
		p, err := s.start("rank-agent", fmt.Sprintf("side-%d", i+1), fmt.Sprintf(`id = "side-%d"
role = "rank_agent"
failure_domain = "tamarin"
region = "mu-west"
memory_mb = 152
link_mbps = 20.0
grace = "8s"
seeds = [%q]

[listen]
peer = "%s:%d"

[store]
address = %q

[engine]
address = %q
`, i+1, gw.peer, s.host(groupHost+i), port, s.storeAddress, r.address))
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

// awaitMaps waits until the group has used n more maps.
func (g *group) awaitMaps(n int, limit time.Duration) error {
	g.mu.Lock()
	want := len(g.maps) + n
	g.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.mu.Lock()
		got := len(g.maps)
		g.mu.Unlock()
		if got >= want {
			return nil
		}
	}
	return errors.New("the group's map does not change")
}

// lateOrders holds the orders of a round that runners have left without an answer.
type lateOrders struct {
	group *group
	round int
	// release is the order to begin the held pass, and sent when it came.
	release order
	sent    time.Time
	// killed is closed when the leader that gave it has been started again, takenOver is
	// set when that one holds the same pass, and disarmed closed when it disarms a rank.
	killed, disarmed chan struct{}
	takenOver        bool
	// unansweredUntil is until when silentRank leaves orders without an answer.
	unansweredUntil time.Time
	orders          int
	unanswered      int
}

// killReleasingLeader leaves the next order to release a held pass at rank 0 without an
// answer and kills the agent that gave it. When the agent that follows holds the same pass,
// another runner falls silent for less than a second, and leaves without an answer what it is
// told in that second. All these orders are carried out between 2 and 12 s after they were sent:
// the first one once a rank has been disarmed.
func (g *group) killReleasingLeader(leader *process, round int) error {
	l := &lateOrders{group: g, round: round, killed: make(chan struct{}), disarmed: make(chan struct{})}
	g.mu.Lock()
	g.onOrder = func(i int, o order) bool { return l.take(leader, i, o) }
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.onOrder = nil
		g.scene.recordf("round %d: %d of %d orders got no answer", round, l.unanswered, l.orders)
		g.mu.Unlock()
	}()
	select {
	case <-l.disarmed:
	case <-time.After(roundLimit / 2):
	}
	g.mu.Lock()
	sent := l.sent
	g.mu.Unlock()
	if sent.IsZero() {
		return errors.New("no change of the map came")
	}
	time.Sleep(max(20*time.Millisecond, time.Until(sent.Add(minLate))))
	g.mu.Lock()
	g.late(0, l.release, sent)
	g.mu.Unlock()
	<-l.killed
	time.Sleep(afterwards)
	return nil
}

// take decides about an order. It reports whether the order gets no answer. The group's mu is
// locked.
func (l *lateOrders) take(leader *process, i int, o order) bool {
	l.orders++
	s := l.group.scene
	switch {
	case i == 0 && o.Op == "go" && l.sent.IsZero():
		l.release, l.sent = o, time.Now()
		s.recordf("round %d: rank 0 leaves %v without an answer; its giver is killed", l.round, o)
		go func() {
			defer close(l.killed)
			leader.kill()
			time.Sleep(restartGap)
			s.recordf("the agent of rank 0 is started again")
			if err := leader.start(); err != nil {
				s.recordf("starting the agent failed: %v", err)
			}
		}()
		l.unanswered++
		return true
	case i == 0 && o.Op == "hold" && !l.sent.IsZero() && !l.takenOver && o.Step == l.release.Step:
		l.takenOver, l.unansweredUntil = true, time.Now().Add(unansweredTime)
		l.group.ranks[silentRank].silentUntil = time.Now().Add(silence)
		s.recordf("the new leader takes over step %d; rank %d is silent for %v", o.Step, silentRank, silence)
	case i == silentRank && time.Now().Before(l.unansweredUntil):
		sent := time.Now()
		time.AfterFunc(minLate+500*time.Millisecond, func() {
			l.group.mu.Lock()
			defer l.group.mu.Unlock()
			l.group.late(i, o, sent)
		})
		s.recordf("rank %d leaves %v without an answer", i, o)
		l.unanswered++
		return true
	case o.Op == "disarm" && l.takenOver:
		select {
		case <-l.disarmed:
		default:
			close(l.disarmed)
		}
	}
	return false
}

// late carries out an order that got no answer. mu must be locked.
func (g *group) late(i int, o order, sent time.Time) {
	if age := time.Since(sent); age >= minLate && age <= maxLate {
		g.scene.recordf("rank %d carries out %v, %.1f s after it was sent: %d", i, o, age.Seconds(), g.carryOut(i, o))
	}
}
