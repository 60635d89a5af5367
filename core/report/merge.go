package report

import (
	"cmp"
	"slices"
	"time"
)

// Verdict tells whether a promise was kept.
type Verdict string

// Verdicts.
const (
	Kept     Verdict = "kept"
	Broken   Verdict = "broken"
	NotKnown Verdict = "not_known"
)

// Reasons of gaps.
const (
	// GapSequence means that records are missing between others.
	GapSequence = "missing_sequence"
	// GapNoEnd means that an entry promised another record, which did not come.
	GapNoEnd = "no_end"
	// GapDropped means that an entry could not count some events.
	GapDropped = "dropped"
	// GapExpired means that the log no longer holds the start of the window.
	GapExpired = "expired"
	// GapNoRecords means that nobody has reported anything.
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

// LoggedRecord is a record as the log holds it.
type LoggedRecord struct {
	Offset int64
	Time   time.Time
	Record Record
}

// Window is the time that a merge covers. Gaps are those that the reader of the
// log has found itself.
type Window struct {
	From, To time.Time
	Gaps     []Gap
}

// Result is the outcome of a merge. The counts are those of all records that
// overlap the window, so that up to one interval on either side is included.
type Result struct {
	From          time.Time      `json:"from"`
	To            time.Time      `json:"to"`
	Verdict       Verdict        `json:"verdict"`
	Records       int            `json:"records"`
	Copies        int            `json:"copies"`
	Gaps          []Gap          `json:"gaps"`
	Organisations []Organisation `json:"organisations"`
}

// Merge holds the records against the contracts. The result depends neither on
// the order of the records nor on copies. Organisations for which visible is
// false are left out; each name in wanted appears even without any request.
func Merge(list []LoggedRecord, w Window, wanted []string, visible func(string) bool) Result {
	records, copies := distinct(list)
	res := Result{From: w.From, To: w.To, Copies: copies, Gaps: slices.Clone(w.Gaps), Organisations: []Organisation{}}
	tallies := map[string]*tally{}
	for _, name := range wanted {
		tallies[name] = newTally(name)
	}
	for _, group := range incarnations(records) {
		res.Gaps = append(res.Gaps, gaps(group, w)...)
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
				if tallies[c.Organisation] == nil {
					tallies[c.Organisation] = newTally(c.Organisation)
				}
				tallies[c.Organisation].add(c, start, end)
			}
		}
	}
	if len(records) == 0 && len(res.Gaps) == 0 {
		res.Gaps = append(res.Gaps, Gap{Reason: GapNoRecords, From: w.From, To: w.To})
	}
	res.finish(tallies)
	return res
}

func (r *Result) finish(tallies map[string]*tally) {
	slices.SortFunc(r.Gaps, func(a, b Gap) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.EntryID, b.EntryID), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.AfterSequence, b.AfterSequence), cmp.Compare(a.Reason, b.Reason))
	})
	r.Verdict = Kept
	if len(r.Gaps) > 0 {
		r.Verdict = NotKnown
	}
	for _, t := range tallies {
		o := t.organisation(len(r.Gaps) > 0)
		r.Organisations = append(r.Organisations, o)
		r.Verdict = worse(r.Verdict, o.Verdict)
	}
	slices.SortFunc(r.Organisations, func(a, b Organisation) int { return cmp.Compare(a.Organisation, b.Organisation) })
}

// worse returns the verdict that says more: a broken promise stays broken
// whatever the missing records hold.
func worse(a, b Verdict) Verdict {
	switch {
	case a == Broken || b == Broken:
		return Broken
	case a == NotKnown || b == NotKnown:
		return NotKnown
	}
	return Kept
}

// interval returns the record's interval in the log's time.
func (l LoggedRecord) interval() (start, end time.Time) {
	end = l.Record.end(l.Time)
	return end.Add(-l.Record.length()), end
}

// overlaps counts an interval without length as a point.
func overlaps(start, end time.Time, w Window) bool {
	return start.Before(w.To) && (end.After(w.From) || start.Equal(end) && !start.Before(w.From))
}

// distinct leaves out copies; of those, the one with the lowest offset stays.
func distinct(list []LoggedRecord) ([]LoggedRecord, int) {
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

// incarnations splits sorted records by incarnation.
func incarnations(sorted []LoggedRecord) [][]LoggedRecord {
	var groups [][]LoggedRecord
	for i, l := range sorted {
		if i == 0 || !sameIncarnation(l, sorted[i-1]) {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], l)
	}
	return groups
}

// gaps returns what is missing of one incarnation inside the window.
func gaps(group []LoggedRecord, w Window) []Gap {
	var found []Gap
	note := func(reason string, l LoggedRecord, after int64, from, to time.Time) {
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
			note(GapSequence, l, 0, w.From, covered)
		case i > 0 && l.Record.Sequence != group[i-1].Record.Sequence+1:
			_, before := group[i-1].interval()
			note(GapSequence, l, group[i-1].Record.Sequence, before, covered)
		}
		if l.Record.Dropped > 0 {
			note(GapDropped, l, l.Record.Sequence, start, end)
		}
	}
	last := group[len(group)-1]
	if _, end := last.interval(); last.Record.Closed == "" && end.Before(w.To) {
		note(GapNoEnd, last, last.Record.Sequence, end, w.To)
	}
	return found
}
