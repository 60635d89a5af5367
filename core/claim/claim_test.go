package claim_test

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
)

const window = 100 * time.Second

var epoch = time.UnixMilli(1_700_000_000_000)

func newClaim(n int, key byte) claim.Op {
	var id claim.ID
	copy(id[:], fmt.Sprintf("%016d", n))
	return claim.Op{
		Op: claim.OpClaim, ClaimID: id, KeyHash: claim.Hash{key}, RequestHash: claim.Hash{1},
		AgentID: fmt.Sprintf("agent-%d", n%200), AgentIncarnation: "i", AgentAddress: "127.0.0.1:1",
	}
}

func release(id claim.ID) claim.Op { return claim.Op{Op: claim.OpRelease, ClaimID: id} }

// machine interleaves agents and batchers over one log. Agents act on the first
// verdict that any batcher gives them.
type machine struct {
	log      []core.Record
	now      time.Time
	folds    []*claim.StateMachine
	claims   []claim.Op
	born     []time.Time
	verdicts map[claim.ID]claim.Verdict
	released map[claim.ID]bool
	ran      map[claim.ID]bool
	runs     map[claim.Hash][]time.Time
}

func (m *machine) append(t *rapid.T, ops ...claim.Op) {
	data, err := claim.Encode(ops)
	if err != nil {
		t.Fatal(err)
	}
	m.log = append(m.log, core.Record{Offset: int64(len(m.log)), Time: m.now, Data: data})
}

func (m *machine) pick(t *rapid.T) (claim.Op, int) {
	if len(m.claims) == 0 {
		t.Skip("no claims")
	}
	i := rapid.IntRange(max(0, len(m.claims)-12), len(m.claims)-1).Draw(t, "claim")
	return m.claims[i], i
}

func (m *machine) claim(t *rapid.T) {
	op := newClaim(len(m.claims), byte(rapid.IntRange(0, 2).Draw(t, "key")))
	m.claims, m.born = append(m.claims, op), append(m.born, m.now)
	m.append(t, op)
}

// copy appends a claim again, as a batcher does after a lost answer.
func (m *machine) copy(t *rapid.T) {
	a, _ := m.pick(t)
	b, _ := m.pick(t)
	m.append(t, a, b)
}

// release gives up a claim that has not run.
func (m *machine) release(t *rapid.T) {
	op, _ := m.pick(t)
	if m.ran[op.ClaimID] {
		t.Skip("claim has run")
	}
	m.released[op.ClaimID] = true
	m.append(t, release(op.ClaimID))
}

// tombstone releases a claim before it reaches the log.
func (m *machine) tombstone(t *rapid.T) {
	op := newClaim(len(m.claims), byte(rapid.IntRange(0, 2).Draw(t, "key")))
	m.claims, m.born = append(m.claims, op), append(m.born, m.now)
	m.released[op.ClaimID] = true
	m.append(t, release(op.ClaimID))
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
}

// restart replaces a batcher by one that reads the log from the lookback on.
func (m *machine) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.folds)-1).Draw(t, "batcher")
	from := len(m.log)
	for from > 0 && !m.log[from-1].Time.Before(m.log[len(m.log)-1].Time.Add(-claim.Lookback(window))) {
		from--
	}
	var since time.Time
	if from > 0 {
		since = m.log[len(m.log)-1].Time.Add(-claim.Lookback(window))
	}
	m.folds[i] = claim.NewStateMachine(int64(from), since, window)
}

// read lets one batcher read to the end and tells agents their verdicts. An
// agent waits for a verdict for far less than a quarter of a window.
func (m *machine) read(t *rapid.T) {
	f := m.folds[rapid.IntRange(0, len(m.folds)-1).Draw(t, "batcher")]
	for f.NextOffset() < int64(len(m.log)) {
		if _, err := f.Apply(m.log[f.NextOffset()]); err != nil {
			t.Fatal(err)
		}
	}
	for i, op := range m.claims {
		v := f.Verdict(op.ClaimID)
		if v.Result == claim.Unknown || m.now.Sub(m.born[i]) > window/4 {
			continue
		}
		first, given := m.verdicts[op.ClaimID]
		if !given {
			m.verdicts[op.ClaimID] = v
		} else if v.Result != first.Result && (first.Result != claim.Won || v.Result != claim.Void || !m.released[op.ClaimID]) {
			t.Fatalf("claim %s: got verdict %d, want %d as given before", op.ClaimID, v.Result, first.Result)
		}
		if v.Result == claim.Won && !m.released[op.ClaimID] && !m.ran[op.ClaimID] {
			m.run(t, op, m.born[i])
		}
	}
}

func (m *machine) run(t *rapid.T, op claim.Op, born time.Time) {
	m.ran[op.ClaimID] = true
	for _, other := range m.runs[op.KeyHash] {
		if d := born.Sub(other).Abs(); d <= window {
			t.Fatalf("key %x: two runs %s apart, want at most one in %s", op.KeyHash[:1], d, window)
		}
	}
	m.runs[op.KeyHash] = append(m.runs[op.KeyHash], born)
}

// Guards against a key that runs twice and against verdicts that change, in any
// interleaving of batchers, copies, releases, restarts and expiry.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			now:      epoch,
			verdicts: map[claim.ID]claim.Verdict{},
			released: map[claim.ID]bool{},
			ran:      map[claim.ID]bool{},
			runs:     map[claim.Hash][]time.Time{},
		}
		for range 3 {
			m.folds = append(m.folds, claim.NewStateMachine(0, time.Time{}, window))
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "claim again": m.claim, "copy": m.copy, "release": m.release, "tombstone": m.tombstone,
			"pass": m.pass, "restart": m.restart, "read": m.read, "read again": m.read,
		})
	})
}

// Guards against a lost claim that wins later, and against a key that stays
// held once all its claims are released.
func TestReleaseOfHolder(t *testing.T) {
	a, b, c, d := newClaim(1, 1), newClaim(2, 1), newClaim(3, 1), newClaim(4, 1)
	f := claim.NewStateMachine(0, time.Time{}, window)
	for i, ops := range [][]claim.Op{{a, b}, {release(a.ClaimID)}, {c}, {release(b.ClaimID), release(c.ClaimID)}, {d, a}} {
		data, err := claim.Encode(ops)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Apply(core.Record{Offset: int64(i), Time: epoch, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	for i, tc := range []struct {
		op     claim.Op
		want   claim.Result
		holder claim.ID
	}{{a, claim.Void, uuid.Nil}, {b, claim.Lost, a.ClaimID}, {c, claim.Lost, b.ClaimID}, {d, claim.Won, d.ClaimID}} {
		v := f.Verdict(tc.op.ClaimID)
		if v.Result != tc.want || v.Holder.ClaimID != tc.holder {
			t.Errorf("claim %d: got %d with holder %s, want %d with %s", i, v.Result, v.Holder.ClaimID, tc.want, tc.holder)
		}
	}
}

// Guards against memory that stays after the claims have expired.
func TestExpiryFreesEverything(t *testing.T) {
	f := claim.NewStateMachine(0, time.Time{}, window)
	fill(t, f, records(t, 20000))
	data, _ := claim.Encode([]claim.Op{newClaim(1<<20, 1)})
	if _, err := f.Apply(core.Record{Offset: f.NextOffset(), Time: epoch.Add(time.Hour), Data: data}); err != nil {
		t.Fatal(err)
	}
	if got, want := f.Len(), 1; got != want {
		t.Errorf("claims after expiry: got %d, want %d", got, want)
	}
}

// Guards against keys that are dated wrongly.
func TestCheckKey(t *testing.T) {
	now := epoch
	dated := func(age time.Duration) string {
		ms := uint64(now.Add(-age).UnixMilli())
		return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
	}
	for _, tc := range []struct {
		key   string
		timed bool
		want  core.Code
	}{
		{"", false, core.CodeKeyRequired},
		{"order 7", false, ""},
		{"order 7", true, core.CodeBadRequest},
		{uuid.New().String(), true, core.CodeBadRequest},
		{dated(window - time.Second), true, ""},
		{dated(window + time.Second), true, core.CodeKeyExpired},
		{dated(window + time.Second), false, core.CodeKeyExpired},
		{dated(-time.Second), true, ""},
		{dated(-time.Minute), true, core.CodeBadRequest},
		{dated(-time.Minute), false, ""},
		{"{" + dated(0) + "}", true, core.CodeBadRequest},
	} {
		r, ok := claim.CheckKey(tc.key, tc.timed, window, now)
		if r.Code != tc.want || ok != (tc.want == "") || r.NotRun == ok {
			t.Errorf("key %q, timed %v: got %+v, want code %q", tc.key, tc.timed, r, tc.want)
		}
	}
}

// Guards against a batcher order that depends on the order of the entry set,
// or that moves other partitions when an entry leaves.
func TestBatchersAreStable(t *testing.T) {
	var set, rest core.EntrySet
	for i := range 8 {
		set.Entries = append(set.Entries, core.EntryInfo{ID: fmt.Sprint(i)})
	}
	for i := 6; i >= 0; i-- {
		rest.Entries = append(rest.Entries, set.Entries[i])
	}
	for n := range 32 {
		var want []core.EntryInfo
		for _, e := range claim.Batchers(n, set, 8) {
			if e.ID != "7" {
				want = append(want, e)
			}
		}
		if got := claim.Batchers(n, rest, 8); !reflect.DeepEqual(got, want) {
			t.Errorf("partition %d: got %v, want %v", n, got, want)
		}
	}
}

// Guards against records that crash a reader or that two readers fold
// differently.
func FuzzRecord(f *testing.F) {
	data, _ := claim.Encode([]claim.Op{newClaim(1, 1), release(newClaim(2, 1).ClaimID)})
	f.Add(data)
	f.Add([]byte(`{"ops":[{"op":"claim"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ops, err := claim.Decode(data)
		fold := claim.NewStateMachine(0, time.Time{}, window)
		for i := range 2 {
			if _, ferr := fold.Apply(core.Record{Offset: int64(i), Time: epoch, Data: data}); (ferr == nil) != (err == nil) {
				t.Fatalf("fold error %v, decode error %v", ferr, err)
			}
		}
		if err != nil || len(ops) == 0 {
			return
		}
		again, err := claim.Encode(ops)
		if err != nil {
			t.Fatalf("encode decoded operations: %v", err)
		}
		if got, err := claim.Decode(again); err != nil || !reflect.DeepEqual(got, ops) {
			t.Fatalf("round trip: got %v, %v, want %v", got, err, ops)
		}
	})
}

// records returns n claims of distinct keys, in records of 100.
func records(t testing.TB, n int) []core.Record {
	var all []core.Record
	for i := 0; i < n; i += 100 {
		var ops []claim.Op
		for j := i; j < i+100; j++ {
			op := newClaim(j, 0)
			op.KeyHash = claim.KeyHash("o", "s", fmt.Sprint(j))
			ops = append(ops, op)
		}
		data, err := claim.Encode(ops)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, core.Record{Offset: int64(len(all)), Time: epoch, Data: data})
	}
	return all
}

func fill(t testing.TB, f *claim.StateMachine, records []core.Record) {
	for _, r := range records {
		if _, err := f.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
}

func BenchmarkFold(b *testing.B) {
	for _, n := range []int{10000, 100000, 400000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := records(b, n)
			var elapsed time.Duration
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := claim.NewStateMachine(0, time.Time{}, window)
				start := time.Now()
				fill(b, f, all)
				elapsed += time.Since(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
			runtime.KeepAlive(all)
		})
	}
}
