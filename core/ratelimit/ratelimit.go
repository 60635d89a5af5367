// Package ratelimit keeps the rate limits that backend servers name, and keeps all gateways
// together within them. For each process of a server one gateway is the home: it owns the
// token bucket and grants permits, one for each request, to the gateways that ask for them.
// The package does no I/O: the time is an argument.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits of what is kept.
const (
	// MaxAge is how long a limit holds after the last reply that named it.
	MaxAge = time.Minute
	// ConfirmInterval is the interval at which gateways tell each other that a server
	// still names its limit.
	ConfirmInterval = 10 * time.Second
	// maxProcesses bounds the processes of which a limit is kept.
	maxProcesses = 4096
)

// Process is a process of a backend server. A limit ends with it.
type Process struct {
	ServerID      string
	StartedUnixMS int64
}

// Statement is what a reply says of the rate limit of its server.
type Statement struct {
	Process Process
	// Rate is in requests a second from all gateways together. It is valid if Named is set.
	Rate  float64
	Named bool
	// Sent is when the request of the reply was sent. The server may have said it at any
	// time since.
	Sent time.Time
	// Source is the gateway that has got the reply.
	Source string
}

// Change is how a statement changes what is known.
type Change int

// Kinds of changes.
const (
	ChangeNone Change = iota
	// ChangeConfirmed tells that the server still names the limit, which the other
	// gateways have not heard for ConfirmInterval.
	ChangeConfirmed
	ChangeNamed
	ChangeEnded
	// ChangeDropped tells that too many processes have named a limit.
	ChangeDropped
)

// limit is the limit of one process.
type limit struct {
	process Process
	rate    float64
	source  string
	// since is when the rate became known, heardAt when the last request was sent of which
	// the reply named it, and sharedAt when the gateways last told each other.
	since, heardAt, sharedAt time.Time
	// sends is the number of requests that this gateway has sent since the limit is known.
	// lent and denied are the permits that it has granted and refused as the home.
	sends, lent, denied int64
	permits             permits
	home                Home
	// bucket is nil unless this gateway is the home and was asked for permits.
	bucket *bucket
}

// Table holds the limits of all processes. It is not safe for concurrent use.
type Table struct {
	limits map[Process]*limit
	// wanting holds the limits of which permits are wanted, granted those of which some may
	// be held.
	wanting, granted map[*limit]bool
	// seq is the number of the last question.
	seq uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{limits: map[Process]*limit{}, wanting: map[*limit]bool{}, granted: map[*limit]bool{}}
}

// Valid reports whether the rate of a statement can be used.
func (s Statement) Valid() bool {
	return !s.Named || s.Rate >= 0 && !math.IsInf(s.Rate, 0)
}

// State applies a valid statement. Replies may overtake each other: of two statements that may
// be of the same time, the lower limit holds.
func (t *Table) State(s Statement, now time.Time) Change {
	l := t.limits[s.Process]
	switch {
	case l == nil && (!s.Named || now.Sub(s.Sent) >= MaxAge):
		return ChangeNone
	case l == nil && len(t.limits) >= maxProcesses:
		return ChangeDropped
	case l == nil:
		t.limits[s.Process] = &limit{process: s.Process, rate: s.Rate, source: s.Source, since: now, heardAt: s.Sent, sharedAt: now}
		return ChangeNamed
	}
	mayBeOlder := s.Sent.Before(l.since)
	switch {
	case s.Named && s.Rate == l.rate:
		if s.Sent.After(l.heardAt) {
			l.heardAt = s.Sent
		}
		if now.Sub(l.sharedAt) < ConfirmInterval {
			return ChangeNone
		}
		l.sharedAt = now
		return ChangeConfirmed
	case mayBeOlder && (!s.Named || s.Rate > l.rate):
		return ChangeNone
	case !s.Named:
		t.drop(l)
		return ChangeEnded
	}
	l.rate, l.source, l.since, l.heardAt, l.sharedAt = s.Rate, s.Source, now, s.Sent, now
	return ChangeNamed
}

// Expire drops the limits that no server has named for MaxAge and returns their processes.
func (t *Table) Expire(now time.Time) []Process {
	var out []Process
	for p, l := range t.limits {
		if now.Sub(l.heardAt) >= MaxAge {
			t.drop(l)
			out = append(out, p)
		}
	}
	return out
}

// End drops the limit of a process that has ended.
func (t *Table) End(p Process) {
	if l := t.limits[p]; l != nil {
		t.drop(l)
	}
}

func (t *Table) drop(l *limit) {
	delete(t.limits, l.process)
	delete(t.wanting, l)
	delete(t.granted, l)
}

func compareProcesses(a, b Process) int {
	return cmp.Or(strings.Compare(a.ServerID, b.ServerID), cmp.Compare(a.StartedUnixMS, b.StartedUnixMS))
}

// Statements returns what is known of all limits, for a gateway that knows none.
func (t *Table) Statements() []Statement {
	out := make([]Statement, 0, len(t.limits))
	for _, l := range t.limits {
		out = append(out, Statement{Process: l.process, Rate: l.rate, Named: true, Sent: l.heardAt, Source: l.source})
	}
	slices.SortFunc(out, func(a, b Statement) int { return compareProcesses(a.Process, b.Process) })
	return out
}

// Status describes the limit of a process.
type Status struct {
	Process Process
	Rate    float64
	// Source is the gateway that heard the limit first.
	Source string
	// Age is the time since the server last named it.
	Age time.Duration
	// Sends is the number of requests of this gateway since the limit is known. Lent and
	// Denied are the permits that it has granted and refused as the home.
	Sends, Lent, Denied int64
	Home                Home
}

// Limits returns the limits of all processes, by server id.
func (t *Table) Limits(now time.Time) []Status {
	out := make([]Status, 0, len(t.limits))
	for _, l := range t.limits {
		out = append(out, Status{Process: l.process, Rate: l.rate, Source: l.source, Age: now.Sub(l.heardAt),
			Sends: l.sends, Lent: l.lent, Denied: l.denied, Home: l.home})
	}
	slices.SortFunc(out, func(a, b Status) int { return compareProcesses(a.Process, b.Process) })
	return out
}
