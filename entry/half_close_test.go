package entry_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/io/peer/peerpb"
)

// Guards against a success that no backend server has sent, when a caller closes its side
// of the connection before the reply.
func TestHalfClosedCallerGetsNoForgedReply(t *testing.T) {
	// untilEnd waits until the entry ends the request stream.
	untilEnd := func(c requestStream) {
		for {
			if _, err := c.s.Receive(); err != nil {
				return
			}
		}
	}
	cases := []struct {
		name, idempotencyKey string
		serve                func(c requestStream)
	}{
		{"repeatable, before the verdict", "", untilEnd},
		{"repeatable, after the verdict", "", func(c requestStream) {
			c.verdict(&peerpb.Verdict{Admitted: true})
			untilEnd(c)
		}},
		{"keyed, before the verdict", "k-1", func(c requestStream) {
			time.Sleep(300 * time.Millisecond)
			c.answer([]byte("booked"))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			service := "text"
			if tc.idempotencyKey != "" {
				service = "desk"
			}
			a := newFakeAgent("a1", service, "d1", tc.serve)
			g := newHarness(t, nil, a)
			c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if err := g.request("k1", tc.idempotencyKey).Write(c); err != nil {
				t.Fatalf("send: %v", err)
			}
			waitFor(t, "the agent has the request", func() bool { return a.runs.Load() == 1 })
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode < http.StatusMultipleChoices {
				t.Errorf("reply: got status %d, want none", resp.StatusCode)
			}
		})
	}
}
