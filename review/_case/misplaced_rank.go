package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"nutmegnotch/emulator/lockstep"
	"nutmegnotch/emulator/loopback"
)

// Figures of the groups of the site. An expert takes copyTime on the link between engines.
const (
	groupRanks       = 12
	groupSets        = 3
	groupExperts     = 96
	groupPlacements  = 11
	groupSpareSlots  = 4
	groupExpertMB    = 2200
	groupLinkMbps    = 44000.0
	groupCopyTime    = 400 * time.Millisecond
	groupPassTime    = 20 * time.Millisecond
	sideMemoryMB     = 152
	sideLinkMbps     = 20.0
	groupName        = "g"
	firstStoppedRank = 3
	groupSettles     = 6 * time.Second
	stopFor          = 80 * time.Second
	// The time between two stops.
	minStopGap        = 1500 * time.Millisecond
	maxStopGap        = 3 * time.Second
	agentRestartDelay = 300 * time.Millisecond
)

// misplacedRankEntry stops the agents of a lock-step group in turn while another writer numbers the
// ranks of the group from 1, in entries without some of their fields.
func misplacedRankEntry(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, err := lockstep.New(lockstep.Config{Ranks: groupRanks, Sets: groupSets, Experts: groupExperts, PassTime: groupPassTime, CopyTime: groupCopyTime, Seed: 7})
	if err != nil {
		return false, fmt.Errorf("start group: %w", err)
	}
	defer g.Close()
	d := &deployment{}
	defer d.close()
	if err := d.startGroup(ctx, r, g); err != nil {
		return false, err
	}
	a, err := startAgents(r.dir, g, d)
	defer a.kill()
	if err != nil {
		return false, err
	}
	time.Sleep(groupSettles)
	stops := 0
	for end := time.Now().Add(stopFor); time.Now().Before(end) && len(g.Violations()) == 0; stops++ {
		rank := firstStoppedRank + stops%(groupRanks-firstStoppedRank)
		if err := a.restart(rank); err != nil {
			return false, err
		}
		time.Sleep(minStopGap + rand.N(maxStopGap-minStopGap))
	}
	time.Sleep(time.Second)
	passes, maps, held := g.Stats()
	violations := g.Violations()
	r.record.add("agents stopped: %d; passes: %d, maps used: %d, held for %v", stops, passes, maps, held)
	if len(violations) > 0 {
		r.record.add("the first violation: %s", violations[0])
	}
	r.record.add("passes that began while two ranks had different maps: got %d, want 0", len(violations))
	return len(violations) > 0, nil
}

// startGroup starts the store and a gateway, and registers the ranks of a group.
func (d *deployment) startGroup(ctx context.Context, r *run, g *lockstep.Group) error {
	var err error
	if d.store, err = startStore(); err != nil {
		return err
	}
	c := config(route{name: "draft", prefix: "/draft/", kind: "streaming", service: "model", timeout: draftTimeout, objective: draftObjective, attempts: 2})
	c["services"] = []map[string]any{{"name": "model", "health_path": "/health", "max_conns": 278, "engine": map[string]any{
		"slots": engineSlots, "expert_sets": groupSets, "experts": groupExperts, "placements": groupPlacements, "spare_slots": groupSpareSlots,
		"expert_mb": groupExpertMB, "link_mbps": groupLinkMbps, "step_ms": 4.55, "stride": 4}}}
	d.store.PutJSON("keyed.op", "config", c)
	place := func(rank int) map[string]any {
		return map[string]any{"name": groupName, "epoch": 1, "rank": rank, "state": "open"}
	}
	for i := range groupRanks {
		e := entry("model", g.Address(i), engineSlots)
		d.store.keepListed(ctx, fmt.Sprintf("i-engine-%d", i), func(seq int) map[string]any {
			m := e(seq)
			m["group"], m["size"] = place(i), groupRanks
			return m
		})
	}
	if r.trouble {
		r.record.add("another writer numbers the ranks from 1, in entries without version, cold_left_ms, seq and born")
		for i := range groupRanks {
			d.store.keepListed(ctx, fmt.Sprintf("i-trial-%d", i), func(int) map[string]any {
				return map[string]any{"service": "model", "addr": g.Address(i), "zone": zone, "slots": engineSlots, "state": "ready",
					"group": place(i + 1), "size": groupRanks}
			})
		}
	}
	if d.gateway, err = startGateway(r.dir, "front-"+zone+"-1", d.store.address); err != nil {
		return err
	}
	return d.gateway.waitReady()
}

// agents are the rank agents of a group, each in a process of its own.
type agents struct {
	dir, gateway, store, port string
	group                     *lockstep.Group
	all                       [groupRanks]*agentProcess
}

type agentProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func startAgents(dir string, g *lockstep.Group, d *deployment) (*agents, error) {
	a := &agents{dir: dir, gateway: d.gateway.peer, store: d.store.address, group: g}
	free, err := loopback.FreeAddress()
	if err != nil {
		return a, fmt.Errorf("find a port: %w", err)
	}
	if _, a.port, err = net.SplitHostPort(free); err != nil {
		return a, fmt.Errorf("find a port: %w", err)
	}
	for i := range groupRanks {
		if err := a.start(i); err != nil {
			return a, err
		}
	}
	return a, nil
}

// start writes the settings of an agent, as deploy/rank_agent.toml gives them, and starts it with
// the command of the deploy file.
func (a *agents) start(rank int) error {
	host, _, err := net.SplitHostPort(a.group.Address(rank))
	if err != nil {
		return fmt.Errorf("split address: %w", err)
	}
	seeds, err := json.Marshal([]string{a.gateway})
	if err != nil {
		return fmt.Errorf("encode seeds: %w", err)
	}
	id := "side-" + strconv.Itoa(rank)
	text := fmt.Sprintf(`id = %q
role = "rank_agent"
failure_domain = %q
region = "loopback"
memory_mb = %d
link_mbps = %.1f
grace = "%ds"
seeds = %s

[listen]
peer = %q

[store]
address = %q

[engine]
address = %q
`, id, zone, sideMemoryMB, sideLinkMbps, int(graceTime.Seconds()), seeds, net.JoinHostPort(host, a.port), a.store, a.group.Address(rank))
	settings := filepath.Join(a.dir, id+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(a.dir, id+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	p := &agentProcess{cmd: exec.Command("target/nutmegnotch", "rank-agent"), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "NUTMEGNOTCH_CONFIG="+settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start agent: %w", err)
	}
	a.all[rank] = p
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// restart stops an agent as the platform does, and starts it again.
func (a *agents) restart(rank int) error {
	a.all[rank].end(syscall.SIGTERM)
	time.Sleep(agentRestartDelay)
	return a.start(rank)
}

func (a *agents) kill() {
	for _, p := range a.all {
		if p != nil {
			p.end(syscall.SIGKILL)
		}
	}
}

// end sends a signal, and SIGKILL after the grace.
func (p *agentProcess) end(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	}
}
