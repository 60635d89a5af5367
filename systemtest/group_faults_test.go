package systemtest

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/emulator/platformlog"
	emurank "nutmegnotch/emulator/rank"
)

const (
	// leaderPause is longer than every timeout of a group.
	leaderPause = 8 * time.Second
	// progressSteps is the number of steps that a group must run after a fault.
	progressSteps = 150
)

// groupFaults are the single failures that a group must survive.
var groupFaults = []struct {
	name string
	run  func(g *rankGroup)
}{
	{"leader paused longer than every timeout", func(g *rankGroup) {
		p := g.agents[g.waitMapLoading()]
		p.signal(syscall.SIGSTOP)
		time.Sleep(leaderPause)
		p.signal(syscall.SIGCONT)
	}},
	{"paused leader that cannot read the log", func(g *rankGroup) {
		p := g.agents[g.waitMapLoading()]
		// The link is cut before the pause. Otherwise a response of the log in the
		// socket buffer could show the new leader to the old one.
		g.link(p.id, "log", g.logAddr).cut()
		p.signal(syscall.SIGSTOP)
		time.Sleep(leaderPause)
		p.signal(syscall.SIGCONT)
		g.waitProgress("the old leader without a log", progressSteps)
		g.waitMapChange()
		g.waitMapChange()
		g.link(p.id, "log", g.logAddr).heal()
	}},
	{"leader killed and restarted", func(g *rankGroup) {
		p := g.agents[g.waitMapLoading()]
		p.kill()
		time.Sleep(time.Second)
		p.start()
	}},
	{"leader killed twice", func(g *rankGroup) {
		for range 2 {
			p := g.agents[g.waitMapLoading()]
			p.kill()
			p.start()
		}
	}},
	{"grants lost, duplicated and late", func(g *rankGroup) {
		for range 4 {
			l := g.agents[g.waitMapLoading()].id
			for _, link := range g.linksOf(l) {
				link.dropResponses(2)
				link.setDelay(toServer, 40*time.Millisecond)
				link.setDelay(toClient, 60*time.Millisecond)
				link.splitWrites()
			}
			time.Sleep(time.Second)
			for _, link := range g.linksOf(l) {
				link.heal()
			}
		}
	}},
	{"one rank's agent frozen and isolated", func(g *rankGroup) {
		links := g.linksOf(g.agents[(g.waitMapLoading()+1)%len(g.agents)].id)
		for _, link := range links {
			link.freeze(toClient)
		}
		time.Sleep(2 * time.Second)
		for _, link := range links {
			link.heal()
			link.cut()
		}
		time.Sleep(2 * time.Second)
		for _, link := range links {
			link.heal()
		}
	}},
	{"rank's agent restarted in the middle of a change", func(g *rankGroup) {
		p := g.agents[(g.waitMapLoading()+1)%len(g.agents)]
		p.kill()
		p.start()
	}},
	{"rank's agent stopped as planned in the middle of a change", func(g *rankGroup) {
		p := g.agents[(g.waitMapLoading()+1)%len(g.agents)]
		p.stopGracefully()
		p.start()
	}},
	{"rank's engine restarted in the middle of a change", func(g *rankGroup) {
		g.ranks[(g.waitMapLoading()+1)%len(g.ranks)].Inject(emurank.Faults{Restart: true})
	}},
	{"leader's engine and agent restarted", func(g *rankGroup) {
		l := g.waitMapLoading()
		g.agents[l].kill()
		g.ranks[l].Inject(emurank.Faults{Restart: true})
		g.agents[l].start()
	}},
	{"log down during a change and a change of leader", func(g *rankGroup) {
		p := g.agents[g.waitMapLoading()]
		g.log.SetFaults(platformlog.Faults{Outage: platformlog.OutageHang})
		g.waitProgress("the log outage", progressSteps)
		p.kill()
		time.Sleep(5 * time.Second)
		g.log.SetFaults(platformlog.Faults{})
		p.start()
	}},
}

// Guards against two maps in one step, and against a group that makes no
// progress after a fault, with engines that check fences and engines that do not.
func TestGroupOneMapPerStep(t *testing.T) {
	t.Parallel()
	for i, f := range groupFaults {
		t.Run(f.name, func(t *testing.T) {
			fencing := [](func(int) bool){noFencing, halfFencing, allFencing}[(i+2)%3]
			g := newGroup(t, groupConfig{ranks: 4, stepTime: 5 * time.Millisecond, interval: 300 * time.Millisecond, fencing: fencing, seed: uint64(i + 1)})
			g.waitProgress("the start", progressSteps)
			f.run(g)
			g.waitProgress(f.name, progressSteps)
			g.waitMapChange()
			g.check()
		})
	}
}

// Guards against two maps in one step under random combinations of faults.
func TestGroupRandomFaults(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, r *rand.Rand) {
		fencing := [](func(int) bool){noFencing, halfFencing, allFencing}[r.IntN(3)]
		g := newGroup(t, groupConfig{ranks: 4, stepTime: 5 * time.Millisecond, interval: 300 * time.Millisecond, fencing: fencing, seed: r.Uint64()})
		g.waitProgress("the start", progressSteps)
		faults := append(commonFaults(),
			fault{"restart an engine", func(_ *cluster, r *rand.Rand) {
				g.ranks[r.IntN(len(g.ranks))].Inject(emurank.Faults{Restart: true})
			}},
			fault{"stall an engine", func(_ *cluster, r *rand.Rand) {
				g.ranks[r.IntN(len(g.ranks))].Inject(emurank.Faults{StallMS: 100 + r.Int64N(3000)})
			}})
		stop := make(chan struct{})
		time.AfterFunc(10*time.Second, func() { close(stop) })
		injectFaults(t, g.cluster, r, faults, stop)
		g.waitProgress("random faults", progressSteps)
		g.waitMapChange()
		g.check()
	})
}
