package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

func domainValue(name string, state core.DomainState) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"state":%q}`, name, state))
}

func record(t interface{ Fatal(...any) }, offset int64, c config.Change) core.Record {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return core.Record{Offset: offset, Time: time.UnixMilli(offset), Data: data}
}

// drawRecords returns records with conflicting changes, duplicates, deletions,
// invalid values, checkpoints and malformed data.
func drawRecords(t *rapid.T) []core.Record {
	var list []core.Record
	n := rapid.IntRange(1, 60).Draw(t, "records")
	for i := int64(0); i < int64(n); i++ {
		if rapid.IntRange(0, 9).Draw(t, "noise") == 0 {
			data := rapid.SampledFrom([]string{`{`, `null`, `{"kind":"checkpoint","offset":0,"state":{}}`, `{"kind":"change"}`}).Draw(t, "data")
			list = append(list, core.Record{Offset: i, Data: []byte(data)})
			continue
		}
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		c := config.Change{
			ChangeID: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")),
			Object:   "domain/" + name,
			BasedOn:  rapid.Int64Range(0, i).Draw(t, "based_on"),
			Value:    domainValue(name, rapid.SampledFrom([]core.DomainState{"active", "drained", "gone"}).Draw(t, "state")),
		}
		if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
			c.Value, c.Delete = nil, true
		}
		if rapid.IntRange(0, 4).Draw(t, "entry set") == 0 {
			c.Object, c.Delete = core.ObjectEntrySet, false
			c.Value = json.RawMessage(fmt.Sprintf(`{"entries":[{"id":"e%d","address":"127.0.0.1:1"}]}`, i))
		}
		list = append(list, record(t, i, c))
	}
	return list
}

func applyRecords(t interface{ Fatal(...any) }, m *config.StateMachine, records []core.Record) *config.StateMachine {
	for _, r := range records {
		if _, _, err := m.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// Guards against a state that depends on anything but the applied records, and
// against a checkpoint that loses part of the state.
func TestCheckpointAndReplayEqualFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		full := applyRecords(t, config.New(), records)
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		data, err := applyRecords(t, config.New(), records[:cut]).EncodeCheckpoint()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := config.DecodeCheckpoint(data)
		if err != nil {
			t.Fatal(err)
		}
		// The records below the checkpoint are applied again and must have no
		// effect.
		applyRecords(t, restored, records)
		if got, want := restored.Hash(), full.Hash(); got != want {
			t.Fatalf("hash after checkpoint at %d: got %x, want %x", cut, got, want)
		}
		got, err1 := restored.EncodeState()
		want, err2 := full.EncodeState()
		if err1 != nil || err2 != nil || string(got) != string(want) {
			t.Fatalf("state after checkpoint at %d: got %s, want %s", cut, got, want)
		}
	})
}

// Guards against two accepted changes that are based on the same version, and
// against a duplicate of a change that has an effect or another outcome.
func TestOneChangeWinsOnEachVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := config.New()
		first := map[string]config.Outcome{}
		winners := map[string]string{}
		for _, r := range drawRecords(t) {
			before := m.Hash()
			o, decided, err := m.Apply(r)
			if err != nil {
				t.Fatal(err)
			}
			if old, ok := first[o.ChangeID]; ok && (decided || old != o || m.Hash() != before) {
				t.Fatalf("duplicate: got %+v, want %+v without effect", o, old)
			}
			if !decided {
				continue
			}
			first[o.ChangeID] = o
			var c config.Change
			if err := json.Unmarshal(r.Data, &c); err != nil {
				t.Fatal(err)
			}
			switch key := fmt.Sprint(c.Object, c.BasedOn); {
			case o.Result == config.Accepted && c.BasedOn > 0 && winners[key] != "":
				t.Fatalf("changes %q and %q both won on %s", winners[key], o.ChangeID, key)
			case o.Result == config.Accepted:
				winners[key] = o.ChangeID
			case o.Result == config.Lost && c.BasedOn > 0 && winners[key] != "" && o.Winner == "":
				t.Fatalf("lost change %q does not name a winner", o.ChangeID)
			}
		}
	})
}

// Guards against the outcome of a lost change that does not name the change it
// lost to, also if that change deleted the object.
func TestLostChangeNamesWinner(t *testing.T) {
	m := config.New()
	steps := []struct {
		id      string
		basedOn int64
		remove  bool
		result  config.Result
		winner  string
	}{
		{id: "zero", result: config.Rejected},
		{id: "first", result: config.Accepted},
		{id: "second", result: config.Lost, winner: "first"},
		{id: "third", basedOn: 1, remove: true, result: config.Accepted},
		{id: "fourth", basedOn: 1, result: config.Lost, winner: "third"},
		{id: "fifth", remove: true, result: config.Rejected},
	}
	for i, s := range steps {
		c := config.Change{ChangeID: s.id, Object: "domain/a", BasedOn: s.basedOn, Delete: s.remove}
		if !s.remove {
			c.Value = domainValue("a", core.DomainDrained)
		}
		o, _, err := m.Apply(record(t, int64(i), c))
		if err != nil {
			t.Fatal(err)
		}
		if o.Result != s.result || o.Winner != s.winner {
			t.Errorf("change %s: got %s winner %q, want %s winner %q", s.id, o.Result, o.Winner, s.result, s.winner)
		}
	}
	if _, _, err := m.Apply(core.Record{Offset: 99}); err == nil {
		t.Error("gap in offsets: got no error")
	}
}

// Guards against a returned configuration that later changes modify.
func TestConfigurationIsImmutable(t *testing.T) {
	m := applyRecords(t, config.New(), []core.Record{
		{Offset: 0},
		record(t, 1, config.Change{ChangeID: "x", Object: "domain/a", Value: domainValue("a", core.DomainActive)}),
	})
	old := m.Configuration()
	applyRecords(t, m, []core.Record{record(t, 2, config.Change{ChangeID: "y", BasedOn: 1, Object: "domain/a", Value: domainValue("a", core.DomainDrained)})})
	if old.Drained("a") || !m.Configuration().Drained("a") {
		t.Errorf("drained: got old %v new %v, want false and true", old.Drained("a"), m.Configuration().Drained("a"))
	}
}

// Guards against invalid values, and values with a key that belongs to another
// object, that are accepted.
func TestRejectedValues(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	service := func(edit string) string {
		return `{"name":"desk","kind":"plain","path_prefix":"/book","cold_concurrency":1,"cold_tokens":1,"max_concurrency":4,"memory_tokens":9,"max_body_bytes":9,"max_reply_bytes":9,"request_timeout_ms":9` + edit + `}`
	}
	tests := []struct{ name, object, value, reason string }{
		{"unknown member", "domain/a", `{"name":"a","state":"active","x":1}`, "unknown field"},
		{"bad state", "domain/a", `{"name":"a","state":"off"}`, "state"},
		{"other name", "domain/a", `{"name":"b","state":"active"}`, "must be \"a\""},
		{"bad kind", "rack/a", `{}`, "kind must be"},
		{"no object", "domain/a", `[]`, "JSON object"},
		{"no rate", "contract/acme", `{"organisation":"acme","caller_key_hashes":[],"services":[]}`, "requests_per_second"},
		{"cold above max", "service/desk", service(`,"cold_concurrency":5`), "cold_concurrency"},
		{"models of a plain service", "service/desk", service(`,"models":["m"]`), "contradicts"},
		{"path taken", "service/desk", service(``), "already belongs"},
		{"token hash", "team/ops", `{"name":"ops","token_hash":"12","organisations":[]}`, "SHA-256"},
		{"token taken", "team/ops", `{"name":"ops","token_hash":"` + hash + `","organisations":[]}`, "already belongs"},
		{"read-only is no truth value", "team/ops", `{"name":"ops","token_hash":"` + strings.Repeat("cd", 32) + `","organisations":["*"],"read_only":1}`, "read_only"},
		{"empty set", "entry_set/current", `{"entries":[]}`, "number of entries"},
		{"entry address", "entry_set/current", `{"entries":[{"id":"e","address":"host:1"}]}`, "IP number"},
		{"set name", "entry_set/other", `{"entries":[]}`, "only entry set"},
	}
	m := applyRecords(t, config.New(), []core.Record{
		{Offset: 0},
		record(t, 1, config.Change{ChangeID: "s", Object: "service/other", Value: json.RawMessage(strings.Replace(service(``), `"desk"`, `"other"`, 1))}),
		record(t, 2, config.Change{ChangeID: "t", Object: "team/first", Value: json.RawMessage(`{"name":"first","token_hash":"` + hash + `","organisations":["*"]}`)}),
	})
	for i, tt := range tests {
		o, _, err := m.Apply(record(t, int64(i+3), config.Change{ChangeID: tt.name, Object: tt.object, Value: json.RawMessage(tt.value)}))
		if err != nil {
			t.Fatal(err)
		}
		if o.Result != config.Rejected || !strings.Contains(o.Reason, tt.reason) {
			t.Errorf("%s: got %s %q, want rejected with %q", tt.name, o.Result, o.Reason, tt.reason)
		}
	}
	only := config.Change{ChangeID: "only", Object: "team/first", BasedOn: 2, Value: json.RawMessage(`{"name":"first","token_hash":"` + hash + `","organisations":["*"],"read_only":true}`)}
	if o, _, err := m.Apply(record(t, int64(len(tests)+3), only)); err != nil || o.Result != config.Rejected || !strings.Contains(o.Reason, "read_only needs another team") {
		t.Errorf("read-only team without another: got %+v, %v, want rejected", o, err)
	}
	monitor := config.Change{ChangeID: "monitor", Object: "team/a", Value: json.RawMessage(`{"name":"a","token_hash":"` + strings.Repeat("cd", 32) + `","organisations":["*"],"read_only":true}`)}
	if o, _, err := m.Apply(record(t, int64(len(tests)+4), monitor)); err != nil || o.Result != config.Accepted {
		t.Errorf("read-only team beside another: got %+v, %v, want accepted", o, err)
	}
	data, err := m.EncodeState()
	if err != nil {
		t.Fatal(err)
	}
	if restored, err := config.DecodeState(m.Configuration().NextOffset, data); err != nil || restored.Hash() != m.Hash() {
		t.Errorf("restored state with a read-only team: got error %v, want the same hash", err)
	}
	if got, want := len(m.Objects("")), 3; got != want {
		t.Errorf("objects: got %d, want %d", got, want)
	}
}

// Guards against an unbounded number of outcomes, and against a duplicate of a
// change that takes effect again after its outcome was dropped.
func TestOutcomesAreBounded(t *testing.T) {
	m := applyRecords(t, config.New(), []core.Record{{Offset: 0}})
	for i := int64(1); i <= config.MaxOutcomes+1; i++ {
		applyRecords(t, m, []core.Record{record(t, i, config.Change{ChangeID: fmt.Sprint(i), BasedOn: i - 1, Object: "domain/a", Value: domainValue("a", core.DomainActive)})})
	}
	if _, ok := m.Outcome("1"); ok {
		t.Error("outcome of the oldest change: got one, want none")
	}
	if _, ok := m.Outcome("2"); !ok {
		t.Error("outcome of the second change: got none, want one")
	}
	o, _, err := m.Apply(record(t, m.NextOffset(), config.Change{ChangeID: "1", Object: "domain/a", Value: domainValue("a", core.DomainActive)}))
	if err != nil || o.Result != config.Lost {
		t.Errorf("duplicate of a change with a dropped outcome: got %s (%v), want lost", o.Result, err)
	}
}

// FuzzApply guards against records that panic the state machine or that lead to
// a state that cannot be restored from a snapshot.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"kind":"change","change_id":"a","object":"domain/a","based_on":0,"value":{"name":"a","state":"drained"}}`))
	f.Add([]byte(`{"kind":"change","change_id":"b","object":"entry_set/current","based_on":0,"value":{"entries":[{"id":"e","address":"127.0.0.1:1"}]}}`))
	f.Add([]byte(`{"kind":"checkpoint","offset":0,"state":{"objects":[],"outcomes":[]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = config.DecodeCheckpoint(data)
		a := applyRecords(t, config.New(), []core.Record{{Offset: 0}, {Offset: 1, Data: data}, {Offset: 2, Data: data}})
		state, err := a.EncodeState()
		if err != nil {
			t.Fatal(err)
		}
		b, err := config.DecodeState(a.NextOffset(), state)
		if err != nil {
			t.Fatalf("restore %s: %v", state, err)
		}
		if got, want := b.Hash(), a.Hash(); got != want {
			t.Errorf("hash after restore: got %x, want %x", got, want)
		}
	})
}

// Guards against a process that is restored from a snapshot without the past
// entry sets, and so does not know earlier home entries that may still admit
// work.
func TestPastEntrySetsSurviveCheckpoint(t *testing.T) {
	const changes = 12
	m := config.New()
	applyRecords(t, m, []core.Record{{Offset: 0, Data: []byte(`{}`)}})
	based := int64(0)
	for i := int64(1); i <= changes; i++ {
		value := json.RawMessage(fmt.Sprintf(`{"entries":[{"id":"e%d","address":"127.0.0.1:1","failure_domain":"d","region":"r"}]}`, i))
		applyRecords(t, m, []core.Record{record(t, i, config.Change{ChangeID: fmt.Sprint(i), Object: core.ObjectEntrySet, BasedOn: based, Value: value})})
		based = i
	}
	data, err := m.EncodeState()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := config.DecodeState(m.NextOffset(), data)
	if err != nil {
		t.Fatal(err)
	}
	got, want := restored.Configuration().PastEntrySets, m.Configuration().PastEntrySets
	if len(got) != 8 || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("past entry sets: got %v, want the last 8 of %v", got, want)
	}
	if got, want := restored.Hash(), m.Hash(); got != want {
		t.Errorf("hash: got %d, want %d", got, want)
	}
}

// FuzzDecodeState guards against invalid snapshots of a peer that cause a panic,
// and against accepted snapshots whose restored state changes when it is encoded
// and restored again.
func FuzzDecodeState(f *testing.F) {
	f.Add(int64(5), []byte(`{"objects":[],"outcomes":[]}`))
	f.Add(int64(5), []byte(`{"objects":[{"object":"domain/a","version":3,"value":{"name":"a","state":"drained"}}]}`))
	f.Fuzz(func(t *testing.T, next int64, data []byte) {
		m, err := config.DecodeState(next, data)
		if err != nil {
			return
		}
		again, err := m.EncodeState()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := config.DecodeState(next, again)
		if err != nil {
			t.Fatalf("restore an encoded state: %v", err)
		}
		if got, want := restored.Hash(), m.Hash(); got != want {
			t.Errorf("hash of the restored state: got %d, want %d", got, want)
		}
	})
}
