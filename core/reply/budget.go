// Package reply accounts the memory that an entry holds for callers. A reply is
// reserved whole while there is room, so that a slow caller does not hold up a
// backend server, and by a small window when room is short.
package reply

import "nutmegnotch/core"

const (
	// WindowBytes is the reservation of a reply when room is short.
	WindowBytes = 16 << 10
	// fullShare is the share of a budget up to which whole replies are reserved.
	fullShare = 0.7
	// openShare is the share of the process budget up to which windows are
	// granted to any organisation. Above it an organisation may hold at most as
	// much as is still free, so that there is always room for another one.
	openShare = 0.9
	// MaxWindowsPerOrganisation bounds the windows of one organisation. A window holds its slot
	// of a backend server for as long as its caller reads: without a bound, the
	// slow readers of BenchmarkSlowReaders took all 192 slots.
	MaxWindowsPerOrganisation = 32
)

// Budget implements core.ReplyBudget for the product. It is not safe for
// concurrent use.
type Budget struct {
	ledger
	limit int64
}

// NewBudget returns a budget of limit bytes for the whole process.
func NewBudget(limit int64) *Budget {
	return &Budget{ledger: newLedger(), limit: limit}
}

// Reserve implements core.ReplyBudget. An organisationLimit of 0 means that only
// the process limit holds.
func (b *Budget) Reserve(organisation string, want, organisationLimit int64) (core.Reservation, bool) {
	if organisationLimit <= 0 {
		organisationLimit = b.limit
	}
	own, all := b.Held(organisation)
	if below(own+want, organisationLimit, fullShare) && below(all+want, b.limit, fullShare) {
		return b.take(organisation, want, false), true
	}
	bytes := min(want, WindowBytes)
	if own+bytes > organisationLimit || all+bytes > b.limit {
		return core.Reservation{}, false
	}
	if bytes < want && b.windows[organisation] >= MaxWindowsPerOrganisation {
		return core.Reservation{}, false
	}
	if !below(all+bytes, b.limit, openShare) && own+bytes > b.limit-all {
		return core.Reservation{}, false
	}
	return b.take(organisation, bytes, bytes < want), true
}

func below(held, limit int64, share float64) bool {
	return float64(held) <= share*float64(limit)
}

// ledger keeps the live reservations.
type ledger struct {
	nextID uint64
	all    int64
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
	l.all += bytes
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
	l.all -= have.Bytes
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
func (l *ledger) Held(organisation string) (int64, int64) { return l.byOrg[organisation], l.all }
