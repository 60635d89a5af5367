package group

import (
	"time"

	"nutmegnotch/core"
)

// silentAfter is the time without an answer from which a leader calls a rank
// silent. A leader asks each rank at least once a second.
const silentAfter = 2 * time.Second

// Status is the state of a group as one agent knows it. PendingMap is the map
// being loaded. SinceStepMS is the time since the agent last saw its engine get
// on by a step. UnresponsiveRanks are the ranks that do not answer this leader. The
// sums count what this agent sent and received as leader.
type Status struct {
	Leading            bool           `json:"leading"`
	Running            bool           `json:"running"`
	LeaderID           string         `json:"leader_id"`
	Fence              int64          `json:"fence"`
	Generation         int64          `json:"generation"`
	Step               int64          `json:"step"`
	SinceStepMS        int64          `json:"since_step_ms"`
	Horizon            int64          `json:"horizon"`
	StateLost          bool           `json:"state_lost"`
	MapVersion         int64          `json:"map_version"`
	CurrentMap         int64          `json:"current_map"`
	PendingMap         int64          `json:"pending_map"`
	GenerationsStarted int            `json:"resets"`
	UnresponsiveRanks  []int          `json:"silent_ranks"`
	Map                core.ExpertMap `json:"-"`
	SentMessages       int64          `json:"sent_messages"`
	SentBytes          int64          `json:"sent_bytes"`
	ReceivedBytes      int64          `json:"received_bytes"`
}

func (t *leadTask) status() Status {
	s := Status{Step: t.info.step, SinceStepMS: t.g.SinceStep().Milliseconds(), Horizon: t.info.horizon,
		Generation: t.info.generation, Fence: t.info.fence, StateLost: t.info.stateLost,
		MapVersion: t.info.mapVersion, Map: t.info.maps[t.info.mapVersion],
		SentMessages: t.sent, SentBytes: t.sentBytes, ReceivedBytes: t.received}
	if l, ok := t.fold.leaders.Of(t.g.cfg.Group); ok {
		s.LeaderID = l.AgentID
	}
	if t.leader == nil {
		return s
	}
	s.Leading, s.Running = true, t.leader.Running()
	s.CurrentMap, s.PendingMap, s.GenerationsStarted = t.leader.Current(), t.leader.Pending(), t.leader.GenerationsStarted()
	for rank, at := range t.answeredAt {
		if time.Since(at) > silentAfter {
			s.UnresponsiveRanks = append(s.UnresponsiveRanks, rank)
		}
	}
	return s
}

// observe takes what the rank task tells and notes when a step was run.
func (t *leadTask) observe(i rankInfo) {
	if i.step != t.info.step || i.generation != t.info.generation {
		now := time.Now()
		t.g.steppedAt.Store(&now)
	}
	t.info = i
	if i.heard.After(t.heard) {
		t.heard = i.heard
	}
}
