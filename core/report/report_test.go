package report_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

var base = time.UnixMilli(1_750_000_000_000).UTC()

func contract(org string) core.Contract {
	return core.Contract{Organisation: org, RequestsPerSecond: 10, TokensPerSecond: 1000, ReplyTimeMS: 1000}
}

func subject(org string) report.Subject {
	return report.SubjectOf(contract(org), 7, "runners")
}

func allVisible(string) bool { return true }

func window(seconds int) report.Window {
	return report.Window{From: base, To: base.Add(time.Duration(seconds) * time.Second)}
}

// stream returns n records of one incarnation, with intervals of 10 s from base
// on. Each record has some outcomes.
func stream(t *rapid.T, entry string, n int) []report.LoggedRecord {
	var list []report.LoggedRecord
	for i := range n {
		c := report.NewCounter()
		for range rapid.IntRange(1, 4).Draw(t, "outcomes") {
			org := rapid.SampledFrom([]string{"trails", "farm"}).Draw(t, "organisation")
			c.CountAdmission(report.Admission{Subject: subject(org), Cost: 5})
			c.CountOutcome(report.Outcome{Subject: subject(org), Elapsed: time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond})
		}
		r := report.Record{EntryID: entry, Incarnation: "i", Sequence: int64(i + 1), LengthMS: 10_000, Counts: c.Counts()}
		if i == n-1 {
			r.Closed = report.ClosedStop
		}
		list = append(list, report.LoggedRecord{Time: base.Add(time.Duration(i+1) * 10 * time.Second), Record: r})
	}
	return list
}

func streams(t *rapid.T) []report.LoggedRecord {
	var list []report.LoggedRecord
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		list = append(list, stream(t, entry, rapid.IntRange(2, 5).Draw(t, "records"))...)
	}
	for i := range list {
		list[i].Offset = int64(i)
	}
	return list
}

// Guards against verdicts and counts that depend on the order of records, or on
// copies of records that were appended again after a lost answer.
func TestMergeIgnoresOrderAndCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := streams(t)
		want := report.Merge(list, window(60), nil, allVisible)
		if want.Verdict != report.Kept || len(want.Gaps) != 0 {
			t.Fatalf("whole streams: got verdict %s with gaps %v, want kept without gaps", want.Verdict, want.Gaps)
		}
		copies := rapid.SliceOfN(rapid.IntRange(0, len(list)-1), 0, 5).Draw(t, "copies")
		mixed := append([]report.LoggedRecord(nil), list...)
		for _, i := range copies {
			again := list[i]
			again.Offset += 100
			again.Time = again.Time.Add(3 * time.Second)
			again.Record.AgeMS += 3000
			mixed = append(mixed, again)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		got := report.Merge(mixed, window(60), nil, allVisible)
		if got.Copies != len(copies) {
			t.Errorf("copies: got %d, want %d", got.Copies, len(copies))
		}
		got.Copies = 0
		if !reflect.DeepEqual(got, want) {
			t.Errorf("merge of shuffled records with copies: got %+v, want %+v", got, want)
		}
	})
}

// Guards against a verdict of kept although records are missing: if a record of
// an incarnation with other records is missing, there must be a gap.
func TestMergeShowsMissingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := streams(t)
		at := rapid.IntRange(0, len(list)-1).Draw(t, "missing")
		lost := list[at].Record
		rest := append(append([]report.LoggedRecord(nil), list[:at]...), list[at+1:]...)
		got := report.Merge(rest, window(60), nil, allVisible)
		if got.Verdict != report.NotKnown {
			t.Errorf("verdict without sequence %d of %s: got %s, want not_known", lost.Sequence, lost.EntryID, got.Verdict)
		}
		if len(got.Gaps) != 1 || got.Gaps[0].EntryID != lost.EntryID {
			t.Errorf("gaps without sequence %d of %s: got %+v, want one of this entry", lost.Sequence, lost.EntryID, got.Gaps)
		}
	})
}

// Guards against wrong verdicts for each promise, with and without gaps.
func TestVerdicts(t *testing.T) {
	end := func(e report.Ending, ms int, code core.Code, notRun bool) report.Outcome {
		return report.Outcome{Subject: subject("trails"), Ending: e, Elapsed: time.Duration(ms) * time.Millisecond, Code: code, NotRun: notRun}
	}
	whole, late := end(report.EndedWhole, 10, "", false), end(report.EndedWhole, 1001, "", false)
	for _, tc := range []struct {
		name     string
		outcomes []report.Outcome
		good     int
		admitted int
		gap      bool
		promise  string
		want     report.Verdict
	}{
		{"all on time", nil, 20, 20, false, report.PromiseTime, report.Kept},
		{"nothing happened", nil, 0, 0, false, report.PromiseTime, report.Kept},
		{"one of 20 late", []report.Outcome{late}, 19, 20, false, report.PromiseTime, report.Kept},
		{"two of 20 late", []report.Outcome{late, late}, 18, 20, false, report.PromiseTime, report.Broken},
		{"late, and records are missing", []report.Outcome{late, late}, 18, 20, true, report.PromiseTime, report.NotKnown},
		{"callers left late", []report.Outcome{end(report.EndedCallerGone, 1001, "", false), end(report.EndedCallerGone, 1001, "", false)}, 18, 20, false, report.PromiseTime, report.Broken},
		{"callers left early", []report.Outcome{end(report.EndedCallerGone, 10, "", false), end(report.EndedCallerGone, 10, "", false)}, 18, 20, false, report.PromiseTime, report.Kept},
		{"failed", []report.Outcome{end(report.EndedRefused, 10, core.CodeDeadline, false), end(report.EndedRefused, 10, core.CodeDeadline, false)}, 18, 20, false, report.PromiseTime, report.Broken},
		{"cut", []report.Outcome{end(report.EndedCut, 10, core.CodeConnectionBroken, false)}, 99, 100, false, report.PromiseWhole, report.Broken},
		{"cut, and records are missing", []report.Outcome{end(report.EndedCut, 10, core.CodeConnectionBroken, false)}, 99, 100, true, report.PromiseWhole, report.Broken},
		{"unverified", []report.Outcome{end(report.EndedUnverified, 10, "", false)}, 99, 100, false, report.PromiseWhole, report.NotKnown},
		{"unverified and cut", []report.Outcome{end(report.EndedUnverified, 10, "", false), end(report.EndedCut, 10, core.CodeConnectionBroken, false)}, 98, 100, false, report.PromiseWhole, report.Broken},
		{"few unverified", []report.Outcome{end(report.EndedUnverified, 10, "", false)}, 19, 20, false, report.PromiseTime, report.Kept},
		{"many unverified", []report.Outcome{end(report.EndedUnverified, 10, "", false), end(report.EndedUnverified, 10, "", false)}, 18, 20, false, report.PromiseTime, report.NotKnown},
		{"unverified and late", []report.Outcome{end(report.EndedUnverified, 1001, "", false), end(report.EndedUnverified, 1001, "", false)}, 18, 20, false, report.PromiseTime, report.Broken},
		{"own limit", []report.Outcome{end(report.EndedRefused, 1, core.CodeRateLimit, true)}, 1, 1, false, report.PromiseAccepted, report.Kept},
		{"system refuses", []report.Outcome{end(report.EndedRefused, 1, core.CodeNoServer, true)}, 1, 1, false, report.PromiseAccepted, report.Broken},
		{"at the limit", nil, 0, 140, false, report.PromiseRequests, report.Kept},
		{"over the limit", nil, 0, 141, false, report.PromiseRequests, report.Broken},
		{"over the limit, and records are missing", nil, 0, 141, true, report.PromiseRequests, report.Broken},
		{"below the limit, and records are missing", nil, 0, 1, true, report.PromiseRequests, report.NotKnown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := report.NewCounter()
			for range tc.good {
				c.CountOutcome(whole)
			}
			for _, o := range tc.outcomes {
				c.CountOutcome(o)
			}
			for range tc.admitted {
				c.CountAdmission(report.Admission{Subject: subject("trails"), Cost: 1})
			}
			r := report.Record{EntryID: "entry-1", Incarnation: "i", Sequence: 1, LengthMS: 10_000, Counts: c.Counts(), Closed: report.ClosedIdle}
			w := window(60)
			if tc.gap {
				w.Gaps = []report.Gap{{Reason: report.GapExpired, From: w.From, To: w.To}}
			}
			got := report.Merge([]report.LoggedRecord{{Time: base.Add(10 * time.Second), Record: r}}, w, []string{"trails"}, allVisible)
			for _, p := range got.Organisations[0].Promises {
				if p.Name == tc.promise && p.Verdict != tc.want {
					t.Errorf("%s: got %+v, want verdict %s", p.Name, p, tc.want)
				}
			}
			if (got.Verdict == report.Kept) != (got.Organisations[0].Verdict == report.Kept) {
				t.Errorf("verdict of the result: got %s, organisation has %s", got.Verdict, got.Organisations[0].Verdict)
			}
		})
	}
}

// Guards against an excess over a limit for a short time that is not found in a
// long window.
func TestLimitOfShortPeriods(t *testing.T) {
	var list []report.LoggedRecord
	for i := range 60 {
		c := report.NewCounter()
		n := 1
		if i == 30 {
			n = 200
		}
		for range n {
			c.CountAdmission(report.Admission{Subject: subject("trails"), Cost: 1})
		}
		list = append(list, report.LoggedRecord{Offset: int64(i), Time: base.Add(time.Duration(i+1) * time.Second),
			Record: report.Record{EntryID: "entry-1", Incarnation: "i", Sequence: int64(i + 1), LengthMS: 1000, Counts: c.Counts()}})
	}
	list[59].Record.Closed = report.ClosedStop
	got := report.Merge(list, window(60), nil, allVisible)
	if got.Verdict != report.Broken {
		t.Errorf("200 requests in one second at 10 per second: got %s, want broken", got.Verdict)
	}
}

// Guards against gaps that are reported for idle entries, and against missing
// records before or after a record without counts that are not reported.
func TestIdleTimeIsNoGap(t *testing.T) {
	rec := func(seq int64, at int, r report.Record) report.LoggedRecord {
		r.EntryID, r.Incarnation, r.Sequence = "entry-1", "i", seq
		return report.LoggedRecord{Offset: seq, Time: base.Add(time.Duration(at) * time.Second), Record: r}
	}
	idle := rec(5, 10, report.Record{LengthMS: 10_000, Closed: report.ClosedIdle})
	marker := rec(6, 40, report.Record{IdleMS: 30_000})
	if got := report.Merge([]report.LoggedRecord{idle}, window(30), nil, allVisible); got.Verdict != report.Kept {
		t.Errorf("idle entry: got %s with gaps %v, want kept", got.Verdict, got.Gaps)
	}
	if got := report.Merge([]report.LoggedRecord{marker}, window(40), nil, allVisible); got.Verdict != report.NotKnown || got.Gaps[0].Reason != report.GapSequence {
		t.Errorf("first record after 10 s of an unseen past: got %+v, want a missing sequence", got)
	}
	if got := report.Merge([]report.LoggedRecord{idle, marker}, window(60), nil, allVisible); got.Verdict != report.NotKnown || len(got.Gaps) != 1 || got.Gaps[0].Reason != report.GapNoEnd {
		t.Errorf("entry that died after its first request: got %+v, want no_end", got)
	}
	if got := report.Merge(nil, window(60), nil, allVisible); got.Verdict != report.NotKnown {
		t.Errorf("no records: got %s, want not_known", got.Verdict)
	}
}

// Guards against counts that are lost when a record is encoded and decoded, and
// against invalid records that are decoded without an error.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := stream(t, "entry-1", 2)[1].Record
		data, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := report.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := got.Encode()
		if err != nil || string(again) != string(data) {
			t.Errorf("decoded record encodes as %s (%v), want %s", again, err, data)
		}
	})
	for _, bad := range []string{`{}`, `[]`, `{"entry_id":"e","incarnation":"i","sequence":0}`,
		`{"entry_id":"e","incarnation":"i","sequence":1,"counts":[{"organisation":"a","whole":-1}]}`} {
		if _, err := report.Decode([]byte(bad)); err == nil {
			t.Errorf("decode %s: got no error", bad)
		}
	}
}
