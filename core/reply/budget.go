// Package reply accounts for the memory in which an entry buffers replies. While
// memory is plentiful it reserves the whole reply, so that a slow caller does not
// block a slot of a backend server. When memory is short it reserves only a small
// window.
package reply

import "nutmegnotch/core"

const (
	// WindowBytes is the reservation of a reply when memory is short.
	WindowBytes = 16 << 10
	// maxWholeReplyShare is the share of a budget up to which whole replies are
	// reserved.
	maxWholeReplyShare = 0.7
	// maxOpenWindowShare is the share of the process budget up to which windows are
	// reserved for any organisation. Above it an organisation may hold at most as
	// much memory as is still free, so that there is always some left for others.
	maxOpenWindowShare = 0.9
	// MaxWindowsPerOrganisation bounds the windows of one organisation. A windowed
	// reply occupies its slot of a backend server while its caller reads: without
	// a bound, the slow readers of experiment.SlowReaders took all 192 slots.
	MaxWindowsPerOrganisation = 32
)

// Budget is the core.ReplyBudget used in production. It is not safe for concurrent
// use.
type Budget struct {
	ledger
	limit int64
}

// NewBudget returns a budget of limit bytes for the whole process.
func NewBudget(limit int64) *Budget {
	return &Budget{ledger: newLedger(), limit: limit}
}

// Reserve implements core.ReplyBudget. With an organisationLimit of 0 only the
// process limit applies.
func (b *Budget) Reserve(organisation string, want, organisationLimit int64) (core.Reservation, bool) {
	if organisationLimit <= 0 {
		organisationLimit = b.limit
	}
	own, all := b.Held(organisation)
	if withinShare(own+want, organisationLimit, maxWholeReplyShare) && withinShare(all+want, b.limit, maxWholeReplyShare) {
		return b.take(organisation, want, false), true
	}
	bytes := min(want, WindowBytes)
	if own+bytes > organisationLimit || all+bytes > b.limit {
		return core.Reservation{}, false
	}
	if bytes < want && b.windows[organisation] >= MaxWindowsPerOrganisation {
		return core.Reservation{}, false
	}
	if !withinShare(all+bytes, b.limit, maxOpenWindowShare) && own+bytes > b.limit-all {
		return core.Reservation{}, false
	}
	return b.take(organisation, bytes, bytes < want), true
}

func withinShare(held, limit int64, share float64) bool {
	return float64(held) <= share*float64(limit)
}

// ledger records the live reservations.
type ledger struct {
	nextID uint64
	total  int64
	byOrg  map[string]int64
	// windows counts the window reservations of each organisation.
	windows map[string]int
	live    map[uint64]core.Reservation
}

func newLedger() ledger {
	return ledger{byOrg: map[string]int64{}, windows: map[string]int{}, live: map[uint64]core.Reservation{}}
}

func (l *ledger) take(organisation string, bytes int64, window bool) core.Reservation {
	l.nextID++
	r := core.Reservation{ID: l.nextID, Organisation: organisation, Bytes: bytes, Window: window}
	l.live[r.ID] = r
	l.byOrg[organisation] += bytes
	l.total += bytes
	if window {
		l.windows[organisation]++
	}
	return r
}

// Release implements core.ReplyBudget. A second release has no effect.
func (l *ledger) Release(r core.Reservation) {
	have, ok := l.live[r.ID]
	if !ok {
		return
	}
	delete(l.live, r.ID)
	l.total -= have.Bytes
	l.byOrg[have.Organisation] -= have.Bytes
	if have.Window {
		l.windows[have.Organisation]--
	}
	if l.byOrg[have.Organisation] == 0 {
		delete(l.windows, have.Organisation)
		delete(l.byOrg, have.Organisation)
	}
}

// Held implements core.ReplyBudget.
func (l *ledger) Held(organisation string) (int64, int64) { return l.byOrg[organisation], l.total }
