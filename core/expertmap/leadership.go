package expertmap

import (
	"encoding/json"
	"fmt"
	"time"

	"nutmegnotch/core"
)

// LeaderRecord is one record of the leaders stream.
type LeaderRecord struct {
	Group            string `json:"group"`
	AgentID          string `json:"agent_id"`
	AgentIncarnation string `json:"agent_incarnation"`
}

// Leadership is the leader of one group. Fence is the offset of its record.
type Leadership struct {
	LeaderRecord
	Fence int64
}

// Leaders folds the leaders stream: the record with the highest offset names
// the leader of its group. It is immutable.
type Leaders struct {
	groups map[string]Leadership
	next   int64
}

// NextOffset returns the first offset that is not folded.
func (s Leaders) NextOffset() int64 { return s.next }

// Skip passes over the records below an offset, which have expired.
func (s Leaders) Skip(to int64) Leaders {
	s.next = max(s.next, to)
	return s
}

// Of returns the leader of a group and whether there has been one.
func (s Leaders) Of(group string) (Leadership, bool) {
	l, ok := s.groups[group]
	return l, ok
}

// With folds records in order of offsets. Records below the next offset are
// ignored. A record that is not valid JSON is passed over and reported.
func (s Leaders) With(records []core.Record) (Leaders, error) {
	var bad error
	out := Leaders{groups: make(map[string]Leadership, len(s.groups)), next: s.next}
	for g, l := range s.groups {
		out.groups[g] = l
	}
	for _, r := range records {
		if r.Offset < out.next {
			continue
		}
		out.next = r.Offset + 1
		var rec LeaderRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			bad = fmt.Errorf("leaders record at offset %d: %w: %w", r.Offset, core.ErrInvalid, err)
			continue
		}
		out.groups[rec.Group] = Leadership{LeaderRecord: rec, Fence: r.Offset}
	}
	return out, bad
}

// CandidateDelay returns how long a rank waits after it last heard a leader
// before it stands for leadership. A group that has never had a leader has
// none to wait for.
func CandidateDelay(rank int, hadLeader bool) time.Duration {
	d := time.Duration(rank) * candidateGap
	if hadLeader {
		d += leaderSilence
	}
	return d
}
