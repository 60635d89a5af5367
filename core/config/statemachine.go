package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
)

// MaxOutcomes is the number of change ids whose outcome is kept. A duplicate of
// an older change is based on an outdated version and therefore has no effect.
const MaxOutcomes = 10_000

// StateMachine is the configuration after the records of the config stream up
// to an offset. It is not safe for concurrent use.
type StateMachine struct {
	nextOffset   int64
	hash         uint64
	objects      map[string]Object
	outcomes     map[string]Outcome
	outcomeOrder []string
	cfg          core.Configuration
	// pathOwners and modelOwners map each path prefix and model to its service,
	// tokenOwners maps each token hash to its team. No key may have two owners.
	pathOwners  map[string]string
	modelOwners map[string]string
	tokenOwners map[string]string
	// shared reports that Configuration has returned the maps of cfg, which must
	// be cloned before the next write.
	shared bool
}

// New returns a state machine that has applied no records.
func New() *StateMachine {
	return &StateMachine{
		objects:     map[string]Object{},
		outcomes:    map[string]Outcome{},
		pathOwners:  map[string]string{},
		modelOwners: map[string]string{},
		tokenOwners: map[string]string{},
		cfg: core.Configuration{
			Contracts:        map[string]core.Contract{},
			Services:         map[string]core.Service{},
			Domains:          map[string]core.Domain{},
			Teams:            map[string]core.Team{},
			Versions:         map[string]int64{},
			KeyOrganisations: map[string]string{},
		},
	}
}

// NextOffset returns the first offset that is not applied.
func (m *StateMachine) NextOffset() int64 { return m.nextOffset }

// Hash returns the hash of the state.
func (m *StateMachine) Hash() uint64 { return m.hash }

// Outcome returns the outcome of a change id, if it is among the last
// MaxOutcomes.
func (m *StateMachine) Outcome(changeID string) (Outcome, bool) {
	o, ok := m.outcomes[changeID]
	return o, ok
}

// Object returns an object by its name.
func (m *StateMachine) Object(name string) (Object, bool) {
	o, ok := m.objects[name]
	return o, ok
}

// Objects returns the objects of a kind, sorted by name. An empty kind selects
// all objects.
func (m *StateMachine) Objects(kind string) []Object {
	list := make([]Object, 0, len(m.objects))
	for name, o := range m.objects {
		if kind == "" || strings.HasPrefix(name, kind+"/") {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// maxPastEntrySets bounds the entry sets that the state holds. Entries propose
// a set at most every 2 s, and package share needs the sets of the last 8 s.
const maxPastEntrySets = 8

// PreviousEntrySet returns the entry set before the current one.
func (m *StateMachine) PreviousEntrySet() core.EntrySet {
	if n := len(m.cfg.PastEntrySets); n > 1 {
		return m.cfg.PastEntrySets[n-2].Set
	}
	return core.EntrySet{}
}

// addEntrySet appends a new entry set and drops the oldest one beyond
// maxPastEntrySets.
func (m *StateMachine) addEntrySet(version int64, set core.EntrySet) {
	past := m.cfg.PastEntrySets
	if len(past) >= maxPastEntrySets {
		past = past[len(past)-maxPastEntrySets+1:]
	}
	m.setPastEntrySets(append(append([]core.VersionedEntrySet{}, past...), core.VersionedEntrySet{Version: version, Set: set}))
}

func (m *StateMachine) setPastEntrySets(past []core.VersionedEntrySet) {
	m.hash ^= pastEntrySetsHash(m.cfg.PastEntrySets) ^ pastEntrySetsHash(past)
	m.cfg.PastEntrySets = past
}

func pastEntrySetsHash(past []core.VersionedEntrySet) uint64 {
	if len(past) == 0 {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("p %v", past))
}

// Configuration returns the immutable configuration at NextOffset.
func (m *StateMachine) Configuration() core.Configuration {
	m.shared = true
	c := m.cfg
	c.NextOffset = m.nextOffset
	c.StateHash = m.hash
	return c
}

// Apply applies one record. It reports whether the record decided a change. A
// record below NextOffset has no effect; one above it is an error, since a gap
// would lose changes.
func (m *StateMachine) Apply(r core.Record) (Outcome, bool, error) {
	if r.Offset < m.nextOffset {
		return Outcome{}, false, nil
	}
	if r.Offset > m.nextOffset {
		return Outcome{}, false, fmt.Errorf("record %d does not follow record %d: %w", r.Offset, m.nextOffset-1, core.ErrInvalid)
	}
	m.nextOffset++
	if len(r.Data) > MaxRecordBytes {
		return Outcome{}, false, nil
	}
	var c Change
	if err := json.Unmarshal(r.Data, &c); err != nil || c.Kind != kindChange || c.ChangeID == "" || len(c.ChangeID) > MaxChangeIDLen {
		return Outcome{}, false, nil
	}
	if o, ok := m.outcomes[c.ChangeID]; ok {
		return o, false, nil
	}
	o := m.applyChange(c, r.Offset)
	m.addOutcome(o)
	return o, true, nil
}

// applyChange returns the outcome of a change whose id is new, and applies the
// change if it is accepted.
func (m *StateMachine) applyChange(c Change, offset int64) Outcome {
	v, err := c.decode()
	o := Outcome{ChangeID: c.ChangeID, Object: c.Object, Offset: offset, Digest: c.digest(v)}
	current, exists := m.objects[c.Object]
	o.Version = current.Version
	reject := func(reason string) Outcome {
		o.Result, o.Reason = Rejected, reason
		return o
	}
	if offset == 0 {
		return reject("offset 0 cannot be a version")
	}
	if err != nil {
		return reject(err.Error())
	}
	if c.BasedOn != current.Version {
		o.Result = Lost
		o.Winner = m.lastChangeID(c.Object, current)
		return o
	}
	if c.Delete {
		if !exists {
			return reject(fmt.Sprintf("object %q does not exist", c.Object))
		}
		m.deleteObject(current)
		o.Result, o.Version = Accepted, 0
		return o
	}
	if err := m.checkUnique(v); err != nil {
		return reject(err.Error())
	}
	if err := m.checkReadOnly(v); err != nil {
		return reject(err.Error())
	}
	if v.entrySet != nil {
		m.addEntrySet(offset, *v.entrySet)
	}
	if exists {
		m.deleteObject(current)
	}
	m.setObject(Object{Name: c.Object, Version: offset, ChangeID: c.ChangeID, Author: c.Author, Value: v.canonical}, v)
	o.Result, o.Version = Accepted, offset
	return o
}

// lastChangeID returns the id of the change that last changed or deleted an
// object.
func (m *StateMachine) lastChangeID(object string, current Object) string {
	if current.ChangeID != "" {
		return current.ChangeID
	}
	for i := len(m.outcomeOrder) - 1; i >= 0; i-- {
		if o := m.outcomes[m.outcomeOrder[i]]; o.Object == object && o.Result == Accepted {
			return o.ChangeID
		}
	}
	return ""
}

// checkUnique rejects a value with a caller key, team token, path prefix or
// model that already belongs to another object.
func (m *StateMachine) checkUnique(v value) error {
	checkOwner := func(label, key string, owners map[string]string, self string) error {
		if owner, ok := owners[key]; ok && owner != self {
			return fmt.Errorf("%s already belongs to %q: %w", label, owner, core.ErrInvalid)
		}
		return nil
	}
	switch {
	case v.contract != nil:
		for _, h := range v.contract.CallerKeyHashes {
			if err := checkOwner("caller key hash", h, m.cfg.KeyOrganisations, v.contract.Organisation); err != nil {
				return err
			}
		}
	case v.team != nil:
		return checkOwner("token_hash", v.team.TokenHash, m.tokenOwners, v.team.Name)
	case v.service != nil:
		for _, model := range v.service.Models {
			if err := checkOwner(fmt.Sprintf("model %q", model), model, m.modelOwners, v.service.Name); err != nil {
				return err
			}
		}
		if p := v.service.PathPrefix; p != "" {
			return checkOwner(fmt.Sprintf("path_prefix %q", p), p, m.pathOwners, v.service.Name)
		}
	}
	return nil
}

// checkReadOnly rejects a read-only team unless another team may change every
// object. The bootstrap token is no longer valid once there is a team, so
// nobody could change the configuration any more. The rule applies to changes
// only, since a snapshot is restored one team at a time.
func (m *StateMachine) checkReadOnly(v value) error {
	if v.team == nil || !v.team.ReadOnly {
		return nil
	}
	for name, other := range m.cfg.Teams {
		if name != v.team.Name && other.Administers() {
			return nil
		}
	}
	return fmt.Errorf("read_only needs another team that is not read-only and has \"*\" in organisations: %w", core.ErrInvalid)
}

// cloneSharedMaps clones the maps of cfg if Configuration has returned them.
func (m *StateMachine) cloneSharedMaps() {
	if !m.shared {
		return
	}
	m.cfg.Contracts = maps.Clone(m.cfg.Contracts)
	m.cfg.Services = maps.Clone(m.cfg.Services)
	m.cfg.Domains = maps.Clone(m.cfg.Domains)
	m.cfg.Teams = maps.Clone(m.cfg.Teams)
	m.cfg.Versions = maps.Clone(m.cfg.Versions)
	m.cfg.KeyOrganisations = maps.Clone(m.cfg.KeyOrganisations)
	m.shared = false
}

func (m *StateMachine) setObject(o Object, v value) {
	m.cloneSharedMaps()
	m.objects[o.Name] = o
	m.hash ^= o.hash()
	m.cfg.Versions[o.Name] = o.Version
	switch {
	case v.contract != nil:
		m.cfg.Contracts[v.contract.Organisation] = *v.contract
		for _, h := range v.contract.CallerKeyHashes {
			m.cfg.KeyOrganisations[h] = v.contract.Organisation
		}
	case v.service != nil:
		m.cfg.Services[v.service.Name] = *v.service
		for _, model := range v.service.Models {
			m.modelOwners[model] = v.service.Name
		}
		if v.service.PathPrefix != "" {
			m.pathOwners[v.service.PathPrefix] = v.service.Name
		}
	case v.domain != nil:
		m.cfg.Domains[v.domain.Name] = *v.domain
	case v.team != nil:
		m.cfg.Teams[v.team.Name] = *v.team
		m.tokenOwners[v.team.TokenHash] = v.team.Name
	case v.entrySet != nil:
		m.cfg.EntrySet = *v.entrySet
	}
}

func (m *StateMachine) deleteObject(o Object) {
	m.cloneSharedMaps()
	delete(m.objects, o.Name)
	m.hash ^= o.hash()
	delete(m.cfg.Versions, o.Name)
	kind, name, _ := strings.Cut(o.Name, "/")
	switch kind {
	case core.KindContract:
		for _, h := range m.cfg.Contracts[name].CallerKeyHashes {
			delete(m.cfg.KeyOrganisations, h)
		}
		delete(m.cfg.Contracts, name)
	case core.KindService:
		for _, model := range m.cfg.Services[name].Models {
			delete(m.modelOwners, model)
		}
		delete(m.pathOwners, m.cfg.Services[name].PathPrefix)
		delete(m.cfg.Services, name)
	case core.KindDomain:
		delete(m.cfg.Domains, name)
	case core.KindTeam:
		delete(m.tokenOwners, m.cfg.Teams[name].TokenHash)
		delete(m.cfg.Teams, name)
	case core.KindEntrySet:
		m.cfg.EntrySet = core.EntrySet{}
	}
}

// addOutcome adds an outcome and drops the oldest one beyond MaxOutcomes.
func (m *StateMachine) addOutcome(o Outcome) {
	m.outcomes[o.ChangeID] = o
	m.outcomeOrder = append(m.outcomeOrder, o.ChangeID)
	m.hash ^= o.hash()
	if len(m.outcomeOrder) > MaxOutcomes {
		m.hash ^= m.outcomes[m.outcomeOrder[0]].hash()
		delete(m.outcomes, m.outcomeOrder[0])
		m.outcomeOrder = m.outcomeOrder[1:]
	}
}
