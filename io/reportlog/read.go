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
	// Lookback is how long before a window the reader looks for entries that
	// reported and then fell silent.
	Lookback = time.Hour

	readBatch  = 1000
	maxRecords = 200_000
)

// Read returns the records that a merge of the window needs, and the gaps that
// only a reader of the log can see. Counts for which keep is false are dropped,
// to bound the memory.
func Read(ctx context.Context, log core.Log, w report.Window, keep func(organisation string) bool) ([]report.LoggedRecord, []report.Gap, error) {
	ends, err := log.Read(ctx, core.StreamReports, 0, 1, 0)
	if err != nil && !errors.Is(err, core.ErrExpired) {
		return nil, nil, fmt.Errorf("read reports: %w", err)
	}
	r := reader{ctx: ctx, log: log, window: w, keep: keep, next: ends.NextOffset}
	from, err := r.seek(ends.FirstOffset, w.From.Add(-Lookback))
	if err != nil {
		return nil, nil, err
	}
	if ends.FirstOffset > 0 {
		if err := r.checkExpired(ends.FirstOffset); err != nil {
			return nil, nil, err
		}
	}
	err = r.readAll(from)
	return r.list, r.gaps, err
}

type reader struct {
	ctx    context.Context
	log    core.Log
	window report.Window
	keep   func(string) bool
	next   int64
	list   []report.LoggedRecord
	gaps   []report.Gap
}

// at returns the first record from an offset on.
func (r *reader) at(offset int64) (core.Record, bool, error) {
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

// seek returns the first offset whose record is not older than t.
func (r *reader) seek(first int64, t time.Time) (int64, error) {
	var failed error
	n := sort.Search(int(r.next-first), func(i int) bool {
		if failed != nil {
			return true
		}
		rec, ok, err := r.at(first + int64(i))
		failed = err
		return !ok || !rec.Time.Before(t)
	})
	return first + int64(n), failed
}

// checkExpired notes that the log begins inside the window.
func (r *reader) checkExpired(first int64) error {
	rec, ok, err := r.at(first)
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

// readAll reads to the end of the stream, since records can come late.
func (r *reader) readAll(from int64) error {
	for from < r.next {
		b, err := r.log.Read(r.ctx, core.StreamReports, from, readBatch, 0)
		if err != nil {
			return fmt.Errorf("read reports from offset %d: %w", from, err)
		}
		if len(b.Records) == 0 {
			return nil
		}
		for _, rec := range b.Records {
			r.take(rec)
			from = rec.Offset + 1
		}
		if len(r.list) > maxRecords {
			return fmt.Errorf("the window needs more than %d records, ask for a shorter one: %w", maxRecords, core.ErrInvalid)
		}
	}
	return nil
}

func (r *reader) take(rec core.Record) {
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
	r.list = append(r.list, report.LoggedRecord{Offset: rec.Offset, Time: rec.Time, Record: v})
}
