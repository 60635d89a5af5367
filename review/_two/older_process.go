package main

import (
	"fmt"
	"time"
)

// Times and sizes of the case.
const (
	deskRunners = 6
	deskSlots   = 6
	deskWork    = 120 * time.Millisecond
	drainTime   = 2 * time.Second
	// lateWrite is when the store carries out a write that it has not answered.
	lateWrite = 5200 * time.Millisecond
	// downTime is how long a runner that has crashed is down, and leaveAfter how long after
	// its crash it is told to leave.
	downTime, leaveAfter = 600 * time.Millisecond, 1400 * time.Millisecond
	// drainLength is how long a runner that leaves goes on serving.
	drainLength    = 6500 * time.Millisecond
	deskRounds     = 5
	deskPerGateway = 40.0
)

// olderProcess lets a runner crash and start again under its id. The last entry of the
// process that has ended gets no answer from the store, which carries it out seconds later:
// when the new process has said that it leaves.
func olderProcess(s *scene) (bool, error) {
	var runners []*runner
	zones := []string{"tamarin", "chamarel", "case-noyale"}
	for i := range deskRunners {
		r, err := s.newRunner(20+i, fmt.Sprintf("i-%08x", 0x5ea30000+i*7919), "booking-desk", zones[i%len(zones)], deskSlots, deskWork)
		if err != nil {
			return false, err
		}
		if err := r.start(); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	s.publish(map[string]any{"version": 1, "limits": limits,
		"routes": []map[string]any{{"name": "trek-lookup", "host": "cufi25.example", "path_prefix": "/cufi504/", "kind": "idempotent", "timeout_ms": 2000,
			"slo_ms": 300, "priority": 2, "service": "booking-desk", "max_attempts": 2, "public": true}},
		"services": []map[string]any{{"name": "booking-desk", "health_path": "/health", "max_conns": 110, "cold_start_s": 0.0, "cold_per_s": 0.0}}})
	gateways, err := s.startGateways(zones...)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(gateways); err != nil {
		return false, err
	}
	c := s.newClients(gateways, "GET", "cufi25.example", "/cufi504/fi50/2f", 4*time.Second)
	c.run(deskPerGateway)
	time.Sleep(6 * time.Second)
	var left []departure
	for i := range deskRounds {
		d, err := runners[i].leaveAgain(s.trouble)
		if err != nil {
			return false, err
		}
		left = append(left, d)
		time.Sleep(time.Second)
	}
	attempts := c.end()
	s.recordf("%d of %d attempts were served", served(attempts), len(attempts))
	if served(attempts) < len(attempts)/2 {
		return false, fmt.Errorf("%d of %d attempts were served", served(attempts), len(attempts))
	}
	broken := false
	for _, d := range left {
		broken = d.reachedLate(attempts) || broken
	}
	return broken, nil
}

// departure is the planned end of a life of a runner.
type departure struct {
	runner *runner
	life   int
}

// leaveAgain lets a runner crash, start again and leave. Without trouble it only leaves. Some
// time after that it starts once more, so that the service keeps its size.
func (r *runner) leaveAgain(trouble bool) (departure, error) {
	s := r.scene
	if trouble {
		var lost map[string]any
		r.mu.Lock()
		taken := make(chan struct{})
		r.onBeat = func(entry map[string]any) bool {
			lost, r.onBeat = entry, nil
			close(taken)
			return true
		}
		r.mu.Unlock()
		<-taken
		s.recordf("runner %s: life %d writes %v; the store gives no answer", r.id, r.life, lost)
		time.AfterFunc(lateWrite, func() {
			s.store.PutJSON(serversTopic, r.id, lost)
			s.recordf("the store carries out the write of runner %s, %v", r.id, lost)
		})
		r.end()
		s.recordf("runner %s: life %d has crashed", r.id, r.life)
		time.Sleep(downTime)
		if err := r.start(); err != nil {
			return departure{}, err
		}
		time.Sleep(leaveAfter - downTime)
	}
	r.leave()
	time.Sleep(drainLength)
	r.shutDown()
	d := departure{r, r.life}
	time.Sleep(3 * time.Second)
	return d, r.start()
}

// reachedLate reports whether a request that was sent later than drainTime after a gateway
// had passed on an answer in which the runner's process says that it leaves reached this
// process from the same gateway.
func (d departure) reachedLate(attempts []attempt) bool {
	r := d.runner
	seal := fmt.Sprintf("seal.%s.%d", r.id, d.life)
	told := map[string]time.Time{}
	sent := map[string]attempt{}
	for _, a := range attempts {
		sent[a.id] = a
		if at, ok := told[a.gateway]; a.leaving && a.seal == seal && (!ok || a.ended.Before(at)) {
			told[a.gateway] = a.ended
		}
	}
	r.scene.recordf("runner %s: %d gateways passed on an answer that says that life %d leaves", r.id, len(told), d.life)
	late := 0
	for _, x := range r.arrived() {
		a, ok := sent[x.id]
		at, knows := told[a.gateway]
		if !ok || !knows || x.life != d.life || a.sent.Sub(at) <= drainTime {
			continue
		}
		late++
		r.scene.recordf("DRAIN: request %s, sent to %s %.2f s after that had passed on an answer with Server-Leaving, reached runner %s, life %d, at %.3f",
			a.id, a.gateway, a.sent.Sub(at).Seconds(), r.id, x.life, r.scene.seconds(x.at))
	}
	return late > 0
}
