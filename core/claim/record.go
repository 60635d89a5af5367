// Package claim decides which agent may run a non-repeatable request. Its state
// machine applies the claim records of one partition of the platform's log and
// does no I/O.
package claim

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"nutmegnotch/core"
)

// Kinds of operations.
const (
	OpClaim   = "claim"
	OpRelease = "release"
)

// HashBytes is the length of key hashes and request hashes in records.
const HashBytes = 16

// MaxRecordOps is the maximum number of operations in one record. A record of
// this size stays below 256 KiB.
const MaxRecordOps = 512

// maxAgentFieldBytes bounds each of the strings that identify the agent of a
// claim.
const maxAgentFieldBytes = 256

// ID identifies a claim.
type ID = uuid.UUID

// Hash identifies an idempotency key or the content of a request.
type Hash [HashBytes]byte

// MarshalText encodes h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText decodes h from hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != 2*HashBytes {
		return fmt.Errorf("hash has %d characters, want %d: %w", len(text), 2*HashBytes, core.ErrInvalid)
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("decode hash: %w", err)
	}
	return nil
}

// HashFromBytes returns the first HashBytes bytes of a hash, which may be
// longer.
func HashFromBytes(b []byte) (Hash, error) {
	var h Hash
	if len(b) < HashBytes {
		return h, fmt.Errorf("hash has %d bytes, want at least %d: %w", len(b), HashBytes, core.ErrInvalid)
	}
	copy(h[:], b)
	return h, nil
}

// Op is one operation of a record. A release has no fields besides Op and
// ClaimID.
type Op struct {
	Op               string `json:"op"`
	ClaimID          ID     `json:"claim_id"`
	KeyHash          Hash   `json:"key_hash,omitzero"`
	RequestHash      Hash   `json:"request_hash,omitzero"`
	AgentID          string `json:"agent_id,omitempty"`
	AgentIncarnation string `json:"agent_incarnation,omitempty"`
	AgentAddress     string `json:"agent_address,omitempty"`
	DeadlineUnixMS   int64  `json:"deadline_unix_ms,omitempty"`
}

// record is the JSON of one log record.
type record struct {
	Ops []Op `json:"ops"`
}

// Encode returns the record of a batch of operations.
func Encode(ops []Op) ([]byte, error) {
	if len(ops) == 0 || len(ops) > MaxRecordOps {
		return nil, fmt.Errorf("claim record has %d operations, want 1 to %d: %w", len(ops), MaxRecordOps, core.ErrInvalid)
	}
	for _, op := range ops {
		if err := op.check(); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(record{Ops: ops})
	if err != nil {
		return nil, fmt.Errorf("encode claim record: %w", err)
	}
	return data, nil
}

// Decode returns the operations of a record. It returns an error if any of them
// is malformed, so that every reader skips the same records.
func Decode(data []byte) ([]Op, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("decode claim record: %w: %w", err, core.ErrInvalid)
	}
	if len(r.Ops) > MaxRecordOps {
		return nil, fmt.Errorf("claim record has %d operations, limit %d: %w", len(r.Ops), MaxRecordOps, core.ErrInvalid)
	}
	for _, op := range r.Ops {
		if err := op.check(); err != nil {
			return nil, err
		}
	}
	return r.Ops, nil
}

func (o Op) check() error {
	if o.ClaimID == uuid.Nil {
		return fmt.Errorf("operation %q has no claim id: %w", o.Op, core.ErrInvalid)
	}
	if o.Op == OpRelease {
		return nil
	}
	if o.Op != OpClaim {
		return fmt.Errorf("unknown claim operation %q: %w", o.Op, core.ErrInvalid)
	}
	for _, s := range []string{o.AgentID, o.AgentIncarnation, o.AgentAddress} {
		if s == "" || len(s) > maxAgentFieldBytes {
			return fmt.Errorf("claim %s: agent field has %d bytes, want 1 to %d: %w", o.ClaimID, len(s), maxAgentFieldBytes, core.ErrInvalid)
		}
	}
	return nil
}
