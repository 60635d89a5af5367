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

// MaxOutcomes is the number of change ids whose outcome is remembered. A copy
// of an older change meets a version that has moved on and has no effect.
const MaxOutcomes = 10_000

// StateMachine is the folded configuration. One task owns it; it is not safe for
// concurrent use.
type StateMachine struct {
	next     int64
	hash     uint64
	objects  map[string]Object
	outcomes map[string]Outcome
	order    []string
	cfg      core.Configuration
	// paths, models and tokens map what must be unique to its owner.
	paths  map[string]string
	models map[string]string
	tokens map[string]string
	// shared reports that the maps of cfg were handed out and must be copied
	// before the next write.
	shared bool
}

// New returns the fold of no records.
func New() *StateMachine {
	return &StateMachine{
		objects:  map[string]Object{},
		outcomes: map[string]Outcome{},
		paths:    map[string]string{},
		models:   map[string]string{},
		tokens:   map[string]string{},
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

// NextOffset returns the first offset that is not folded.
func (f *StateMachine) NextOffset() int64 { return f.next }

// Hash returns the hash of the folded state.
func (f *StateMachine) Hash() uint64 { return f.hash }

// Outcome returns the remembered outcome of a change id.
func (f *StateMachine) Outcome(changeID string) (Outcome, bool) {
	o, ok := f.outcomes[changeID]
	return o, ok
}

// Object returns an object by its name.
func (f *StateMachine) Object(name string) (Object, bool) {
	o, ok := f.objects[name]
	return o, ok
}

// Objects returns the objects of a kind in the order of their names. An empty
// kind stands for all.
func (f *StateMachine) Objects(kind string) []Object {
	list := make([]Object, 0, len(f.objects))
	for name, o := range f.objects {
		if kind == "" || strings.HasPrefix(name, kind+"/") {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// maxPastEntrySets bounds the entry sets that the state holds. Entries propose
// a set at most every 2 s, and credit looks back 8 s.
const maxPastEntrySets = 8

// PreviousEntrySet returns the entry set before the current one.
func (f *StateMachine) PreviousEntrySet() core.EntrySet {
	if n := len(f.cfg.PastEntrySets); n > 1 {
		return f.cfg.PastEntrySets[n-2].Set
	}
	return core.EntrySet{}
}

// addEntrySet remembers a new entry set and forgets the oldest one.
func (f *StateMachine) addEntrySet(version int64, set core.EntrySet) {
	past := f.cfg.PastEntrySets
	if len(past) >= maxPastEntrySets {
		past = past[len(past)-maxPastEntrySets+1:]
	}
	f.setPast(append(append([]core.VersionedEntrySet{}, past...), core.VersionedEntrySet{Version: version, Set: set}))
}

func (f *StateMachine) setPast(past []core.VersionedEntrySet) {
	f.hash ^= pastHash(f.cfg.PastEntrySets) ^ pastHash(past)
	f.cfg.PastEntrySets = past
}

func pastHash(past []core.VersionedEntrySet) uint64 {
	if len(past) == 0 {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("p %v", past))
}

// Configuration returns the immutable configuration at NextOffset.
func (f *StateMachine) Configuration() core.Configuration {
	f.shared = true
	c := f.cfg
	c.NextOffset = f.next
	c.StateHash = f.hash
	return c
}

// Apply folds one record. It reports whether the record decided a change. A
// record below NextOffset has no effect; one above it is an error, since a gap
// would lose changes.
func (f *StateMachine) Apply(r core.Record) (Outcome, bool, error) {
	if r.Offset < f.next {
		return Outcome{}, false, nil
	}
	if r.Offset > f.next {
		return Outcome{}, false, fmt.Errorf("record %d does not follow record %d: %w", r.Offset, f.next-1, core.ErrInvalid)
	}
	f.next++
	if len(r.Data) > MaxRecordBytes {
		return Outcome{}, false, nil
	}
	var c Change
	if err := json.Unmarshal(r.Data, &c); err != nil || c.Kind != kindChange || c.ChangeID == "" || len(c.ChangeID) > MaxChangeIDLen {
		return Outcome{}, false, nil
	}
	if o, ok := f.outcomes[c.ChangeID]; ok {
		return o, false, nil
	}
	o := f.decide(c, r.Offset)
	f.remember(o)
	return o, true, nil
}

// decide returns the outcome of a change that is folded for the first time and
// applies it when it is accepted.
func (f *StateMachine) decide(c Change, offset int64) Outcome {
	v, err := c.decode()
	o := Outcome{ChangeID: c.ChangeID, Object: c.Object, Offset: offset, Digest: c.digest(v)}
	current, exists := f.objects[c.Object]
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
		o.Winner = f.lastChange(c.Object, current)
		return o
	}
	if c.Delete {
		if !exists {
			return reject(fmt.Sprintf("object %q does not exist", c.Object))
		}
		f.unset(current)
		o.Result, o.Version = Accepted, 0
		return o
	}
	if err := f.checkUnique(v); err != nil {
		return reject(err.Error())
	}
	if err := f.checkReadOnly(v); err != nil {
		return reject(err.Error())
	}
	if v.entrySet != nil {
		f.addEntrySet(offset, *v.entrySet)
	}
	if exists {
		f.unset(current)
	}
	f.set(Object{Name: c.Object, Version: offset, ChangeID: c.ChangeID, Author: c.Author, Value: v.canonical}, v)
	o.Result, o.Version = Accepted, offset
	return o
}

// lastChange returns the change that last changed an object, also when that
// change deleted it.
func (f *StateMachine) lastChange(object string, current Object) string {
	if current.ChangeID != "" {
		return current.ChangeID
	}
	for i := len(f.order) - 1; i >= 0; i-- {
		if o := f.outcomes[f.order[i]]; o.Object == object && o.Result == Accepted {
			return o.ChangeID
		}
	}
	return ""
}

// checkUnique rejects values that would make the owner of a caller key, a team
// token, a path or a model ambiguous.
func (f *StateMachine) checkUnique(v value) error {
	taken := func(what, key string, owners map[string]string, self string) error {
		if owner, ok := owners[key]; ok && owner != self {
			return fmt.Errorf("%s already belongs to %q: %w", what, owner, core.ErrInvalid)
		}
		return nil
	}
	switch {
	case v.contract != nil:
		for _, h := range v.contract.CallerKeyHashes {
			if err := taken("caller key hash", h, f.cfg.KeyOrganisations, v.contract.Organisation); err != nil {
				return err
			}
		}
	case v.team != nil:
		return taken("token_hash", v.team.TokenHash, f.tokens, v.team.Name)
	case v.service != nil:
		for _, m := range v.service.Models {
			if err := taken(fmt.Sprintf("model %q", m), m, f.models, v.service.Name); err != nil {
				return err
			}
		}
		if p := v.service.PathPrefix; p != "" {
			return taken(fmt.Sprintf("path_prefix %q", p), p, f.paths, v.service.Name)
		}
	}
	return nil
}

// checkReadOnly rejects a read-only team while no other team may change every
// object: the bootstrap token ends with the first team, so that nobody could
// change anything any more. The rule holds for changes only, since a restored
// state adds its teams one by one.
func (f *StateMachine) checkReadOnly(v value) error {
	if v.team == nil || !v.team.ReadOnly {
		return nil
	}
	for name, other := range f.cfg.Teams {
		if name != v.team.Name && other.Administers() {
			return nil
		}
	}
	return fmt.Errorf("read_only needs another team that is not read-only and has \"*\" in organisations: %w", core.ErrInvalid)
}

// own copies the maps of the configuration if they were handed out.
func (f *StateMachine) own() {
	if !f.shared {
		return
	}
	f.cfg.Contracts = maps.Clone(f.cfg.Contracts)
	f.cfg.Services = maps.Clone(f.cfg.Services)
	f.cfg.Domains = maps.Clone(f.cfg.Domains)
	f.cfg.Teams = maps.Clone(f.cfg.Teams)
	f.cfg.Versions = maps.Clone(f.cfg.Versions)
	f.cfg.KeyOrganisations = maps.Clone(f.cfg.KeyOrganisations)
	f.shared = false
}

func (f *StateMachine) set(o Object, v value) {
	f.own()
	f.objects[o.Name] = o
	f.hash ^= o.hash()
	f.cfg.Versions[o.Name] = o.Version
	switch {
	case v.contract != nil:
		f.cfg.Contracts[v.contract.Organisation] = *v.contract
		for _, h := range v.contract.CallerKeyHashes {
			f.cfg.KeyOrganisations[h] = v.contract.Organisation
		}
	case v.service != nil:
		f.cfg.Services[v.service.Name] = *v.service
		for _, m := range v.service.Models {
			f.models[m] = v.service.Name
		}
		if v.service.PathPrefix != "" {
			f.paths[v.service.PathPrefix] = v.service.Name
		}
	case v.domain != nil:
		f.cfg.Domains[v.domain.Name] = *v.domain
	case v.team != nil:
		f.cfg.Teams[v.team.Name] = *v.team
		f.tokens[v.team.TokenHash] = v.team.Name
	case v.entrySet != nil:
		f.cfg.EntrySet = *v.entrySet
	}
}

func (f *StateMachine) unset(o Object) {
	f.own()
	delete(f.objects, o.Name)
	f.hash ^= o.hash()
	delete(f.cfg.Versions, o.Name)
	kind, name, _ := strings.Cut(o.Name, "/")
	switch kind {
	case core.KindContract:
		for _, h := range f.cfg.Contracts[name].CallerKeyHashes {
			delete(f.cfg.KeyOrganisations, h)
		}
		delete(f.cfg.Contracts, name)
	case core.KindService:
		for _, m := range f.cfg.Services[name].Models {
			delete(f.models, m)
		}
		delete(f.paths, f.cfg.Services[name].PathPrefix)
		delete(f.cfg.Services, name)
	case core.KindDomain:
		delete(f.cfg.Domains, name)
	case core.KindTeam:
		delete(f.tokens, f.cfg.Teams[name].TokenHash)
		delete(f.cfg.Teams, name)
	case core.KindEntrySet:
		f.cfg.EntrySet = core.EntrySet{}
	}
}

// remember adds an outcome and forgets the oldest above MaxOutcomes.
func (f *StateMachine) remember(o Outcome) {
	f.outcomes[o.ChangeID] = o
	f.order = append(f.order, o.ChangeID)
	f.hash ^= o.hash()
	if len(f.order) > MaxOutcomes {
		f.hash ^= f.outcomes[f.order[0]].hash()
		delete(f.outcomes, f.order[0])
		f.order = f.order[1:]
	}
}
