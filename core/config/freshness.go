package config

import (
	"sort"
	"time"

	"nutmegnotch/core"
)

// MaxConfirmationAge is the longest time without confirmation after which a
// process refuses new work.
const MaxConfirmationAge = 3 * time.Second

// SettleTime is how long after its start a process waits before the word of a
// peer establishes it. A publisher counts positions for at most that long, so
// no change is accepted on the word of an incarnation that has forgotten it.
const SettleTime = 2 * time.Second

// PeerPosition is the newest position that came from one peer. At is a time on the
// own monotonic clock at which the peer's report was not yet made, so it never
// overstates how recent the report is.
type PeerPosition struct {
	ID              string
	NextOffset      int64
	At              time.Time
	Confirmed       bool
	ConfirmationAge time.Duration
	Established     bool
}

// Freshness is what the rule needs to know of a process. LogRead is when the
// process last asked the log and got its end; zero means never.
type Freshness struct {
	Self        string
	NextOffset  int64
	Started     time.Time
	LogRead     time.Time
	Established bool
	EntrySet    core.EntrySet
	// Previous is the entry set before the change at EntrySetVersion.
	Previous        core.EntrySet
	EntrySetVersion int64
	Peers           []PeerPosition
}

// ConfirmedAt returns the latest time up to which the process is known to miss
// no accepted change; zero means never. Ages add up along a chain of peers.
func (f Freshness) ConfirmedAt() time.Time {
	at := f.LogRead
	if t := f.chain(); t.After(at) {
		at = t
	}
	if t := f.majority(); t.After(at) {
		at = t
	}
	return at
}

// CanEstablish reports whether the process has learnt, since its start, all
// that an earlier incarnation may have vouched for.
func (f Freshness) CanEstablish() bool {
	return f.Established || !f.LogRead.IsZero() || f.chain().Sub(f.Started) >= SettleTime && !f.chain().IsZero()
}

// chain returns the best confirmation by a confirmed peer that is not ahead.
func (f Freshness) chain() time.Time {
	var best time.Time
	for _, p := range f.Peers {
		if t := p.At.Add(-p.ConfirmationAge); p.Confirmed && p.NextOffset <= f.NextOffset && t.After(best) {
			best = t
		}
	}
	return best
}

// majority returns the time at which a majority of the entry set, this process
// included, was heard not to be ahead. Majorities share a member, and positions
// never go back, so no change accepted before that time is missing.
func (f Freshness) majority() time.Time {
	members := index(f.EntrySet)
	if !f.Established || !members[f.Self] {
		return time.Time{}
	}
	need := f.EntrySet.Majority() - 1
	if need == 0 {
		// An entry that is alone has no peer that could know of a newer change;
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

// index returns the ids of a set. A set has up to thousands of entries.
func index(s core.EntrySet) map[string]bool {
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

// AppliedByMajority reports whether the record at an offset is folded by a
// majority of the entry set. Without an entry set, reading the log is enough.
func (f Freshness) AppliedByMajority(offset int64, now time.Time) bool {
	if f.NextOffset <= offset {
		return false
	}
	if len(f.EntrySet.Entries) == 0 {
		return true
	}
	return f.holders(index(f.EntrySet), offset, now) >= f.EntrySet.Majority() && f.EntrySetSettled(now)
}

// EntrySetSettled reports whether a majority of the previous entry set has
// folded its replacement, so that those entries no longer confirm each other
// under the previous set. Entries that were dropped count as stopped.
func (f Freshness) EntrySetSettled(now time.Time) bool {
	if len(f.Previous.Entries) == 0 {
		return true
	}
	members := index(f.EntrySet)
	kept := make(map[string]bool, len(f.Previous.Entries))
	dropped := 0
	for _, e := range f.Previous.Entries {
		if members[e.ID] {
			kept[e.ID] = true
		} else {
			dropped++
		}
	}
	return dropped+f.holders(kept, f.EntrySetVersion, now) >= f.Previous.Majority()
}

// holders counts the given processes that hold the record at an offset.
func (f Freshness) holders(ids map[string]bool, offset int64, now time.Time) int {
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
