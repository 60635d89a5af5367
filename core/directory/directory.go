// Package directory holds what a process believes of the deployment: the
// operators' configuration, the backend servers and the failure domains that
// are taken out of service. It is a pure fold of records; time is an argument.
package directory

import (
	"slices"
	"time"

	"nutmegnotch/core"
)

// LapseGracePeriod is how long the record of a backend server may be missing after
// the return of the store (PROTOCOL, "Service discovery": about two seconds).
const LapseGracePeriod = 2 * time.Second

// Change tells what a record changed.
type Change int

// Kinds of changes.
const (
	ChangeNone Change = iota
	ChangeDeployment
	ChangeDrained
	ChangeServers
)

// Directory is the fold. It is not safe for concurrent use.
type Directory struct {
	decoder    core.RecordDecoder
	deployment *core.Deployment
	topics     [2]topic
	drained    map[string]bool
	servers    map[string]*entry
	// outage is true while the store gives no answers, returned the time at
	// which it last came back.
	outage   bool
	returned time.Time
}

// topic keeps the newest record of each key.
type topic struct {
	records map[string]core.KeyedRecord
	next    int64
}

// entry is a backend server. A lapsed entry lost its record during an outage of
// the store and stays in use until the grace has passed.
type entry struct {
	server core.BackendServer
	// offset is that of the newest record.
	offset int64
	lapsed bool
	// coldUntil is when the server stops being cold.
	coldUntil time.Time
}

// New returns a directory that knows nothing.
func New(decoder core.RecordDecoder) *Directory {
	d := &Directory{decoder: decoder, drained: map[string]bool{}, servers: map[string]*entry{}}
	for i := range d.topics {
		d.topics[i].records = map[string]core.KeyedRecord{}
	}
	return d
}

// Deployment returns the newest configuration, or nil.
func (d *Directory) Deployment() *core.Deployment { return d.deployment }

// Drained reports whether a failure domain is taken out of service.
func (d *Directory) Drained(domain string) bool { return d.drained[domain] }

// NextOffset returns the offset up to which a topic is known.
func (d *Directory) NextOffset(t core.Topic) int64 { return d.topics[t].next }

// StoreFailed notes that the store gives no answers.
func (d *Directory) StoreFailed() { d.outage = true }

// StoreAnswered notes an answer of the store.
func (d *Directory) StoreAnswered(now time.Time) {
	if d.outage {
		d.outage, d.returned = false, now
	}
}

// Advance notes that all records below an offset have been applied.
func (d *Directory) Advance(t core.Topic, next int64) {
	d.topics[t].next = max(d.topics[t].next, next)
}

// Apply folds one record. A record that is not newer than the known one of its
// key has no effect. An unreadable record is returned as an error and stands for
// a removal: it names no server to use, and no configuration to go back to.
func (d *Directory) Apply(t core.Topic, r core.KeyedRecord, now time.Time) (Change, error) {
	known, ok := d.topics[t].records[r.Key]
	if ok && known.Offset >= r.Offset {
		return ChangeNone, nil
	}
	d.topics[t].records[r.Key] = r
	fact, err := d.decoder.Decode(t, r)
	switch fact.Kind {
	case core.RecordDeployment:
		return d.applyDeployment(fact, r), err
	case core.RecordDrainedDomain:
		return d.applyDrained(fact.Domain, !r.Deleted), nil
	case core.RecordServer:
		if r.Deleted {
			return d.removeServer(r.Key, now), nil
		}
		return d.applyServer(r, fact.Server, now), err
	}
	return ChangeNone, err
}

// applyDeployment keeps the newest version, whatever order versions arrive in.
func (d *Directory) applyDeployment(f core.DecodedRecord, r core.KeyedRecord) Change {
	if r.Deleted || f.Deployment == nil || d.deployment != nil && f.Deployment.Version <= d.deployment.Version {
		return ChangeNone
	}
	d.deployment = f.Deployment
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
	e := &entry{server: *s, offset: r.Offset, coldUntil: now.Add(s.ColdLeft)}
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

// removeServer drops a server. One that was ready and whose record went away
// around an outage of the store stays for the grace.
func (d *Directory) removeServer(id string, now time.Time) Change {
	e := d.servers[id]
	if e == nil {
		return ChangeNone
	}
	if e.server.State == core.BackendReady && (d.outage || now.Before(d.returned.Add(LapseGracePeriod))) {
		e.lapsed = true
		return ChangeNone
	}
	delete(d.servers, id)
	return ChangeServers
}

// Expire drops lapsed servers whose grace has passed.
func (d *Directory) Expire(now time.Time) Change {
	if d.outage || now.Before(d.returned.Add(LapseGracePeriod)) {
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

// Replace folds a full reading of a topic. Keys that are known but missing, and
// older than the reading, have been removed.
func (d *Directory) Replace(t core.Topic, b core.KeyedBatch, now time.Time) ([]Change, error) {
	var changes []Change
	var first error
	apply := func(r core.KeyedRecord) {
		c, err := d.Apply(t, r, now)
		if err != nil && first == nil {
			first = err
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
	return changes, first
}

// Records returns the newest record of each key from an offset on, in order of
// their offsets.
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

// Server is a backend server as the directory sees it now.
type Server struct {
	core.BackendServer
	// ColdUntil is when the server stops being cold by its own account.
	ColdUntil time.Time
	// Usable tells that the server takes new work: it is not leaving, its failure
	// domain is in service and no other server has registered at its address
	// later.
	Usable bool
}

// Servers returns all known backend servers in order of their ids.
func (d *Directory) Servers() []Server {
	out := make([]Server, 0, len(d.servers))
	newest := map[string]int64{}
	for _, e := range d.servers {
		newest[e.server.Address] = max(newest[e.server.Address], e.offset)
	}
	for _, e := range d.servers {
		out = append(out, Server{
			BackendServer: e.server,
			ColdUntil:     e.coldUntil,
			Usable: e.server.State == core.BackendReady && !d.drained[e.server.Domain] &&
				e.offset == newest[e.server.Address],
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
