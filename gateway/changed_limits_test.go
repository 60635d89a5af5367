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

// Limits of callers that the tests of changes switch between.
const (
	// A configuration takes up to 0.6 s to be in force on a busy machine.
	shortTime, longTime         = 1500, 20_000 // Milliseconds.
	smallHeader, largeHeader    = 2048, 65536
	afterShortTime              = 2500 * time.Millisecond
	withinShortTime             = 100 * time.Millisecond
	smallHeadBytes, longerBytes = 100, 30_000
)

// callerLimits returns a configuration's limits, with one of them changed.
func callerLimits(name string, value int) map[string]any {
	l := map[string]any{"max_body_bytes": 1000, "max_header_bytes": largeHeader, "header_timeout_ms": longTime, "idle_timeout_ms": longTime}
	l[name] = value
	if value == 0 {
		delete(l, name)
	}
	return l
}

// limitsChange is a running gateway with one server whose configured limits change.
type limitsChange struct {
	d *deployment
	p *process
}

func startLimitsChange(t *testing.T, limits map[string]any) limitsChange {
	t.Helper()
	d := newDeployment(t)
	d.limits = limits
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "found"}, "desk")
	return limitsChange{d, d.startReady()}
}

// set publishes limits and waits until they are in force.
func (l limitsChange) set(limits map[string]any) {
	l.d.t.Helper()
	l.d.limits = limits
	l.d.publish()
	eventually(l.d.t, "the gateway has the configuration", func() bool {
		for _, e := range l.p.logs.FilterMessage("configuration changed").All() {
			if e.ContextMap()["version"] == int64(l.d.version) {
				return true
			}
		}
		return false
	})
}

// sendHead sends the first part of a request's head, waits, and sends the rest.
func (c *callerConn) sendHead(id string, length int, wait func()) (int, error) {
	head := fmt.Sprintf("GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 3000\r\nX-Long: %s\r\n\r\n", id, strings.Repeat("x", length))
	half := smallHeader / 2
	if half > len(head) {
		half = len(head) / 2
	}
	if _, err := io.WriteString(c, head[:half]); err != nil {
		return 0, err
	}
	wait()
	if _, err := io.WriteString(c, head[half:]); err != nil {
		return 0, err
	}
	return c.readStatus()
}

// Guards against kept connections that are held to limits which were raised meanwhile.
func TestRaisedLimitsHoldOnKeptConnections(t *testing.T) {
	t.Parallel()
	const (
		idle   = "idle_timeout_ms"
		header = "header_timeout_ms"
		size   = "max_header_bytes"
	)
	sleep := func() { time.Sleep(afterShortTime) }
	cases := []struct {
		name          string
		limit         string
		before, after int
		// kept uses a connection that has been used once before the limit is changed by
		// raise.
		kept func(c *callerConn, raise func()) (int, error)
	}{
		{"idle timeout, used once more", idle, shortTime, longTime, func(c *callerConn, raise func()) (int, error) {
			raise()
			if got, err := c.lookup("changed-2", smallHeadBytes); got != http.StatusOK {
				return got, err
			}
			sleep()
			return c.lookup("changed-3", smallHeadBytes)
		}},
		{"idle timeout, while idle", idle, shortTime, longTime, func(c *callerConn, raise func()) (int, error) {
			time.Sleep(withinShortTime)
			raise()
			sleep()
			return c.lookup("changed-2", smallHeadBytes)
		}},
		{"idle timeout, removed", idle, shortTime, 0, func(c *callerConn, raise func()) (int, error) {
			raise()
			sleep()
			return c.lookup("changed-2", smallHeadBytes)
		}},
		{"size of the head", size, smallHeader, largeHeader, func(c *callerConn, raise func()) (int, error) {
			raise()
			return c.lookup("changed-2", longerBytes)
		}},
		{"size of the head, while it arrives", size, smallHeader, largeHeader, func(c *callerConn, raise func()) (int, error) {
			return c.sendHead("changed-2", longerBytes, raise)
		}},
		{"size of the head, removed", size, smallHeader, 0, func(c *callerConn, raise func()) (int, error) {
			raise()
			return c.lookup("changed-2", longerBytes)
		}},
		{"header timeout", header, shortTime, longTime, func(c *callerConn, raise func()) (int, error) {
			raise()
			return c.sendHead("changed-2", smallHeadBytes, sleep)
		}},
		{"header timeout, while the head arrives", header, shortTime, longTime, func(c *callerConn, raise func()) (int, error) {
			return c.sendHead("changed-2", smallHeadBytes, func() {
				raise()
				sleep()
			})
		}},
		{"header timeout, removed", header, shortTime, 0, func(c *callerConn, raise func()) (int, error) {
			raise()
			return c.sendHead("changed-2", smallHeadBytes, sleep)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l := startLimitsChange(t, callerLimits(tc.limit, tc.before))
			c := dial(t, l.p)
			if got, err := c.lookup("changed-1", smallHeadBytes); got != http.StatusOK {
				t.Fatalf("first request: got %d (%v), want 200", got, err)
			}
			got, err := tc.kept(c, func() { l.set(callerLimits(tc.limit, tc.after)) })
			if got != http.StatusOK {
				t.Errorf("request within the limits in force: got %d (%v), want 200", got, err)
			}
		})
	}
}

// Guards against callers that are cut off by a limit which was lowered while they waited, also
// after it was raised in between.
func TestLoweredIdleTimeoutSparesWaitingCallers(t *testing.T) {
	t.Parallel()
	const idle = "idle_timeout_ms"
	cases := []struct {
		name   string
		values []int
	}{
		{"lowered", []int{longTime, shortTime}},
		{"raised and lowered", []int{shortTime, longTime, shortTime}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l := startLimitsChange(t, callerLimits(idle, tc.values[0]))
			c := dial(t, l.p)
			if got, err := c.lookup("lowered-1", smallHeadBytes); got != http.StatusOK {
				t.Fatalf("first request: got %d (%v), want 200", got, err)
			}
			for _, v := range tc.values[1:] {
				l.set(callerLimits(idle, v))
			}
			time.Sleep(afterShortTime)
			if got, err := c.lookup("lowered-2", smallHeadBytes); got != http.StatusOK {
				t.Errorf("request of a caller that waited while the limit was lowered: got %d (%v), want 200", got, err)
			}
			if !c.closedWithin(4 * afterShortTime) {
				t.Errorf("connection idle since the limit was lowered: got open after %v, want closed after %d ms", 4*afterShortTime, shortTime)
			}
		})
	}
}
