package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Timeouts of routes that the tests of changes switch between, in milliseconds, and the
// time that the servers need, which lies between them. 0 means that the route states none.
const (
	shortTimeout, longTimeout = 600, 2800
	serverTime                = 1500 * time.Millisecond
	// changeAfter is how long a request is in progress when the first change is published.
	changeAfter = 150 * time.Millisecond
	// timeoutSlack is how much later than at its timeout a request may end.
	timeoutSlack = 300 * time.Millisecond
)

// timeoutChange is a running gateway whose configured timeouts change.
type timeoutChange struct{ limitsChange }

// timeouts sets the timeout of all routes in the next configuration.
func (d *deployment) timeouts(ms int) {
	for _, r := range d.routes {
		r["timeout_ms"] = ms
		if ms == 0 {
			delete(r, "timeout_ms")
		}
	}
}

func startTimeoutChange(t *testing.T, ms int) timeoutChange {
	t.Helper()
	d := newDeployment(t)
	d.timeouts(ms)
	d.publish()
	for _, id := range []string{"d1", "d2"} {
		d.addRunner(runner.Config{ID: id, Body: "booked", ProcessingTime: serverTime}, "desk")
	}
	const events = 20
	for _, id := range []string{"m1", "m2"} {
		d.addRunner(runner.Config{ID: id, Events: events, EventInterval: serverTime / events}, "model")
	}
	return timeoutChange{limitsChange{d, d.startReady()}}
}

// wholeStream is the answer of the servers of streams.
var wholeStream = wantStream(20)

// changeTo publishes configurations with these timeouts, one after the other.
func (c timeoutChange) changeTo(list ...int) {
	time.Sleep(changeAfter)
	for _, ms := range list {
		c.d.timeouts(ms)
		c.set(c.d.limits)
	}
}

// begin sends a request and returns its answer, with the time that it took.
func (c timeoutChange) begin(method, path, body, deadline string) <-chan timedAnswer {
	r := newRequest(c.p, method, path, "key-a", body)
	r.Header.Set("Nutmegnotch-Deadline-Ms", deadline)
	return begin(r)
}

type timedAnswer struct {
	answer
	took time.Duration
}

func begin(r *http.Request) <-chan timedAnswer {
	ch := make(chan timedAnswer, 1)
	begun := time.Now()
	go func() {
		got := send(r)
		ch <- timedAnswer{got, time.Since(begun)}
	}()
	return ch
}

// Guards against requests that are cut off or answered 504 at a timeout of their route that
// was raised meanwhile, and against ones that a lowered timeout cuts off or that outlast the
// longest one.
func TestRaisedTimeoutHoldsForRequestsInProgress(t *testing.T) {
	t.Parallel()
	const deadline = "2900"
	gone := func(d *deployment) { d.routes = []map[string]any{route("other", "/other/", "idempotent", "desk", 1)} }
	renamed := func(d *deployment) {
		for _, r := range d.routes {
			r["name"] = r["name"].(string) + "-new"
		}
	}
	moved := func(d *deployment) {
		for _, r := range d.routes {
			r["path_prefix"] = "/moved" + r["path_prefix"].(string)
		}
	}
	cases := []struct {
		name     string
		before   int
		after    []int
		change   func(d *deployment)
		deadline string
		// ends is when a request ends unanswered, in milliseconds; 0 means that it is
		// served.
		ends int
	}{
		{"unchanged", shortTimeout, nil, nil, deadline, shortTimeout},
		{"raised", shortTimeout, []int{longTimeout}, nil, deadline, 0},
		{"raised and lowered again", shortTimeout, []int{longTimeout, shortTimeout}, nil, deadline, 0},
		{"raised in steps", shortTimeout, []int{900, 1200, longTimeout}, nil, deadline, 0},
		{"lowered and raised", shortTimeout, []int{300, longTimeout}, nil, deadline, 0},
		{"removed", shortTimeout, []int{0}, nil, deadline, 0},
		{"removed and stated again", shortTimeout, []int{0, shortTimeout}, nil, deadline, 0},
		{"raised, for another name", shortTimeout, []int{longTimeout}, renamed, deadline, 0},
		{"raised, for another path", shortTimeout, []int{longTimeout}, moved, deadline, 0},
		{"raised by too little", shortTimeout, []int{1000}, nil, deadline, 1000},
		{"raised, beyond the caller's deadline", shortTimeout, []int{longTimeout}, nil, "1000", 1000},
		{"route gone", shortTimeout, []int{longTimeout}, gone, deadline, shortTimeout},
		{"lowered", longTimeout, []int{shortTimeout}, nil, deadline, 0},
		{"stated after there was none", 0, []int{shortTimeout}, nil, deadline, 0},
		{"lowered, route gone", longTimeout, []int{shortTimeout}, gone, deadline, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startTimeoutChange(t, tc.before)
			inProgress := map[string]<-chan timedAnswer{
				"booking": c.begin(http.MethodPost, "/book/1", "pay", tc.deadline),
				"lookup":  c.begin(http.MethodGet, "/lookup/1", "", tc.deadline),
				"stream":  c.begin(http.MethodPost, "/draft/1", "write", tc.deadline),
			}
			time.Sleep(changeAfter)
			if tc.change != nil {
				tc.change(c.d)
			}
			c.changeTo(tc.after...)
			for name, ch := range inProgress {
				got := <-ch
				want := "booked"
				if name == "stream" {
					want = wholeStream
				}
				served := got.err == nil && got.status == http.StatusOK && got.body == want
				if tc.ends == 0 {
					if !served {
						t.Errorf("%s: got %d with %d bytes after %v (%v), want it served", name, got.status, len(got.body), got.took, got.err)
					}
					continue
				}
				at := time.Duration(tc.ends) * time.Millisecond
				if served || got.took < at-timeoutSlack/10 || got.took > at+timeoutSlack {
					t.Errorf("%s: got %d after %v (%v), want it to end after %v", name, got.status, got.took, got.err, at)
				}
				if name != "stream" && got.status != http.StatusGatewayTimeout {
					t.Errorf("%s: got %d (%v), want 504", name, got.status, got.err)
				}
			}
		})
	}
}

// Guards against requests that are sent after a lowered timeout is in force and outlast it.
func TestLoweredTimeoutHoldsForNewRequests(t *testing.T) {
	t.Parallel()
	for _, list := range [][]int{{shortTimeout}, {0, shortTimeout}, {shortTimeout, longTimeout, shortTimeout}} {
		t.Run(fmt.Sprint(list), func(t *testing.T) {
			t.Parallel()
			c := startTimeoutChange(t, longTimeout)
			c.changeTo(list...)
			got := <-c.begin(http.MethodPost, "/book/1", "pay", "2900")
			if at := shortTimeout * time.Millisecond; got.status != http.StatusGatewayTimeout || got.took > at+timeoutSlack {
				t.Errorf("new request: got %d after %v (%v), want 504 after %v", got.status, got.took, got.err, at)
			}
		})
	}
}

// Guards against requests that are refused at a timeout of their route which was raised while
// they wait for a server.
func TestRaisedTimeoutHoldsInTheQueue(t *testing.T) {
	t.Parallel()
	const (
		places   = 2 * 5
		enough   = 5000
		deadline = "6000"
	)
	for _, path := range []string{"/book/1", "/draft/1"} {
		for _, list := range [][]int{{enough}, {enough, shortTimeout}, {0}, {0, shortTimeout}} {
			t.Run(fmt.Sprint(path[1:], list), func(t *testing.T) {
				t.Parallel()
				c := startTimeoutChange(t, shortTimeout)
				// The time that a stream may wait follows from its objective too.
				c.d.routes[2]["slo_ms"] = 1000
				c.set(c.d.limits)
				var running []<-chan timedAnswer
				for range places {
					running = append(running, c.begin(http.MethodPost, path, "pay", deadline))
				}
				time.Sleep(changeAfter)
				queued := c.begin(http.MethodPost, path, "pay", deadline)
				c.changeTo(list...)
				for i, ch := range append(running, queued) {
					got := <-ch
					if got.status != http.StatusOK || got.err != nil {
						t.Errorf("request %d of %d: got %d after %v (%v), want it served", i+1, places+1, got.status, got.took, got.err)
					}
					if i == places && got.took < 2*serverTime-2*changeAfter {
						t.Errorf("last request: took %v, want it to wait for a place", got.took)
					}
				}
			})
		}
	}
}

// Guards against uploads that end at a timeout of their route which was raised meanwhile.
func TestRaisedTimeoutHoldsForUploads(t *testing.T) {
	t.Parallel()
	const body = "a long letter"
	cases := []struct {
		name    string
		after   []int
		chunked bool
		want    int
	}{
		{"unchanged", nil, false, http.StatusRequestTimeout},
		{"raised", []int{longTimeout}, false, http.StatusOK},
		{"raised, in chunks", []int{longTimeout}, true, http.StatusOK},
		{"raised and lowered again", []int{longTimeout, shortTimeout}, false, http.StatusOK},
		{"removed", []int{0}, false, http.StatusOK},
		{"raised by too little", []int{900}, false, http.StatusRequestTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := startTimeoutChange(t, shortTimeout)
			conn := dial(t, c.p)
			framing, first, rest := fmt.Sprintf("Content-Length: %d", len(body)), body[:4], body[4:]
			if tc.chunked {
				framing, first, rest = "Transfer-Encoding: chunked", "4\r\n"+body[:4]+"\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-4, body[4:])
			}
			head := "POST /draft/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: upload-" + strings.ReplaceAll(tc.name, " ", "-") +
				"\r\nNutmegnotch-Key: key-a\r\nNutmegnotch-Deadline-Ms: 2900\r\n" + framing + "\r\n\r\n"
			if _, err := io.WriteString(conn, head+first); err != nil {
				t.Fatalf("send the first part: %v", err)
			}
			c.changeTo(tc.after...)
			time.Sleep(2 * shortTimeout * time.Millisecond)
			// The gateway may have answered and closed the connection.
			_, writeErr := io.WriteString(conn, rest)
			got, err := conn.readStatus()
			if got != tc.want {
				t.Fatalf("upload in two parts: got %d (%v, %v), want %d", got, writeErr, err, tc.want)
			}
		})
	}
}

// Guards against streams that are not resumed, or are cut off by another server, at a timeout
// of their route which was raised meanwhile.
func TestRaisedTimeoutHoldsForResumedStreams(t *testing.T) {
	t.Parallel()
	for _, list := range [][]int{{longTimeout}, {longTimeout, shortTimeout}, {0}} {
		t.Run(fmt.Sprint(list), func(t *testing.T) {
			t.Parallel()
			c := startTimeoutChange(t, shortTimeout)
			c.d.runners["m2"].ShareFaults(c.d.runners["m1"])
			c.d.runners["m1"].Fail(runner.FaultTruncated)
			ch := c.begin(http.MethodPost, "/draft/1", "write", "2900")
			c.changeTo(list...)
			got := <-ch
			if runs := len(c.d.runners["m1"].Runs()) + len(c.d.runners["m2"].Runs()); runs != 2 {
				t.Errorf("runs: got %d, want 2", runs)
			}
			if got.err != nil || got.body != wholeStream {
				t.Errorf("resumed stream: got %d bytes after %v (%v), want %d", len(got.body), got.took, got.err, len(wholeStream))
			}
		})
	}
}

// Guards against a planned stop that cuts off a request which a raised timeout lets outlast
// its grace.
func TestRaisedTimeoutEndsWithAPlannedStop(t *testing.T) {
	t.Parallel()
	c := startTimeoutChange(t, shortTimeout)
	for _, id := range []string{"d1", "d2"} {
		c.d.runners[id].Fail(runner.FaultHang)
	}
	ch := c.begin(http.MethodPost, "/book/1", "pay", "10000")
	time.Sleep(changeAfter)
	c.p.stop()
	c.changeTo(10_000)
	got := <-ch
	if got.status != http.StatusGatewayTimeout || got.took < shortTimeout*time.Millisecond {
		t.Errorf("request: got %d after %v (%v), want 504 later than the old timeout", got.status, got.took, got.err)
	}
}
