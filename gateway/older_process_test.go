package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// report is a report of a process of a server; an empty state removes the record.
type report struct {
	started, number int
	state           string
}

func (d *deployment) putReports(id string, reports ...report) {
	for _, r := range reports {
		if r.state == "" {
			d.store.Put("keyed.servers", id, nil)
		} else {
			d.store.PutJSON("keyed.servers", id, map[string]any{"service": "desk", "addr": d.runners[id].Address(), "zone": "z1", "version": "v1",
				"cold_left_ms": 0, "slots": 4, "state": r.state, "born": r.started, "seq": r.number})
		}
		time.Sleep(120 * time.Millisecond)
	}
}

// Guards against late reports of an ended process that undo what is known of the present one
// of the same id: that it leaves or asked for a pause, and that it serves.
func TestLateReportsOfAnEndedProcess(t *testing.T) {
	t.Parallel()
	const (
		none = iota
		leaving
		pause
	)
	cases := []struct {
		name string
		// before is reported before the server says in its replies what said states, and late
		// after it.
		before []report
		said   int
		late   []report
		// second has a gateway judge that starts after before.
		second bool
		used   bool
	}{
		{"present process is draining", []report{{1000, 1, "ready"}, {1000, 2, "ready"}, {2000, 1, "ready"}, {2000, 2, "draining"}}, none, []report{{1000, 3, "ready"}}, false, false},
		{"present process says that it leaves", []report{{1000, 1, "ready"}, {2000, 1, "ready"}}, leaving, []report{{1000, 3, "ready"}}, false, false},
		{"time of day went back", []report{{9000, 1, "ready"}, {9000, 2, "ready"}, {2000, 1, "draining"}}, none, []report{{9000, 3, "ready"}}, false, false},
		{"two ended processes", []report{{1000, 1, "ready"}, {2000, 1, "ready"}, {3000, 1, "draining"}}, none, []report{{1000, 2, "ready"}, {2000, 2, "ready"}}, false, false},
		{"gateway that starts meanwhile", []report{{1000, 1, "ready"}, {2000, 1, "draining"}}, none, []report{{1000, 2, "ready"}}, true, false},
		{"removed", []report{{1000, 1, "ready"}, {2000, 1, "draining"}, {}}, none, []report{{1000, 2, "ready"}}, false, false},
		{"paused", []report{{1000, 1, "ready"}, {2000, 1, "ready"}}, pause, []report{{1000, 2, "ready"}}, false, false},
		{"paused and listed again", []report{{1000, 1, "ready"}, {2000, 1, "ready"}}, pause, []report{{1000, 2, "ready"}, {}, {2000, 2, "ready"}}, false, false},
		{"ended process was draining", []report{{1000, 1, "ready"}, {2000, 1, "ready"}}, none, []report{{1000, 2, "draining"}}, false, true},
		{"new process whose time of day went back", []report{{9000, 1, "ready"}, {9000, 2, "draining"}}, none, []report{{2000, 1, "ready"}}, false, true},
		{"new process after a late report", []report{{1000, 1, "ready"}, {2000, 1, "draining"}}, none, []report{{1000, 2, "ready"}, {3000, 1, "ready"}}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			s := d.addRunner(runner.Config{ID: "s0", Body: "ok"}, "desk")
			d.putReports("s0", c.before[0])
			d.addRunner(runner.Config{ID: "s1", Body: "ok"}, "desk")
			p := d.startReady()
			d.putReports("s0", c.before[1:]...)
			if c.second {
				p = d.startReady()
			}
			ask := func() {
				if got := send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")); got.status != http.StatusOK {
					t.Errorf("request: got %d (%v), want 200", got.status, got.err)
				}
			}
			switch c.said {
			case leaving:
				s.Leave()
			case pause:
				s.Pause(8*time.Second, "8")
			}
			if c.said != none {
				eventually(t, "the server has said so", func() bool {
					ask()
					return p.logs.FilterMessage("server says that it leaves").Len()+p.logs.FilterMessage("server asked for a pause").Len() > 0
				})
			}
			d.putReports("s0", c.late...)
			time.Sleep(100 * time.Millisecond)
			before := len(s.Runs()) + len(s.Rejected())
			for range 30 {
				ask()
			}
			if got := len(s.Runs()) + len(s.Rejected()) - before; got > 0 != c.used {
				t.Errorf("requests at the server: got %d of 30, want some: %t", got, c.used)
			}
		})
	}
}
