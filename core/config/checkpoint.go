package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"nutmegnotch/core"
)

// state is the JSON form of a fold in checkpoints and snapshots.
type state struct {
	Objects  []Object  `json:"objects"`
	Outcomes []Outcome `json:"outcomes"`
	// PastEntrySets holds the last entry sets, oldest first, the present one
	// included.
	PastEntrySets []core.VersionedEntrySet `json:"past_entry_sets,omitempty"`
}

type checkpoint struct {
	Kind   string `json:"kind"`
	Offset int64  `json:"offset"`
	State  *state `json:"state"`
}

func (f *StateMachine) state() *state {
	s := &state{Objects: f.Objects(""), Outcomes: make([]Outcome, 0, len(f.order)), PastEntrySets: f.cfg.PastEntrySets}
	for _, id := range f.order {
		s.Outcomes = append(s.Outcomes, f.outcomes[id])
	}
	return s
}

// EncodeState returns the JSON of the folded state for a peer.
func (f *StateMachine) EncodeState() ([]byte, error) {
	data, err := json.Marshal(f.state())
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// EncodeCheckpoint returns a checkpoint record of the folded state.
func (f *StateMachine) EncodeCheckpoint() ([]byte, error) {
	data, err := json.Marshal(checkpoint{Kind: kindCheckpoint, Offset: f.next, State: f.state()})
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return data, nil
}

// DecodeState returns the fold at an offset from the result of EncodeState.
func DecodeState(next int64, data []byte) (*StateMachine, error) {
	var s state
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode state: %w: %w", err, core.ErrInvalid)
	}
	return restore(next, &s)
}

// CheckpointOffset returns the offset of a checkpoint record, and false for any
// other record.
func CheckpointOffset(data []byte) (int64, bool) {
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

// DecodeCheckpoint returns the fold that a checkpoint record holds.
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

func restore(next int64, s *state) (*StateMachine, error) {
	if next < 0 || len(s.Outcomes) > MaxOutcomes {
		return nil, fmt.Errorf("state at offset %d with %d outcomes: %w", next, len(s.Outcomes), core.ErrInvalid)
	}
	f := New()
	for _, o := range s.Objects {
		v, err := decodeValue(o.Name, o.Value)
		if err != nil {
			return nil, fmt.Errorf("restore state: %w", err)
		}
		if _, twice := f.objects[o.Name]; twice || o.Version <= 0 || o.Version >= next {
			return nil, fmt.Errorf("restore object %q of version %d at offset %d: %w", o.Name, o.Version, next, core.ErrInvalid)
		}
		if err := f.checkUnique(v); err != nil {
			return nil, fmt.Errorf("restore object %q: %w", o.Name, err)
		}
		o.Value = v.canonical
		f.set(o, v)
	}
	for _, o := range s.Outcomes {
		if _, twice := f.outcomes[o.ChangeID]; twice || o.Offset >= next {
			return nil, fmt.Errorf("restore outcome of change %q: %w", o.ChangeID, core.ErrInvalid)
		}
		f.remember(o)
	}
	if err := f.restorePast(s.PastEntrySets, next); err != nil {
		return nil, err
	}
	f.next = next
	return f, nil
}

// restorePast checks that the entry sets are in order and end in the present
// one.
func (f *StateMachine) restorePast(past []core.VersionedEntrySet, next int64) error {
	present := f.objects[core.ObjectEntrySet].Version
	last := int64(0)
	for _, p := range past {
		if p.Version <= last || p.Version >= next {
			return fmt.Errorf("restore entry set of version %d at offset %d: %w", p.Version, next, core.ErrInvalid)
		}
		last = p.Version
	}
	if last != present || len(past) > maxPastEntrySets {
		return fmt.Errorf("restore %d entry sets up to version %d, the present version is %d: %w", len(past), last, present, core.ErrInvalid)
	}
	f.setPast(past)
	return nil
}
