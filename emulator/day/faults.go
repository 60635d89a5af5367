package day

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"nutmegnotch/emulator/metastore"
)

// Bounds of the rules.
const (
	// leavingSlack is the time after which nothing new may reach a server that leaves.
	leavingSlack = time.Second
	// pauseSlack is the time after which nothing more may reach a server that has asked a
	// gateway for a pause, but pauseRequests.
	pauseSlack    = 500 * time.Millisecond
	pauseRequests = 2
	// configTime is the time until a configuration is in force.
	configTime = 2 * time.Second
	// The copy from which the store comes back is up to maxCopyAge old.
	maxCopyAge = 3 * time.Second
	maxOutage  = 400 * time.Millisecond
	maxSpread  = 2 * time.Second
	maxPause   = 2 * time.Second
	// A server names a limit of limitRate requests a second for up to maxLimitTime. In any
	// limitWindow, later than limitSlack after it began, it gets limitFactor times that and
	// limitExtra requests at most.
	limitRate    = 20
	maxLimitTime = 8 * time.Second
	limitWindow  = 4 * time.Second
	limitSlack   = 3 * time.Second
	limitFactor  = 1.5
	limitExtra   = 5
	// removedAfter is the time from the first word that a server leaves to its removal.
	removedAfter = 2500 * time.Millisecond
)

// fault is something that happens at a time of the day.
type fault struct {
	at  time.Duration
	run func()
}

// between returns a random time.
func (d *day) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.rnd.Int64N(int64(most-least)))
}

// schedule draws the faults of a day: two returns of the store, the restart of a gateway
// around the first one, two servers that leave, two pauses, configurations, and a server
// that names a rate limit.
func (d *day) schedule(length time.Duration) []fault {
	var out []fault
	add := func(at time.Duration, run func()) { out = append(out, fault{at, run}) }
	first := d.between(length/8, length/3)
	for _, at := range []time.Duration{first, first + d.between(time.Second, length/2)} {
		age, outage, spread := d.between(100*time.Millisecond, maxCopyAge), d.between(50*time.Millisecond, maxOutage), d.between(100*time.Millisecond, maxSpread)
		order := rand.New(rand.NewPCG(d.rnd.Uint64(), 1))
		add(at, func() { d.restore(age, outage, spread, order) })
	}
	restarted := d.rnd.IntN(gateways)
	add(max(0, first+d.between(-time.Second, time.Second)), func() { d.restart(restarted) })
	for _, i := range []int{0, deskServers} {
		add(d.between(0, length*2/3), func() { d.leave(i) })
	}
	for _, i := range []int{1, deskServers + 1} {
		pause := d.between(pauseSlack, maxPause)
		add(d.between(0, length*2/3), func() {
			d.server(i).runner.Pause(pause, fmt.Sprintf("%.2f", pause.Seconds()))
		})
	}
	for at := d.between(0, time.Second); at < length; at += d.between(700*time.Millisecond, 2*time.Second) {
		add(at, func() { d.watchVersion(d.publish()) })
	}
	limits := rand.New(rand.NewPCG(uint64(first), 3))
	limited := d.servers[2+limits.IntN(deskServers-2)]
	from := time.Duration(limits.Int64N(int64(length / 3)))
	add(from, func() { limited.nameLimit(limitRate) })
	add(from+limitSlack+time.Duration(limits.Int64N(int64(maxLimitTime-limitSlack))), limited.endLimit)
	return out
}

// nameLimit makes a server name a rate limit.
func (s *server) nameLimit(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitedFrom = time.Now()
	s.runner.NameLimit(fmt.Sprint(rate))
}

func (s *server) endLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitedUntil = time.Now()
	s.runner.NameLimit()
}

// checkLimit checks that a server with a rate limit has got no more than that.
func (d *day) checkLimit(s *server) {
	var list []time.Time
	for _, at := range s.runner.Arrivals() {
		if !s.limitedFrom.IsZero() && at.After(s.limitedFrom.Add(limitSlack)) && at.Before(s.limitedUntil) {
			list = append(list, at)
		}
	}
	allowed := int(limitFactor*limitRate*limitWindow.Seconds() + limitExtra)
	for i := allowed; i < len(list); i++ {
		if list[i].Sub(list[i-allowed]) < limitWindow {
			d.violate("%s got more than %d requests in %v, with a limit of %d a second", s.id, allowed, limitWindow, limitRate)
			return
		}
	}
}

func (d *day) server(i int) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[i]
}

// restore makes the store go away for a moment and come back from a copy. The operator
// writes a new configuration with what is lost.
func (d *day) restore(age, outage, spread time.Duration, order *rand.Rand) {
	d.store.SetFault(metastore.FaultUnavailable)
	sleep(d.ctx, outage)
	lost := d.store.Restore(age)
	d.store.SetFault(metastore.FaultNone)
	v := d.publish()
	d.wg.Go(func() { d.store.WriteAgain(lost, spread, order) })
	took := d.untilInForce()
	d.mu.Lock()
	d.result.EraTimes = append(d.result.EraTimes, took)
	d.mu.Unlock()
	if took > configTime {
		d.violate("configuration %d was in force %v after the store's return, want %v", v, took, configTime)
	}
}

// watchVersion checks that no gateway goes back behind a version that it has had.
func (d *day) watchVersion(version int) {
	for i := range gateways {
		p := d.gateway(i)
		if p == nil {
			continue
		}
		d.wg.Go(func() {
			for had := false; sleep(d.ctx, probeInterval) && d.gateway(i) == p; {
				accepted := d.accepts(p, version)
				switch {
				case accepted:
					had = true
				case had && d.newest() == version && d.gateway(i) == p:
					d.violate("%s refuses the key of version %d again", p.id, version)
					return
				case had:
					d.checkGone(i, p, version)
					return
				}
			}
		})
	}
}

// checkGone checks for some time that the key of a version that has been replaced stays
// refused.
func (d *day) checkGone(i int, p *process, version int) {
	for end := time.Now().Add(maxCopyAge); time.Now().Before(end) && sleep(d.ctx, probeInterval) && d.gateway(i) == p; {
		if d.accepts(p, version) && d.gateway(i) == p {
			d.violate("%s accepts the key of version %d again", p.id, version)
			return
		}
	}
}

// leave makes a server say that it leaves, removes it later and starts another one.
func (d *day) leave(i int) {
	s := d.server(i)
	s.mu.Lock()
	s.leftAt = time.Now()
	s.mu.Unlock()
	s.runner.Leave()
	sleep(d.ctx, reportInterval)
	s.set("draining")
	s.report(d.store)
	if _, err := d.addServer(s.service); err != nil {
		d.violate("start server: %v", err)
	}
	if !sleep(d.ctx, removedAfter) {
		return
	}
	s.set("")
	d.store.Put("keyed.servers", s.id, nil)
}

// check checks the rules that need the whole day.
func (d *day) check() {
	runs := map[string]int{}
	for _, s := range d.servers {
		for _, r := range s.runner.Runs() {
			runs[r.ID]++
			if !s.leftAt.IsZero() && r.At.After(s.leftAt.Add(leavingSlack)) {
				d.violate("request %s reached %s %v after it had said that it leaves", r.ID, s.id, r.At.Sub(s.leftAt))
			}
		}
		d.checkPauses(s)
		d.checkLimit(s)
	}
	for id, n := range runs {
		if d.once[id] && n > 1 {
			d.violate("request %s ran %d times", id, n)
		}
		if d.once[id] && d.outcomes[id] == http.StatusServiceUnavailable {
			d.violate("request %s was refused as not run, and ran", id)
		}
	}
}

// checkPauses checks that each gateway keeps to the pauses of a server. It has one.
func (d *day) checkPauses(s *server) {
	first, late := map[string]time.Time{}, map[string]int{}
	for _, r := range s.runner.Rejected() {
		g := d.sentBy[r.ID]
		if first[g].IsZero() {
			first[g] = r.At
		}
		if r.At.After(first[g].Add(pauseSlack)) {
			late[g]++
		}
	}
	for g, n := range late {
		if n > pauseRequests {
			d.violate("%d requests of the gateway at %s reached %s in its pause", n, g, s.id)
		}
	}
}
