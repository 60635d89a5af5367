package agent

import (
	"testing"
	"time"

	"nutmegnotch/io/peer/peerpb"
)

// Guards against report intervals so long that an entry treats the agent as
// stalled, against late reports of a changed limit, and against more reports than
// the control traffic budget allows.
func TestReportsByNumberOfSessions(t *testing.T) {
	for _, c := range []struct {
		sessions    int
		busy        bool
		least, most int
	}{{3, false, 10, 11}, {3, true, 49, 50}, {38, true, 10, 11}, {1000, true, 10, 11}} {
		r := loadReporter{interval: 200 * time.Millisecond}
		now, sent, last := time.Now(), 0, time.Time{}
		for i := range 50 {
			l := &peerpb.Load{AgentId: "a", State: "ready", LimitCount: 9, Seq: uint64(i + 1)}
			if c.busy {
				l.HeldTokens = int64(i)
			}
			if got := r.next(l, c.sessions, now); got != nil {
				if !last.IsZero() && now.Sub(last) > maxReportInterval {
					t.Errorf("%+v: got no report for %v, want at most %v", c, now.Sub(last), maxReportInterval)
				}
				sent, last = sent+1, now
			}
			now = now.Add(200 * time.Millisecond)
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%+v: got %d reports in 10 s, want %d to %d", c, sent, c.least, c.most)
		}
		if got := r.next(&peerpb.Load{AgentId: "a", State: "leaving", LimitCount: 9}, c.sessions, now); got == nil {
			t.Errorf("%+v: a change of state was not reported at once", c)
		}
		if got := r.next(&peerpb.Load{AgentId: "a", State: "leaving", LimitCount: 2}, c.sessions, now); got.GetLimitCount() != 2 {
			t.Errorf("%+v: a change of limit was not reported at once", c)
		}
		if got := r.next(&peerpb.Load{AgentId: "a", State: "leaving", LimitCount: 2, Models: []string{"m"}}, c.sessions, now); got.GetBrief() || got == nil {
			t.Errorf("%+v: a change of models was not sent in a full report", c)
		}
	}
}
