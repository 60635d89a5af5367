package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
)

var now = time.Unix(1_000_000, 0)

// Guards against retries that are unsafe, too many or too late.
func TestRetryRules(t *testing.T) {
	later := now.Add(time.Second)
	cases := []struct {
		name string
		r    core.Request
		a    core.Attempt
		want bool
	}{
		{"not run", core.Request{Deadline: later}, core.Attempt{Number: 1, NotRun: true}, true},
		{"may have run", core.Request{Deadline: later}, core.Attempt{Number: 1}, false},
		{"repeatable", core.Request{Deadline: later, Repeatable: true}, core.Attempt{Number: 2}, true},
		{"reply began", core.Request{Deadline: later, Repeatable: true}, core.Attempt{Number: 1, ReplyStarted: true}, false},
		{"third attempt", core.Request{Deadline: later, Repeatable: true}, core.Attempt{Number: 3, NotRun: true}, false},
		{"deadline", core.Request{Deadline: now, Repeatable: true}, core.Attempt{Number: 1, NotRun: true}, false},
	}
	for _, c := range cases {
		if got := retry.NewBudget().AllowRetry(c.r, c.a, now); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against retry storms: 1,000 failing requests get the burst plus 10 %
// retries.
func TestRetryBudget(t *testing.T) {
	b, retries := retry.NewBudget(), 0
	r := core.Request{Service: "text", Deadline: now.Add(time.Second)}
	for range 1000 {
		b.CountRequest("text", now)
		if b.AllowRetry(r, core.Attempt{Number: 1, NotRun: true}, now) {
			retries++
		}
	}
	if want := 1000/10 + retry.BudgetBurst; retries > want || retries < 100 {
		t.Errorf("retries: got %d, want 100 to %d", retries, want)
	}
}

// Guards against a request that crashes a fourth server, and against other
// requests that stay suspect or are blocked. Suspects run alone, as the entry runs
// them, except for at most one run that another entry started before it received
// the crash report.
func TestBlocksCrashingRequestAndClearsOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := retry.NewQuarantine()
		const crashing = 1
		crashes, late := 0, rapid.Bool().Draw(t, "late")
		for run := 0; q.Status(crashing, now) != core.QuarantineBlocked; run++ {
			ran := []uint64{crashing}
			if q.Status(crashing, now) == core.QuarantineClear || (late && crashes == 1) {
				for i := range rapid.IntRange(0, 5).Draw(t, "beside") {
					ran = append(ran, uint64(2+i))
				}
			}
			crashes++
			q.Crashed(fmt.Sprint("crash-", run), ran, now)
			q.Crashed(fmt.Sprint("crash-", run), ran, now)
		}
		if crashes > 3 {
			t.Fatalf("crashes: got %d, want at most 3", crashes)
		}
		for fp := uint64(2); fp < 8; fp++ {
			q.Completed(fp, now)
			if got, want := q.Status(fp, now), core.QuarantineClear; got != want {
				t.Fatalf("other request %d: got %d, want %d", fp, got, want)
			}
		}
	})
}

// Guards against a harmless request that is blocked because its server failed by
// chance while it ran there alone.
func TestOneCrashBlocksNoRequest(t *testing.T) {
	q := retry.NewQuarantine()
	q.Crashed("chance", []uint64{1}, now)
	if got, want := q.Status(1, now), core.QuarantineSuspect; got != want {
		t.Errorf("after one crash alone: got %d, want %d", got, want)
	}
	q.Crashed("again", []uint64{1}, now)
	if got, want := q.Status(1, now), core.QuarantineBlocked; got != want {
		t.Errorf("after two crashes alone: got %d, want %d", got, want)
	}
}

// Guards against a result that depends on the order or number of crash reports.
func TestCrashesMergeByID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := []struct {
			id  string
			ran []uint64
		}{{"a", []uint64{1, 2, 3}}, {"b", []uint64{1, 4}}, {"c", []uint64{5, 6}}}
		q := retry.NewQuarantine()
		order := append(rapid.Permutation([]int{0, 1, 2}).Draw(t, "order"), rapid.Permutation([]int{0, 1, 2}).Draw(t, "again")...)
		for _, i := range order {
			q.Crashed(reports[i].id, reports[i].ran, now)
		}
		want := []core.QuarantineStatus{core.QuarantineBlocked, core.QuarantineSuspect, core.QuarantineSuspect, core.QuarantineSuspect}
		for i, w := range want {
			if got := q.Status(uint64(i+1), now); got != w {
				t.Fatalf("order %v, fingerprint %d: got %d, want %d", order, i+1, got, w)
			}
		}
	})
}

// Guards against unbounded memory when every crash has a new request.
func TestQuarantineMemoryIsBounded(t *testing.T) {
	q := retry.NewQuarantine()
	for i := range uint64(retry.MaxFingerprints + 10) {
		q.Crashed(fmt.Sprint(i), []uint64{i + 1}, now)
		q.Crashed(fmt.Sprint("again ", i), []uint64{i + 1}, now)
	}
	if got, want := q.Status(1, now), core.QuarantineClear; got != want {
		t.Errorf("oldest blocked fingerprint: got %d, want %d", got, want)
	}
	if got, want := q.Status(retry.MaxFingerprints+10, now), core.QuarantineBlocked; got != want {
		t.Errorf("newest blocked fingerprint: got %d, want %d", got, want)
	}
}
