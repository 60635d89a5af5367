package group

import (
	"time"

	"nutmegnotch/core"
)

// unresponsiveThreshold is the time without an answer after which a leader reports
// a rank as unresponsive. A leader sends each rank a message at least once a
// second.
const unresponsiveThreshold = 2 * time.Second

// Status is the state of a group as one agent knows it. SinceStepMS is the time
// since the agent last saw a new step of its engine. CurrentMap, PendingMap,
// GenerationsStarted and UnresponsiveRanks are only set while this agent leads.
// PendingMap is the version of the map being loaded, or 0. UnresponsiveRanks
// lists the ranks that do not answer. SentMessages, SentBytes and ReceivedBytes
// count the answered messages of this agent as leader and their answers.
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

func (t *leaderTask) status() Status {
	s := Status{Step: t.localRank.step, SinceStepMS: t.g.SinceStep().Milliseconds(), Horizon: t.localRank.horizon,
		Generation: t.localRank.generation, Fence: t.localRank.fence, StateLost: t.localRank.stateLost,
		MapVersion: t.localRank.mapVersion, Map: t.localRank.maps[t.localRank.mapVersion],
		SentMessages: t.sentMessages, SentBytes: t.sentBytes, ReceivedBytes: t.receivedBytes}
	if l, ok := t.view.leaders.Of(t.g.cfg.Group); ok {
		s.LeaderID = l.AgentID
	}
	if t.leader == nil {
		return s
	}
	s.Leading, s.Running = true, t.leader.Running()
	s.CurrentMap, s.PendingMap, s.GenerationsStarted = t.leader.Current(), t.leader.Pending(), t.leader.GenerationsStarted()
	for rank, at := range t.answeredAt {
		if time.Since(at) > unresponsiveThreshold {
			s.UnresponsiveRanks = append(s.UnresponsiveRanks, rank)
		}
	}
	return s
}

// updateRank stores a new snapshot of the local rank. It sets the time of the last
// step when the step or the generation has changed.
func (t *leaderTask) updateRank(s rankSnapshot) {
	if s.step != t.localRank.step || s.generation != t.localRank.generation {
		now := time.Now()
		t.g.lastStepAt.Store(&now)
	}
	t.localRank = s
	if s.leaderSeenAt.After(t.leaderSeenAt) {
		t.leaderSeenAt = s.leaderSeenAt
	}
}
