package expertmap

import (
	"fmt"
	"strconv"
	"time"

	"nutmegnotch/core"
)

// engineModel is the engine of one rank, modelled after the documented rules of
// the engine.
type engineModel struct {
	version, highest int64
	content          string
	prepared         int64
	preparedContent  string
	armed, armedAt   int64
	held             int64
}

// groupModel is a group of ranks and the orders that it will carry out late.
type groupModel struct {
	ranks []engineModel
	epoch int64
	pass  int64
	busy  bool
	late  []lateOrder
}

// lateOrder is an order that is carried out after the sender has stopped waiting
// for its answer.
type lateOrder struct {
	order AddressedOrder
	sent  time.Time
}

func newGroupModel(n int) *groupModel {
	g := &groupModel{ranks: make([]engineModel, n), epoch: 1, busy: true}
	g.formAnew()
	return g
}

// formAnew resets all ranks, as at the start of an epoch.
func (g *groupModel) formAnew() {
	for i := range g.ranks {
		g.ranks[i] = engineModel{held: -1, armedAt: -1, content: "map 0"}
	}
	g.pass = 0
}

// execute carries out an order at a rank.
func (g *groupModel) execute(a AddressedOrder) core.OrderResult {
	e := &g.ranks[a.Rank]
	o := a.Order
	if o.Epoch != g.epoch {
		return core.OrderRefused
	}
	switch o.Kind {
	case core.OrderPrepare:
		if e.prepared == o.Version {
			return core.OrderApplied
		}
		if o.Version <= e.highest || e.armed != 0 {
			return core.OrderRefused
		}
		e.highest, e.prepared, e.preparedContent = o.Version, o.Version, fmt.Sprint(o.Experts)
		return core.OrderStarted
	case core.OrderArm:
		if e.prepared != o.Version || o.Pass <= g.pass {
			return core.OrderRefused
		}
		e.armed, e.armedAt = o.Version, o.Pass
	case core.OrderDisarm:
		if e.version == o.Version {
			return core.OrderRefused
		}
		if e.armed == o.Version {
			e.armed, e.armedAt = 0, -1
		}
	case core.OrderHold:
		if o.Pass <= g.pass || e.held >= 0 && e.held != o.Pass {
			return core.OrderRefused
		}
		e.held = o.Pass
	case core.OrderGo:
		if e.held == o.Pass {
			e.held = -1
		}
	}
	return core.OrderApplied
}

// begin begins the next pass unless a rank holds it. It returns the maps that the
// ranks use in it.
func (g *groupModel) begin() map[string]bool {
	next := g.pass + 1
	for i := range g.ranks {
		if g.ranks[i].held == next {
			return nil
		}
	}
	g.pass = next
	maps := map[string]bool{}
	for i := range g.ranks {
		e := &g.ranks[i]
		if e.armed != 0 && e.armedAt <= next {
			e.version, e.content = e.armed, e.preparedContent
			e.armed, e.armedAt, e.prepared = 0, -1, 0
		}
		maps[strconv.FormatInt(e.version, 10)+e.content] = true
	}
	return maps
}

func (g *groupModel) report(rank int) core.RankReport {
	e := g.ranks[rank]
	r := core.RankReport{
		Place: core.RankPlace{Group: "g", Rank: rank, Size: len(g.ranks), Epoch: g.epoch, Open: true},
		Pass:  g.pass, Map: e.version, Prepared: e.prepared, Armed: e.armed, ArmedPass: e.armedAt, HeldPass: e.held,
	}
	if g.busy {
		r.Running = 1
	}
	return r
}

// numberedLayout returns a layout whose content depends on n.
func numberedLayout(n, ranks int) Layout {
	l := make(Layout, ranks)
	for r := range l {
		l[r] = [][]int{{r, n}}
	}
	return l
}
