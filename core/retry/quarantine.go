package retry

import (
	"time"

	"nutmegnotch/core"
)

// Limits of the quarantine. When MaxCrashes or MaxFingerprints is reached, the
// oldest item is dropped.
const (
	MaxCrashes      = 1024
	MaxFingerprints = 16384
	// MaxRequestsPerCrash bounds the recorded requests of one crash.
	MaxRequestsPerCrash = 1024
	// blockAfterCrashes is the number of crashes after which a fingerprint is
	// blocked regardless of the requests that ran with it.
	blockAfterCrashes = 3
)

// Quarantine implements core.Quarantine. It is not safe for concurrent use.
// Crashes are identified by an id, so reports of the same crash by several
// entries count once, in any order.
type Quarantine struct {
	crashes      map[string][]uint64
	crashOrder   []string
	suspects     map[uint64][]string
	suspectOrder []uint64
	blocked      map[uint64]bool
	blockedOrder []uint64
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		crashes:  map[string][]uint64{},
		suspects: map[uint64][]string{},
		blocked:  map[uint64]bool{},
	}
}

// Crashed implements core.Quarantine.
func (q *Quarantine) Crashed(crashID string, fingerprints []uint64, now time.Time) {
	q.AddCrash(crashID, fingerprints, now)
}

// AddCrash records a crash and reports whether its id is new.
func (q *Quarantine) AddCrash(crashID string, fingerprints []uint64, _ time.Time) bool {
	if _, known := q.crashes[crashID]; known {
		return false
	}
	ran := unique(fingerprints)
	q.recordCrash(crashID, ran)
	for _, fp := range ran {
		q.addSuspect(fp, crashID)
	}
	for _, fp := range ran {
		if q.shouldBlock(fp) {
			q.block(fp)
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

func (q *Quarantine) recordCrash(id string, ran []uint64) {
	if len(q.crashOrder) == MaxCrashes {
		delete(q.crashes, q.crashOrder[0])
		q.crashOrder = q.crashOrder[1:]
	}
	q.crashes[id] = ran
	q.crashOrder = append(q.crashOrder, id)
}

func (q *Quarantine) addSuspect(fp uint64, crashID string) {
	if q.blocked[fp] {
		return
	}
	if _, known := q.suspects[fp]; !known {
		q.suspectOrder = append(q.suspectOrder, fp)
	}
	q.suspects[fp] = append(q.suspects[fp], crashID)
	for len(q.suspects) > MaxFingerprints {
		delete(q.suspects, q.suspectOrder[0])
		q.suspectOrder = q.suspectOrder[1:]
	}
}

// shouldBlock reports whether the fingerprint has had blockAfterCrashes crashes,
// or is the only one that ran on both servers of two crashes. One crash blocks no
// request, even if it ran alone: servers also fail by chance, and connections
// break. Requests that ran together in both crashes cannot be told apart until
// one of them runs alone; the third crash blocks all of them, so that no request
// crashes a fourth server.
func (q *Quarantine) shouldBlock(fp uint64) bool {
	ids := q.suspects[fp]
	if len(ids) >= blockAfterCrashes {
		return true
	}
	return len(ids) == 2 && isOnlyCommon(fp, q.crashes[ids[0]], q.crashes[ids[1]])
}

// isOnlyCommon reports whether fp is the only fingerprint in both lists.
func isOnlyCommon(fp uint64, a, b []uint64) bool {
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

func (q *Quarantine) block(fp uint64) {
	q.clear(fp)
	if q.blocked[fp] {
		return
	}
	if len(q.blockedOrder) == MaxFingerprints {
		delete(q.blocked, q.blockedOrder[0])
		q.blockedOrder = q.blockedOrder[1:]
	}
	q.blocked[fp] = true
	q.blockedOrder = append(q.blockedOrder, fp)
}

func (q *Quarantine) clear(fp uint64) {
	if _, known := q.suspects[fp]; !known {
		return
	}
	delete(q.suspects, fp)
	for i, id := range q.suspectOrder {
		if id == fp {
			q.suspectOrder = append(q.suspectOrder[:i], q.suspectOrder[i+1:]...)
			return
		}
	}
}

// Completed implements core.Quarantine. A blocked fingerprint stays blocked.
func (q *Quarantine) Completed(fingerprint uint64, _ time.Time) { q.clear(fingerprint) }

// Status implements core.Quarantine.
func (q *Quarantine) Status(fingerprint uint64, _ time.Time) core.QuarantineStatus {
	if q.blocked[fingerprint] {
		return core.QuarantineBlocked
	}
	if _, known := q.suspects[fingerprint]; known {
		return core.QuarantineSuspect
	}
	return core.QuarantineClear
}
