package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmegnotch/emulator/runner"
)

// Guards against replies whose code is no status that pass to callers as answers.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	framings := []struct{ name, rest string }{
		{"length", "Content-Length: 2\r\n\r\nok"},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"connection", "\r\nok"},
		{"stream", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata:a\n\n\r\n0\r\n\r\n"},
	}
	for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "999"} {
		for _, f := range framings {
			t.Run(status+", "+f.name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.publish()
				address := serveScripted(t, func(c *net.TCPConn, r *http.Request) {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Response-Seal: seal.bad\r\n%s", status, r.Header.Get("Nutmegnotch-Request-Id"), f.rest)
				})
				paths, services := []string{"/lookup/1", "/book/1"}, []string{"desk"}
				if f.name == "stream" {
					paths, services = []string{"/draft/1"}, []string{"model"}
				}
				d.announceAddress("bad", services[0], address)
				p := d.startReady()
				ask := func(path string) answer {
					method := http.MethodGet
					if strings.HasPrefix(path, "/book/") {
						method = http.MethodPost
					}
					return send(newRequest(p, method, path, "key-a", ""))
				}
				for _, path := range paths {
					if got := ask(path); got.err != nil || got.status != http.StatusBadGateway {
						t.Errorf("%s, served alone: got %d %q (%v), want 502", path, got.status, got.body, got.err)
					}
				}
				d.addRunner(runner.Config{ID: "good", Body: "found", Events: 3}, services[0])
				eventually(t, "the other server is used", func() bool { return ask(paths[0]).status == http.StatusOK })
				for range 5 {
					if got := ask(paths[0]); got.err != nil || got.status != http.StatusOK {
						t.Errorf("%s, beside another server: got %d %q (%v), want 200", paths[0], got.status, got.body, got.err)
					}
				}
			})
		}
	}
}
