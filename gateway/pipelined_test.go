package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a head whose begin was read together with the request before it, and which is
// held to the idle timeout.
func TestPipelinedHeadIsHeldToTheHeaderTimeout(t *testing.T) {
	t.Parallel()
	const request = "GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: pipelined-%d\r\nNutmegnotch-Key: key-a\r\n" +
		"Nutmegnotch-Deadline-Ms: 3000\r\n\r\n"
	first, second := fmt.Sprintf(request, 1), fmt.Sprintf(request, 2)
	cases := []struct {
		name  string
		limit string
		sent  int
		want  int
	}{
		{"short idle timeout, part of a line", "idle_timeout_ms", 10, http.StatusOK},
		{"short idle timeout, a whole line", "idle_timeout_ms", len("GET /lookup/1 HTTP/1.1\r\n"), http.StatusOK},
		{"short header timeout, part of a line", "header_timeout_ms", 10, http.StatusRequestTimeout},
		{"short header timeout, a whole line", "header_timeout_ms", len("GET /lookup/1 HTTP/1.1\r\n"), http.StatusRequestTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, startLimitsChange(t, callerLimits(tc.limit, shortTime)).p)
			sendText(t, c, first+second[:tc.sent])
			if got, err := c.readStatus(); got != http.StatusOK {
				t.Fatalf("first request: got %d (%v), want 200", got, err)
			}
			time.Sleep(afterShortTime)
			// A caller that was rejected may be unable to send.
			_, sendErr := io.WriteString(c, second[tc.sent:])
			if err := c.SetReadDeadline(time.Now().Add(longTime * time.Millisecond / 2)); err != nil {
				t.Fatalf("set read deadline: %v", err)
			}
			if got, err := c.readStatus(); got != tc.want {
				t.Errorf("request whose head was sent in part for %v: got %d (%v, send: %v), want %d", afterShortTime, got, err, sendErr, tc.want)
			}
		})
	}
}

// Guards against an empty line after a body that counts as the begin of the next head, so that
// the caller gets 408 while it waits.
func TestEmptyLineAfterABodyBeginsNoHead(t *testing.T) {
	t.Parallel()
	const head = "POST /lookup/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: line-1\r\nNutmegnotch-Key: key-a\r\n" +
		"Nutmegnotch-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody"
	cases := []struct {
		name        string
		with, after string
	}{
		{"sent with the request", "\r\n", ""},
		{"sent after the answer", "", "\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, startLimitsChange(t, callerLimits("header_timeout_ms", shortTime)).p)
			sendText(t, c, head+tc.with)
			if got, err := c.readStatus(); got != http.StatusOK {
				t.Fatalf("first request: got %d (%v), want 200", got, err)
			}
			sendText(t, c, tc.after)
			time.Sleep(afterShortTime)
			if got, err := c.lookup("line-2", smallHeadBytes); got != http.StatusOK {
				t.Errorf("request after %v: got %d (%v), want 200", afterShortTime, got, err)
			}
		})
	}
}

func sendText(t *testing.T, c *callerConn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("send %q: %v", text, err)
	}
}
