package directory

import (
	"time"

	"nutmegnotch/core"
)

// SettlePeriod is how long the records of earlier eras stay in force after a new era was
// first read. Operators and backend servers write theirs again within some seconds;
// the platform's sheets allow catch_up_s, 4 s, to catch up.
const SettlePeriod = 4 * time.Second

// goneTTL is how long an ended process is remembered. A store can come back from a copy
// that is some seconds old.
const goneTTL = time.Minute

// beginEra makes an era the current one of a topic, unless it is already. What was known
// before stays in force until Settle.
func (d *Directory) beginEra(t core.Topic, era int64, now time.Time) {
	if era <= d.topics[t].next.Era {
		return
	}
	d.topics[t].next = core.Position{Era: era}
	if len(d.topics[t].records) > 0 {
		d.topics[t].settleAt = now.Add(SettlePeriod)
	}
}

// Settle removes the records of earlier eras, which nobody has written again, after the
// store has been read up to its end. begun is when that read began: it must be later than
// the time that operators and backend servers need. It returns ChangeServers if a server
// or a drained failure domain has changed.
func (d *Directory) Settle(t core.Topic, begun, now time.Time) Change {
	topic := &d.topics[t]
	if topic.settleAt.IsZero() || begun.Before(topic.settleAt) || d.outage.lost || begun.Before(d.outage.ownBackAt.Add(LapseGracePeriod)) {
		return ChangeNone
	}
	topic.settleAt = time.Time{}
	change := ChangeNone
	for key, r := range topic.records {
		if r.Position.Era == topic.next.Era {
			continue
		}
		delete(topic.records, key)
		// Decoding the removal tells what the key stands for. The deployment is kept.
		decoded, err := d.decoder.Decode(t, core.KeyedRecord{Key: key, Deleted: true})
		if err == nil && decoded.Kind == core.RecordDrainedDomain && d.applyDrained(decoded.Domain, false) != ChangeNone ||
			t == core.TopicServers && d.dropServer(key, now) != ChangeNone {
			change = ChangeServers
		}
	}
	return change
}

// processes holds what is known of the newest process of each backend server beyond the
// records. A copy of the store may hold earlier records of it.
type processes struct {
	byID map[string]process
	// gone holds the ids of processes that are no longer listed, in order of their ends.
	gone []goneProcess
}

type goneProcess struct {
	id string
	at time.Time
}

type process struct {
	startedUnixMS int64
	// era and reportNumber are those of the last record.
	era, reportNumber int64
	leaving           bool
	// goneAt is when its record was removed; zero if it is listed.
	goneAt time.Time
}

// isSame reports whether p is the process of a record. Without a start time, processes
// cannot be told apart.
func (p process) isSame(s *core.BackendServer) bool {
	return p.startedUnixMS != 0 && p.startedUnixMS == s.StartedUnixMS
}

// isOutdated reports whether a record is older than what is known of its process: it
// comes from a copy of the store, or the store has carried out a late report.
func (ps *processes) isOutdated(s *core.BackendServer, era int64) bool {
	p, ok := ps.byID[s.ID]
	if !ok || !p.isSame(s) || s.ReportNumber <= 0 {
		return false
	}
	return s.ReportNumber < p.reportNumber || era > p.era && s.ReportNumber == p.reportNumber
}

// report records a report of a process and returns its server. A process that leaves
// never becomes ready again.
func (ps *processes) report(s *core.BackendServer, era int64) core.BackendServer {
	known := *s
	p, ok := ps.byID[s.ID]
	if !ok || !p.isSame(s) {
		p = process{startedUnixMS: s.StartedUnixMS}
	}
	if p.leaving {
		known.State = core.BackendLeaving
	}
	p.era, p.reportNumber, p.goneAt = era, s.ReportNumber, time.Time{}
	p.leaving = known.State == core.BackendLeaving
	ps.byID[s.ID] = p
	return known
}

// MarkLeaving records that a process has said that it leaves, in whichever way. It counts
// whatever its records say until it ends.
func (d *Directory) MarkLeaving(id string, startedUnixMS int64, now time.Time) Change {
	p, known := d.processes.byID[id]
	if known && p.startedUnixMS != startedUnixMS {
		return ChangeNone
	}
	e := d.servers[id]
	p.startedUnixMS, p.leaving = startedUnixMS, true
	d.processes.byID[id] = p
	if e == nil {
		d.processes.ended(id, now)
		return ChangeNone
	}
	if e.server.State == core.BackendLeaving {
		return ChangeNone
	}
	e.server.State = core.BackendLeaving
	return ChangeServers
}

// Leaving returns the processes that leave or have left, by id and start time. Those that
// are no longer listed are included, since a copy of the store may list them again.
func (d *Directory) Leaving() []core.BackendServer {
	var out []core.BackendServer
	for id, p := range d.processes.byID {
		if p.leaving && (p.startedUnixMS != 0 || p.goneAt.IsZero()) {
			out = append(out, core.BackendServer{ID: id, StartedUnixMS: p.startedUnixMS})
		}
	}
	return out
}

// ended records that a process is no longer listed.
func (ps *processes) ended(id string, now time.Time) {
	p := ps.byID[id]
	p.goneAt = now
	ps.byID[id] = p
	ps.gone = append(ps.gone, goneProcess{id, now})
}

// expire forgets processes that have not been listed for goneTTL.
func (ps *processes) expire(now time.Time) {
	for len(ps.gone) > 0 && now.Sub(ps.gone[0].at) > goneTTL {
		if g := ps.gone[0]; ps.byID[g.id].goneAt.Equal(g.at) {
			delete(ps.byID, g.id)
		}
		ps.gone = ps.gone[1:]
	}
}
