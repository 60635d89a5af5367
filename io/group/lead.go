package group

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer/peerpb"
)

// leaderTask campaigns for the leadership and leads the group.
type leaderTask struct {
	g                    *Group
	log                  *zap.Logger
	view                 leadersView
	localRank            rankSnapshot
	leaderSeenAt         time.Time
	lastTickAt           time.Time
	campaigning          bool
	campaignedAt         time.Time
	leadingSince         time.Time
	campaignBackoffUntil time.Time
	leader               *expertmap.Leader
	senders              *senders
	// pastFences holds the fences under which this task leads or has led.
	pastFences    map[int64]bool
	wg            conc.WaitGroup
	sentMessages  int64
	sentBytes     int64
	receivedBytes int64
	// answeredAt holds the time of the last answer of each rank to this leader.
	answeredAt []time.Time
	// heldMaps holds the version of the map that each rank has last reported to
	// hold, or 0. The leader sends such a map without its content.
	heldMaps []int64
}

func newLeaderTask(g *Group) *leaderTask {
	now := time.Now()
	return &leaderTask{g: g, log: g.cfg.Logger, leaderSeenAt: now, lastTickAt: now, pastFences: map[int64]bool{}}
}

func (t *leaderTask) run(ctx context.Context) {
	tick := time.NewTicker(leaderTickInterval)
	defer tick.Stop()
	defer t.wg.Wait()
	defer t.resign("the agent stops")
	for {
		select {
		case <-ctx.Done():
			return
		case view := <-t.g.leadersViews:
			t.applyView(ctx, view)
			tick.Reset(t.interval())
		case s := <-t.g.rankSnapshots:
			t.updateRank(s)
		case a := <-t.g.answers:
			t.checkAfterPause(ctx)
			t.handleAnswer(a)
		case op := <-t.g.leaderOps:
			op(t)
		case <-tick.C:
			t.onTick(ctx)
			tick.Reset(t.interval())
		}
	}
}

// interval returns the time to the next tick.
func (t *leaderTask) interval() time.Duration {
	if _, hadLeader := t.view.leaders.Of(t.g.cfg.Group); hadLeader && t.leader == nil && time.Since(t.leaderSeenAt) < recentLeaderWindow {
		return followerTickInterval
	}
	return leaderTickInterval
}

// applyView handles new records of the leaders stream. The record with the
// highest offset names the leader.
func (t *leaderTask) applyView(ctx context.Context, view leadersView) {
	old, _ := t.view.leaders.Of(t.g.cfg.Group)
	t.view = view
	l, ok := view.leaders.Of(t.g.cfg.Group)
	if !ok || l == old {
		return
	}
	t.leaderSeenAt = time.Now()
	mine := l.AgentID == t.id() && l.AgentIncarnation == t.g.cfg.Incarnation
	if t.leader != nil && t.leader.Fence() != l.Fence {
		t.resign("another record names a leader")
	}
	if mine && view.atEnd && !t.pastFences[l.Fence] {
		t.campaigning = false
		t.startLeading(ctx, l.Fence)
	}
}

func (t *leaderTask) id() string { return t.g.cfg.RankIDs[t.g.cfg.Rank] }

func (t *leaderTask) startLeading(ctx context.Context, fence int64) {
	t.log.Info("started leading the group", zap.Int64("fence", fence))
	t.pastFences[fence] = true
	t.leader = expertmap.NewLeader(t.g.cfg.Group, fence, len(t.g.cfg.RankIDs), t.localRank.maps, t.g.cfg.InitialMap)
	t.senders = t.g.startSenders(ctx, fence)
	t.g.leading.Store(true)
	t.lastTickAt = time.Now()
	t.leadingSince = t.lastTickAt
	t.heldMaps = make([]int64, len(t.g.cfg.RankIDs))
	t.answeredAt = slices.Repeat([]time.Time{t.leadingSince}, len(t.g.cfg.RankIDs))
}

func (t *leaderTask) resign(reason string) {
	if t.leader == nil {
		return
	}
	t.log.Info("stopped leading the group", zap.Int64("fence", t.leader.Fence()), zap.String("reason", reason))
	if t.leader.Collecting() && time.Since(t.leadingSince) > campaignBackoffThreshold {
		t.campaignBackoffUntil = time.Now().Add(campaignBackoff)
	}
	t.senders.cancel()
	s := t.senders
	t.wg.Go(s.wait)
	t.leader, t.senders = nil, nil
	t.g.leading.Store(false)
	t.leaderSeenAt = time.Now()
}

func (t *leaderTask) handleAnswer(a answer) {
	if t.leader == nil || a.fence != t.leader.Fence() {
		return
	}
	t.answeredAt[a.rank] = time.Now()
	t.receivedBytes += int64(a.receivedBytes)
	t.sentMessages++
	t.sentBytes += int64(a.sentBytes)
	if l := a.frame.GetLoadAck(); l.GetHeld() {
		t.heldMaps[a.rank] = l.GetMapVersion()
	} else if l != nil {
		t.heldMaps[a.rank] = 0
	}
	stateBefore := t.leader.State()
	if err := applyAnswer(t.leader, a.frame); err != nil {
		t.log.Warn("unexpected answer of a rank", zap.Error(err))
	}
	if t.leader.Deposed() {
		t.resign("a rank has seen a higher fence")
		return
	}
	// Messages goes through all ranks. Calling it for the answer of each rank would
	// cost the square of their number.
	if t.leader.State() == stateBefore {
		t.enqueue(t.leader.MessagesTo(a.rank, time.Now()))
		return
	}
	t.enqueue(t.leader.Messages(time.Now()))
}

// checkAfterPause makes a leader that was paused check whether it still leads
// before it continues. Ranks refuse a stale fence in any case.
func (t *leaderTask) checkAfterPause(ctx context.Context) {
	if t.leader != nil && time.Since(t.lastTickAt) > pauseThreshold {
		t.checkLeadership(ctx)
		t.lastTickAt = time.Now()
	}
}

// onTick sends the messages that are due, or campaigns when this agent does not
// lead.
func (t *leaderTask) onTick(ctx context.Context) {
	t.checkAfterPause(ctx)
	now := time.Now()
	t.lastTickAt = now
	if t.leader != nil && t.leader.Collecting() && now.Sub(t.leadingSince) > collectTimeout {
		t.resign("some ranks do not answer")
	}
	if t.leader != nil {
		t.leader.ObserveStep(t.localRank.step)
		t.enqueue(t.leader.Messages(now))
		return
	}
	t.campaignIfDue(ctx, now)
}

// checkLeadership reads the leaders stream and resigns if it names another
// leader. The leader continues when the stream cannot be read.
func (t *leaderTask) checkLeadership(ctx context.Context) {
	checkCtx, cancel := context.WithTimeout(ctx, leadershipCheckTimeout)
	defer cancel()
	view, _, err := t.g.readLeaders(checkCtx, t.view.leaders, 0)
	if err != nil {
		t.log.Info("leadership check after a pause failed", zap.Error(err))
		return
	}
	t.applyView(ctx, view)
}

// enqueue passes due messages to the senders. A message is dropped when its queue
// is full, and becomes due again later.
func (t *leaderTask) enqueue(due []expertmap.Message) {
	for _, m := range due {
		var placement []byte
		if m.Load != nil && t.heldMaps[m.Rank] != m.Load.Version {
			em, _ := t.leader.Map(m.Load.Version)
			var err error
			if placement, err = json.Marshal(em); err != nil {
				t.log.Error("encoding a map failed", zap.Error(err))
				continue
			}
		}
		t.senders.send(m.Rank, messageToPB(t.g.cfg.Group, t.id(), t.g.ranksHash, m, placement))
	}
}

// campaignIfDue campaigns when no leader has been seen for the delay of this
// rank.
func (t *leaderTask) campaignIfDue(ctx context.Context, now time.Time) {
	_, hadLeader := t.view.leaders.Of(t.g.cfg.Group)
	delay := expertmap.CandidateDelay(t.g.cfg.Rank, hadLeader)
	if hadLeader && t.localRank.stateLost {
		delay += stateLossCampaignDelay
	}
	if t.campaigning && now.Sub(t.campaignedAt) > appendTimeout {
		t.campaigning = false
	}
	if now.Before(t.campaignBackoffUntil) || t.campaigning || !t.localRank.recovered || !t.view.atEnd || now.Sub(t.leaderSeenAt) < delay {
		return
	}
	t.campaigning, t.campaignedAt = true, now
	t.wg.Go(func() { t.g.campaign(ctx) })
}

// campaign appends a record that names this agent as the leader. The result of
// the append is ignored, since the agent reads the record from the stream.
func (g *Group) campaign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := json.Marshal(expertmap.LeaderRecord{Group: g.cfg.Group, AgentID: g.cfg.RankIDs[g.cfg.Rank],
		AgentIncarnation: g.cfg.Incarnation})
	if err != nil {
		g.cfg.Logger.Error("encoding a leaders record failed", zap.Error(err))
		return
	}
	if _, err := g.cfg.Log.Append(ctx, core.StreamLeaders, data); err != nil {
		g.cfg.Logger.Info("appending a leaders record failed", zap.Error(err))
	}
}

func (t *leaderTask) propose(m core.ExpertMap) (int64, error) {
	if t.leader == nil || !t.leader.Running() {
		return 0, fmt.Errorf("group %q: this agent does not lead a running group: %w", t.g.cfg.Group, core.ErrNotReady)
	}
	version, ok := t.leader.Propose(m)
	if !ok {
		return 0, fmt.Errorf("group %q: map %d is being loaded: %w", t.g.cfg.Group, t.leader.Pending(), core.ErrConflict)
	}
	return version, nil
}

// answer is the answer of a rank to a message of the leader with this fence.
type answer struct {
	rank          int
	fence         int64
	frame         *peerpb.Frame
	sentBytes     int
	receivedBytes int
}
