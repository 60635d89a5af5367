package reportlog_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	emulator "nutmegnotch/emulator/platformlog"
	"nutmegnotch/io/platformlog"
	"nutmegnotch/io/reportlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testInterval = 100 * time.Millisecond
	waitTimeout  = 20 * time.Second
)

// harness runs one reporter on an emulator of the log.
type harness struct {
	t   *testing.T
	srv *emulator.Server
	log *platformlog.Client
	r   *reportlog.Reporter
	// from is a time before the first event.
	from    time.Time
	stopped bool
}

func start(t *testing.T, cfg reportlog.Config) *harness {
	b := &harness{t: t, srv: emulator.New(emulator.Config{}), from: time.Now()}
	srv := httptest.NewServer(b.srv)
	b.log = platformlog.New(srv.URL, 500*time.Millisecond)
	cfg.EntryID, cfg.Incarnation, cfg.Log = "entry-1", "i", b.log
	if cfg.Interval == 0 {
		cfg.Interval = testInterval
	}
	b.r = reportlog.New(cfg)
	t.Cleanup(func() {
		b.stop(0)
		b.log.Close()
		b.srv.Close()
		srv.Close()
	})
	return b
}

func (b *harness) stop(d time.Duration) {
	if b.stopped {
		return
	}
	b.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	b.r.Stop(ctx)
}

func (b *harness) request() {
	s := report.SubjectOf(core.Contract{Organisation: "trails", RequestsPerSecond: 1e6, TokensPerSecond: 1e6, ReplyTimeMS: 1000}, 7, "desk")
	b.r.Admitted(report.Admission{Subject: s, Cost: 1})
	b.r.Ended(report.Outcome{Subject: s, Elapsed: time.Millisecond})
}

func (b *harness) merge() report.Result {
	b.t.Helper()
	w := report.Window{From: b.from.Add(-time.Second), To: time.Now()}
	all := func(string) bool { return true }
	list, gaps, err := reportlog.Read(context.Background(), b.log, w, all)
	if err != nil {
		b.t.Fatalf("read reports: %v", err)
	}
	w.Gaps = gaps
	return report.Merge(list, w, []string{"trails"}, all)
}

func (b *harness) wantResult(verdict report.Verdict, requests int64) report.Result {
	b.t.Helper()
	got := b.merge()
	n := got.Organisations[0].Total
	if got.Verdict != verdict || n.Requests != requests || n.Whole != requests || n.AdmittedRequests != requests {
		b.t.Errorf("merged: got %s with %d requests, %d whole, %d admitted, gaps %+v, want %s with %d",
			got.Verdict, n.Requests, n.Whole, n.AdmittedRequests, got.Gaps, verdict, requests)
	}
	return got
}

// closedIdle reports whether the last record marks the entry as idle.
func (b *harness) closedIdle() bool {
	list, _, err := reportlog.Read(context.Background(), b.log, report.Window{From: b.from, To: time.Now()}, func(string) bool { return true })
	return err == nil && len(list) > 0 && list[len(list)-1].Record.Closed == report.ClosedIdle
}

// Guards against outcomes that are counted twice after the response to an append
// was lost.
func TestLostAnswers(t *testing.T) {
	b := start(t, reportlog.Config{})
	b.srv.SetFaults(emulator.Faults{LoseAppendAnswers: 3})
	for range 10 {
		b.request()
		time.Sleep(testInterval / 2)
	}
	b.stop(waitTimeout)
	if got := b.wantResult(report.Kept, 10); got.Copies != 3 {
		t.Errorf("copies: got %d, want 3, one for each lost answer", got.Copies)
	}
}

// Guards against counts that are lost in an outage of more than MaxPending
// intervals, and against gaps caused by merging intervals.
func TestOutage(t *testing.T) {
	b := start(t, reportlog.Config{MaxPending: 3})
	b.request()
	b.srv.SetFaults(emulator.Faults{Outage: emulator.OutageRefuse})
	for range 20 {
		b.request()
		time.Sleep(testInterval / 2)
	}
	b.srv.SetFaults(emulator.Faults{})
	b.stop(waitTimeout)
	b.wantResult(report.Kept, 21)
}

// Guards against a report that says kept for the last interval of a killed entry,
// also if the entry was killed in its first interval.
func TestKilled(t *testing.T) {
	for _, intervals := range []int{0, 3} {
		t.Run(fmt.Sprintf("after %d intervals", intervals), func(t *testing.T) {
			b := start(t, reportlog.Config{})
			b.request()
			for end := time.Now().Add(waitTimeout); len(b.merge().Gaps) == 0 || b.merge().Records == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the record of the first request did not reach the log")
				}
			}
			for range intervals {
				b.request()
				time.Sleep(testInterval)
			}
			b.request()
			b.stop(0)
			got := b.merge()
			if got.Verdict == report.Kept || len(got.Gaps) == 0 || got.Gaps[len(got.Gaps)-1].Reason != report.GapNoEnd {
				t.Errorf("killed entry: got %s with gaps %+v, want not_known with no_end", got.Verdict, got.Gaps)
			}
		})
	}
}

// Guards against a request path that blocks on a full queue, and against dropped
// events that do not appear in the report.
func TestFullQueue(t *testing.T) {
	b := start(t, reportlog.Config{QueueLen: 1})
	for range 20_000 {
		b.request()
	}
	b.stop(waitTimeout)
	got := b.merge()
	if got.Verdict == report.Kept || len(got.Gaps) == 0 || got.Gaps[0].Reason != report.GapDropped || got.Gaps[0].Dropped == 0 {
		t.Errorf("full queue: got %s with gaps %+v, want not_known with dropped events", got.Verdict, got.Gaps)
	}
}

// Guards against idle entries that append, and against idle periods that appear as
// gaps.
func TestIdle(t *testing.T) {
	b := start(t, reportlog.Config{})
	time.Sleep(3 * testInterval)
	if got := b.merge(); got.Records != 0 {
		t.Errorf("records of an entry without requests: got %d, want 0", got.Records)
	}
	b.request()
	for end := time.Now().Add(waitTimeout); !b.closedIdle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the entry did not report that it is idle: %+v", b.merge())
		}
	}
	before := b.merge().Records
	time.Sleep(5 * testInterval)
	if got := b.wantResult(report.Kept, 1).Records; got != before {
		t.Errorf("records after 5 idle intervals: got %d, want %d", got, before)
	}
	b.request()
	b.stop(waitTimeout)
	b.wantResult(report.Kept, 2)
}

// Guards against records above the size limit of the log, and against a split into
// several records that loses counts.
func TestManyOrganisations(t *testing.T) {
	b := start(t, reportlog.Config{})
	for n := range 1300 {
		s := report.SubjectOf(core.Contract{Organisation: fmt.Sprintf("org-%d", n), ReplyTimeMS: 1000}, 7, "desk")
		b.r.Ended(report.Outcome{Subject: s, Elapsed: time.Millisecond})
	}
	b.stop(waitTimeout)
	got := b.merge()
	if got.Verdict != report.Kept || len(got.Organisations) != 1301 {
		t.Errorf("merged: got %s with %d organisations, gaps %+v, want kept with 1301", got.Verdict, len(got.Organisations), got.Gaps)
	}
}
