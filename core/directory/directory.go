// Package directory holds the deployment as a process knows it from the
// platform's store: the operators' configuration, the backend servers and the
// drained failure domains. It only applies records and does no I/O; time is an
// argument.
package directory

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// Change is the kind of change that a record has caused.
type Change int

// Kinds of changes.
const (
	ChangeNone Change = iota
	ChangeDeployment
	ChangeDrained
	ChangeServers
)

// Directory is the state of a deployment after the applied records. It is not
// safe for concurrent use.
type Directory struct {
	decoder    core.RecordDecoder
	deployment *core.Deployment
	// deploymentRecord is the record of deployment.
	deploymentRecord core.KeyedRecord
	topics           [2]topic
	drained          map[string]bool
	servers          map[string]*serverEntry
	processes        processes
	outage           outage
	// answeredAt is when the servers were last read up to the end of their topic.
	answeredAt time.Time
}

// topic holds the newest record of each key. next is the position that follows the
// applied records.
type topic struct {
	records map[string]core.KeyedRecord
	next    core.Position
	// completeFrom is the position from which records include all removals.
	completeFrom core.Position
	// settleAt is when records of earlier eras are dropped, or zero if there are none.
	settleAt time.Time
}

// serverEntry is a backend server. The record of a lapsed server was removed
// during an outage of the store or shortly after it; the server stays in use
// until LapseGracePeriod has passed.
type serverEntry struct {
	server core.BackendServer
	// position is that of the newest record.
	position core.Position
	// appliedAt is when that record was applied.
	appliedAt time.Time
	lapsed    bool
	// coldUntil is when the server stops being cold.
	coldUntil time.Time
}

// New returns an empty directory.
func New(decoder core.RecordDecoder) *Directory {
	d := &Directory{decoder: decoder, drained: map[string]bool{}, servers: map[string]*serverEntry{}, processes: processes{byID: map[string]*succession{}}}
	for i := range d.topics {
		d.topics[i].records = map[string]core.KeyedRecord{}
	}
	return d
}

// Deployment returns the newest version of the operators' configuration, or nil
// if none is known.
func (d *Directory) Deployment() *core.Deployment { return d.deployment }

// DeploymentRecord returns the record of the deployment. It may be of an earlier era.
func (d *Directory) DeploymentRecord() core.KeyedRecord { return d.deploymentRecord }

// Drained reports whether a failure domain is drained.
func (d *Directory) Drained(domain string) bool { return d.drained[domain] }

// Next returns the first position of a topic that is not applied.
func (d *Directory) Next(t core.Topic) core.Position { return d.topics[t].next }

// Append applies a batch that follows the applied records. A batch of another era has
// no effect, since its records do not follow them: a later era is read from its
// beginning and passed to Replace.
func (d *Directory) Append(t core.Topic, b core.KeyedBatch, now time.Time) ([]Change, error) {
	if b.Next.Era != d.topics[t].next.Era {
		return nil, nil
	}
	changes, err := d.applyAll(t, b.Records, now)
	d.advance(t, b.Next)
	return changes, err
}

func (d *Directory) advance(t core.Topic, next core.Position) {
	if d.topics[t].next.Before(next) {
		d.topics[t].next = next
	}
}

// applyAll applies records. It returns the changes and the first error.
func (d *Directory) applyAll(t core.Topic, records []core.KeyedRecord, now time.Time) ([]Change, error) {
	var changes []Change
	var firstErr error
	for _, r := range records {
		c, err := d.apply(t, r, now)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		if c != ChangeNone {
			changes = append(changes, c)
		}
	}
	return changes, firstErr
}

// apply applies one record. A record that is not newer than the known one of its
// key, or of an earlier era, has no effect, unless it is a deployment with a higher
// version. A record that cannot be decoded returns an error and counts as removed: the
// server of its key is no longer used, and the deployment stays as it is, since no
// earlier version may replace it.
func (d *Directory) apply(t core.Topic, r core.KeyedRecord, now time.Time) (Change, error) {
	topic := &d.topics[t]
	known, ok := topic.records[r.Key]
	switch {
	case r.Position.Era < topic.next.Era:
		decoded, err := d.decoder.Decode(t, r)
		if decoded.Kind != core.RecordDeployment {
			return ChangeNone, nil
		}
		return d.applyDeployment(decoded, r), err
	case ok && !known.Position.Before(r.Position),
		// The key was removed before all keys of this era were read.
		(!ok || known.Position.Era < r.Position.Era) && r.Position.Before(topic.completeFrom):
		return ChangeNone, nil
	}
	topic.records[r.Key] = r
	decoded, err := d.decoder.Decode(t, r)
	switch decoded.Kind {
	case core.RecordDeployment:
		return d.applyDeployment(decoded, r), err
	case core.RecordDrainedDomain:
		return d.applyDrained(decoded.Domain, !r.Deleted), nil
	case core.RecordServer:
		if r.Deleted {
			return d.removeServer(r.Key, now), nil
		}
		return d.applyServer(r, decoded.Server, now), err
	}
	return ChangeNone, err
}

// applyDeployment keeps the highest version, in whichever order versions arrive.
func (d *Directory) applyDeployment(decoded core.DecodedRecord, r core.KeyedRecord) Change {
	if r.Deleted || decoded.Deployment == nil || d.deployment != nil && decoded.Deployment.Version <= d.deployment.Version {
		return ChangeNone
	}
	d.deployment, d.deploymentRecord = decoded.Deployment, r
	return ChangeDeployment
}

func (d *Directory) applyDrained(domain string, drained bool) Change {
	if d.drained[domain] == drained {
		return ChangeNone
	}
	if drained {
		d.drained[domain] = true
	} else {
		delete(d.drained, domain)
	}
	return ChangeDrained
}

func (d *Directory) applyServer(r core.KeyedRecord, s *core.BackendServer, now time.Time) Change {
	id := r.Key
	if s == nil {
		return d.dropServer(id, now)
	}
	known, ok := d.processes.report(s, r.Position.Era, now)
	if !ok {
		return ChangeNone
	}
	old := d.servers[id]
	e := &serverEntry{server: known, position: r.Position, appliedAt: now, coldUntil: now.Add(s.ColdLeft)}
	d.servers[id] = e
	if old == nil || old.lapsed {
		return ChangeServers
	}
	a, b := old.server, e.server
	a.ColdLeft, b.ColdLeft, a.ReportNumber, b.ReportNumber = 0, 0, 0, 0
	if a == b && (old.coldUntil.After(now) == e.coldUntil.After(now)) {
		return ChangeNone
	}
	return ChangeServers
}

// removeServer removes a server. A ready server whose record may have lapsed in an
// outage of the store is marked as lapsed instead.
func (d *Directory) removeServer(id string, now time.Time) Change {
	e := d.servers[id]
	if e == nil {
		return ChangeNone
	}
	if e.server.State == core.BackendReady && d.outage.mayLapse(now) && !d.outage.hasReported(e.appliedAt) {
		e.lapsed = true
		return ChangeNone
	}
	return d.dropServer(id, now)
}

// dropServer stops the use of a server.
func (d *Directory) dropServer(id string, now time.Time) Change {
	e := d.servers[id]
	if e == nil {
		return ChangeNone
	}
	delete(d.servers, id)
	d.processes.ended(id, now)
	return ChangeServers
}

// Expire removes lapsed servers once LapseGracePeriod has passed since the end of
// the outage.
func (d *Directory) Expire(now time.Time) Change {
	d.processes.expire(now)
	if d.outage.mayLapse(now) {
		return ChangeNone
	}
	changed := ChangeNone
	for id, e := range d.servers {
		if e.lapsed {
			changed = d.dropServer(id, now)
		}
	}
	return changed
}

// Replace applies a batch with the newest records of all keys of a topic. It
// removes each known key that is missing from the batch and whose record is older
// than the batch. Records of an earlier era stay in force until Settle.
// A batch of an earlier era has no effect.
func (d *Directory) Replace(t core.Topic, b core.KeyedBatch, now time.Time) ([]Change, error) {
	if b.Next.Era < d.topics[t].next.Era {
		return nil, nil
	}
	d.beginEra(t, b.Next.Era, now)
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}
	records := b.Records
	last := b.Next.WithOffset(b.Next.Offset - 1)
	for key, r := range d.topics[t].records {
		if !present[key] && !r.Deleted && r.Position.Era == last.Era && r.Position.Before(last) {
			records = append(records[:len(records):len(records)], core.KeyedRecord{Key: key, Position: last, Deleted: true})
		}
	}
	changes, err := d.applyAll(t, records, now)
	d.advance(t, b.Next)
	if d.topics[t].completeFrom.Before(b.Next) {
		d.topics[t].completeFrom = b.Next
	}
	return changes, err
}

// ProcessState is what the records tell about one process of a backend server.
type ProcessState int

// States of a process. ProcessUnlisted means that it has no record and that no other
// process has registered at its address.
const (
	ProcessReady ProcessState = iota
	ProcessLeaving
	ProcessReplaced
	ProcessUnlisted
)

// Process returns the state of the process that a server was when it was listed as s.
func (d *Directory) Process(s core.BackendServer) ProcessState {
	own := d.servers[s.ID]
	if own != nil && own.server.StartedUnixMS != s.StartedUnixMS {
		return ProcessReplaced
	}
	for id, e := range d.servers {
		if id != s.ID && e.server.Address == s.Address && (own == nil || own.position.Before(e.position)) {
			return ProcessReplaced
		}
	}
	switch {
	case own == nil:
		return ProcessUnlisted
	case own.server.State == core.BackendLeaving:
		return ProcessLeaving
	}
	return ProcessReady
}

// Since returns what a peer needs that has applied the records before a position. If
// full is set, the batch holds the newest records of all keys, for Replace, since this
// directory does not know all removals since that position.
func (d *Directory) Since(t core.Topic, from core.Position) (b core.KeyedBatch, full bool) {
	topic := &d.topics[t]
	b.Next, full = topic.next, from.Before(topic.completeFrom)
	for _, r := range topic.records {
		if r.Position.Era == topic.next.Era && (full || !r.Position.Before(from)) {
			b.Records = append(b.Records, r)
		}
	}
	slices.SortFunc(b.Records, func(a, b core.KeyedRecord) int { return a.Position.Compare(b.Position) })
	return b, full
}

// Server is a backend server with its current state in the directory.
type Server struct {
	core.BackendServer
	// ColdUntil is when the server stops being cold, as it has reported.
	ColdUntil time.Time
	// Usable reports whether the server takes new work: it is not leaving, its
	// failure domain is not drained, and no other server has registered with the
	// same address later.
	Usable bool
	// Replaced reports that another server has registered with the same address
	// later, so the process of this one has ended.
	Replaced bool
}

// Servers returns all known backend servers, sorted by id.
func (d *Directory) Servers() []Server {
	out := make([]Server, 0, len(d.servers))
	newest := map[string]core.Position{}
	for _, e := range d.servers {
		if newest[e.server.Address].Before(e.position) {
			newest[e.server.Address] = e.position
		}
	}
	for _, e := range d.servers {
		replaced := e.position.Before(newest[e.server.Address])
		out = append(out, Server{
			BackendServer: e.server,
			ColdUntil:     e.coldUntil,
			Usable:        e.server.State == core.BackendReady && !d.drained[e.server.Domain] && !replaced,
			Replaced:      replaced,
		})
	}
	slices.SortFunc(out, func(a, b Server) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return out
}
