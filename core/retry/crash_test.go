package retry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
)

const fp = 1

func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func crash(id string, started, ended int) retry.Crash {
	return retry.Crash{Fingerprint: fp, ID: id, Started: at(started), Ended: at(ended)}
}

// atOnce returns n crashes at the same time.
func atOnce(n int) []retry.Crash {
	var out []retry.Crash
	for i := range n {
		out = append(out, crash(fmt.Sprintf("at-once-%d", i), 0, 10))
	}
	return out
}

// Guards against a request that is blocked too late, or blocked although its servers
// may have ended for one other reason.
func TestCrashesThatBlock(t *testing.T) {
	cases := []struct {
		name    string
		crashes []retry.Crash
		want    core.QuarantineStatus
		alone   bool
	}{
		{"none", nil, core.QuarantineClear, false},
		{"two", []retry.Crash{crash("a", 0, 10), crash("b", 20, 30)}, core.QuarantineSuspect, false},
		{"three in turn", []retry.Crash{crash("a", 0, 10), crash("b", 20, 30), crash("c", 40, 50)}, core.QuarantineBlocked, false},
		{"three at once", []retry.Crash{crash("a", 0, 10), crash("b", 1, 10), crash("c", 2, 11)}, core.QuarantineSuspect, true},
		{"three at once and one later", []retry.Crash{crash("a", 0, 10), crash("b", 1, 10), crash("c", 2, 11), crash("d", 20, 30)}, core.QuarantineBlocked, false},
		{"many at once and one later", append(atOnce(40), crash("last", 20, 30)), core.QuarantineBlocked, false},
		{"one process by two gateways", []retry.Crash{crash("a", 0, 10), crash("a", 5, 11), crash("b", 20, 30)}, core.QuarantineSuspect, false},
		{"one process, broken runs at short intervals", []retry.Crash{crash("a", 0, 10), crash("a", 1000, 1010), crash("a", 1500, 1510)}, core.QuarantineSuspect, false},
		{"three in turn, with copies that were moved there", []retry.Crash{crash("a", 0, 10), crash("b", 11, 30), crash("b", 0, 30), crash("c", 31, 50), crash("c", 5, 50)}, core.QuarantineSuspect, true},
		{"three in turn, one after an earlier run had ended", []retry.Crash{crash("a", 0, 10), crash("b", 20, 30), crash("b", 0, 15), crash("c", 40, 50)}, core.QuarantineBlocked, false},
		{"an id that is kept, in an outdated list", []retry.Crash{crash("a", 0, 10), crash("a", 3000, 3010), crash("a", 6000, 6010)}, core.QuarantineBlocked, false},
	}
	for _, c := range cases {
		q := retry.NewQuarantine()
		for _, x := range c.crashes {
			q.Add(x, at(7000))
		}
		if got := q.Status(fp, at(7000)); got != c.want {
			t.Errorf("%s: got status %d, want %d", c.name, got, c.want)
		}
		if got := q.IsAmbiguous(fp, at(7000)); got != c.alone {
			t.Errorf("%s: got ambiguous %v, want %v", c.name, got, c.alone)
		}
	}
}

// Guards against a harmless request that is blocked together with the one that crashed
// its servers, and against two crashing requests that excuse each other.
func TestCrashesThatAnotherRequestExplains(t *testing.T) {
	const cause = 2
	in := func(fingerprint uint64, ids ...int) []retry.Crash {
		var out []retry.Crash
		for _, i := range ids {
			out = append(out, retry.Crash{Fingerprint: fingerprint, ID: fmt.Sprint("process-", i), Started: at(20 * i), Ended: at(20*i + 10)})
		}
		return out
	}
	cases := []struct {
		name            string
		crashes         []retry.Crash
		want, wantCause core.QuarantineStatus
	}{
		{"the cause has one more", append(in(fp, 1, 2, 3), in(cause, 1, 2, 3, 4)...), core.QuarantineSuspect, core.QuarantineBlocked},
		{"both have the same", append(in(fp, 1, 2, 3), in(cause, 1, 2, 3)...), core.QuarantineSuspect, core.QuarantineSuspect},
		{"they share two", append(in(fp, 1, 2, 3), in(cause, 2, 3, 4)...), core.QuarantineBlocked, core.QuarantineBlocked},
		{"both have five", append(in(fp, 1, 2, 3, 4, 5), in(cause, 1, 2, 3, 4, 5)...), core.QuarantineBlocked, core.QuarantineBlocked},
	}
	for _, c := range cases {
		q := retry.NewQuarantine()
		for _, x := range c.crashes {
			q.Add(x, at(5000))
		}
		if got := q.Status(fp, at(5000)); got != c.want {
			t.Errorf("%s: got status %d, want %d", c.name, got, c.want)
		}
		if got := q.Status(cause, at(5000)); got != c.wantCause {
			t.Errorf("%s: got status %d of the cause, want %d", c.name, got, c.wantCause)
		}
		q.Clear(fp, at(5000))
		if got, want := q.Status(cause, at(5000)), core.QuarantineBlocked; got != want {
			t.Errorf("%s, the other request was served: got status %d of the cause, want %d", c.name, got, want)
		}
	}
}

// Guards against processes that reach different results from the same reports, in
// whichever order and however often they come.
func TestCrashReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := []retry.Crash{crash("a", 0, 10), crash("b", 20, 30), crash("c", 40, 50), crash("d", 41, 55)}
		served := rapid.IntRange(-1, 60).Draw(t, "served")
		count := 0
		for _, c := range crashes {
			if c.Ended.After(at(served)) {
				count++
			}
		}
		apply := func(order []int) *retry.Quarantine {
			q := retry.NewQuarantine()
			q.Add(crash("first", -20, -10), now)
			for _, i := range order {
				if i == len(crashes) {
					q.Clear(fp, at(served))
				} else {
					q.Add(crashes[i], at(100))
				}
			}
			return q
		}
		order := append(rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order"), rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "again")...)
		if got := apply(order).Crashes(fp); got != count {
			t.Fatalf("order %v, served at %d ms: got %d crashes, want %d", order, served, got, count)
		}
	})
}

// Guards against a request that stays blocked although a server has served it, and
// against old crashes that count again when they are reported late.
func TestServedRequestIsCleared(t *testing.T) {
	q := retry.NewQuarantine()
	list := []retry.Crash{crash("a", 0, 10), crash("b", 20, 30), crash("c", 40, 50)}
	for _, c := range list {
		q.Add(c, at(60))
	}
	if got, want := len(q.Clear(fp, at(70))), 3; got != want {
		t.Errorf("dropped crashes: got %d, want %d", got, want)
	}
	for _, c := range list {
		late := retry.Crash{Fingerprint: fp, ID: c.ID, Started: c.Started.Add(time.Second), Ended: c.Ended.Add(time.Second)}
		for _, x := range []retry.Crash{c, late} {
			if _, counted := q.Add(x, at(2000)); counted {
				t.Errorf("crash of process %s before the served run, reported with the end %v: got counted, want ignored", x.ID, x.Ended)
			}
		}
	}
	if got, want := q.Status(fp, at(2000)), core.QuarantineClear; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// Guards against crashing requests that are forgotten because many other requests
// were running on servers that ended.
func TestBlockedRequestsAreKeptUnderPressure(t *testing.T) {
	q := retry.NewQuarantine()
	for i := range 3 {
		q.Add(crash(fmt.Sprint(i), 20*i, 20*i+10), now)
	}
	for i := range uint64(2 * retry.MaxFingerprints) {
		q.Add(retry.Crash{Fingerprint: 100 + i, ID: "other", Ended: at(1000 + int(i))}, at(1000+int(i)))
	}
	if got, want := q.Status(fp, at(50_000)), core.QuarantineBlocked; got != want {
		t.Errorf("blocked request: got status %d, want %d", got, want)
	}
	if got := len(q.Records(2*retry.MaxFingerprints, at(50_000))); got > retry.MaxFingerprints {
		t.Errorf("records: got %d, want at most %d", got, retry.MaxFingerprints)
	}
}

// Guards against records that are kept for good.
func TestOldCrashesExpire(t *testing.T) {
	q := retry.NewQuarantine()
	q.Add(crash("a", 0, 10), now)
	if got := len(q.Expire(now.Add(retry.RecordTTL / 2))); got != 0 {
		t.Errorf("expired early: got %d crashes, want 0", got)
	}
	if got, want := len(q.Expire(now.Add(2*retry.RecordTTL))), 1; got != want {
		t.Errorf("expired: got %d crashes, want %d", got, want)
	}
}

func server(id, address string, started int64) core.BackendServer {
	return core.BackendServer{ID: id, Address: address, StartedUnixMS: started}
}

// Guards against ends of servers that are not attributed to the runs that broke off
// there, and against other broken runs that are counted as crashes.
func TestBrokenRunsAtEndedServers(t *testing.T) {
	old := server("s", "addr", 1)
	cases := []struct {
		name string
		// after is what happens after a run broke off at 10 ms.
		after func(b *retry.BrokenRuns) []retry.Crash
		want  int
	}{
		{"ended", func(b *retry.BrokenRuns) []retry.Crash { return b.Ended("s/1", at(20)) }, 1},
		{"another process ended", func(b *retry.BrokenRuns) []retry.Crash { return b.Ended("s/2", at(20)) }, 0},
		{"started again with its id", func(b *retry.BrokenRuns) []retry.Crash {
			return b.Registered(server("s", "other", 2), at(5000))
		}, 1},
		{"another server at its address", func(b *retry.BrokenRuns) []retry.Crash {
			return b.Registered(server("t", "addr", 2), at(5000))
		}, 1},
		{"registered again unchanged", func(b *retry.BrokenRuns) []retry.Crash { return b.Registered(old, at(5000)) }, 0},
		{"replaced much later", func(b *retry.BrokenRuns) []retry.Crash {
			return b.Registered(server("s", "addr", 2), at(60_000))
		}, 0},
		{"alive, replaced soon", func(b *retry.BrokenRuns) []retry.Crash {
			b.Alive("s/1", at(12))
			return b.Registered(server("s", "addr", 2), at(500))
		}, 1},
		{"alive, replaced later", func(b *retry.BrokenRuns) []retry.Crash {
			b.Alive("s/1", at(12))
			return b.Registered(server("s", "addr", 2), at(5000))
		}, 0},
		{"alive before it broke off", func(b *retry.BrokenRuns) []retry.Crash {
			b.Alive("s/1", at(5))
			return b.Registered(server("s", "addr", 2), at(5000))
		}, 1},
		{"the request was served", func(b *retry.BrokenRuns) []retry.Crash {
			b.Completed(fp)
			return b.Ended("s/1", at(20))
		}, 0},
		{"expired", func(b *retry.BrokenRuns) []retry.Crash {
			b.Expire(at(60_000))
			return b.Ended("s/1", at(60_000))
		}, 0},
	}
	for _, c := range cases {
		b := retry.NewBrokenRuns()
		b.Add(old, retry.Keys{Request: fp}, false, at(0), at(10))
		got := c.after(b)
		if len(got) != c.want {
			t.Errorf("%s: got %d crashes, want %d", c.name, len(got), c.want)
		}
		if want := crash("s/1", 0, 10); c.want == 1 && !slices.Contains(got, want) {
			t.Errorf("%s: got %v, want %v", c.name, got, want)
		}
	}
}

// Guards against runs at silent servers that are not known as such, and against a
// server that has answered since and still counts as silent.
func TestSilentServers(t *testing.T) {
	b := retry.NewBrokenRuns()
	for i, id := range []string{"a", "b", "c"} {
		b.Add(server(id, "addr-"+id, 1), retry.Keys{Request: fp}, false, at(0), at(10+i))
	}
	b.Add(server("a", "addr-a", 1), retry.Keys{Request: fp + 1}, false, at(0), at(10))
	b.Silent("a/1")
	b.Silent("b/1")
	b.Silent("a/1")
	if got, want := b.CountSilent(fp), 2; got != want {
		t.Errorf("silent servers: got %d, want %d", got, want)
	}
	if got, want := len(b.SilentServers()), 2; got != want {
		t.Errorf("servers to check again: got %d, want %d", got, want)
	}
	b.Alive("a/1", at(2000))
	if got, want := b.CountSilent(fp), 1; got != want {
		t.Errorf("silent servers after one has answered: got %d, want %d", got, want)
	}
	if got, want := len(b.Registered(server("a", "addr-a", 2), at(4500))), 2; got != want {
		t.Errorf("crashes when the next process registers late: got %d, want %d", got, want)
	}
	b.Completed(fp)
	if got := b.CountSilent(fp); got != 0 {
		t.Errorf("silent servers after the request was served: got %d, want 0", got)
	}
}

// Guards against unbounded memory when runs break off in great numbers.
func TestBrokenRunsAreBounded(t *testing.T) {
	b := retry.NewBrokenRuns()
	for i := range uint64(retry.MaxBrokenRuns + 10) {
		b.Add(server("s", "addr", int64(i)), retry.Keys{Request: i}, false, at(0), at(10))
	}
	if got, want := b.Len(), retry.MaxBrokenRuns; got != want {
		t.Errorf("broken runs: got %d, want %d", got, want)
	}
	b.Expire(at(60_000))
	if got := b.Len(); got != 0 {
		t.Errorf("after they expired: got %d, want 0", got)
	}
}

// Guards against a run that is counted as crashed without a check, because the process
// that it ran on is thought to have ended before it began.
func TestEndsOfAProcessByTime(t *testing.T) {
	q := retry.NewQuarantine()
	q.Add(crash("a", 0, 100), at(200))
	cases := []struct {
		name    string
		process string
		started int
		want    bool
	}{
		{"a run during the end", "a", 50, true},
		{"a later run", "a", 150, false},
		{"another process", "b", 50, false},
	}
	for _, c := range cases {
		if got := q.HasEndedSince(c.process, at(c.started)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a run that broke off while a connection attempt was under way and counts
// as crashed when its server ends seconds later.
func TestRunsThatBreakOffDuringAProbe(t *testing.T) {
	b := retry.NewBrokenRuns()
	s := server("s", "addr", 1)
	id := retry.ProcessID(s)
	b.Add(s, retry.Keys{Request: fp}, false, at(0), at(10))
	begun := at(20)
	b.Add(s, retry.Keys{Request: fp + 1}, false, at(0), at(21))
	if !b.Alive(id, begun) {
		t.Error("attempt that began before the second run broke off: got no further attempt, want one")
	}
	if b.Alive(id, at(30)) {
		t.Error("attempt after both runs: got a further attempt, want none")
	}
	if got := b.Ended(id, at(30).Add(retry.AliveServerTime+time.Second)); len(got) != 0 {
		t.Errorf("end of the server seconds later: got %d crashes, want 0", len(got))
	}
}
