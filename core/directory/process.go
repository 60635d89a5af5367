package directory

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// Limits of what is kept of the processes of a backend server.
const (
	// goneTTL is how long the processes of a server that is no longer listed are
	// remembered. A store can come back from a copy that is some seconds old.
	goneTTL = time.Minute
	// maxFormerProcesses bounds the processes of one server that are remembered beside the
	// current one.
	maxFormerProcesses = 8
	// maxLateReport is the time after which the store carries out no report any more that it
	// has not answered (store fault platform_lost: 1 to 6 s), with the time in which a
	// server starts again.
	maxLateReport = 13 * time.Second
	// unknownConfirmations is the number of reports in a row after which a process that may
	// have ended before the current one counts as a later one, and formerConfirmations the
	// same for one that has been replaced.
	unknownConfirmations = 2
	formerConfirmations  = 3
)

// processes holds what is known of the processes of backend servers beyond the records. The
// store may list a process that has ended, from a copy or in a late report. The time of day
// of a host may go back, so that start times alone do not order processes.
type processes struct {
	byID map[string]*succession
	// gone holds the ids of servers that are no longer listed, in order of their ends.
	gone []goneServer
	// lateReports is the number of reports of ended processes that had no effect.
	lateReports int
}

type goneServer struct {
	id string
	at time.Time
}

// succession holds the processes that have run under one id.
type succession struct {
	current process
	// former holds the other known processes, the one that was replaced last at the end.
	former []process
	// doubtful is the process that has reported last, if it may have ended before the
	// current one, and doubtfulReports the number of its reports in a row.
	doubtful        process
	doubtfulReports int
	// goneAt is when the record of the server was removed; zero if it is listed.
	goneAt time.Time
}

// process is one process of a backend server.
type process struct {
	startedUnixMS int64
	// era and reportNumber are those of its last report.
	era, reportNumber int64
	leaving           bool
	knownSince        time.Time
	// replacedAt is when another process was first seen to have replaced it, or zero.
	replacedAt time.Time
}

// isSame reports whether p is the process of a record. Without a start time, processes
// cannot be told apart.
func (p process) isSame(s *core.BackendServer) bool {
	return p.startedUnixMS != 0 && p.startedUnixMS == s.StartedUnixMS
}

// isOutdated reports whether a record of the process is older than its last report: it comes
// from a copy of the store, or the store has carried out a late report.
func (p process) isOutdated(s *core.BackendServer, era int64) bool {
	return s.ReportNumber > 0 && (s.ReportNumber < p.reportNumber || era > p.era && s.ReportNumber == p.reportNumber)
}

// report records a report and returns the server as it is known: a process that leaves never
// becomes ready again. It reports false if the record has no effect, since it is outdated or
// comes from a process that has ended.
func (ps *processes) report(s *core.BackendServer, era int64, now time.Time) (core.BackendServer, bool) {
	sc := ps.byID[s.ID]
	if sc == nil {
		sc = &succession{current: process{startedUnixMS: s.StartedUnixMS, knownSince: now}}
		ps.byID[s.ID] = sc
	}
	switch {
	case sc.current.isSame(s):
		if sc.current.isOutdated(s, era) {
			return core.BackendServer{}, false
		}
	case sc.hasEndedBefore(s, era, now):
		ps.lateReports++
		return core.BackendServer{}, false
	default:
		sc.replace(s.StartedUnixMS, now)
	}
	sc.doubtful, sc.doubtfulReports, sc.goneAt = process{}, 0, time.Time{}
	known, p := *s, &sc.current
	if p.leaving {
		known.State = core.BackendLeaving
	}
	p.era, p.reportNumber, p.leaving = era, s.ReportNumber, known.State == core.BackendLeaving
	return known, true
}

// hasEndedBefore reports whether a process other than the current one, which has reported,
// has ended before the current one began.
func (sc *succession) hasEndedBefore(s *core.BackendServer, era int64, now time.Time) bool {
	if s.StartedUnixMS == 0 || sc.current.startedUnixMS == 0 {
		return false
	}
	i := sc.indexFormer(s.StartedUnixMS)
	replaced := i >= 0 && !sc.former[i].replacedAt.IsZero()
	if replaced {
		p := &sc.former[i]
		if p.isOutdated(s, era) || s.ReportNumber <= p.reportNumber {
			return true
		}
		p.era, p.reportNumber = era, s.ReportNumber
	} else if s.StartedUnixMS > sc.current.startedUnixMS || s.ReportNumber <= 1 || now.Sub(sc.current.knownSince) > maxLateReport {
		return false
	}
	if !sc.doubtful.isSame(s) {
		sc.doubtful, sc.doubtfulReports = process{startedUnixMS: s.StartedUnixMS}, 0
	}
	if s.ReportNumber <= sc.doubtful.reportNumber {
		return true
	}
	sc.doubtful.reportNumber = s.ReportNumber
	sc.doubtfulReports++
	if replaced {
		return sc.doubtfulReports < formerConfirmations || now.Sub(sc.former[i].replacedAt) <= maxLateReport
	}
	return sc.doubtfulReports < unknownConfirmations
}

func (sc *succession) indexFormer(startedUnixMS int64) int {
	return slices.IndexFunc(sc.former, func(p process) bool { return p.startedUnixMS == startedUnixMS })
}

// replace makes another process the current one.
func (sc *succession) replace(startedUnixMS int64, now time.Time) {
	next := process{startedUnixMS: startedUnixMS, knownSince: now}
	if i := sc.indexFormer(startedUnixMS); i >= 0 {
		next.leaving = sc.former[i].leaving
		sc.former = slices.Delete(sc.former, i, i+1)
	}
	sc.current.replacedAt = now
	sc.remember(sc.current)
	sc.current = next
}

// remember keeps a process beside the current one.
func (sc *succession) remember(p process) {
	if p.startedUnixMS == 0 {
		return
	}
	if len(sc.former) >= maxFormerProcesses {
		sc.former = slices.Delete(sc.former, 0, 1)
	}
	sc.former = append(sc.former, p)
}

// LateReports returns the number of reports that had no effect, since their processes have
// ended before the present one of the same server.
func (d *Directory) LateReports() int { return d.processes.lateReports }

// MarkLeaving records that a process has said that it leaves, in whichever way. It counts
// whatever its records say until it ends.
func (d *Directory) MarkLeaving(id string, startedUnixMS int64, now time.Time) Change {
	sc := d.processes.byID[id]
	if sc == nil {
		sc = &succession{current: process{startedUnixMS: startedUnixMS, knownSince: now}}
		d.processes.byID[id] = sc
		d.processes.ended(id, now)
	}
	if sc.current.startedUnixMS != startedUnixMS && !sc.learnLeaving(startedUnixMS, now) {
		return ChangeNone
	}
	sc.current.leaving = true
	e := d.servers[id]
	if e == nil || e.server.State == core.BackendLeaving {
		return ChangeNone
	}
	e.server.State, e.server.StartedUnixMS = core.BackendLeaving, startedUnixMS
	return ChangeServers
}

// learnLeaving records that a process other than the current one leaves. It reports whether
// that one becomes the current one: a record that is the first one known may be a late
// report of an earlier process.
func (sc *succession) learnLeaving(startedUnixMS int64, now time.Time) bool {
	if i := sc.indexFormer(startedUnixMS); i >= 0 {
		sc.former[i].leaving = true
		return false
	}
	p := process{startedUnixMS: startedUnixMS, leaving: true, knownSince: now}
	c := sc.current
	if startedUnixMS < c.startedUnixMS || c.reportNumber <= 1 || len(sc.former) > 0 || now.Sub(c.knownSince) > maxLateReport {
		sc.remember(p)
		return false
	}
	sc.doubtful, sc.doubtfulReports = c, 1
	sc.current = p
	return true
}

// Leaving returns the processes that leave or have left, by id and start time. Those that
// are no longer listed are included, since a copy of the store may list them again.
func (d *Directory) Leaving() []core.BackendServer {
	var out []core.BackendServer
	for id, sc := range d.processes.byID {
		if p := sc.current; p.leaving && (p.startedUnixMS != 0 || sc.goneAt.IsZero()) {
			out = append(out, core.BackendServer{ID: id, StartedUnixMS: p.startedUnixMS})
		}
		for _, p := range sc.former {
			if p.leaving {
				out = append(out, core.BackendServer{ID: id, StartedUnixMS: p.startedUnixMS})
			}
		}
	}
	return out
}

// ended records that a server is no longer listed.
func (ps *processes) ended(id string, now time.Time) {
	if sc := ps.byID[id]; sc != nil {
		sc.goneAt = now
		ps.gone = append(ps.gone, goneServer{id, now})
	}
}

// expire forgets servers that have not been listed for goneTTL.
func (ps *processes) expire(now time.Time) {
	for len(ps.gone) > 0 && now.Sub(ps.gone[0].at) > goneTTL {
		g := ps.gone[0]
		if sc := ps.byID[g.id]; sc != nil && sc.goneAt.Equal(g.at) {
			delete(ps.byID, g.id)
		}
		ps.gone = ps.gone[1:]
	}
}
