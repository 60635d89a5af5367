package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/emulator/runner"
)

// halfClosed is what a caller gets on a connection whose writing side it closes.
type halfClosed struct {
	status int
	sealed bool
	// complete reports that the reply has ended as its framing says.
	complete bool
	err      error
}

// sendHalfClosed sends a whole request, closes the writing side of its connection once
// mayClose has returned, and reads what comes.
func sendHalfClosed(p *process, id, version, method, target string, mayClose func(r *bufio.Reader)) halfClosed {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return halfClosed{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return halfClosed{err: err}
	}
	if _, err := fmt.Fprintf(c, "%s %s %s\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody", method, target, version, id); err != nil {
		return halfClosed{err: err}
	}
	br := bufio.NewReader(c)
	mayClose(br)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return halfClosed{err: err}
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return halfClosed{err: err}
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return halfClosed{status: resp.StatusCode, sealed: resp.Header.Get("Nutmegnotch-Response-Seal") != "", complete: err == nil, err: err}
}

// Guards against a success that no server has sent, and against a broken stream that looks
// complete, when a caller closes its side of the connection before its reply ends.
func TestHalfClosedCallerGetsNoForgedReply(t *testing.T) {
	t.Parallel()
	const (
		// busyRequests are more than a server runs at once.
		busyRequests                   = 5
		settleTime                     = 200 * time.Millisecond
		atOnce, queued, running, begun = "at once", "in the queue", "while a server runs it", "after the first event"
		maxRunTime                     = 500 * time.Millisecond
	)
	kinds := []struct {
		method, target, server string
		moments                []string
	}{
		{http.MethodGet, "/lookup/1", "d1", []string{atOnce, queued, running}},
		{http.MethodPost, "/book/1", "d1", []string{atOnce, queued, running}},
		{http.MethodPost, "/draft/1", "m1", []string{atOnce, queued, running, begun}},
		{http.MethodGet, "/nowhere/1", "d1", []string{atOnce}},
	}
	for _, k := range kinds {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, moment := range k.moments {
				t.Run(strings.Join([]string{strings.Trim(k.target, "/1"), version[len("HTTP/"):], moment}, ", "), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					for _, r := range d.routes {
						r["timeout_ms"] = 20000
					}
					d.publish()
					delay := 3 * time.Second
					if moment == begun {
						delay = 0
					}
					desk := d.addRunner(runner.Config{ID: "d1", Body: "all is well", ProcessingTime: delay}, "desk")
					model := d.addRunner(runner.Config{ID: "m1", Events: 100, EventInterval: 20 * time.Millisecond, ProcessingTime: delay}, "model")
					server := map[string]*runner.Runner{"d1": desk, "m1": model}[k.server]
					p := d.startReady()
					if moment == queued {
						for range busyRequests {
							r := newRequest(p, http.MethodPost, k.target, "key-a", "busy")
							r.Header.Set("Nutmegnotch-Deadline-Ms", "20000")
							go send(r)
						}
						time.Sleep(settleTime)
					}
					id := newRequest(p, k.method, k.target, "", "").Header.Get("Nutmegnotch-Request-Id")
					hasRun := func() bool {
						return slices.ContainsFunc(server.Runs(), func(r runner.Run) bool { return r.ID == id })
					}
					var closedAt time.Time
					got := sendHalfClosed(p, id, version, k.method, k.target, func(r *bufio.Reader) {
						switch moment {
						case queued:
							time.Sleep(settleTime)
						case running:
							eventually(t, "a server has the request", hasRun)
						case begun:
							if _, err := r.Peek(1); err != nil {
								t.Errorf("wait for the first event: %v", err)
							}
						}
						closedAt = time.Now()
					})
					success := got.status >= http.StatusOK && got.status < http.StatusMultipleChoices
					if success && (!got.sealed || got.complete) {
						t.Errorf("reply: got %+v, want none or one that is broken off", got)
					}
					if moment == queued && hasRun() {
						t.Error("the request ran, want it in the queue")
					}
					if moment != atOnce {
						eventually(t, "the gateway notices that the caller has left", func() bool {
							return p.logs.FilterMessage("request ended").FilterField(zap.String("request_id", id)).FilterField(zap.String("reason", "caller_left")).Len() == 1
						})
					}
					if moment != begun {
						return
					}
					eventually(t, "the run is cancelled", func() bool { return server.Runs()[0].Cancelled })
					if took := time.Since(closedAt); took > maxRunTime {
						t.Errorf("run ended %v after its caller closed its side, want at most %v", took, maxRunTime)
					}
				})
			}
		}
	}
}
