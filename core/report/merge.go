package report

import (
	"cmp"
	"slices"
	"time"
)

// Verdict states whether a promise of a contract was kept.
type Verdict string

// Verdicts. NotKnown means that records are missing and may decide the promise.
const (
	Kept     Verdict = "kept"
	Broken   Verdict = "broken"
	NotKnown Verdict = "not_known"
)

// Reasons for gaps.
const (
	// GapSequence means that sequence numbers of an incarnation are missing.
	GapSequence = "missing_sequence"
	// GapNoEnd means that the last record of an entry is not marked as closed, but
	// no further record followed.
	GapNoEnd = "no_end"
	// GapDropped means that an entry dropped events instead of counting them.
	GapDropped = "dropped"
	// GapExpired means that the log no longer holds the start of the window.
	GapExpired = "expired"
	// GapNoRecords means that there are no records at all.
	GapNoRecords = "no_records"
	// GapUnreadable means that a record could not be decoded.
	GapUnreadable = "unreadable"
)

// Gap is a part of the window for which counts are missing.
type Gap struct {
	Reason        string    `json:"reason"`
	EntryID       string    `json:"entry_id,omitempty"`
	Incarnation   string    `json:"incarnation,omitempty"`
	AfterSequence int64     `json:"after_sequence,omitempty"`
	Dropped       int64     `json:"dropped,omitempty"`
	From          time.Time `json:"from"`
	To            time.Time `json:"to"`
}

// LoggedRecord is a record with its offset and time in the log.
type LoggedRecord struct {
	Offset int64
	Time   time.Time
	Record Record
}

// Window is the time that a merge covers. Gaps are those that the reader of the
// log has found.
type Window struct {
	From, To time.Time
	Gaps     []Gap
}

// Result is the result of a merge. It counts all records that overlap the
// window, and so up to one interval beyond either end.
type Result struct {
	From          time.Time      `json:"from"`
	To            time.Time      `json:"to"`
	Verdict       Verdict        `json:"verdict"`
	Records       int            `json:"records"`
	Copies        int            `json:"copies"`
	Gaps          []Gap          `json:"gaps"`
	Organisations []Organisation `json:"organisations"`
}

// Merge adds up the records and compares them with the contracts. The result
// depends neither on the order of the records nor on copies. Organisations for
// which visible returns false are left out. Each organisation in requested
// appears even if it has no requests.
func Merge(list []LoggedRecord, w Window, requested []string, visible func(string) bool) Result {
	records, copies := dropDuplicates(list)
	res := Result{From: w.From, To: w.To, Copies: copies, Gaps: slices.Clone(w.Gaps), Organisations: []Organisation{}}
	accumulators := map[string]*accumulator{}
	for _, name := range requested {
		accumulators[name] = newAccumulator(name)
	}
	for _, group := range groupByIncarnation(records) {
		res.Gaps = append(res.Gaps, findGaps(group, w)...)
		for _, l := range group {
			start, end := l.interval()
			if !overlaps(start, end, w) {
				continue
			}
			res.Records++
			for _, c := range l.Record.Counts {
				if !visible(c.Organisation) {
					continue
				}
				if accumulators[c.Organisation] == nil {
					accumulators[c.Organisation] = newAccumulator(c.Organisation)
				}
				accumulators[c.Organisation].add(c, start, end)
			}
		}
	}
	if len(records) == 0 && len(res.Gaps) == 0 {
		res.Gaps = append(res.Gaps, Gap{Reason: GapNoRecords, From: w.From, To: w.To})
	}
	res.finish(accumulators)
	return res
}

func (r *Result) finish(accumulators map[string]*accumulator) {
	slices.SortFunc(r.Gaps, func(a, b Gap) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.EntryID, b.EntryID), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.AfterSequence, b.AfterSequence), cmp.Compare(a.Reason, b.Reason))
	})
	r.Verdict = Kept
	if len(r.Gaps) > 0 {
		r.Verdict = NotKnown
	}
	for _, a := range accumulators {
		o := a.organisation(len(r.Gaps) > 0)
		r.Organisations = append(r.Organisations, o)
		r.Verdict = worseVerdict(r.Verdict, o.Verdict)
	}
	slices.SortFunc(r.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Organisation, b.Organisation) })
}

// worseVerdict returns the worse of two verdicts. Broken is worse than NotKnown,
// since missing records cannot turn a broken promise into a kept one.
func worseVerdict(a, b Verdict) Verdict {
	switch {
	case a == Broken || b == Broken:
		return Broken
	case a == NotKnown || b == NotKnown:
		return NotKnown
	}
	return Kept
}

// interval returns the interval of the record in the log's time.
func (l LoggedRecord) interval() (start, end time.Time) {
	end = l.Record.end(l.Time)
	return end.Add(-l.Record.length()), end
}

// overlaps reports whether an interval overlaps the window. An empty interval
// overlaps if its start lies in the window.
func overlaps(start, end time.Time, w Window) bool {
	return start.Before(w.To) && (end.After(w.From) || start.Equal(end) && !start.Before(w.From))
}

// dropDuplicates sorts the records by entry, incarnation and sequence number. Of
// the copies of a record it keeps the one with the lowest offset, and returns how
// many it has dropped.
func dropDuplicates(list []LoggedRecord) ([]LoggedRecord, int) {
	all := slices.Clone(list)
	slices.SortFunc(all, func(a, b LoggedRecord) int {
		return cmp.Or(cmp.Compare(a.Record.EntryID, b.Record.EntryID), cmp.Compare(a.Record.Incarnation, b.Record.Incarnation),
			cmp.Compare(a.Record.Sequence, b.Record.Sequence), cmp.Compare(a.Offset, b.Offset))
	})
	all = slices.CompactFunc(all, func(a, b LoggedRecord) bool {
		return sameIncarnation(a, b) && a.Record.Sequence == b.Record.Sequence
	})
	return all, len(list) - len(all)
}

func sameIncarnation(a, b LoggedRecord) bool {
	return a.Record.EntryID == b.Record.EntryID && a.Record.Incarnation == b.Record.Incarnation
}

// groupByIncarnation splits sorted records by incarnation.
func groupByIncarnation(sorted []LoggedRecord) [][]LoggedRecord {
	var groups [][]LoggedRecord
	for i, l := range sorted {
		if i == 0 || !sameIncarnation(l, sorted[i-1]) {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], l)
	}
	return groups
}

// findGaps returns the gaps in the records of one incarnation that overlap the
// window.
func findGaps(group []LoggedRecord, w Window) []Gap {
	var found []Gap
	addGap := func(reason string, l LoggedRecord, after int64, from, to time.Time) {
		if to.Before(from) {
			from, to = to, from
		}
		if from.Before(w.To) && !to.Before(w.From) {
			found = append(found, Gap{Reason: reason, EntryID: l.Record.EntryID, Incarnation: l.Record.Incarnation,
				AfterSequence: after, Dropped: l.Record.Dropped, From: from, To: to})
		}
	}
	for i, l := range group {
		start, end := l.interval()
		covered := start.Add(-l.Record.idle())
		switch {
		case i == 0 && l.Record.Sequence > 1 && covered.After(w.From):
			addGap(GapSequence, l, 0, w.From, covered)
		case i > 0 && l.Record.Sequence != group[i-1].Record.Sequence+1:
			_, before := group[i-1].interval()
			addGap(GapSequence, l, group[i-1].Record.Sequence, before, covered)
		}
		if l.Record.Dropped > 0 {
			addGap(GapDropped, l, l.Record.Sequence, start, end)
		}
	}
	last := group[len(group)-1]
	if _, end := last.interval(); last.Record.Closed == "" && end.Before(w.To) {
		addGap(GapNoEnd, last, last.Record.Sequence, end, w.To)
	}
	return found
}
