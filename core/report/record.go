// Package report counts requests and their outcomes per organisation, encodes the
// counts as records of the reports stream, and merges records into verdicts on
// the promises of contracts. It does no I/O.
package report

import (
	"encoding/json"
	"fmt"
	"time"

	"nutmegnotch/core"
)

// MaxRecordBytes bounds the size of one record. It equals the bound of
// configuration records, which the log accepts.
const MaxRecordBytes = 256 << 10

// recordOverheadBytes bounds the size of a record without counts.
const recordOverheadBytes = 1 << 10

// Values of Record.Closed: why the time after a record is covered although no
// other record may follow. If Closed is empty, another record must follow.
const (
	// ClosedIdle means that there are no events until the next record.
	ClosedIdle = "idle"
	// ClosedStop means that the entry has stopped.
	ClosedStop = "stop"
)

// Record holds the counts of one incarnation of an entry in one interval.
// Sequence starts at 1 and increases by 1 with each record of the incarnation.
//
// The interval ended AgeMS before the record was sent and lasted LengthMS. The
// incarnation had no events in the IdleMS before the interval. All of them are
// relative to the log's time of the record, so the clocks of entries need not
// agree.
type Record struct {
	EntryID     string  `json:"entry_id"`
	Incarnation string  `json:"incarnation"`
	Sequence    int64   `json:"sequence"`
	AgeMS       int64   `json:"age_ms"`
	LengthMS    int64   `json:"length_ms"`
	IdleMS      int64   `json:"idle_ms,omitempty"`
	Closed      string  `json:"closed,omitempty"`
	Dropped     int64   `json:"dropped,omitempty"`
	Counts      []Count `json:"counts,omitempty"`
}

// Count holds the counts of one organisation for one service under one version
// of its contract. Requests counts final outcomes. AdmittedRequests and
// AdmittedTokens are the credit spent, counted when it was spent. Times are in
// milliseconds.
type Count struct {
	Organisation    string `json:"organisation"`
	Service         string `json:"service,omitempty"`
	ContractVersion int64  `json:"contract_version"`

	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	ReplyTimeMS       int64   `json:"reply_time_ms"`

	Requests       int64            `json:"requests,omitempty"`
	Whole          int64            `json:"whole,omitempty"`
	OnTime         int64            `json:"on_time,omitempty"`
	Late           int64            `json:"late,omitempty"`
	Unverified     int64            `json:"unverified,omitempty"`
	UnverifiedLate int64            `json:"unverified_late,omitempty"`
	Cut            int64            `json:"cut,omitempty"`
	CallerGone     int64            `json:"caller_gone,omitempty"`
	CallerGoneLate int64            `json:"caller_gone_late,omitempty"`
	OutcomeUnknown int64            `json:"outcome_unknown,omitempty"`
	NotRun         map[string]int64 `json:"not_run,omitempty"`
	Failed         map[string]int64 `json:"failed,omitempty"`

	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	OutputTokens int64 `json:"output_tokens,omitempty"`
	ReplyBytes   int64 `json:"reply_bytes,omitempty"`

	AdmittedRequests int64 `json:"admitted_requests,omitempty"`
	AdmittedTokens   int64 `json:"admitted_tokens,omitempty"`

	FirstByteMS *Histogram `json:"first_ms,omitempty"`
	ReplyMS     *Histogram `json:"reply_ms,omitempty"`
}

// Encode returns the JSON of the record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode report record: %w", err)
	}
	return data, nil
}

// Split distributes the counts over records of at most MaxRecordBytes. Their
// sequence numbers are consecutive. Only the first record has the idle time and
// the dropped events, and only the last one has Closed set. The caller sets the
// age of each record when it sends it.
func (r Record) Split() ([]Record, error) {
	part := r
	part.Counts, part.Closed = nil, ""
	var parts []Record
	size := recordOverheadBytes
	for _, c := range r.Counts {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("encode count of organisation %q: %w", c.Organisation, err)
		}
		if size+len(data)+1 > MaxRecordBytes && len(part.Counts) > 0 {
			parts = append(parts, part)
			part = Record{EntryID: r.EntryID, Incarnation: r.Incarnation, Sequence: part.Sequence + 1, LengthMS: r.LengthMS}
			size = recordOverheadBytes
		}
		part.Counts = append(part.Counts, c)
		size += len(data) + 1
	}
	part.Closed = r.Closed
	return append(parts, part), nil
}

// Decode decodes and validates one record. It ignores unknown members, so that
// newer versions of entries can add some.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode report record: %w: %w", err, core.ErrInvalid)
	}
	if r.EntryID == "" || r.Incarnation == "" || r.Sequence < 1 || r.AgeMS < 0 || r.LengthMS < 0 || r.IdleMS < 0 || r.Dropped < 0 {
		return r, fmt.Errorf("report record of entry %q, sequence %d, has members out of range: %w", r.EntryID, r.Sequence, core.ErrInvalid)
	}
	for _, c := range r.Counts {
		if !c.valid() {
			return r, fmt.Errorf("report record of entry %q, sequence %d, has a negative count: %w", r.EntryID, r.Sequence, core.ErrInvalid)
		}
	}
	return r, nil
}

func (c Count) valid() bool {
	for _, n := range []int64{c.Requests, c.Whole, c.OnTime, c.Late, c.Unverified, c.UnverifiedLate, c.Cut, c.CallerGone, c.CallerGoneLate, c.OutcomeUnknown,
		c.PromptTokens, c.OutputTokens, c.ReplyBytes, c.AdmittedRequests, c.AdmittedTokens} {
		if n < 0 {
			return false
		}
	}
	for _, m := range []map[string]int64{c.NotRun, c.Failed} {
		for _, n := range m {
			if n < 0 {
				return false
			}
		}
	}
	return c.Organisation != ""
}

// end returns the end of the interval in the log's time. logged is the log's time
// of the record.
func (r Record) end(logged time.Time) time.Time {
	return logged.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

func (r Record) length() time.Duration { return time.Duration(r.LengthMS) * time.Millisecond }
func (r Record) idle() time.Duration   { return time.Duration(r.IdleMS) * time.Millisecond }
