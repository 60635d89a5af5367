package config_test

import (
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

func entrySet(ids ...string) core.EntrySet {
	var s core.EntrySet
	for _, id := range ids {
		s.Entries = append(s.Entries, core.EntryInfo{ID: id})
	}
	return s
}

// Guards against a confirmation time that is too late for the reports of the
// peers. The process would then admit work although it may miss an accepted
// change.
func TestConfirmedAt(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	set := entrySet("a", "b", "c")
	peer := func(id string, next int64, ms int, established bool) config.PeerPosition {
		return config.PeerPosition{ID: id, NextOffset: next, At: at(ms), Established: established}
	}
	confirmed := config.PeerPosition{ID: "x", NextOffset: 5, At: at(4000), Confirmed: true, ConfirmationAge: time.Second}
	tests := []struct {
		name         string
		f            config.Freshness
		want         time.Time
		canEstablish bool
	}{
		{"nothing", config.Freshness{}, time.Time{}, false},
		{"log", config.Freshness{LogReadAt: at(7)}, at(7), true},
		{"ages add up", config.Freshness{NextOffset: 5, Peers: []config.PeerPosition{confirmed}}, at(3000), true},
		{"confirmed peer is ahead", config.Freshness{NextOffset: 4, Peers: []config.PeerPosition{confirmed}}, time.Time{}, false},
		{"majority", config.Freshness{Self: "a", Established: true, EntrySet: set, Peers: []config.PeerPosition{peer("b", 0, 10, true)}}, at(10), true},
		{"second best of five", config.Freshness{Self: "a", Established: true, EntrySet: entrySet("a", "b", "c", "d", "e"),
			Peers: []config.PeerPosition{peer("b", 0, 10, true), peer("c", 0, 30, true), peer("d", 0, 20, true)}}, at(20), true},
		{"peer is not established", config.Freshness{Self: "a", Established: true, EntrySet: set, Peers: []config.PeerPosition{peer("b", 0, 10, false)}}, time.Time{}, true},
		{"process is not established", config.Freshness{Self: "a", EntrySet: set, Peers: []config.PeerPosition{peer("b", 0, 10, true)}}, time.Time{}, false},
		{"not in the set", config.Freshness{Self: "z", Established: true, EntrySet: set, Peers: []config.PeerPosition{peer("b", 0, 10, true), peer("c", 0, 10, true)}}, time.Time{}, true},
		{"alone in the set", config.Freshness{Self: "a", Established: true, EntrySet: entrySet("a")}, time.Time{}, true},
	}
	for _, tt := range tests {
		tt.f.StartedAt = start
		if got := tt.f.ConfirmedAt(); !got.Equal(tt.want) {
			t.Errorf("%s: confirmed at: got %v, want %v", tt.name, got, tt.want)
		}
		if got := tt.f.CanEstablish(); got != tt.canEstablish {
			t.Errorf("%s: can establish: got %v, want %v", tt.name, got, tt.canEstablish)
		}
	}
	if config.Fresh(start, start.Add(config.MaxConfirmationAge)) || !config.Fresh(start, start.Add(config.MaxConfirmationAge-1)) {
		t.Error("fresh: the bound must be exclusive")
	}
}

// Guards against a change that is accepted although a majority of the current
// or of the previous entry set has not applied it.
func TestAppliedByMajority(t *testing.T) {
	now := time.Now()
	position := func(id string, next int64, age time.Duration) config.PeerPosition {
		return config.PeerPosition{ID: id, NextOffset: next, At: now.Add(-age)}
	}
	tests := []struct {
		name string
		f    config.Freshness
		want bool
	}{
		{"no entry set", config.Freshness{NextOffset: 10}, true},
		{"not applied", config.Freshness{NextOffset: 9}, false},
		{"alone of three", config.Freshness{NextOffset: 10, EntrySet: entrySet("a", "b", "c")}, false},
		{"two of three", config.Freshness{NextOffset: 10, EntrySet: entrySet("a", "b", "c"), Peers: []config.PeerPosition{position("b", 10, 0)}}, true},
		{"old report", config.Freshness{NextOffset: 10, EntrySet: entrySet("a", "b", "c"), Peers: []config.PeerPosition{position("b", 10, config.SettleTime)}}, false},
		{"not applied by the previous set", config.Freshness{NextOffset: 10, EntrySet: entrySet("a", "b", "c", "d", "e"), PreviousEntrySet: entrySet("a", "b", "c"),
			EntrySetVersion: 8, Peers: []config.PeerPosition{position("d", 10, 0), position("e", 10, 0)}}, false},
		{"applied by the previous set", config.Freshness{NextOffset: 10, EntrySet: entrySet("a", "b", "c", "d", "e"), PreviousEntrySet: entrySet("a", "b", "c"),
			EntrySetVersion: 8, Peers: []config.PeerPosition{position("d", 10, 0), position("e", 10, 0), position("b", 9, 0)}}, true},
	}
	for _, tt := range tests {
		tt.f.Self = "a"
		if got := tt.f.AppliedByMajority(9, now); got != tt.want {
			t.Errorf("%s: applied by majority: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
