package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, p *process) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	return &callerConn{c, bufio.NewReader(c)}
}

// lookup sends a request with a header of the given length and returns the status.
func (c *callerConn) lookup(id string, length int) (int, error) {
	_, err := fmt.Fprintf(c, "GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 3000\r\nX-Long: %s\r\n\r\n", id, strings.Repeat("x", length))
	if err != nil {
		return 0, err
	}
	return c.readStatus()
}

// readStatus reads a whole answer and returns its status.
func (c *callerConn) readStatus() (int, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// closedWithin reports whether the gateway closes the connection within d.
func (c *callerConn) closedWithin(d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return true
	}
	_, err := c.r.ReadByte()
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Guards against configured limits of callers' connections that are not applied,
// also when a later version of the configuration changes them.
func TestCallerLimits(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "found"}, "desk")
	p := d.startReady()
	old := dial(t, p)
	if got, err := old.lookup("limits-1", 20_000); got != http.StatusOK {
		t.Fatalf("long header without a limit: got %d (%v), want 200", got, err)
	}
	d.limits = map[string]any{"max_header_bytes": 8192, "header_timeout_ms": 300, "idle_timeout_ms": 400}
	d.publish()
	eventually(t, "the limits apply to new connections", func() bool {
		got, _ := dial(t, p).lookup("limits-2", 20_000)
		return got == http.StatusRequestHeaderFieldsTooLarge
	})
	if got, err := dial(t, p).lookup("limits-3", 1000); got != http.StatusOK {
		t.Errorf("short header: got %d (%v), want 200", got, err)
	}
	slow := dial(t, p)
	if _, err := io.WriteString(slow, "GET /lookup/1 HTTP/1.1\r\nHost: a.exa"); err != nil {
		t.Fatalf("send part of a header: %v", err)
	}
	if err := slow.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if got, err := slow.readStatus(); got != http.StatusRequestTimeout {
		t.Errorf("incomplete header: got %d (%v), want 408 after 300ms", got, err)
	}
	if !slow.closedWithin(2 * time.Second) {
		t.Error("connection with an incomplete header: got open after 2s, want closed after 300ms")
	}
	idle := dial(t, p)
	if got, err := idle.lookup("limits-4", 10); got != http.StatusOK {
		t.Fatalf("first request: got %d (%v), want 200", got, err)
	}
	time.Sleep(200 * time.Millisecond)
	if got, err := idle.lookup("limits-5", 10); got != http.StatusOK {
		t.Errorf("request after half of the idle timeout: got %d (%v), want 200", got, err)
	}
	if !idle.closedWithin(2 * time.Second) {
		t.Error("idle connection: got open after 2s, want closed after 400ms")
	}
	if got, err := old.lookup("limits-6", 20_000); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long header on a connection accepted before the limit: got %d (%v), want 431", got, err)
	}
}
