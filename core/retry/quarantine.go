package retry

import (
	"time"

	"nutmegnotch/core"
)

// Bounds of the quarantine's memory. When one is reached, the oldest item is
// forgotten.
const (
	MaxCrashes      = 1024
	MaxFingerprints = 16384
	// MaxRequestsPerCrash bounds the requests of one crash that are remembered.
	MaxRequestsPerCrash = 1024
	// convictAfter convicts a fingerprint whatever ran beside it.
	convictAfter = 3
)

// Quarantine implements core.Quarantine. It is not safe for concurrent use.
// Crashes are known by their id, so reports of the same crash from several
// entries count once, in any order.
type Quarantine struct {
	crashes    map[string][]uint64
	crashOrder []string
	suspects   map[uint64][]string
	suspectIDs []uint64
	convicted  map[uint64]bool
	convictIDs []uint64
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		crashes:   map[string][]uint64{},
		suspects:  map[uint64][]string{},
		convicted: map[uint64]bool{},
	}
}

// Crashed implements core.Quarantine.
func (q *Quarantine) Crashed(crashID string, fingerprints []uint64, now time.Time) {
	q.AddCrash(crashID, fingerprints, now)
}

// AddCrash counts a crash and reports whether its id is new.
func (q *Quarantine) AddCrash(crashID string, fingerprints []uint64, _ time.Time) bool {
	if _, known := q.crashes[crashID]; known {
		return false
	}
	ran := unique(fingerprints)
	q.rememberCrash(crashID, ran)
	for _, fp := range ran {
		q.suspect(fp, crashID)
	}
	for _, fp := range ran {
		if q.guilty(fp) {
			q.convict(fp)
		}
	}
	return true
}

func unique(fingerprints []uint64) []uint64 {
	seen := map[uint64]bool{}
	var out []uint64
	for _, fp := range fingerprints {
		if !seen[fp] && len(out) < MaxRequestsPerCrash {
			seen[fp] = true
			out = append(out, fp)
		}
	}
	return out
}

func (q *Quarantine) rememberCrash(id string, ran []uint64) {
	if len(q.crashOrder) == MaxCrashes {
		delete(q.crashes, q.crashOrder[0])
		q.crashOrder = q.crashOrder[1:]
	}
	q.crashes[id] = ran
	q.crashOrder = append(q.crashOrder, id)
}

func (q *Quarantine) suspect(fp uint64, crashID string) {
	if q.convicted[fp] {
		return
	}
	if _, known := q.suspects[fp]; !known {
		q.suspectIDs = append(q.suspectIDs, fp)
	}
	q.suspects[fp] = append(q.suspects[fp], crashID)
	for len(q.suspects) > MaxFingerprints {
		delete(q.suspects, q.suspectIDs[0])
		q.suspectIDs = q.suspectIDs[1:]
	}
}

// guilty reports whether the fingerprint is the only one that was on all of its
// two crashed servers. One crash convicts nobody, even of a request that ran
// alone: servers also fail by chance, and their connections break. Requests that were together each time cannot be told
// apart until one of them runs alone; the third crash convicts them all, so that
// no request crashes a fourth server.
func (q *Quarantine) guilty(fp uint64) bool {
	ids := q.suspects[fp]
	if len(ids) >= convictAfter {
		return true
	}
	return len(ids) == 2 && onlyCommon(fp, q.crashes[ids[0]], q.crashes[ids[1]])
}

func onlyCommon(fp uint64, a, b []uint64) bool {
	in := make(map[uint64]bool, len(a))
	for _, other := range a {
		in[other] = other != fp
	}
	for _, other := range b {
		if in[other] {
			return false
		}
	}
	return len(a) > 0
}

func (q *Quarantine) convict(fp uint64) {
	q.clear(fp)
	if q.convicted[fp] {
		return
	}
	if len(q.convictIDs) == MaxFingerprints {
		delete(q.convicted, q.convictIDs[0])
		q.convictIDs = q.convictIDs[1:]
	}
	q.convicted[fp] = true
	q.convictIDs = append(q.convictIDs, fp)
}

func (q *Quarantine) clear(fp uint64) {
	if _, known := q.suspects[fp]; !known {
		return
	}
	delete(q.suspects, fp)
	for i, id := range q.suspectIDs {
		if id == fp {
			q.suspectIDs = append(q.suspectIDs[:i], q.suspectIDs[i+1:]...)
			return
		}
	}
}

// Completed implements core.Quarantine. A conviction stays.
func (q *Quarantine) Completed(fingerprint uint64, _ time.Time) { q.clear(fingerprint) }

// Status implements core.Quarantine.
func (q *Quarantine) Status(fingerprint uint64, _ time.Time) core.QuarantineStatus {
	if q.convicted[fingerprint] {
		return core.QuarantineBlocked
	}
	if _, known := q.suspects[fingerprint]; known {
		return core.QuarantineSuspect
	}
	return core.QuarantineClear
}
