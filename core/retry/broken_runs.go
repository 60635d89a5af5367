package retry

import (
	"slices"
	"strconv"
	"time"

	"nutmegnotch/core"
)

// Limits of broken runs.
const (
	// MaxBrokenRuns bounds the broken runs that are kept, each as often as it has keys.
	// Further ones are not counted if their servers have ended.
	MaxBrokenRuns = 8192
	// SilentServerTime is how long the end of a server counts for a run that broke
	// off, if nothing is known of the server. It covers the time in which a server
	// that has lost power starts again.
	SilentServerTime = 15 * time.Second
	// AliveServerTime is the same for a server that accepted a connection after the
	// run broke off. Only a server that had already started again can have ended; its
	// record arrives within this time.
	AliveServerTime = time.Second
	// ReturnedServerTime is the same for a server that did not answer before.
	ReturnedServerTime = 3 * time.Second
)

// ProcessID identifies one process of a backend server: a server that starts again
// may keep its id.
func ProcessID(s core.BackendServer) string {
	return s.ID + "/" + strconv.FormatInt(s.StartedUnixMS, 10)
}

// BrokenRuns holds runs that broke off until it is known whether their servers have
// ended. Most runs break off for other reasons: a connection is reset, a reply is
// spoiled, or a caller leaves. It is not safe for concurrent use.
type BrokenRuns struct {
	byProcess map[string]*brokenProcess
	// requests is the number of broken runs of each request.
	requests map[uint64]int
	n        int
}

// brokenProcess holds the broken runs of one process.
type brokenProcess struct {
	server core.BackendServer
	runs   []brokenRun
}

type brokenRun struct {
	crash Crash
	until time.Time
	// begun is set if the answer had begun, and alive once the process has accepted a
	// connection after the run.
	begun, alive bool
	// silent is set while the server does not answer connection attempts.
	silent bool
}

// NewBrokenRuns returns an empty set.
func NewBrokenRuns() *BrokenRuns {
	return &BrokenRuns{byProcess: map[string]*brokenProcess{}, requests: map[uint64]int{}}
}

// Len returns the number of broken runs.
func (b *BrokenRuns) Len() int { return b.n }

// Add adds a run that broke off at a server, under each of its keys, and reports whether
// there was room.
// begun reports whether the answer had begun.
func (b *BrokenRuns) Add(s core.BackendServer, keys Keys, begun bool, started, ended time.Time) bool {
	if b.n+1+len(keys.Parts) > MaxBrokenRuns {
		return false
	}
	id := ProcessID(s)
	p := b.byProcess[id]
	if p == nil {
		p = &brokenProcess{server: s}
		b.byProcess[id] = p
	}
	for _, c := range keys.Crashes(id, started, ended) {
		p.runs = append(p.runs, brokenRun{crash: c, until: ended.Add(SilentServerTime), begun: begun})
		b.requests[c.Fingerprint]++
		b.n++
	}
	return true
}

// Alive records that a process accepted a connection at a time. If it was silent
// before, its server may have started again, and its record may come late. It reports
// whether runs broke off since that time, which the connection tells nothing about.
func (b *BrokenRuns) Alive(processID string, at time.Time) (undecided bool) {
	p := b.byProcess[processID]
	if p == nil {
		return false
	}
	for i, r := range p.runs {
		if !r.crash.Ended.Before(at) {
			undecided = true
			continue
		}
		until := at.Add(AliveServerTime)
		if r.silent {
			until = at.Add(ReturnedServerTime)
		}
		if until.Before(r.until) {
			p.runs[i].until = until
		}
		p.runs[i].silent, p.runs[i].alive = false, true
	}
	return undecided
}

// Silent records that a process did not answer a connection attempt.
func (b *BrokenRuns) Silent(processID string) {
	if p := b.byProcess[processID]; p != nil {
		for i := range p.runs {
			p.runs[i].silent = true
		}
	}
}

// SilentServers returns the servers that did not answer the last connection attempt.
func (b *BrokenRuns) SilentServers() []core.BackendServer {
	var out []core.BackendServer
	for _, p := range b.byProcess {
		if slices.ContainsFunc(p.runs, func(r brokenRun) bool { return r.silent }) {
			out = append(out, p.server)
		}
	}
	return out
}

// CountSilent returns the number of silent servers at which runs of a request broke
// off.
func (b *BrokenRuns) CountSilent(fingerprint uint64) int {
	if b.requests[fingerprint] == 0 {
		return 0
	}
	n := 0
	for _, p := range b.byProcess {
		if slices.ContainsFunc(p.runs, func(r brokenRun) bool { return r.silent && r.crash.Fingerprint == fingerprint }) {
			n++
		}
	}
	return n
}

// Ended returns the runs that broke off at a process that has ended, and removes them.
// Those of whole requests come first, in the order in which they began.
func (b *BrokenRuns) Ended(processID string, now time.Time) []Crash {
	p := b.byProcess[processID]
	if p == nil {
		return nil
	}
	var out []Crash
	b.remove(processID, func(r brokenRun) bool {
		if !now.After(r.until) {
			out = append(out, r.crash)
		}
		return true
	})
	slices.SortStableFunc(out, func(a, b Crash) int {
		switch {
		case a.PromptPart && !b.PromptPart:
			return 1
		case b.PromptPart && !a.PromptPart:
			return -1
		case a.PromptPart:
			return 0
		}
		return a.Started.Compare(b.Started)
	})
	return out
}

// Registered records that a server is the newest one at its address. It returns the
// runs that broke off at an earlier process of the server or of its address, which
// has ended therefore.
func (b *BrokenRuns) Registered(s core.BackendServer, now time.Time) []Crash {
	var out []Crash
	for id, p := range b.byProcess {
		if id != ProcessID(s) && (p.server.ID == s.ID || p.server.Address == s.Address) {
			out = append(out, b.Ended(id, now)...)
		}
	}
	return out
}

// Completed removes the broken runs of a request that was served to its end.
func (b *BrokenRuns) Completed(fingerprint uint64) {
	if b.requests[fingerprint] == 0 {
		return
	}
	for id := range b.byProcess {
		b.remove(id, func(r brokenRun) bool { return r.crash.Fingerprint == fingerprint })
	}
}

// Expire removes the runs for which the end of their server counts no longer. It returns
// those whose answer had begun and whose server lived on: they show that neither the
// request nor its parts crash servers.
func (b *BrokenRuns) Expire(now time.Time) []Crash {
	var survived []Crash
	for id := range b.byProcess {
		b.remove(id, func(r brokenRun) bool {
			over := now.After(r.until)
			if over && r.begun && r.alive {
				survived = append(survived, r.crash)
			}
			return over
		})
	}
	return survived
}

// remove removes the runs of a process for which drop returns true.
func (b *BrokenRuns) remove(processID string, drop func(brokenRun) bool) {
	p := b.byProcess[processID]
	kept := p.runs[:0]
	for _, r := range p.runs {
		if !drop(r) {
			kept = append(kept, r)
			continue
		}
		b.n--
		if b.requests[r.crash.Fingerprint]--; b.requests[r.crash.Fingerprint] == 0 {
			delete(b.requests, r.crash.Fingerprint)
		}
	}
	p.runs = kept
	if len(kept) == 0 {
		delete(b.byProcess, processID)
	}
}
