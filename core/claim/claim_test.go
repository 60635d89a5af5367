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

// simulation interleaves agents and batchers over one log. An agent acts on the
// first verdict that any batcher returns.
type simulation struct {
	log       []core.Record
	now       time.Time
	batchers  []*claim.StateMachine
	claims    []claim.Op
	createdAt []time.Time
	verdicts  map[claim.ID]claim.Verdict
	released  map[claim.ID]bool
	ran       map[claim.ID]bool
	runs      map[claim.Hash][]time.Time
}

func (s *simulation) append(t *rapid.T, ops ...claim.Op) {
	data, err := claim.Encode(ops)
	if err != nil {
		t.Fatal(err)
	}
	s.log = append(s.log, core.Record{Offset: int64(len(s.log)), Time: s.now, Data: data})
}

// drawClaim returns one of the latest claims of which eligible is true. It makes a claim
// if there is none.
func (s *simulation) drawClaim(t *rapid.T, eligible func(op claim.Op) bool) claim.Op {
	var list []claim.Op
	for _, op := range s.claims[max(0, len(s.claims)-12):] {
		if eligible(op) {
			list = append(list, op)
		}
	}
	if len(list) == 0 {
		s.claim(t)
		return s.claims[len(s.claims)-1]
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "claim")]
}

func (s *simulation) claim(t *rapid.T) {
	op := newClaim(len(s.claims), byte(rapid.IntRange(0, 2).Draw(t, "key")))
	s.claims, s.createdAt = append(s.claims, op), append(s.createdAt, s.now)
	s.append(t, op)
}

// copy appends two claims again, as a batcher does if it got no answer to an
// append.
func (s *simulation) copy(t *rapid.T) {
	anyClaim := func(claim.Op) bool { return true }
	a, b := s.drawClaim(t, anyClaim), s.drawClaim(t, anyClaim)
	s.append(t, a, b)
}

// release releases a claim that has not run.
func (s *simulation) release(t *rapid.T) {
	op := s.drawClaim(t, func(op claim.Op) bool { return !s.ran[op.ClaimID] })
	s.released[op.ClaimID] = true
	s.append(t, release(op.ClaimID))
}

// releaseBeforeClaim releases a claim that is not in the log yet.
func (s *simulation) releaseBeforeClaim(t *rapid.T) {
	op := newClaim(len(s.claims), byte(rapid.IntRange(0, 2).Draw(t, "key")))
	s.claims, s.createdAt = append(s.claims, op), append(s.createdAt, s.now)
	s.released[op.ClaimID] = true
	s.append(t, release(op.ClaimID))
}

func (s *simulation) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
}

// restartBatcher replaces a batcher by one that reads the log from Lookback
// before its end.
func (s *simulation) restartBatcher(t *rapid.T) {
	i := rapid.IntRange(0, len(s.batchers)-1).Draw(t, "batcher")
	from := len(s.log)
	for from > 0 && !s.log[from-1].Time.Before(s.log[len(s.log)-1].Time.Add(-claim.Lookback(window))) {
		from--
	}
	var since time.Time
	if from > 0 {
		since = s.log[len(s.log)-1].Time.Add(-claim.Lookback(window))
	}
	s.batchers[i] = claim.NewStateMachine(int64(from), since, window)
}

// read has one batcher read to the end of the log and passes the verdicts to the
// agents. An agent waits for a verdict for much less than a quarter of a window.
func (s *simulation) read(t *rapid.T) {
	m := s.batchers[rapid.IntRange(0, len(s.batchers)-1).Draw(t, "batcher")]
	for m.NextOffset() < int64(len(s.log)) {
		if _, err := m.Apply(s.log[m.NextOffset()]); err != nil {
			t.Fatal(err)
		}
	}
	for i, op := range s.claims {
		v := m.Verdict(op.ClaimID)
		if v.Result == claim.Unknown || s.now.Sub(s.createdAt[i]) > window/4 {
			continue
		}
		first, given := s.verdicts[op.ClaimID]
		if !given {
			s.verdicts[op.ClaimID] = v
		} else if v.Result != first.Result && (first.Result != claim.Won || v.Result != claim.Void || !s.released[op.ClaimID]) {
			t.Fatalf("claim %s: got verdict %d, want %d as given before", op.ClaimID, v.Result, first.Result)
		}
		if v.Result == claim.Won && !s.released[op.ClaimID] && !s.ran[op.ClaimID] {
			s.run(t, op, s.createdAt[i])
		}
	}
}

func (s *simulation) run(t *rapid.T, op claim.Op, createdAt time.Time) {
	s.ran[op.ClaimID] = true
	for _, other := range s.runs[op.KeyHash] {
		if d := createdAt.Sub(other).Abs(); d <= window {
			t.Fatalf("key %x: two runs %s apart, want at most one in %s", op.KeyHash[:1], d, window)
		}
	}
	s.runs[op.KeyHash] = append(s.runs[op.KeyHash], createdAt)
}

// Guards against a key that runs twice and against verdicts that change, for any
// interleaving of batchers, duplicates, releases, restarts and expiry.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			now:      epoch,
			verdicts: map[claim.ID]claim.Verdict{},
			released: map[claim.ID]bool{},
			ran:      map[claim.ID]bool{},
			runs:     map[claim.Hash][]time.Time{},
		}
		for range 3 {
			s.batchers = append(s.batchers, claim.NewStateMachine(0, time.Time{}, window))
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": s.claim, "claim again": s.claim, "copy": s.copy, "release": s.release, "tombstone": s.releaseBeforeClaim,
			"pass": s.advanceTime, "restart": s.restartBatcher, "read": s.read, "read again": s.read,
		})
	})
}

// Guards against a lost claim that wins later, and against a key that is still
// held after all its claims were released.
func TestReleaseOfHolder(t *testing.T) {
	a, b, c, d := newClaim(1, 1), newClaim(2, 1), newClaim(3, 1), newClaim(4, 1)
	m := claim.NewStateMachine(0, time.Time{}, window)
	for i, ops := range [][]claim.Op{{a, b}, {release(a.ClaimID)}, {c}, {release(b.ClaimID), release(c.ClaimID)}, {d, a}} {
		data, err := claim.Encode(ops)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(core.Record{Offset: int64(i), Time: epoch, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	for i, tc := range []struct {
		op     claim.Op
		want   claim.Result
		holder claim.ID
	}{{a, claim.Void, uuid.Nil}, {b, claim.Lost, a.ClaimID}, {c, claim.Lost, b.ClaimID}, {d, claim.Won, d.ClaimID}} {
		v := m.Verdict(tc.op.ClaimID)
		if v.Result != tc.want || v.Holder.ClaimID != tc.holder {
			t.Errorf("claim %d: got %d with holder %s, want %d with %s", i, v.Result, v.Holder.ClaimID, tc.want, tc.holder)
		}
	}
}

// Guards against claims that are kept in memory after they have expired.
func TestExpiryFreesEverything(t *testing.T) {
	m := claim.NewStateMachine(0, time.Time{}, window)
	applyRecords(t, m, records(t, 20000))
	data, _ := claim.Encode([]claim.Op{newClaim(1<<20, 1)})
	if _, err := m.Apply(core.Record{Offset: m.NextOffset(), Time: epoch.Add(time.Hour), Data: data}); err != nil {
		t.Fatal(err)
	}
	if got, want := m.Len(), 1; got != want {
		t.Errorf("claims after expiry: got %d, want %d", got, want)
	}
}

// Guards against expired or invalid keys that are accepted, and valid keys that
// are refused.
func TestCheckKey(t *testing.T) {
	now := epoch
	uuidOfAge := func(age time.Duration) string {
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
		{uuidOfAge(window - time.Second), true, ""},
		{uuidOfAge(window + time.Second), true, core.CodeKeyExpired},
		{uuidOfAge(window + time.Second), false, core.CodeKeyExpired},
		{uuidOfAge(-time.Second), true, ""},
		{uuidOfAge(-time.Minute), true, core.CodeBadRequest},
		{uuidOfAge(-time.Minute), false, ""},
		{"{" + uuidOfAge(0) + "}", true, core.CodeBadRequest},
	} {
		r, ok := claim.CheckKey(tc.key, tc.timed, window, now)
		if r.Code != tc.want || ok != (tc.want == "") || r.NotRun == ok {
			t.Errorf("key %q, timed %v: got %+v, want code %q", tc.key, tc.timed, r, tc.want)
		}
	}
}

// Guards against an order of batchers that depends on the order of the entry
// set, and against changes to the order of the other entries when one leaves.
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

// Guards against records that panic a reader, that Apply and Decode treat
// differently, or that change when they are encoded again.
func FuzzRecord(f *testing.F) {
	data, _ := claim.Encode([]claim.Op{newClaim(1, 1), release(newClaim(2, 1).ClaimID)})
	f.Add(data)
	f.Add([]byte(`{"ops":[{"op":"claim"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ops, err := claim.Decode(data)
		m := claim.NewStateMachine(0, time.Time{}, window)
		for i := range 2 {
			if _, ferr := m.Apply(core.Record{Offset: int64(i), Time: epoch, Data: data}); (ferr == nil) != (err == nil) {
				t.Fatalf("apply error %v, decode error %v", ferr, err)
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

// records returns n claims of distinct keys, 100 per record.
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

func applyRecords(t testing.TB, m *claim.StateMachine, records []core.Record) {
	for _, r := range records {
		if _, err := m.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10000, 100000, 400000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := records(b, n)
			var elapsed time.Duration
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := claim.NewStateMachine(0, time.Time{}, window)
				start := time.Now()
				applyRecords(b, m, all)
				elapsed += time.Since(start)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
			runtime.KeepAlive(all)
		})
	}
}
