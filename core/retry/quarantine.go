package retry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"nutmegnotch/core"
)

// Limits of the quarantine.
const (
	// MaxFingerprints bounds the requests with recorded crashes.
	MaxFingerprints = 16384
	// MaxCrashes bounds the crash reports whose lists of requests are kept.
	MaxCrashes = 1024
	// MaxRequestsPerCrash bounds the recorded requests of one crash report.
	MaxRequestsPerCrash = 1024
	// maxCrashesPerRequest bounds the recorded crashes of one request.
	maxCrashesPerRequest = 16
	// maxClearedCrashes bounds the ids of cleared crashes of one request.
	maxClearedCrashes = 64
	// evictedShare is the part of the records that is dropped when there are
	// MaxFingerprints.
	evictedShare = 16
	// blockAfterCrashes is the number of crashes after which a request is blocked,
	// if minSeparateCrashes of them came one after the other.
	blockAfterCrashes  = 3
	minSeparateCrashes = 2
	// minRestartTime is the least time in which a backend server starts again after
	// a crash.
	minRestartTime = 300 * time.Millisecond
	// RecordTTL is how long the crashes of a request count after the last one.
	RecordTTL = 24 * time.Hour
)

// Crash is the end of a backend server's process during a run of a request.
type Crash struct {
	Fingerprint uint64
	// ID identifies the process that ended.
	ID string
	// Started and Ended are when the run was sent and when it broke off. Started is
	// zero if that is not known.
	Started, Ended time.Time
}

// Record holds what is known of one request. CompletedAt is when it was last served
// to its end, or zero; crashes before it do not count.
type Record struct {
	Fingerprint uint64
	Crashes     []Crash
	CompletedAt time.Time
}

// Quarantine implements core.Quarantine for the processes that send requests to
// backend servers. It is not safe for concurrent use. Crashes are identified by an
// id, so reports of the same crash by several processes count once, in any order.
type Quarantine struct {
	records map[uint64]*record
	// reports holds the requests of each crash that was reported with a complete
	// list of them, and reportOrder their ids from oldest to newest.
	reports     map[string][]uint64
	reportOrder []string
}

type record struct {
	crashes     map[string]Crash
	completedAt time.Time
	lastCrash   time.Time
	// cleared holds the ids of dropped crashes. Other processes may report them
	// again, with times that are off by the delay of their messages.
	cleared map[string]bool
	// onlyCommon is set when the request is the only one that ran on both servers
	// of two crashes.
	onlyCommon bool
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{records: map[uint64]*record{}, reports: map[string][]uint64{}}
}

var _ core.Quarantine = (*Quarantine)(nil)

// Add records a crash and reports whether it is new and counts. It returns the crash
// with the id under which it is recorded.
func (q *Quarantine) Add(c Crash, now time.Time) (Crash, bool) {
	rec := q.records[c.Fingerprint]
	if rec != nil && (!c.Ended.After(rec.completedAt) || rec.cleared[c.ID]) {
		return c, false
	}
	if rec == nil {
		q.makeRoom()
		rec = &record{crashes: map[string]Crash{}}
		q.records[c.Fingerprint] = rec
	}
	c.ID = rec.crashID(c)
	if _, known := rec.crashes[c.ID]; known {
		return c, false
	}
	rec.crashes[c.ID] = c
	rec.dropExcess(c.ID)
	if c.Ended.After(rec.lastCrash) {
		rec.lastCrash = c.Ended
	}
	if rec.lastCrash.After(now) {
		rec.lastCrash = now
	}
	_, kept := rec.crashes[c.ID]
	return c, kept
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

// makeRoom drops records if there are too many: those with the fewest crashes, and
// of these the ones with the oldest last crash.
func (q *Quarantine) makeRoom() {
	if len(q.records) < MaxFingerprints {
		return
	}
	type candidate struct {
		fingerprint uint64
		crashes     int
		last        time.Time
	}
	all := make([]candidate, 0, len(q.records))
	for fp, rec := range q.records {
		all = append(all, candidate{fp, len(rec.crashes), rec.lastCrash})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.last.Compare(b.last), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	for _, c := range all[:max(1, MaxFingerprints/evictedShare)] {
		delete(q.records, c.fingerprint)
	}
}

// Crashed implements core.Quarantine. fingerprints lists all requests that ran on the
// backend server.
func (q *Quarantine) Crashed(crashID string, fingerprints []uint64, now time.Time) {
	if _, known := q.reports[crashID]; known {
		return
	}
	ran := unique(fingerprints)
	q.addReport(crashID, ran)
	for _, fp := range ran {
		if _, counted := q.Add(Crash{Fingerprint: fp, ID: crashID, Ended: now}, now); counted {
			rec := q.records[fp]
			rec.onlyCommon = rec.onlyCommon || q.isOnlyCommon(fp, rec)
		}
	}
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

func (q *Quarantine) addReport(id string, ran []uint64) {
	if len(q.reportOrder) == MaxCrashes {
		delete(q.reports, q.reportOrder[0])
		q.reportOrder = q.reportOrder[1:]
	}
	q.reports[id] = ran
	q.reportOrder = append(q.reportOrder, id)
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

// Completed implements core.Quarantine.
func (q *Quarantine) Completed(fingerprint uint64, now time.Time) { q.Clear(fingerprint, now) }

// Clear drops the crashes before a run that was served to its end at a time, since a
// request that crashes servers is never served. It returns the dropped crashes.
func (q *Quarantine) Clear(fingerprint uint64, at time.Time) []Crash {
	rec := q.records[fingerprint]
	if rec == nil {
		return nil
	}
	var dropped []Crash
	for id, c := range rec.crashes {
		if !c.Ended.After(at) {
			dropped = append(dropped, c)
			delete(rec.crashes, id)
			rec.markCleared(id)
		}
	}
	if at.After(rec.completedAt) {
		rec.completedAt = at
	}
	rec.onlyCommon = false
	return dropped
}

// Remove drops one crash, which another process has found to be no longer valid.
func (q *Quarantine) Remove(fingerprint uint64, crashID string) {
	if rec := q.records[fingerprint]; rec != nil {
		delete(rec.crashes, crashID)
		rec.markCleared(crashID)
	}
}

// IsCleared reports whether a crash was dropped.
func (q *Quarantine) IsCleared(fingerprint uint64, crashID string) bool {
	rec := q.records[fingerprint]
	return rec != nil && rec.cleared[crashID]
}

func (rec *record) markCleared(id string) {
	if rec.cleared == nil || len(rec.cleared) >= maxClearedCrashes {
		rec.cleared = map[string]bool{}
	}
	rec.cleared[id] = true
}

// Status implements core.Quarantine.
func (q *Quarantine) Status(fingerprint uint64, now time.Time) core.QuarantineStatus {
	rec := q.records[fingerprint]
	switch {
	case rec == nil || len(rec.crashes) == 0 || now.Sub(rec.lastCrash) > RecordTTL:
		return core.QuarantineClear
	case rec.onlyCommon || len(rec.crashes) >= blockAfterCrashes && len(rec.separateCrashes()) >= minSeparateCrashes:
		return core.QuarantineBlocked
	}
	return core.QuarantineSuspect
}

// Crashes returns the number of crashes that count against a request.
func (q *Quarantine) Crashes(fingerprint uint64) int {
	if rec := q.records[fingerprint]; rec != nil {
		return len(rec.crashes)
	}
	return 0
}

// IsAmbiguous reports whether a request has as many crashes as a blocked one, all at
// the same time. Several copies of a crashing request do that, and so does a loss of
// power under several copies of any other request. The next run shows which it is.
func (q *Quarantine) IsAmbiguous(fingerprint uint64, now time.Time) bool {
	return q.Crashes(fingerprint) >= blockAfterCrashes && q.Status(fingerprint, now) == core.QuarantineSuspect
}

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

// dropExcess drops a crash if there are too many: the newest one, if it was at the
// same time as others, and else one of those or the oldest one.
func (rec *record) dropExcess(newest string) {
	if len(rec.crashes) <= maxCrashesPerRequest {
		return
	}
	separate := rec.separateCrashes()
	spare := func(id string) bool {
		return !slices.ContainsFunc(separate, func(c Crash) bool { return c.ID == id })
	}
	if spare(newest) {
		delete(rec.crashes, newest)
		return
	}
	for id := range rec.crashes {
		if spare(id) {
			delete(rec.crashes, id)
			return
		}
	}
	delete(rec.crashes, separate[0].ID)
}

// Records returns at most limit records that count, those with the most crashes
// first.
func (q *Quarantine) Records(limit int, now time.Time) []Record {
	var out []Record
	for fp, rec := range q.records {
		if now.Sub(rec.lastCrash) > RecordTTL {
			continue
		}
		out = append(out, Record{Fingerprint: fp, Crashes: slices.Collect(maps.Values(rec.crashes)), CompletedAt: rec.completedAt})
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

// Expire drops the records whose last crash is older than RecordTTL. It returns
// their crashes.
func (q *Quarantine) Expire(now time.Time) []Crash {
	var dropped []Crash
	for fp, rec := range q.records {
		if now.Sub(rec.lastCrash) <= RecordTTL {
			continue
		}
		dropped = slices.AppendSeq(dropped, maps.Values(rec.crashes))
		delete(q.records, fp)
	}
	return dropped
}
