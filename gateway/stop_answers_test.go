package gateway_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a planned stop that closes the connection of a whole request without an
// answer, or refuses as not run what has run.
func TestPlannedStopAnswersEachWholeRequest(t *testing.T) {
	t.Parallel()
	kinds := []string{"lookup", "book"}
	longer := func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(2*stopGrace, w, r) }
	quick := func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(20*time.Millisecond, w, r) }
	cases := []struct {
		name    string
		servers int
		script  script
		// sends is the least number of requests that reach a server.
		sends int
		// play sends the requests after the begin of the stop.
		play func(s *stopTrial)
	}{
		{"servers still run at the abort", 2, longer, 8, func(s *stopTrial) {
			for i := range 6 {
				s.request(kinds[i%2], time.Duration(i)*100*time.Millisecond, unlimited)
				s.request(kinds[i%2], time.Duration(i)*100*time.Millisecond, 0)
			}
		}},
		{"stream without an event at the abort", 2, longer, 1, func(s *stopTrial) {
			s.request("draft", 100*time.Millisecond, unlimited)
		}},
		{"streams that are resumed late", 2,
			func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n >= 4 {
					sendEvents(stopEvents+1, 30*time.Millisecond*time.Duration(n-3), w, r)
					return true
				}
				sendEvents(3, 0, w, r)
				time.Sleep(stopAbort - 500*time.Millisecond)
				return resetCaller(w)
			}, 8, func(s *stopTrial) {
				for range 4 {
					s.request("draft", 100*time.Millisecond, unlimited)
				}
			}},
		{"a queue that moves until the abort", 1,
			func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(130*time.Millisecond, w, r) },
			20, func(s *stopTrial) {
				for i := range 120 {
					s.request(kinds[i%2], time.Duration(i)*9*time.Millisecond, unlimited)
				}
			}},
		{"servers that reject until the end", 3,
			func(_ int, w http.ResponseWriter, _ *http.Request) bool {
				time.Sleep(70 * time.Millisecond)
				return rejectNotRun(w)
			}, 20, func(s *stopTrial) {
				for i := range 40 {
					s.request(kinds[i%2], time.Duration(i)*27*time.Millisecond, unlimited)
				}
			}},
		{"a rejection just before the abort, then a long run", 2,
			func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n < 8 {
					time.Sleep(stopAbort - 200*time.Millisecond - time.Duration(n)*5*time.Millisecond)
					return rejectNotRun(w)
				}
				return workFor(stopGrace, w, r)
			}, 9, func(s *stopTrial) {
				for i := range 8 {
					s.request(kinds[i%2], 180*time.Millisecond, unlimited)
				}
			}},
		{"a first server that fails late", 2,
			func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n >= 4 {
					return workFor(stopGrace, w, r)
				}
				time.Sleep(stopAbort - 700*time.Millisecond)
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}, 6, func(s *stopTrial) {
				for i := range 4 {
					s.request(kinds[i%2], 100*time.Millisecond, unlimited)
				}
			}},
		{"a first server that resets late", 2,
			func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n >= 4 {
					return workFor(stopGrace, w, r)
				}
				time.Sleep(stopAbort - 700*time.Millisecond)
				return resetCaller(w)
			}, 6, func(s *stopTrial) {
				for i := range 4 {
					s.request(kinds[i%2], 100*time.Millisecond, unlimited)
				}
			}},
		{"answers around the abort", 2,
			func(n int, w http.ResponseWriter, r *http.Request) bool {
				return workFor(stopAbort-200*time.Millisecond+time.Duration(n-8)*10*time.Millisecond, w, r)
			}, 8, func(s *stopTrial) {
				for i := range 8 {
					s.request(kinds[i%2], 200*time.Millisecond, unlimited)
				}
			}},
		{"deadlines around the abort", 2, longer, 4, func(s *stopTrial) {
			for i := range 8 {
				at := 100*time.Millisecond + time.Duration(i%4)*600*time.Millisecond
				s.request(kinds[i%2], at, stopAbort-at+time.Duration(i-6)*10*time.Millisecond)
			}
		}},
		{"requests all the time", 2, quick, 200, func(s *stopTrial) {
			for i := range 600 {
				s.request(kinds[i%2], time.Duration(i)*5*time.Millisecond, 300*time.Millisecond)
			}
		}},
		{"requests without a deadline all the time", 2, quick, 50, func(s *stopTrial) {
			for i := range 300 {
				s.request(kinds[i%2], time.Duration(i)*10*time.Millisecond, 0)
			}
		}},
		{"bodies that end late beside a queue", 1,
			func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(150*time.Millisecond, w, r) },
			20, func(s *stopTrial) {
				for i := range 60 {
					s.request(kinds[i%2], time.Duration(i)*15*time.Millisecond, unlimited)
				}
				for i := range 50 {
					s.upload(kinds[i%2], time.Duration(i)*10*time.Millisecond, time.Duration(i)*60*time.Millisecond, "Content-Length: 10\r\n", "01234", "56789")
				}
			}},
		{"chunked uploads with 100-continue that end late", 2, quick, 10, func(s *stopTrial) {
			for i := range 50 {
				s.upload(kinds[i%2], time.Duration(i)*10*time.Millisecond, time.Duration(i)*60*time.Millisecond,
					"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n", "5\r\n01234\r\n", "0\r\n\r\n")
			}
		}},
		{"large uploads that are refused before they have come", 2, quick, 10, func(s *stopTrial) {
			for i := range 40 {
				s.wholeUpload(kinds[i%2], time.Duration(i)*55*time.Millisecond, 3000*(1+i%4*100))
			}
		}},
		{"configurations and settings change", 2,
			func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(700*time.Millisecond, w, r) },
			10, func(s *stopTrial) {
				for i := range 12 {
					s.request(kinds[i%2], time.Duration(i)*100*time.Millisecond, unlimited)
					s.request(kinds[i%2], time.Duration(i)*150*time.Millisecond, 800*time.Millisecond)
				}
				routes := slices.Clone(s.routes)
				for i := range 10 {
					s.sleepUntil(100*time.Millisecond + time.Duration(i)*250*time.Millisecond)
					s.limits = map[string]any{"max_body_bytes": 1000 + i, "idle_timeout_ms": 200 + 100*i, "header_timeout_ms": 300 + 50*i, "max_header_bytes": 4096 + i}
					s.routes = slices.Clone(routes[:1+i%3])
					s.publish()
					changed := s.reloadable
					changed.Grace = time.Duration(i%3) * stopGrace / 2
					s.p.reload(changed)
				}
			}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopTrial(t, tc.servers, tc.script)
			s.begin()
			tc.play(s)
			s.check(tc.sends)
		})
	}
}

// Guards against a planned stop that cuts off a request on a kept connection.
func TestPlannedStopAnswersKeptConnections(t *testing.T) {
	t.Parallel()
	const (
		kept     = 100
		used     = 20
		interval = stopGrace / kept
	)
	s := startStopTrial(t, 2, func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(20*time.Millisecond, w, r) })
	var conns []*callerConn
	for i := range kept {
		c := s.dial()
		conns = append(conns, c)
		if i%(kept/used) == 0 {
			q, head := s.head("lookup", time.Second, emptyBody)
			s.write(c, head)
			s.end(c, q)
		}
	}
	s.begin()
	for i, c := range conns {
		s.wg.Go(func() {
			defer c.Close()
			s.sleepUntil(time.Duration(i) * interval)
			if c.hasInput() {
				return
			}
			q, head := s.head([]string{"lookup", "book"}[i%2], 300*time.Millisecond, emptyBody)
			s.write(c, head)
			s.end(c, q)
		})
	}
	s.check(kept / 2)
}

// Guards against a planned stop that breaks off a reply which ends just after the abort.
func TestPlannedStopWaitsForRepliesInProgress(t *testing.T) {
	t.Parallel()
	const (
		sent = 100 * time.Millisecond
		// begins is how long before the abort a reply begins, and ends how long after it
		// the reply ends.
		begins   = 70 * time.Millisecond
		ends     = 15 * time.Millisecond
		requests = 4
	)
	cases := []struct {
		name  string
		bytes int
	}{
		{"buffered", 10},
		{"large", 300_000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopTrial(t, 2, func(_ int, w http.ResponseWriter, _ *http.Request) bool {
				time.Sleep(stopAbort - sent - begins)
				_, _ = io.WriteString(w, strings.Repeat("x", tc.bytes))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(begins + ends)
				_, _ = io.WriteString(w, "end")
				return true
			})
			s.begin()
			for range requests {
				s.request("book", sent, unlimited)
			}
			s.check(requests)
			for _, q := range s.sent {
				if q.status != http.StatusOK {
					t.Errorf("booking whose server answers around the abort: got %d, want 200", q.status)
				}
			}
		})
	}
}

// Guards against gateways that stop one after the other and cut off what callers of the
// others have sent to them instead.
func TestPlannedStopsInTurnAnswerEachWholeRequest(t *testing.T) {
	t.Parallel()
	const (
		apart    = 700 * time.Millisecond
		interval = 25 * time.Millisecond
		callers  = 120
		tries    = 3
		retryGap = 100 * time.Millisecond
	)
	kinds := []string{"lookup", "book", "draft"}
	cases := []struct {
		name     string
		work     time.Duration
		deadline time.Duration
	}{
		{"short requests", 50 * time.Millisecond, time.Second},
		{"a queue", 500 * time.Millisecond, 3 * time.Second},
		{"requests that outlast the grace", stopGrace, 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopTrial(t, 2, func(n int, w http.ResponseWriter, r *http.Request) bool {
				switch {
				case n%7 == 3:
					return rejectNotRun(w)
				case r.URL.Path == "/draft/1":
					sendEvents(stopEvents+1, tc.work/stopEvents, w, r)
					return true
				}
				return workFor(tc.work, w, r)
			})
			all := []*process{s.p, s.startReady(), s.startReady(), s.startReady()}
			eventually(t, "the gateways are connected", s.connected)
			s.begin()
			s.later = map[*process]time.Duration{}
			for i, p := range all[1:3] {
				s.later[p] = time.Duration(i+1) * apart
			}
			for i := range callers {
				s.wg.Go(func() {
					s.sleepUntil(time.Duration(i) * interval)
					for try := range tries {
						if st := s.sendTo(all[(i+try)%len(all)], kinds[i%len(kinds)], tc.deadline); st != 0 && st != http.StatusServiceUnavailable {
							return
						}
						time.Sleep(retryGap)
					}
				})
			}
			for _, p := range all[1:3] {
				s.wg.Go(func() {
					s.sleepUntil(s.later[p])
					p.stop()
					<-p.done
				})
			}
			s.check(callers / 20)
		})
	}
}
