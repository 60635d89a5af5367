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

// leadTask stands for leadership and leads.
type leadTask struct {
	g         *Group
	log       *zap.Logger
	fold      fold
	info      rankInfo
	heard     time.Time
	lastTurn  time.Time
	standing  bool
	stoodAt   time.Time
	tookAt    time.Time
	backAt    time.Time
	leader    *expertmap.Leader
	senders   *senders
	past      map[int64]bool
	wg        conc.WaitGroup
	sent      int64
	sentBytes int64
	received  int64
	// answeredAt is when each rank last answered this leader.
	answeredAt []time.Time
	// held is the map whose content each rank has last said to hold.
	held []int64
}

func newLeadTask(g *Group) *leadTask {
	now := time.Now()
	return &leadTask{g: g, log: g.cfg.Logger, heard: now, lastTurn: now, past: map[int64]bool{}}
}

func (t *leadTask) run(ctx context.Context) {
	tick := time.NewTicker(leadInterval)
	defer tick.Stop()
	defer t.wg.Wait()
	defer t.resign("the agent stops")
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-t.g.folds:
			t.folded(ctx, f)
			tick.Reset(t.interval())
		case i := <-t.g.infos:
			t.observe(i)
		case a := <-t.g.answers:
			t.wake(ctx)
			t.answered(a)
		case op := <-t.g.ops:
			op(t)
		case <-tick.C:
			t.turn(ctx)
			tick.Reset(t.interval())
		}
	}
}

// interval returns the time to the next turn.
func (t *leadTask) interval() time.Duration {
	if _, had := t.fold.leaders.Of(t.g.cfg.Group); had && t.leader == nil && time.Since(t.heard) < idleSilence {
		return idleInterval
	}
	return leadInterval
}

// folded follows the leaders stream: the record with the highest offset names
// the leader.
func (t *leadTask) folded(ctx context.Context, f fold) {
	old, _ := t.fold.leaders.Of(t.g.cfg.Group)
	t.fold = f
	l, ok := f.leaders.Of(t.g.cfg.Group)
	if !ok || l == old {
		return
	}
	t.heard = time.Now()
	mine := l.AgentID == t.id() && l.AgentIncarnation == t.g.cfg.Incarnation
	if t.leader != nil && t.leader.Fence() != l.Fence {
		t.resign("another record names a leader")
	}
	if mine && f.atEnd && !t.past[l.Fence] {
		t.standing = false
		t.take(ctx, l.Fence)
	}
}

func (t *leadTask) id() string { return t.g.cfg.RankIDs[t.g.cfg.Rank] }

func (t *leadTask) take(ctx context.Context, fence int64) {
	t.log.Info("leads the group", zap.Int64("fence", fence))
	t.past[fence] = true
	t.leader = expertmap.NewLeader(t.g.cfg.Group, fence, len(t.g.cfg.RankIDs), t.info.maps, t.g.cfg.InitialMap)
	t.senders = t.g.startSenders(ctx, fence)
	t.g.leads.Store(true)
	t.lastTurn = time.Now()
	t.tookAt = t.lastTurn
	t.held = make([]int64, len(t.g.cfg.RankIDs))
	t.answeredAt = slices.Repeat([]time.Time{t.tookAt}, len(t.g.cfg.RankIDs))
}

func (t *leadTask) resign(why string) {
	if t.leader == nil {
		return
	}
	t.log.Info("no longer leads the group", zap.Int64("fence", t.leader.Fence()), zap.String("reason", why))
	if t.leader.Collecting() && time.Since(t.tookAt) > holdOffAfter {
		t.backAt = time.Now().Add(holdOff)
	}
	t.senders.cancel()
	s := t.senders
	t.wg.Go(s.wait)
	t.leader, t.senders = nil, nil
	t.g.leads.Store(false)
	t.heard = time.Now()
}

func (t *leadTask) answered(a answer) {
	if t.leader == nil || a.fence != t.leader.Fence() {
		return
	}
	t.answeredAt[a.rank] = time.Now()
	t.received += int64(a.receivedBytes)
	t.sent++
	t.sentBytes += int64(a.sentBytes)
	if l := a.frame.GetLoadAck(); l.GetHeld() {
		t.held[a.rank] = l.GetMapVersion()
	} else if l != nil {
		t.held[a.rank] = 0
	}
	stage := t.leader.State()
	if err := deliver(t.leader, a.frame); err != nil {
		t.log.Warn("answer of a rank", zap.Error(err))
	}
	if t.leader.Deposed() {
		t.resign("a rank has seen a higher fence")
		return
	}
	// Going through all ranks at the answer of each would cost the square of
	// their number.
	if t.leader.State() == stage {
		t.dispatch(t.leader.MessagesTo(a.rank, time.Now()))
		return
	}
	t.dispatch(t.leader.Messages(time.Now()))
}

// wake lets a leader that was paused first check that it still leads, as far
// as it can tell. Ranks refuse a stale fence in any case.
func (t *leadTask) wake(ctx context.Context) {
	if t.leader != nil && time.Since(t.lastTurn) > pauseLimit {
		t.check(ctx)
		t.lastTurn = time.Now()
	}
}

// turn does what is due.
func (t *leadTask) turn(ctx context.Context) {
	t.wake(ctx)
	now := time.Now()
	t.lastTurn = now
	if t.leader != nil && t.leader.Collecting() && now.Sub(t.tookAt) > collectLimit {
		t.resign("some ranks do not answer")
	}
	if t.leader != nil {
		t.leader.ObserveStep(t.info.step)
		t.dispatch(t.leader.Messages(now))
		return
	}
	t.candidate(ctx, now)
}

func (t *leadTask) check(ctx context.Context) {
	ctx2, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	f, _, err := t.g.read(ctx2, t.fold.leaders, 0)
	if err != nil {
		t.log.Info("cannot check leadership after a pause", zap.Error(err))
		return
	}
	t.folded(ctx, f)
}

// dispatch hands due messages to the senders. A message that finds its queue
// full is due again later.
func (t *leadTask) dispatch(due []expertmap.Message) {
	for _, m := range due {
		var placement []byte
		if m.Load != nil && t.held[m.Rank] != m.Load.Version {
			em, _ := t.leader.Map(m.Load.Version)
			var err error
			if placement, err = json.Marshal(em); err != nil {
				t.log.Error("encode map failed", zap.Error(err))
				continue
			}
		}
		t.senders.send(m.Rank, toFrame(t.g.cfg.Group, t.id(), t.g.ranksHash, m, placement))
	}
}

// candidate stands for leadership when no leader has been heard for long.
func (t *leadTask) candidate(ctx context.Context, now time.Time) {
	_, had := t.fold.leaders.Of(t.g.cfg.Group)
	delay := expertmap.CandidateDelay(t.g.cfg.Rank, had)
	if had && t.info.stateLost {
		delay += lostDelay
	}
	if t.standing && now.Sub(t.stoodAt) > appendTimeout {
		t.standing = false
	}
	if now.Before(t.backAt) || t.standing || !t.info.recovered || !t.fold.atEnd || now.Sub(t.heard) < delay {
		return
	}
	t.standing, t.stoodAt = true, now
	t.wg.Go(func() { t.g.stand(ctx) })
}

// stand appends the record that names this agent. Whether it was appended
// shows in the stream.
func (g *Group) stand(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := json.Marshal(expertmap.LeaderRecord{Group: g.cfg.Group, AgentID: g.cfg.RankIDs[g.cfg.Rank],
		AgentIncarnation: g.cfg.Incarnation})
	if err != nil {
		g.cfg.Logger.Error("encode leaders record failed", zap.Error(err))
		return
	}
	if _, err := g.cfg.Log.Append(ctx, core.StreamLeaders, data); err != nil {
		g.cfg.Logger.Info("append of leaders record failed", zap.Error(err))
	}
}

func (t *leadTask) propose(m core.ExpertMap) (int64, error) {
	if t.leader == nil || !t.leader.Running() {
		return 0, fmt.Errorf("group %q: this agent does not lead a running group: %w", t.g.cfg.Group, core.ErrNotReady)
	}
	version, ok := t.leader.Propose(m)
	if !ok {
		return 0, fmt.Errorf("group %q: map %d is being loaded: %w", t.g.cfg.Group, t.leader.Pending(), core.ErrConflict)
	}
	return version, nil
}

// answer is the reply of one rank to one message of the leader.
type answer struct {
	rank          int
	fence         int64
	frame         *peerpb.Frame
	sentBytes     int
	receivedBytes int
}
