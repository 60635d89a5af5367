package retry

import (
	"cmp"
	"maps"
	"slices"
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
	// if minSeparateCrashes of them came one after the other and no other request
	// explains them. It is blocked anyway after maxSeparateCrashes.
	blockAfterCrashes  = 3
	minSeparateCrashes = 2
	maxSeparateCrashes = 5
	// minRestartTime is the least time in which a backend server starts again after
	// a crash.
	minRestartTime = 2 * time.Second
	// RecordTTL is how long the crashes of a request count after the last one.
	RecordTTL = 24 * time.Hour
)

// Crash is the end of a backend server's process during a run of a request.
type Crash struct {
	// Fingerprint is that of the request or, if PromptPart is set, of a part of its
	// prompt.
	Fingerprint uint64
	PromptPart  bool
	// ID identifies the process that ended.
	ID string
	// Started and Ended are when the run was sent and when it broke off. Started is
	// zero if that is not known.
	Started, Ended time.Time
}

// beganBefore reports whether a run at the same process began before another one and went
// on beside it. It is false for parts of prompts: requests with a popular one follow each
// other on every server, so that the first to begin says nothing.
func (c Crash) beganBefore(other Crash) bool {
	return !c.PromptPart && !c.Started.IsZero() && c.Started.Before(other.Started) && !c.Ended.Before(other.Started)
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
	// byCrash holds the requests against which a crash counts, by its id.
	byCrash map[string]map[uint64]bool
	// reports holds the requests of each crash that was reported with a complete
	// list of them, and reportOrder their ids from oldest to newest.
	reports     map[string][]uint64
	reportOrder []string
	// served tells parts of prompts that were served before their first recorded crash
	// from those that never were.
	served servedKeys
}

type record struct {
	crashes     map[string]Crash
	promptPart  bool
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
	return &Quarantine{records: map[uint64]*record{}, byCrash: map[string]map[uint64]bool{}, reports: map[string][]uint64{}}
}

var _ core.Quarantine = (*Quarantine)(nil)

// Add records a crash and reports whether that changes what counts. It returns the crash
// with the id under which it is recorded. Of several runs of a request at the process that
// ended, the one that began first counts: a copy that was moved there does not show that
// the crash came after another one.
func (q *Quarantine) Add(c Crash, now time.Time) (Crash, bool) {
	rec := q.records[c.Fingerprint]
	if q.IsCleared(c) {
		return c, false
	}
	if rec == nil {
		q.makeRoom()
		rec = &record{crashes: map[string]Crash{}, promptPart: c.PromptPart, completedAt: q.served.last(c.Fingerprint)}
		q.records[c.Fingerprint] = rec
	}
	c.ID = rec.crashID(c)
	if known, ok := rec.crashes[c.ID]; ok {
		if !c.beganBefore(known) {
			return c, false
		}
		known.Started = c.Started
		c = known
	}
	rec.crashes[c.ID] = c
	if q.byCrash[c.ID] == nil {
		q.byCrash[c.ID] = map[uint64]bool{}
	}
	q.byCrash[c.ID][c.Fingerprint] = true
	if id := rec.excess(c.ID); id != "" {
		q.dropCrash(c.Fingerprint, id)
	}
	if c.Ended.After(rec.lastCrash) {
		rec.lastCrash = c.Ended
	}
	if rec.lastCrash.After(now) {
		rec.lastCrash = now
	}
	_, kept := rec.crashes[c.ID]
	return c, kept
}

// dropCrash drops one crash of a request.
func (q *Quarantine) dropCrash(fingerprint uint64, id string) {
	delete(q.records[fingerprint].crashes, id)
	delete(q.byCrash[id], fingerprint)
	if len(q.byCrash[id]) == 0 {
		delete(q.byCrash, id)
	}
}

// drop drops the record of a request and returns its crashes.
func (q *Quarantine) drop(fingerprint uint64) []Crash {
	crashes := slices.Collect(maps.Values(q.records[fingerprint].crashes))
	for _, c := range crashes {
		q.dropCrash(fingerprint, c.ID)
	}
	delete(q.records, fingerprint)
	return crashes
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
		q.drop(c.fingerprint)
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

// Completed implements core.Quarantine.
func (q *Quarantine) Completed(fingerprint uint64, now time.Time) { q.Clear(fingerprint, now) }

// PartsServed records that a request with these parts of its prompt was served to its end
// at a time.
func (q *Quarantine) PartsServed(parts []uint64, at time.Time) {
	for _, p := range parts {
		q.served.add(p, at)
	}
}

// ServedBefore reports whether a part of prompts may have been served: until a part is
// known to have been, all may have.
func (q *Quarantine) ServedBefore(part uint64) bool {
	if rec := q.records[part]; rec != nil && !rec.completedAt.IsZero() {
		return true
	}
	return q.served.empty() || !q.served.last(part).IsZero()
}

// ServedParts returns at most limit parts that were served lately, by time.
func (q *Quarantine) ServedParts(limit int) map[uint64]time.Time {
	out := map[uint64]time.Time{}
	for part, at := range q.served.current {
		if len(out) == limit {
			break
		}
		out[part] = at
	}
	return out
}

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
			q.dropCrash(fingerprint, id)
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
		q.dropCrash(fingerprint, crashID)
		rec.markCleared(crashID)
	}
}

// IsCleared reports whether a crash does not count, since its request was served later.
func (q *Quarantine) IsCleared(c Crash) bool {
	rec := q.records[c.Fingerprint]
	if rec == nil {
		return !c.Ended.After(q.served.last(c.Fingerprint))
	}
	return rec.cleared[c.ID] || !c.Ended.After(rec.completedAt)
}

func (rec *record) markCleared(id string) {
	if rec.cleared == nil || len(rec.cleared) >= maxClearedCrashes {
		rec.cleared = map[string]bool{}
	}
	rec.cleared[id] = true
}

// HasEndedSince reports whether the end of a process after a time counts against some
// request.
func (q *Quarantine) HasEndedSince(processID string, t time.Time) bool {
	for fp := range q.byCrash[processID] {
		if q.records[fp].crashes[processID].Ended.After(t) {
			return true
		}
	}
	return false
}

// Crashes returns the number of crashes that count against a request.
func (q *Quarantine) Crashes(fingerprint uint64) int {
	if rec := q.records[fingerprint]; rec != nil {
		return len(rec.crashes)
	}
	return 0
}

// HasCrashes reports whether any crash counts.
func (q *Quarantine) HasCrashes() bool { return len(q.byCrash) > 0 }

// CrashesOf returns the crashes that count against a request or a part.
func (q *Quarantine) CrashesOf(fingerprint uint64) []Crash {
	if rec := q.records[fingerprint]; rec != nil {
		return slices.Collect(maps.Values(rec.crashes))
	}
	return nil
}

// Records returns at most limit records that count, those with the most crashes
// first.
func (q *Quarantine) Records(limit int, now time.Time) []Record {
	type candidate struct {
		fingerprint uint64
		crashes     int
	}
	var all []candidate
	for fp, rec := range q.records {
		if now.Sub(rec.lastCrash) <= RecordTTL {
			all = append(all, candidate{fp, len(rec.crashes)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	out := make([]Record, 0, min(limit, len(all)))
	for _, c := range all[:min(limit, len(all))] {
		rec := q.records[c.fingerprint]
		out = append(out, Record{Fingerprint: c.fingerprint, Crashes: slices.Collect(maps.Values(rec.crashes)), CompletedAt: rec.completedAt})
	}
	return out
}

// Expire drops the records whose last crash is older than RecordTTL. It returns
// their crashes.
func (q *Quarantine) Expire(now time.Time) []Crash {
	var dropped []Crash
	for fp, rec := range q.records {
		if now.Sub(rec.lastCrash) <= RecordTTL {
			continue
		}
		dropped = append(dropped, q.drop(fp)...)
	}
	return dropped
}
