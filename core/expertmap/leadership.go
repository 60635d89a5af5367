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

// Leadership identifies the leader of one group. Fence is the offset of its
// record and serves as the fencing token of its messages.
type Leadership struct {
	LeaderRecord
	Fence int64
}

// Leaders is the state after the applied records of the leaders stream. The
// record with the highest offset names the leader of its group. Leaders is
// immutable.
type Leaders struct {
	groups     map[string]Leadership
	nextOffset int64
}

// NextOffset returns the first offset that is not applied.
func (s Leaders) NextOffset() int64 { return s.nextOffset }

// Skip returns the state with the next offset raised to at least to. It is used
// when the records below that offset have expired.
func (s Leaders) Skip(to int64) Leaders {
	s.nextOffset = max(s.nextOffset, to)
	return s
}

// Of returns the leader of a group. It reports false if there never was one.
func (s Leaders) Of(group string) (Leadership, bool) {
	l, ok := s.groups[group]
	return l, ok
}

// With returns the state after records, which must be in order of offsets.
// Records below the next offset are ignored. A record that is not valid JSON is
// skipped; the error describes the last such record.
func (s Leaders) With(records []core.Record) (Leaders, error) {
	var invalid error
	out := Leaders{groups: make(map[string]Leadership, len(s.groups)), nextOffset: s.nextOffset}
	for g, l := range s.groups {
		out.groups[g] = l
	}
	for _, r := range records {
		if r.Offset < out.nextOffset {
			continue
		}
		out.nextOffset = r.Offset + 1
		var rec LeaderRecord
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			invalid = fmt.Errorf("leaders record at offset %d: %w: %w", r.Offset, core.ErrInvalid, err)
			continue
		}
		out.groups[rec.Group] = Leadership{LeaderRecord: rec, Fence: r.Offset}
	}
	return out, invalid
}

// CandidateDelay returns how long a rank waits after the last message of a
// leader before it becomes a candidate. leaderTimeout is left out for a group
// that has never had a leader.
func CandidateDelay(rank int, hadLeader bool) time.Duration {
	d := time.Duration(rank) * candidateStagger
	if hadLeader {
		d += leaderTimeout
	}
	return d
}
