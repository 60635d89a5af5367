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

// Settings of the messages to gateways and to the leader.
const (
	// minSlowdownChange is the relative change of the slowdown that is sent to
	// gateways immediately.
	minSlowdownChange = 0.1
	// slowThreshold is the slowdown from which an engine counts as slow.
	slowThreshold = 1.2
	// stateRepeatInterval is the interval at which the state of an engine is repeated
	// while it is slow or its group does not serve. Gateways discard a state that is
	// not repeated for a few intervals.
	stateRepeatInterval = time.Second
	// placementRepeatInterval is the interval at which the placement of the rank is
	// repeated. A leader that has no expert spec yet discards it.
	placementRepeatInterval = time.Second
)

// poll polls the engine until ctx is done.
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
			a.log.Warn("polling the engine failed", zap.Error(err))
		}
		if err == nil && failed {
			a.log.Info("polling the engine works again")
		}
		failed = err != nil
	}
}

// pollOnce makes the n-th poll. It reads the placement only if the map has changed,
// and long lists of counts only at some polls.
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
		every = pollsPerCounts(len(a.state.counts), r.Place.Size, a.cfg.LinkRate)
		known = a.state.placement != nil && a.state.placementVersion == r.Map && a.state.placementEpoch == r.Place.Epoch
	})
	if !known {
		if placement, err = a.cfg.Engine.Placement(ctx, a.cfg.EngineAddress); err != nil {
			return fmt.Errorf("poll engine: %w", err)
		}
	}
	var counts []int64
	read, send := countsPoll(n, r.Place.Rank, every)
	if read {
		if counts, _, err = a.cfg.Engine.Counts(ctx, a.cfg.EngineAddress); err != nil {
			return fmt.Errorf("poll engine: %w", err)
		}
	}
	a.task.Do(func() {
		if !send && counts != nil {
			a.state.newChoices(counts, r.StartedUnixMS)
			counts = nil
		}
		a.applyPoll(r, counts, placement, time.Now())
	})
	return nil
}

// applyPoll applies the result of a poll and sends it to the leader. counts and
// placement are nil if they were not read. It runs in the task.
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

// broadcastState sends the engine state to gateways when it has changed, and
// repeatedly while the engine is slow or its group does not serve. It runs in the
// task.
func (a *Agent) broadcastState(now time.Time) {
	s := a.state
	slowdown, open := max(1, s.report.Slowdown), s.report.Place.Open
	changed := math.Abs(slowdown-s.sentSlowdown) > minSlowdownChange*s.sentSlowdown || open != s.sentOpen
	if !changed && (slowdown < slowThreshold && open || now.Sub(s.stateSentAt) < stateRepeatInterval) {
		return
	}
	if changed {
		a.log.Info("engine state changed", zap.Float64("pace", slowdown), zap.Bool("open", open), zap.Int64("epoch", s.report.Place.Epoch))
	}
	s.sentSlowdown, s.sentOpen, s.stateSentAt = slowdown, open, now
	a.node.Broadcast(core.RoleGateway, a.stateFrame())
}

// stateFrame returns the engine state last sent. It runs in the task.
func (a *Agent) stateFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_EngineState{EngineState: &peerpb.EngineState{
		EngineAddress: a.cfg.EngineAddress, Pace: a.state.sentSlowdown, Open: a.state.sentOpen,
	}}}
}

// newChoices returns how often each expert was chosen since the counts were last
// read. It returns zeros after a restart of the engine, which resets the counts.
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

// rankStatus returns the status message for the leader, without the placement.
func (s *state) rankStatus(choices []uint32) *peerpb.RankStatus {
	r := s.report
	return &peerpb.RankStatus{
		Group: r.Place.Group, Rank: int32(r.Place.Rank), Size: int32(r.Place.Size), Epoch: r.Place.Epoch, Open: r.Place.Open,
		Pass: r.Pass, MapVersion: r.Map, PreparedVersion: r.Prepared, ArmedVersion: r.Armed,
		ArmedPass: r.ArmedPass, HeldPass: r.HeldPass, Running: uint32(r.Running), Waiting: uint32(r.Waiting),
		StartedUnixMs: r.StartedUnixMS, Choices: choices, Pace: r.Slowdown,
	}
}

// sendStatus sends the status of the rank to the leader, with the placement if the
// leader may not have it. It runs in the task.
func (a *Agent) sendStatus(st *peerpb.RankStatus, now time.Time) {
	s := a.state
	session := s.leader(now)
	if session == nil {
		return
	}
	if s.placementSession != session || s.placementSentVersion != s.placementVersion || now.Sub(s.placementSentAt) > placementRepeatInterval {
		for _, list := range s.placement {
			st.Placement = append(st.Placement, encodeExperts(list))
		}
		s.placementSession, s.placementSentVersion, s.placementSentAt = session, s.placementVersion, now
	}
	session.SendControl(&peerpb.Frame{Body: &peerpb.Frame_RankStatus{RankStatus: st}})
}

func encodeExperts(list []int) *peerpb.ExpertList {
	out := &peerpb.ExpertList{}
	for _, e := range list {
		out.Experts = append(out.Experts, int32(e))
	}
	return out
}
