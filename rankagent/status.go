package rankagent

import (
	"context"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// countsPerPoll is the number of counts that are read and told at each poll; more
// are read at every second poll, and so on. It keeps an agent's messages below
// 25 KB/s (docs/CAPACITY.md), at one byte a count.
const countsPerPoll = 1000

// Settings of the news that gateways get of an engine.
const (
	// minSlowdownChange is the relative change of the pace that is told at once.
	minSlowdownChange = 0.1
	// slowThreshold is the pace from which an engine counts as slow.
	slowThreshold = 1.2
	// stateRepeatInterval is the time between two messages about an engine that is slow
	// or whose group does not serve. Gateways forget the news after a few of them.
	stateRepeatInterval = time.Second
	// placementRepeatInterval is the time between two messages with the experts of the
	// rank. A leader that does not know the shape of the engines yet drops them.
	placementRepeatInterval = time.Second
)

// poll reads the engine at an interval.
func (a *Agent) poll(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	failed := false
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		err := a.pollOnce(ctx, n)
		if err != nil && !failed {
			a.log.Warn("engine lost", zap.Error(err))
		}
		if err == nil && failed {
			a.log.Info("engine regained")
		}
		failed = err != nil
	}
}

// pollOnce is the n-th poll. Long lists of counts are not read at each.
func (a *Agent) pollOnce(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := a.cfg.Engine.Report(ctx, a.cfg.EngineAddress)
	if err != nil {
		return fmt.Errorf("poll engine: %w", err)
	}
	if r.Place.Group == "" {
		return nil
	}
	var placement [][]int
	var known bool
	var every int
	a.task.Do(func() {
		every = 1 + len(a.state.counts)/countsPerPoll
		known = a.state.placement != nil && a.state.placementVersion == r.Map && a.state.placementEpoch == r.Place.Epoch
	})
	if !known {
		if placement, err = a.cfg.Engine.Placement(ctx, a.cfg.EngineAddress); err != nil {
			return fmt.Errorf("poll engine: %w", err)
		}
	}
	var counts []int64
	if n%every == 0 {
		if counts, _, err = a.cfg.Engine.Counts(ctx, a.cfg.EngineAddress); err != nil {
			return fmt.Errorf("poll engine: %w", err)
		}
	}
	a.task.Do(func() { a.applyPoll(r, counts, placement, time.Now()) })
	return nil
}

// applyPoll takes what the engine said; counts is nil when they were not read. It
// runs in the task.
func (a *Agent) applyPoll(r core.RankReport, counts []int64, placement [][]int, now time.Time) {
	s := a.state
	if s.hasReport && s.report.Place.Epoch != r.Place.Epoch {
		a.log.Info("group epoch changed", zap.Int64("epoch", r.Place.Epoch), zap.Bool("open", r.Place.Open))
	}
	s.report, s.hasReport = r, true
	if placement != nil {
		s.placement, s.placementVersion, s.placementEpoch = placement, r.Map, r.Place.Epoch
		s.placementSession = nil
	}
	a.broadcastState(now)
	var choices []uint32
	if counts != nil {
		choices = s.newChoices(counts, r.StartedUnixMS)
	}
	st := s.rankStatus(choices)
	a.dialCandidates()
	if a.isLeader(now) {
		a.handleRankStatus(nil, st, now)
		return
	}
	a.sendStatus(st, now)
}

// broadcastState tells gateways when the own engine gets slow or its group stops to
// serve, and when that is over. It runs in the task.
func (a *Agent) broadcastState(now time.Time) {
	s := a.state
	p, open := max(1, s.report.Slowdown), s.report.Place.Open
	changed := math.Abs(p-s.sentSlowdown) > minSlowdownChange*s.sentSlowdown || open != s.sentOpen
	if !changed && (p < slowThreshold && open || now.Sub(s.stateSentAt) < stateRepeatInterval) {
		return
	}
	if changed {
		a.log.Info("engine state changed", zap.Float64("pace", p), zap.Bool("open", open), zap.Int64("epoch", s.report.Place.Epoch))
	}
	s.sentSlowdown, s.sentOpen, s.stateSentAt = p, open, now
	a.node.Broadcast(core.RoleGateway, a.stateFrame())
}

// stateFrame runs in the task.
func (a *Agent) stateFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_EngineState{EngineState: &peerpb.EngineState{
		EngineAddress: a.cfg.EngineAddress, Pace: a.state.sentSlowdown, Open: a.state.sentOpen,
	}}}
}

// newChoices returns the newChoices since the last poll. Counts begin anew when the
// engine restarts.
func (s *state) newChoices(counts []int64, started int64) []uint32 {
	same := len(counts) == len(s.counts) && started == s.countsStartUnixMS
	out := make([]uint32, len(counts))
	if same {
		for i, n := range counts {
			if d := n - s.counts[i]; d > 0 {
				out[i] = uint32(d)
			}
		}
	}
	s.counts, s.countsStartUnixMS = counts, started
	return out
}

func (s *state) rankStatus(choices []uint32) *peerpb.RankStatus {
	r := s.report
	return &peerpb.RankStatus{
		Group: r.Place.Group, Rank: int32(r.Place.Rank), Size: int32(r.Place.Size), Epoch: r.Place.Epoch, Open: r.Place.Open,
		Pass: r.Pass, MapVersion: r.Map, PreparedVersion: r.Prepared, ArmedVersion: r.Armed,
		ArmedPass: r.ArmedPass, HeldPass: r.HeldPass, Running: uint32(r.Running), Waiting: uint32(r.Waiting),
		StartedUnixMs: r.StartedUnixMS, Choices: choices, Pace: r.Slowdown,
	}
}

// sendStatus reports to the leader. It runs in the task.
func (a *Agent) sendStatus(st *peerpb.RankStatus, now time.Time) {
	s := a.state
	to := s.leader(now)
	if to == nil {
		return
	}
	if s.placementSession != to || s.placementSentVersion != s.placementVersion || now.Sub(s.placementSentAt) > placementRepeatInterval {
		for _, list := range s.placement {
			st.Placement = append(st.Placement, encodeExperts(list))
		}
		s.placementSession, s.placementSentVersion, s.placementSentAt = to, s.placementVersion, now
	}
	to.Control(&peerpb.Frame{Body: &peerpb.Frame_RankStatus{RankStatus: st}})
}

func encodeExperts(list []int) *peerpb.ExpertList {
	out := &peerpb.ExpertList{}
	for _, e := range list {
		out.Experts = append(out.Experts, int32(e))
	}
	return out
}
