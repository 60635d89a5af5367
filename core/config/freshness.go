package config

import (
	"sort"
	"time"

	"nutmegnotch/core"
)

// MaxConfirmationAge is how old the confirmation of a process's configuration
// may be. A process with an older one refuses new work.
const MaxConfirmationAge = 3 * time.Second

// SettleTime is how long after its start a process waits before a confirmation
// by a peer establishes it. A publisher counts a reported position for at most
// that long, so no change is accepted because of a position that an earlier
// incarnation of an established process reported and that was lost on restart.
const SettleTime = 2 * time.Second

// PeerPosition is the newest position that one peer has reported.
//
// At is a time on the local monotonic clock before the peer made the report, so
// that the report is never taken for more recent than it is. Confirmed reports
// whether the peer's position was confirmed, ConfirmationAge before the report.
type PeerPosition struct {
	ID              string
	NextOffset      int64
	At              time.Time
	Confirmed       bool
	ConfirmationAge time.Duration
	Established     bool
}

// Freshness is the state of a process that decides how recently its
// configuration was confirmed.
//
// LogReadAt is when the process sent its last read that reached the end of the
// log; zero means never. Established reports whether the process has learned,
// since its start, every change that an earlier incarnation may have confirmed.
type Freshness struct {
	Self        string
	NextOffset  int64
	StartedAt   time.Time
	LogReadAt   time.Time
	Established bool
	EntrySet    core.EntrySet
	// PreviousEntrySet is the entry set that the one of EntrySetVersion replaced.
	PreviousEntrySet core.EntrySet
	EntrySetVersion  int64
	Peers            []PeerPosition
}

// ConfirmedAt returns the latest time for which it is known that the process
// misses no change accepted before it; zero means never. A confirmation by a
// peer is as old as the peer's own, so ages add up along a chain of peers.
func (f Freshness) ConfirmedAt() time.Time {
	at := f.LogReadAt
	if t := f.peerConfirmedAt(); t.After(at) {
		at = t
	}
	if t := f.majorityConfirmedAt(); t.After(at) {
		at = t
	}
	return at
}

// CanEstablish reports whether the process is established or can become so: it
// has read the log, or a peer has confirmed its position at least SettleTime
// after its start.
func (f Freshness) CanEstablish() bool {
	return f.Established || !f.LogReadAt.IsZero() || f.peerConfirmedAt().Sub(f.StartedAt) >= SettleTime && !f.peerConfirmedAt().IsZero()
}

// peerConfirmedAt returns the latest confirmation by a confirmed peer whose
// position is not ahead.
func (f Freshness) peerConfirmedAt() time.Time {
	var best time.Time
	for _, p := range f.Peers {
		if t := p.At.Add(-p.ConfirmationAge); p.Confirmed && p.NextOffset <= f.NextOffset && t.After(best) {
			best = t
		}
	}
	return best
}

// majorityConfirmedAt returns the time at which a majority of the entry set,
// including this process, was known not to be ahead of it. A change is accepted
// by a majority, any two majorities share a member, and positions never
// decrease, so no change accepted before that time is missing.
func (f Freshness) majorityConfirmedAt() time.Time {
	members := entryIDs(f.EntrySet)
	if !f.Established || !members[f.Self] {
		return time.Time{}
	}
	need := f.EntrySet.Majority() - 1
	if need == 0 {
		// The only entry of a set has no peer that could know a newer change, so
		// only the log confirms it.
		return time.Time{}
	}
	var times []time.Time
	for _, p := range f.Peers {
		if p.ID != f.Self && p.Established && members[p.ID] && p.NextOffset <= f.NextOffset {
			times = append(times, p.At)
		}
	}
	if len(times) < need {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[need-1]
}

// entryIDs returns the ids of an entry set as a map, since a set can have
// thousands of entries.
func entryIDs(s core.EntrySet) map[string]bool {
	ids := make(map[string]bool, len(s.Entries))
	for _, e := range s.Entries {
		ids[e.ID] = true
	}
	return ids
}

// Fresh reports whether a confirmation is recent enough to admit new work.
func Fresh(confirmedAt, now time.Time) bool {
	return !confirmedAt.IsZero() && now.Sub(confirmedAt) < MaxConfirmationAge
}

// AppliedByMajority reports whether a majority of the entry set has applied the
// record at an offset. Without an entry set it is enough that this process has.
func (f Freshness) AppliedByMajority(offset int64, now time.Time) bool {
	if f.NextOffset <= offset {
		return false
	}
	if len(f.EntrySet.Entries) == 0 {
		return true
	}
	return f.appliedCount(entryIDs(f.EntrySet), offset, now) >= f.EntrySet.Majority() && f.EntrySetSettled(now)
}

// EntrySetSettled reports whether a majority of the previous entry set has
// applied its replacement, so that entries can no longer confirm each other as
// a majority of the previous set. Entries that the replacement removes count as
// stopped.
func (f Freshness) EntrySetSettled(now time.Time) bool {
	if len(f.PreviousEntrySet.Entries) == 0 {
		return true
	}
	members := entryIDs(f.EntrySet)
	retained := make(map[string]bool, len(f.PreviousEntrySet.Entries))
	dropped := 0
	for _, e := range f.PreviousEntrySet.Entries {
		if members[e.ID] {
			retained[e.ID] = true
		} else {
			dropped++
		}
	}
	return dropped+f.appliedCount(retained, f.EntrySetVersion, now) >= f.PreviousEntrySet.Majority()
}

// appliedCount returns how many of the given processes have applied the record
// at an offset, by reports that are younger than SettleTime.
func (f Freshness) appliedCount(ids map[string]bool, offset int64, now time.Time) int {
	n := 0
	if ids[f.Self] && f.NextOffset > offset {
		n++
	}
	for _, p := range f.Peers {
		if p.ID != f.Self && ids[p.ID] && p.NextOffset > offset && now.Sub(p.At) < SettleTime {
			n++
		}
	}
	return n
}
