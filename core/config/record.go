// Package config applies the records of the config stream to a replicated state
// machine that holds the configuration. The state machine is deterministic:
// processes that have applied the same records hold the same state and the same
// hash.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
)

// Kinds of records in the config stream.
const (
	kindChange     = "change"
	kindCheckpoint = "checkpoint"
)

// Limits of a change record.
const (
	MaxChangeIDLen = 128
	MaxAuthorLen   = 128
	MaxRecordBytes = 256 << 10
)

// Change sets the value of one object or deletes it. BasedOn is the version of
// the object that the change replaces; 0 means that the object does not exist.
type Change struct {
	Kind     string          `json:"kind"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Object   string          `json:"object"`
	BasedOn  int64           `json:"based_on"`
	Value    json.RawMessage `json:"value,omitempty"`
	Delete   bool            `json:"delete,omitempty"`
}

// Encode returns the change as a record of the config stream.
func (c Change) Encode() ([]byte, error) {
	c.Kind = kindChange
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode change %q: %w", c.ChangeID, err)
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("change %q has %d bytes, at most %d are allowed: %w", c.ChangeID, len(data), MaxRecordBytes, core.ErrInvalid)
	}
	return data, nil
}

// Check validates the change without regard to other objects.
func (c Change) Check() error {
	_, err := c.decode()
	return err
}

// decode validates the change and decodes its value. A deletion has no value.
func (c Change) decode() (value, error) {
	if c.ChangeID == "" || len(c.ChangeID) > MaxChangeIDLen {
		return value{}, fmt.Errorf("change_id must have 1 to %d bytes: %w", MaxChangeIDLen, core.ErrInvalid)
	}
	if len(c.Author) > MaxAuthorLen {
		return value{}, fmt.Errorf("author must have at most %d bytes: %w", MaxAuthorLen, core.ErrInvalid)
	}
	if c.BasedOn < 0 {
		return value{}, fmt.Errorf("based_on is %d, it must not be negative: %w", c.BasedOn, core.ErrInvalid)
	}
	if c.Delete != (len(c.Value) == 0) {
		return value{}, fmt.Errorf("a change holds either a value or \"delete\":true: %w", core.ErrInvalid)
	}
	if c.Delete {
		if c.Object == core.ObjectEntrySet {
			return value{}, fmt.Errorf("object %q cannot be deleted: %w", c.Object, core.ErrInvalid)
		}
		_, _, err := ParseObjectName(c.Object)
		return value{}, err
	}
	return decodeValue(c.Object, c.Value)
}

// Digest returns a hash of the change without its id and author. If two changes
// have the same id and different digests, their sender has reused the id.
func (c Change) Digest() string {
	v, _ := c.decode()
	return c.digest(v)
}

// digest hashes the canonical value if there is one, since the value in the log
// can differ from the author's in white space.
func (c Change) digest(v value) string {
	d := xxhash.New()
	value := []byte(c.Value)
	if v.canonical != nil {
		value = v.canonical
	}
	fmt.Fprintf(d, "%q %d %t %q", c.Object, c.BasedOn, c.Delete, value)
	return fmt.Sprintf("%016x", d.Sum64())
}

// Result is the result of a change.
type Result string

// Results of changes. Lost means that BasedOn was not the current version.
// Unknown is never the result of applying a record: a publisher
// gets it if its deadline passes before the result is known.
const (
	Accepted Result = "accepted"
	Lost     Result = "lost"
	Rejected Result = "rejected"
	Unknown  Result = "unknown"
)

// Outcome is the decision on a change. Offset is the offset of the record that
// decided it, and Version the version of the object afterwards. Winner is the
// id of the change that a lost change lost to.
type Outcome struct {
	ChangeID string `json:"change_id"`
	Object   string `json:"object"`
	Result   Result `json:"result"`
	Offset   int64  `json:"offset"`
	Version  int64  `json:"version"`
	Winner   string `json:"winner,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Digest   string `json:"digest"`
}

// Object is a configuration object with its canonical value.
type Object struct {
	Name     string          `json:"object"`
	Version  int64           `json:"version"`
	ChangeID string          `json:"change_id"`
	Author   string          `json:"author"`
	Value    json.RawMessage `json:"value"`
}

func (o Object) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("o %q %d %q %q %q", o.Name, o.Version, o.ChangeID, o.Author, o.Value))
}

func (o Outcome) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("c %q %q %q %d %d %q %q %q",
		o.ChangeID, o.Object, o.Result, o.Offset, o.Version, o.Winner, o.Reason, o.Digest))
}
