package retry

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// Keys are the fingerprints under which the crashes of a request count: that of the whole
// request, and those of the shared parts of its prompt.
type Keys struct {
	Request uint64
	Parts   []uint64
}

// All returns all fingerprints.
func (k Keys) All() []uint64 { return append([]uint64{k.Request}, k.Parts...) }

// Crashes returns the end of a process during a run of the request, under each key.
func (k Keys) Crashes(processID string, started, ended time.Time) []Crash {
	out := []Crash{{Fingerprint: k.Request, ID: processID, Started: started, Ended: ended}}
	for _, p := range k.Parts {
		out = append(out, Crash{Fingerprint: p, PromptPart: true, ID: processID, Started: started, Ended: ended})
	}
	return out
}

// Verdict is how to treat a request.
type Verdict struct {
	Status core.QuarantineStatus
	// Blocked is the fingerprint for which the request is blocked.
	Blocked uint64
	// Ambiguous holds the fingerprints that have as many crashes as a blocked one, but may
	// not have caused them. The next run shows whether they have.
	Ambiguous []uint64
}

// Judge returns how to treat a request.
func (q *Quarantine) Judge(keys Keys, now time.Time) Verdict {
	v := Verdict{}
	all := keys.All()
	for _, key := range all {
		switch q.judge(key, all, now) {
		case guiltNone:
		case guiltSuspected:
			v.Status = max(v.Status, core.QuarantineSuspect)
		case guiltAmbiguous:
			v.Status = max(v.Status, core.QuarantineSuspect)
			v.Ambiguous = append(v.Ambiguous, key)
		case guiltProved:
			return Verdict{Status: core.QuarantineBlocked, Blocked: key}
		}
	}
	return v
}

// Status implements core.Quarantine.
func (q *Quarantine) Status(fingerprint uint64, now time.Time) core.QuarantineStatus {
	return q.Judge(Keys{Request: fingerprint}, now).Status
}

// IsAmbiguous reports whether a request has as many crashes as a blocked one, but may
// not have caused them. The next run shows whether it has.
func (q *Quarantine) IsAmbiguous(fingerprint uint64, now time.Time) bool {
	return len(q.Judge(Keys{Request: fingerprint}, now).Ambiguous) > 0
}

// MayReach reports whether further crashes would make as many as a blocked request
// has. Parts that were served are left out, and all parts before the first one was served,
// since popular ones are on each server that falls silent.
func (q *Quarantine) MayReach(keys Keys, further func(uint64) int) bool {
	for _, key := range keys.All() {
		if key != keys.Request && q.ServedBefore(key) {
			continue
		}
		if n := further(key); n > 0 && q.Crashes(key)+n >= blockAfterCrashes {
			return true
		}
	}
	return false
}

// guilt is what the crashes of a request or of a part say about it.
type guilt int

const (
	guiltNone guilt = iota
	guiltSuspected
	guiltAmbiguous
	guiltProved
)

// judge judges one of the keys of a request. Crashes that all came at the same time have
// another explanation: a loss of power may have hit several copies. So have crashes that
// another key shares: a request or part that is sent often is on each server that the
// cause crashes, until the cause is blocked. A part that was served explains nothing for
// one that never was. If all keys that explain the crashes belong to the request, the
// request is the cause whichever of them it is.
//
// A part that was served before is blocked later than others: it may be in most requests,
// and so on any server that ends.
func (q *Quarantine) judge(key uint64, keys []uint64, now time.Time) guilt {
	rec := q.records[key]
	switch {
	case rec == nil || len(rec.crashes) == 0 || now.Sub(rec.lastCrash) > RecordTTL:
		return guiltNone
	case rec.onlyCommon:
		return guiltProved
	case len(rec.crashes) < blockAfterCrashes:
		return guiltSuspected
	}
	separate := len(rec.separateCrashes())
	if separate < minSeparateCrashes {
		return guiltAmbiguous
	}
	rivals := q.rivals(key, rec)
	isForeign := func(k uint64) bool { return !slices.Contains(keys, k) }
	isUnserved := func(k uint64) bool { return !q.isServedPart(q.records[k]) }
	served := q.isServedPart(rec)
	switch {
	case served && slices.ContainsFunc(rivals, isUnserved) && slices.ContainsFunc(rivals, isForeign):
		return guiltSuspected
	case !slices.ContainsFunc(rivals, isForeign):
		if served && separate < maxSeparateCrashes {
			return guiltAmbiguous
		}
		return guiltProved
	case !rec.promptPart && separate >= maxSeparateCrashes:
		return guiltProved
	}
	return guiltAmbiguous
}

// rivals returns the other keys against which all crashes of a key count, as seen by
// processes that know only their own runs. For a key that was never served, parts that
// were are left out.
func (q *Quarantine) rivals(key uint64, rec *record) []uint64 {
	var common []uint64
	first := true
	for id, c := range rec.crashes {
		if c.Started.IsZero() {
			return nil
		}
		if first {
			first = false
			for k := range q.byCrash[id] {
				if k != key && (q.isServedPart(rec) || !q.isServedPart(q.records[k])) {
					common = append(common, k)
				}
			}
			continue
		}
		common = slices.DeleteFunc(common, func(k uint64) bool { return !q.byCrash[id][k] })
	}
	return common
}

// isServedPart reports whether a record is of a part that was served before. Until a part
// is known to have been served, all may have been.
func (q *Quarantine) isServedPart(rec *record) bool {
	return rec.promptPart && (!rec.completedAt.IsZero() || q.served.empty())
}
