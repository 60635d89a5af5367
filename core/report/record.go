// Package report counts what each organisation got, encodes the counts as
// records of the reports stream and merges records into verdicts. It does no
// I/O.
package report

import (
	"encoding/json"
	"fmt"
	"time"

	"nutmegnotch/core"
)

// MaxRecordBytes bounds one record. It equals the bound of configuration
// records, which the log is known to take.
const MaxRecordBytes = 256 << 10

// headBytes bounds what a record without counts takes.
const headBytes = 1 << 10

// Ways in which a record ends the reports of an incarnation for the time after
// it. A record without one promises another record.
const (
	// ClosedIdle means that nothing happens until the next record.
	ClosedIdle = "idle"
	// ClosedStop means that the entry has stopped.
	ClosedStop = "stop"
)

// Record is what one incarnation of an entry counted in one interval. Sequence
// starts at 1 and grows by 1 with each record of the incarnation.
//
// The interval ended AgeMS before the record was sent and lasted LengthMS. The
// incarnation saw no outcome in the IdleMS before the interval. Together with
// the log's time of the record this needs no agreement of clocks.
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

// Count is what one organisation got from one service under one version of its
// contract. Requests counts final outcomes. AdmittedRequests and AdmittedTokens
// are the credit spent, counted when it was spent. Times are in milliseconds.
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

// Split spreads the counts over as few records as the size limit permits. The
// sequence numbers follow on; only the first record holds the idle time and the
// dropped events, and only the last one closes.
func (r Record) Split() ([]Record, error) {
	part := r
	part.Counts, part.Closed = nil, ""
	var parts []Record
	size := headBytes
	for _, c := range r.Counts {
		data, err := json.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("encode count of organisation %q: %w", c.Organisation, err)
		}
		if size+len(data)+1 > MaxRecordBytes && len(part.Counts) > 0 {
			parts = append(parts, part)
			part = Record{EntryID: r.EntryID, Incarnation: r.Incarnation, Sequence: part.Sequence + 1, LengthMS: r.LengthMS}
			size = headBytes
		}
		part.Counts = append(part.Counts, c)
		size += len(data) + 1
	}
	part.Closed = r.Closed
	return append(parts, part), nil
}

// Decode reads one record. Members that it does not know are ignored, so that
// newer entries can add some.
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
	for _, n := range []int64{c.Requests, c.Whole, c.OnTime, c.Late, c.Cut, c.CallerGone, c.CallerGoneLate, c.OutcomeUnknown,
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

// end returns the end of the interval in the log's time.
func (r Record) end(logged time.Time) time.Time {
	return logged.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

func (r Record) length() time.Duration { return time.Duration(r.LengthMS) * time.Millisecond }
func (r Record) idle() time.Duration   { return time.Duration(r.IdleMS) * time.Millisecond }
