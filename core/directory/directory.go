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

// LapseGracePeriod is how long the record of a backend server may be missing
// after the store is back before the server is dropped. The platform's protocol
// allows about two seconds (PROTOCOL, "Service discovery").
const LapseGracePeriod = 2 * time.Second

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
	topics     [2]topic
	drained    map[string]bool
	servers    map[string]*serverEntry
	// outage is true while the store does not answer. outageEndedAt is when the
	// store answered again after the last outage.
	outage        bool
	outageEndedAt time.Time
}

// topic holds the newest record of each key.
type topic struct {
	records    map[string]core.KeyedRecord
	nextOffset int64
}

// serverEntry is a backend server. The record of a lapsed server was removed
// during an outage of the store or shortly after it; the server stays in use
// until LapseGracePeriod has passed.
type serverEntry struct {
	server core.BackendServer
	// offset is the offset of the newest record.
	offset int64
	lapsed bool
	// coldUntil is when the server stops being cold.
	coldUntil time.Time
}

// New returns an empty directory.
func New(decoder core.RecordDecoder) *Directory {
	d := &Directory{decoder: decoder, drained: map[string]bool{}, servers: map[string]*serverEntry{}}
	for i := range d.topics {
		d.topics[i].records = map[string]core.KeyedRecord{}
	}
	return d
}

// Deployment returns the newest version of the operators' configuration, or nil
// if none is known.
func (d *Directory) Deployment() *core.Deployment { return d.deployment }

// Drained reports whether a failure domain is drained.
func (d *Directory) Drained(domain string) bool { return d.drained[domain] }

// NextOffset returns the first offset of a topic that is not applied.
func (d *Directory) NextOffset(t core.Topic) int64 { return d.topics[t].nextOffset }

// StoreFailed records that the store does not answer.
func (d *Directory) StoreFailed() { d.outage = true }

// StoreAnswered records that the store has answered.
func (d *Directory) StoreAnswered(now time.Time) {
	if d.outage {
		d.outage, d.outageEndedAt = false, now
	}
}

// Advance records that all records of a topic below the offset next are applied.
func (d *Directory) Advance(t core.Topic, next int64) {
	d.topics[t].nextOffset = max(d.topics[t].nextOffset, next)
}

// Apply applies one record. A record that is not newer than the known one of its
// key has no effect. A record that cannot be decoded returns an error and counts
// as removed: the server of its key is no longer used, and the deployment stays
// as it is, since no earlier version may replace it.
func (d *Directory) Apply(t core.Topic, r core.KeyedRecord, now time.Time) (Change, error) {
	known, ok := d.topics[t].records[r.Key]
	if ok && known.Offset >= r.Offset {
		return ChangeNone, nil
	}
	d.topics[t].records[r.Key] = r
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
	d.deployment = decoded.Deployment
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
		if _, known := d.servers[id]; !known {
			return ChangeNone
		}
		delete(d.servers, id)
		return ChangeServers
	}
	old := d.servers[id]
	e := &serverEntry{server: *s, offset: r.Offset, coldUntil: now.Add(s.ColdLeft)}
	d.servers[id] = e
	if old == nil || old.lapsed {
		return ChangeServers
	}
	a, b := old.server, e.server
	a.ColdLeft, b.ColdLeft = 0, 0
	if a == b && (old.coldUntil.After(now) == e.coldUntil.After(now)) {
		return ChangeNone
	}
	return ChangeServers
}

// removeServer removes a server. A ready server whose record is removed during
// an outage of the store, or within LapseGracePeriod after it, is marked as
// lapsed instead.
func (d *Directory) removeServer(id string, now time.Time) Change {
	e := d.servers[id]
	if e == nil {
		return ChangeNone
	}
	if e.server.State == core.BackendReady && (d.outage || now.Before(d.outageEndedAt.Add(LapseGracePeriod))) {
		e.lapsed = true
		return ChangeNone
	}
	delete(d.servers, id)
	return ChangeServers
}

// Expire removes lapsed servers once LapseGracePeriod has passed since the end of
// the outage.
func (d *Directory) Expire(now time.Time) Change {
	if d.outage || now.Before(d.outageEndedAt.Add(LapseGracePeriod)) {
		return ChangeNone
	}
	changed := ChangeNone
	for id, e := range d.servers {
		if e.lapsed {
			delete(d.servers, id)
			changed = ChangeServers
		}
	}
	return changed
}

// Replace applies a batch with the newest records of all keys of a topic. It
// removes each known key that is missing from the batch and whose record is
// older than the batch.
func (d *Directory) Replace(t core.Topic, b core.KeyedBatch, now time.Time) ([]Change, error) {
	var changes []Change
	var firstErr error
	apply := func(r core.KeyedRecord) {
		c, err := d.Apply(t, r, now)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		if c != ChangeNone {
			changes = append(changes, c)
		}
	}
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
		apply(r)
	}
	for key, r := range d.topics[t].records {
		if !present[key] && !r.Deleted && r.Offset < b.NextOffset-1 {
			apply(core.KeyedRecord{Key: key, Offset: b.NextOffset - 1, Deleted: true})
		}
	}
	d.Advance(t, b.NextOffset)
	return changes, firstErr
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
		if id != s.ID && e.server.Address == s.Address && (own == nil || e.offset > own.offset) {
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

// Records returns the newest record of each key, from an offset on and sorted by
// offset.
func (d *Directory) Records(t core.Topic, from int64) []core.KeyedRecord {
	var out []core.KeyedRecord
	for _, r := range d.topics[t].records {
		if r.Offset >= from {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b core.KeyedRecord) int { return int(a.Offset - b.Offset) })
	return out
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
	newest := map[string]int64{}
	for _, e := range d.servers {
		newest[e.server.Address] = max(newest[e.server.Address], e.offset)
	}
	for _, e := range d.servers {
		replaced := e.offset < newest[e.server.Address]
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
