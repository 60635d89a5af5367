package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

func contractChange(b *testing.B, i int, basedOn int64, id string) config.Change {
	b.Helper()
	name := fmt.Sprintf("organisation-%d", i)
	sum := sha256.Sum256([]byte(name))
	value, err := json.Marshal(core.Contract{
		Organisation: name, CallerKeyHashes: []string{hex.EncodeToString(sum[:])}, Services: []string{"runners", "desk"},
		RequestsPerSecond: 20, TokensPerSecond: 10_000, Concurrency: 50, ReplyTimeMS: 60_000, ReplyMemoryBytes: 8 << 20, MaxPriority: 5, Weight: 10,
	})
	if err != nil {
		b.Fatal(err)
	}
	return config.Change{ChangeID: id, Author: "ops/operator", Object: "contract/" + name, BasedOn: basedOn, Value: value}
}

// contractRecords sets a contract for each of n organisations and then changes
// the contracts in turn, MaxOutcomes changes in all. It returns the state machine
// and the records of the changes. The record at offset 0 is empty, since 0 cannot
// be the version of an object.
func contractRecords(b *testing.B, n int) (*config.StateMachine, []core.Record) {
	b.Helper()
	m := config.New()
	var records []core.Record
	add := func(c config.Change) {
		r := record(b, m.NextOffset(), c)
		records = append(records, r)
		applyRecords(b, m, []core.Record{r})
	}
	applyRecords(b, m, []core.Record{{Offset: 0}})
	for i := 0; i < config.MaxOutcomes; i++ {
		o, _ := m.Object(fmt.Sprintf("contract/organisation-%d", i%n))
		add(contractChange(b, i%n, o.Version, fmt.Sprintf("0191c2d0-0000-7000-8000-%012d", i)))
	}
	return m, records
}

// organisationCounts are the numbers of organisations with a contract.
var organisationCounts = []int{100, 400, 1300}

// BenchmarkApply measures applying all records of a stream to an empty state.
func BenchmarkApply(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			_, records := contractRecords(b, n)
			b.ResetTimer()
			for b.Loop() {
				m := applyRecords(b, config.New(), append([]core.Record{{Offset: 0}}, records...))
				if got, want := m.NextOffset(), int64(len(records)+1); got != want {
					b.Fatalf("next offset: got %d, want %d", got, want)
				}
			}
			b.ReportMetric(float64(b.N)*float64(len(records))/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkPublishedChange applies single changes and gets the configuration
// after each, as the follower of the config stream does.
func BenchmarkPublishedChange(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			m, _ := contractRecords(b, n)
			i := 0
			for b.Loop() {
				o, _ := m.Object("contract/organisation-1")
				i++
				applyRecords(b, m, []core.Record{record(b, m.NextOffset(), contractChange(b, 1, o.Version, fmt.Sprint("change-", i)))})
				_ = m.Configuration()
			}
		})
	}
}

// BenchmarkState measures the time to encode a checkpoint, and the memory of a
// state and the size of its snapshot.
func BenchmarkState(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			source, _ := contractRecords(b, n)
			data, err := source.EncodeState()
			if err != nil {
				b.Fatal(err)
			}
			next := source.NextOffset()
			var kept []*config.StateMachine
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			const copies = 5
			for range copies {
				m, err := config.DecodeState(next, data)
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, m)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if _, err := kept[0].EncodeCheckpoint(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies, "state_bytes")
			b.ReportMetric(float64(len(data)), "checkpoint_bytes")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkFreshness measures the checks of a confirmation and of a majority in
// an entry that has every entry of the set as a peer.
func BenchmarkFreshness(b *testing.B) {
	for _, n := range []int{3, 100, 1600} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			now := time.Now()
			f := config.Freshness{Self: "entry-0", NextOffset: 9, Established: true}
			for i := range n {
				id := fmt.Sprintf("entry-%d", i)
				f.EntrySet.Entries = append(f.EntrySet.Entries, core.EntryInfo{ID: id})
				f.Peers = append(f.Peers, config.PeerPosition{ID: id, NextOffset: 9, At: now, Established: true})
			}
			for b.Loop() {
				if f.ConfirmedAt().IsZero() || !f.AppliedByMajority(8, now) {
					b.Fatal("got not confirmed, want confirmed")
				}
			}
		})
	}
}
