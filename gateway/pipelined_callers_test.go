package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a planned stop that leaves out the requests behind one which a caller has
// sent together with them.
func TestPlannedStopAnswersPipelinedCallers(t *testing.T) {
	t.Parallel()
	takes := func(d time.Duration) script {
		return func(_ int, w http.ResponseWriter, r *http.Request) bool { return workFor(d, w, r) }
	}
	cases := []struct {
		name   string
		script script
		kinds  []string
		// deadline is that of each request, and after is when the requests are sent after the begin of the stop.
		deadline, after time.Duration
	}{
		{"before the stop", takes(300 * time.Millisecond), []string{"lookup", "book"}, 2 * time.Second, -100 * time.Millisecond},
		{"when callers cannot know of the stop", takes(300 * time.Millisecond), []string{"lookup", "book"}, 2 * time.Second, 100 * time.Millisecond},
		{"three of them", takes(300 * time.Millisecond), []string{"book", "lookup", "book"}, 2 * time.Second, 500 * time.Millisecond},
		{"behind one that is aborted", takes(2 * stopGrace), []string{"book", "lookup", "book"}, unlimited, -100 * time.Millisecond},
		{"behind one that is aborted, in the stop", takes(2 * stopGrace), []string{"book", "book"}, unlimited, 100 * time.Millisecond},
		{"late", takes(100 * time.Millisecond), []string{"lookup", "book"}, 300 * time.Millisecond, stopReject - 50*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopTrial(t, 2, tc.script)
			s.begun = time.Now().Add(max(0, -tc.after))
			s.pipeline(tc.kinds, tc.after, tc.deadline)
			time.Sleep(time.Until(s.begun))
			s.begin()
			s.check(0)
		})
	}
}

// pipeline sends requests one behind the other on a new connection.
func (s *stopTrial) pipeline(kinds []string, after, deadline time.Duration) {
	s.wg.Go(func() {
		s.sleepUntil(after)
		var text strings.Builder
		var requests []*stopRequest
		for _, k := range kinds {
			q, head := s.head(k, deadline, emptyBody)
			requests = append(requests, q)
			text.WriteString(head)
		}
		c := s.dial()
		if c == nil {
			return
		}
		defer c.Close()
		s.write(c, text.String())
		sent := time.Now()
		for _, q := range requests {
			s.endSince(c, q, sent)
		}
	})
}
