package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// streamHead is the head of a stream; ID stands for the id of the request.
const streamHead = "HTTP/1.1 200 OK\r\nNutmegnotch-Request-Id: ID\r\nNutmegnotch-Response-Seal: seal.bad\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// serveSlowly accepts connections and answers each request with the pieces, one after
// each pause, and the last one again until the client closes if endless is set.
func serveSlowly(t *testing.T, pieces []string, pause time.Duration, endless bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				head := strings.ReplaceAll(streamHead, "ID", r.Header.Get("Nutmegnotch-Request-Id"))
				if _, err := io.WriteString(c, head); err != nil {
					return
				}
				for i := 0; i < len(pieces) || endless; i++ {
					if _, err := io.WriteString(c, pieces[min(i, len(pieces)-1)]); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
		}
	})
	return l.Addr().String()
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// Guards against sound streams that are cut because they are slow, up to the pause after
// which callers give up, and against stalled ones that go on beyond their deadline, or
// look complete, because a byte comes now and then.
func TestSlowAndStalledStreams(t *testing.T) {
	t.Parallel()
	const deadline, slack = 3 * time.Second, 500 * time.Millisecond
	event := func(n int) string { return chunk(fmt.Sprintf("id: %d\ndata: x\n\n", n)) }
	for _, c := range []struct {
		name    string
		pieces  []string
		pause   time.Duration
		endless bool
		sound   bool
	}{
		{"slow", []string{event(1), event(2), event(3) + "0\r\n\r\n"}, 1200 * time.Millisecond, false, true},
		{"a byte of an event at a time", strings.Split(chunk("id: 1\ndata: x\n\n")+"0\r\n\r\n", ""), 50 * time.Millisecond, false, true},
		{"bytes inside an event", []string{event(1), chunk("data: "), chunk("x")}, 100 * time.Millisecond, true, false},
		{"bytes inside the size of a chunk", []string{event(1), "0"}, 100 * time.Millisecond, true, false},
		{"comments", []string{event(1), chunk(": c\n\n")}, 100 * time.Millisecond, true, false},
		{"blank lines", []string{event(1), chunk("\n")}, 100 * time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			d.store.PutJSON("keyed.servers", "slow", map[string]any{
				"service": "model", "addr": serveSlowly(t, c.pieces, c.pause, c.endless), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 4, "state": "ready", "born": 1, "seq": 1,
			})
			p := d.startReady()
			begun := time.Now()
			got := send(newRequest(p, "POST", "/draft/x", "key-a", ""))
			if took := time.Since(begun); took > deadline+slack {
				t.Errorf("stream: ended after %v, want at most %v", took, deadline+slack)
			}
			if complete := got.err == nil && got.status == http.StatusOK; complete != c.sound {
				t.Errorf("stream: got status %d, error %v and %q, want it complete: %t", got.status, got.err, got.body, c.sound)
			}
		})
	}
}
