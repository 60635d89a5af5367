package reportlog

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

const (
	// Lookback is how long before a window Read starts, to find entries that were
	// active before the window and then stopped reporting.
	Lookback = time.Hour

	maxReadRecords = 1000
	maxRecords     = 200_000
)

// Read returns the records that a merge of the window needs, and the gaps that
// cannot be found from these records: expired and unreadable ones. Counts of
// organisations for which keep returns false are dropped to bound memory.
func Read(ctx context.Context, log core.Log, w report.Window, keep func(organisation string) bool) ([]report.LoggedRecord, []report.Gap, error) {
	offsets, err := log.Read(ctx, core.StreamReports, 0, 1, 0)
	if err != nil && !errors.Is(err, core.ErrExpired) {
		return nil, nil, fmt.Errorf("read reports: %w", err)
	}
	r := reader{ctx: ctx, log: log, window: w, keep: keep, end: offsets.NextOffset}
	from, err := r.seek(offsets.FirstOffset, w.From.Add(-Lookback))
	if err != nil {
		return nil, nil, err
	}
	if offsets.FirstOffset > 0 {
		if err := r.addExpiredGap(offsets.FirstOffset); err != nil {
			return nil, nil, err
		}
	}
	err = r.readAll(from)
	return r.records, r.gaps, err
}

// reader is the state of one Read. end is the end of the stream at its start.
type reader struct {
	ctx     context.Context
	log     core.Log
	window  report.Window
	keep    func(string) bool
	end     int64
	records []report.LoggedRecord
	gaps    []report.Gap
}

// recordAt returns the first retained record from an offset on, or false if there
// is none.
func (r *reader) recordAt(offset int64) (core.Record, bool, error) {
	b, err := r.log.Read(r.ctx, core.StreamReports, offset, 1, 0)
	if errors.Is(err, core.ErrExpired) {
		b, err = r.log.Read(r.ctx, core.StreamReports, b.FirstOffset, 1, 0)
	}
	if err != nil {
		return core.Record{}, false, fmt.Errorf("read reports at offset %d: %w", offset, err)
	}
	if len(b.Records) == 0 {
		return core.Record{}, false, nil
	}
	return b.Records[0], true, nil
}

// seek returns the first offset whose record is not older than t, by binary search.
func (r *reader) seek(first int64, t time.Time) (int64, error) {
	var searchErr error
	n := sort.Search(int(r.end-first), func(i int) bool {
		if searchErr != nil {
			return true
		}
		rec, ok, err := r.recordAt(first + int64(i))
		searchErr = err
		return !ok || !rec.Time.Before(t)
	})
	return first + int64(n), searchErr
}

// addExpiredGap adds a gap if records of the window may have expired.
func (r *reader) addExpiredGap(first int64) error {
	rec, ok, err := r.recordAt(first)
	if err != nil {
		return err
	}
	to := r.window.To
	if ok && rec.Time.Before(to) {
		to = rec.Time
	}
	if to.After(r.window.From) {
		r.gaps = append(r.gaps, report.Gap{Reason: report.GapExpired, From: r.window.From, To: to})
	}
	return nil
}

// readAll reads to the end of the stream, since records of the window can be
// appended late.
func (r *reader) readAll(from int64) error {
	for from < r.end {
		b, err := r.log.Read(r.ctx, core.StreamReports, from, maxReadRecords, 0)
		if err != nil {
			return fmt.Errorf("read reports from offset %d: %w", from, err)
		}
		if len(b.Records) == 0 {
			return nil
		}
		for _, rec := range b.Records {
			r.addRecord(rec)
			from = rec.Offset + 1
		}
		if len(r.records) > maxRecords {
			return fmt.Errorf("the window needs more than %d records, ask for a shorter one: %w", maxRecords, core.ErrInvalid)
		}
	}
	return nil
}

// addRecord adds a record, or a gap of the whole window if it cannot be decoded.
func (r *reader) addRecord(rec core.Record) {
	v, err := report.Decode(rec.Data)
	if err != nil {
		if !rec.Time.Before(r.window.From) {
			r.gaps = append(r.gaps, report.Gap{Reason: report.GapUnreadable, From: r.window.From, To: r.window.To})
		}
		return
	}
	var kept []report.Count
	for _, c := range v.Counts {
		if r.keep(c.Organisation) {
			kept = append(kept, c)
		}
	}
	v.Counts = kept
	r.records = append(r.records, report.LoggedRecord{Offset: rec.Offset, Time: rec.Time, Record: v})
}
