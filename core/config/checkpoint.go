package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"nutmegnotch/core"
)

// snapshot is the JSON form of the state in checkpoint records and in snapshots
// that are sent to peers.
type snapshot struct {
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
	// PastEntrySets holds the most recent entry sets, oldest first, including the
	// current one.
	PastEntrySets []core.VersionedEntrySet `json:"past_entry_sets,omitempty"`
}

// checkpoint is the JSON form of a checkpoint record. Offset is the first offset
// that State does not include.
type checkpoint struct {
	Kind   string    `json:"kind"`
	Offset int64     `json:"offset"`
	State  *snapshot `json:"state"`
}

func (m *StateMachine) snapshot() *snapshot {
	s := &snapshot{Objects: m.Objects(""), Outcomes: make([]Outcome, 0, len(m.outcomeOrder)), PastEntrySets: m.cfg.PastEntrySets}
	for _, id := range m.outcomeOrder {
		s.Outcomes = append(s.Outcomes, m.outcomes[id])
	}
	return s
}

// EncodeState returns the state as the JSON of a snapshot for a peer.
func (m *StateMachine) EncodeState() ([]byte, error) {
	data, err := json.Marshal(m.snapshot())
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// EncodeCheckpoint returns a checkpoint record of the state.
func (m *StateMachine) EncodeCheckpoint() ([]byte, error) {
	data, err := json.Marshal(checkpoint{Kind: kindCheckpoint, Offset: m.nextOffset, State: m.snapshot()})
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return data, nil
}

// DecodeState restores a state machine from the result of EncodeState. next is
// the first offset that the snapshot does not include.
func DecodeState(next int64, data []byte) (*StateMachine, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode state: %w: %w", err, core.ErrInvalid)
	}
	return restore(next, &s)
}

// CheckpointOffset returns the first offset that the state in a checkpoint record
// does not include. It reports false for any other record.
func CheckpointOffset(data []byte) (int64, bool) {
	// This check avoids the cost of decoding most other records.
	if !bytes.Contains(data, []byte(kindCheckpoint)) {
		return 0, false
	}
	var c struct {
		Kind   string `json:"kind"`
		Offset int64  `json:"offset"`
	}
	err := json.Unmarshal(data, &c)
	return c.Offset, err == nil && c.Kind == kindCheckpoint
}

// DecodeCheckpoint restores a state machine from a checkpoint record.
func DecodeCheckpoint(data []byte) (*StateMachine, error) {
	var c checkpoint
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("decode checkpoint: %w: %w", err, core.ErrInvalid)
	}
	if c.Kind != kindCheckpoint || c.State == nil {
		return nil, fmt.Errorf("record is not a checkpoint: %w", core.ErrInvalid)
	}
	return restore(c.Offset, c.State)
}

// restore returns a state machine with the state of a snapshot, or an error if
// the snapshot is invalid. next is the first offset that it does not include.
func restore(next int64, s *snapshot) (*StateMachine, error) {
	if next < 0 || len(s.Outcomes) > MaxOutcomes {
		return nil, fmt.Errorf("state at offset %d with %d outcomes: %w", next, len(s.Outcomes), core.ErrInvalid)
	}
	m := New()
	for _, o := range s.Objects {
		v, err := decodeValue(o.Name, o.Value)
		if err != nil {
			return nil, fmt.Errorf("restore state: %w", err)
		}
		if _, duplicate := m.objects[o.Name]; duplicate || o.Version <= 0 || o.Version >= next {
			return nil, fmt.Errorf("restore object %q of version %d at offset %d: %w", o.Name, o.Version, next, core.ErrInvalid)
		}
		if err := m.checkUnique(v); err != nil {
			return nil, fmt.Errorf("restore object %q: %w", o.Name, err)
		}
		o.Value = v.canonical
		m.setObject(o, v)
	}
	for _, o := range s.Outcomes {
		if _, duplicate := m.outcomes[o.ChangeID]; duplicate || o.Offset >= next {
			return nil, fmt.Errorf("restore outcome of change %q: %w", o.ChangeID, core.ErrInvalid)
		}
		m.addOutcome(o)
	}
	if err := m.restorePastEntrySets(s.PastEntrySets, next); err != nil {
		return nil, err
	}
	m.nextOffset = next
	return m, nil
}

// restorePastEntrySets checks that the versions of the entry sets increase and
// that the last one is the current version, and sets them.
func (m *StateMachine) restorePastEntrySets(past []core.VersionedEntrySet, next int64) error {
	current := m.objects[core.ObjectEntrySet].Version
	last := int64(0)
	for _, p := range past {
		if p.Version <= last || p.Version >= next {
			return fmt.Errorf("restore entry set of version %d at offset %d: %w", p.Version, next, core.ErrInvalid)
		}
		last = p.Version
	}
	if last != current || len(past) > maxPastEntrySets {
		return fmt.Errorf("restore %d entry sets up to version %d, the current version is %d: %w", len(past), last, current, core.ErrInvalid)
	}
	m.setPastEntrySets(past)
	return nil
}
