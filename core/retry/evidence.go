package retry

import (
	"maps"
	"slices"
	"strconv"
)

// separateCrashes returns as many crashes as possible of which each run began after
// the one before it had ended, in order of their ends.
func (rec *record) separateCrashes() []Crash {
	list := slices.SortedFunc(maps.Values(rec.crashes), func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	var out []Crash
	for _, c := range list {
		if len(out) == 0 || c.Started.IsZero() || c.Started.After(out[len(out)-1].Ended) {
			out = append(out, c)
		}
	}
	return out
}

// excess returns the id of a crash to drop if there are too many, or else "": the
// newest one, if it was at the same time as others, and else one of those or the
// oldest one.
func (rec *record) excess(newest string) string {
	if len(rec.crashes) <= maxCrashesPerRequest {
		return ""
	}
	separate := rec.separateCrashes()
	spare := func(id string) bool {
		return !slices.ContainsFunc(separate, func(c Crash) bool { return c.ID == id })
	}
	if spare(newest) {
		return newest
	}
	for id := range rec.crashes {
		if spare(id) {
			return id
		}
	}
	return separate[0].ID
}

// crashID returns the id under which a crash is recorded. A run that began well
// after the recorded end of its process has met another process with the same id:
// the list of servers was out of date.
func (rec *record) crashID(c Crash) string {
	id := c.ID
	for n := 2; ; n++ {
		known, ok := rec.crashes[id]
		if !ok || !c.Started.After(known.Ended.Add(minRestartTime)) {
			return id
		}
		id = c.ID + "#" + strconv.Itoa(n)
	}
}

// isOnlyCommon reports whether a request with two crashes is the only one that ran
// on both servers. One crash blocks no request, even if it ran alone: servers also
// fail by chance, and connections break. Requests that ran together in both crashes
// cannot be told apart until one of them runs alone.
func (q *Quarantine) isOnlyCommon(fp uint64, rec *record) bool {
	if len(rec.crashes) != 2 {
		return false
	}
	ran := map[uint64]int{}
	for id := range rec.crashes {
		list, known := q.reports[id]
		if !known {
			return false
		}
		for _, other := range list {
			ran[other]++
		}
	}
	for other, n := range ran {
		if n == 2 && other != fp {
			return false
		}
	}
	return true
}
