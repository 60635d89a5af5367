package directory_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Guards against reports of ended processes that the store carries out late: they replaced
// the newer process of the same id, so that a server that leaves was used again.
func TestLateReportOfAnEndedProcess(t *testing.T) {
	const (
		ready   = core.BackendReady
		leaving = core.BackendLeaving
	)
	type report struct {
		started, number int
		state           core.BackendState
		after           time.Duration
	}
	removed := report{after: time.Second}
	cases := []struct {
		name        string
		reports     []report
		wantStarted int64
		want        core.BackendState
		listed      bool
	}{
		{"after two reports of a process that leaves", []report{{1000, 1, ready, 0}, {1000, 2, ready, 0}, {2000, 1, ready, 0}, {2000, 2, leaving, 0}, {1000, 3, ready, 0}}, 2000, leaving, true},
		{"with a number that was used", []report{{1000, 1, ready, 0}, {1000, 2, ready, 0}, {2000, 1, leaving, 0}, {1000, 2, ready, 0}}, 2000, leaving, true},
		{"the time of day went back", []report{{9000, 1, ready, 0}, {9000, 2, ready, 0}, {2000, 1, leaving, 0}, {9000, 3, ready, 0}}, 2000, leaving, true},
		{"of the process before the last one", []report{{1000, 1, ready, 0}, {2000, 1, ready, 0}, {3000, 1, leaving, 0}, {1000, 2, ready, 0}}, 3000, leaving, true},
		{"of two processes", []report{{1000, 1, ready, 0}, {2000, 1, ready, 0}, {3000, 1, leaving, 0}, {1000, 2, ready, 0}, {2000, 2, ready, 0}}, 3000, leaving, true},
		{"of a process that was never listed here", []report{{2000, 1, leaving, 0}, {1000, 2, ready, 0}}, 2000, leaving, true},
		{"two of one that was never listed here, around a report", []report{{2000, 1, leaving, 0}, {1000, 2, ready, 0}, {2000, 2, leaving, 0}, {1000, 3, ready, 0}}, 2000, leaving, true},
		{"after the removal", []report{{1000, 1, ready, 0}, {2000, 1, leaving, 0}, removed, {1000, 2, ready, 0}}, 0, ready, false},
		{"the process before says that it leaves", []report{{1000, 1, ready, 0}, {2000, 1, ready, 0}, {1000, 2, leaving, 0}}, 2000, ready, true},
		{"the present process is listed again", []report{{1000, 1, ready, 0}, {2000, 1, ready, 0}, {1000, 2, ready, 0}, removed, {2000, 2, ready, 0}}, 2000, ready, true},
		{"a new process whose time of day went back", []report{{9000, 1, ready, 0}, {9000, 2, leaving, 0}, {2000, 1, ready, 0}}, 2000, ready, true},
		{"a new process after a late report", []report{{1000, 1, ready, 0}, {2000, 1, leaving, 0}, {1000, 2, ready, 0}, {3000, 1, ready, 0}}, 3000, ready, true},
		{"a new process whose first reports were lost, with an earlier start", []report{{9000, 1, leaving, 0}, {2000, 2, ready, 0}, {2000, 3, ready, time.Second}}, 2000, ready, true},
		{"one that goes on after all", []report{{1000, 1, ready, 0}, {2000, 1, ready, 0}, {1000, 2, ready, 14 * time.Second}, {1000, 3, ready, 0}, {1000, 4, ready, 0}}, 1000, ready, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := directory.New(decoder{})
			clock := now
			for i, r := range c.reports {
				clock = clock.Add(r.after)
				value := ""
				if r != removed {
					value = process(map[core.BackendState]string{ready: "ready", leaving: "leaving"}[r.state], r.started, r.number)
				}
				if _, err := d.Append(core.TopicServers, batch(rec("a", value, int64(i+1))), clock); err != nil {
					t.Fatalf("apply: %v", err)
				}
			}
			list := d.Servers()
			if got := len(list) > 0; got != c.listed {
				t.Fatalf("listed: got %t, want %t", got, c.listed)
			}
			if c.listed && (list[0].StartedUnixMS != c.wantStarted || list[0].State != c.want) {
				t.Errorf("process: got start %d in state %d, want %d in state %d", list[0].StartedUnixMS, list[0].State, c.wantStarted, c.want)
			}
		})
	}
}

// Guards against a gateway that has read a late report of an ended process only, and heeds
// what it is told of the present one no more.
func TestLeavingProcessIsLearnedAfterALateReport(t *testing.T) {
	for _, c := range []struct {
		name   string
		number int
		told   int64
		want   string
	}{
		{"a later process leaves", 5, 2000, ""},
		{"an earlier process has left", 5, 500, "a"},
		{"the first report of a process whose time of day went back", 1, 2000, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := directory.New(decoder{})
			if _, err := d.Append(core.TopicServers, batch(rec("a", process("ready", 1000, c.number), 1)), now); err != nil {
				t.Fatalf("apply: %v", err)
			}
			d.MarkLeaving("a", c.told, now)
			if got := usable(d); got != c.want {
				t.Errorf("usable servers: got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against directories that go back to an ended process, or that never come to use
// the present one, while a server restarts with clocks that jump and late reports.
func TestProcessesOfOneServerNeverGoBack(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 8))
		d := directory.New(decoder{})
		type lateReport struct {
			value string
			at    time.Time
		}
		var late []lateReport
		clock, offset := now, int64(0)
		apply := func(value string) {
			offset++
			if _, err := d.Append(core.TopicServers, batch(rec("a", value, offset)), clock); err != nil {
				t.Fatalf("apply: %v", err)
			}
		}
		applyLate := func(until time.Time) {
			slices.SortFunc(late, func(a, b lateReport) int { return a.at.Compare(b.at) })
			for len(late) > 0 && !late[0].at.After(until) {
				apply(late[0].value)
				late = late[1:]
			}
		}
		born := 100_000
		for run := range 4 {
			// The last digit keeps start times apart.
			if born = born/10*10 + run; rng.IntN(3) == 0 {
				born -= 1000 + 10*rng.IntN(500)
			} else {
				born += 1000 + 10*rng.IntN(500)
			}
			reports := 1 + rng.IntN(12)
			for number := 1; number <= reports; number++ {
				state := "ready"
				if number > 8 {
					state = "leaving"
				}
				value := process(state, born, number)
				if number > 1 && rng.Float64() < 0.35 {
					late = append(late, lateReport{value, clock.Add(time.Duration(1000+rng.IntN(5000)) * time.Millisecond)})
				} else {
					apply(value)
				}
				applyLate(clock)
				if s := d.Servers()[0]; s.StartedUnixMS != int64(born) {
					t.Fatalf("seed %d, run %d, report %d: got process %d, want %d", seed, run, number, s.StartedUnixMS, born)
				}
				clock = clock.Add(heartbeat)
				applyLate(clock)
			}
			clock = clock.Add(time.Duration(600+rng.IntN(2000)) * time.Millisecond)
			applyLate(clock)
			if s := d.Servers()[0]; s.StartedUnixMS != int64(born) {
				t.Fatalf("seed %d, run %d, after its end: got process %d, want %d", seed, run, s.StartedUnixMS, born)
			}
		}
	}
}
