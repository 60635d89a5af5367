package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a planned stop that cuts off the answer to a caller who reads it slowly.
func TestPlannedStopWaitsForSlowCallers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		bytes int
		// answered is when the server answers after the begin of the stop, and read when the
		// caller has read all.
		answered, read time.Duration
	}{
		{"buffered answer, read before the last request is accepted", 100 << 10, 300 * time.Millisecond, time.Second},
		{"buffered answer, read after that", 100 << 10, 300 * time.Millisecond, stopReject + 300*time.Millisecond},
		{"buffered answer just before the abort", 100 << 10, stopAbort - 50*time.Millisecond, stopAbort + 800*time.Millisecond},
		{"large answer, read before the last request is accepted", 12 << 20, 300 * time.Millisecond, time.Second},
		{"large answer, read after that", 12 << 20, 300 * time.Millisecond, stopReject + 300*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("x", tc.bytes)
			s := startStopTrial(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) bool {
				time.Sleep(tc.answered)
				_, _ = io.WriteString(w, body)
				return true
			})
			s.begin()
			q, head := s.head("book", unlimited, emptyBody)
			c := s.dial()
			defer c.Close()
			s.write(c, head)
			s.sleepUntil(tc.read - 200*time.Millisecond)
			s.end(c, q)
			if len(q.body) != tc.bytes {
				t.Errorf("answer: got %d bytes (%v), want %d", len(q.body), q.err, tc.bytes)
			}
			s.wg.Wait()
		})
	}
}
