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
)

// serveBrokenStream serves a stream of three events and breaks it off, and answers what
// asks for its rest with the given head and body.
func serveBrokenStream(t *testing.T, first, status, head, body string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				id := r.Header.Get("Nutmegnotch-Request-Id")
				if r.Header.Get("Last-Event-Id") == "" {
					_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "ID", id)+chunk(first))
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nNutmegnotch-Request-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, id, head, len(body), body)
			})
		}
	})
	return l.Addr().String()
}

// Guards against the text of an error in the middle of a stream, or a stream that ends as
// complete, because another server answered the request for its rest with something else.
func TestOnlyARestContinuesAStream(t *testing.T) {
	t.Parallel()
	const (
		numbered   = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
		unnumbered = "data: a\n\ndata: b\n\ndata: c\n\n"
		stream     = "Content-Type: text/event-stream\r\nNutmegnotch-Response-Seal: seal.rest"
		unsealed   = "Content-Type: text/event-stream"
		plain      = "Content-Type: text/plain\r\nNutmegnotch-Response-Seal: seal.rest"
		rest       = "id: 4\ndata: d\n\n"
	)
	for _, c := range []struct {
		name, first, status, head, body string
		// want is the whole stream, or empty if it must not look complete.
		want string
	}{
		{"the rest", numbered, "200 OK", stream, rest, numbered + rest},
		{"the whole stream", numbered, "200 OK", stream, numbered + rest, numbered + rest},
		{"a comment before the rest", numbered, "200 OK", stream, ": wait\n\n" + rest, numbered + ": wait\n\n" + rest},
		{"no further event", numbered, "200 OK", stream, "", numbered},
		{"an event without an id", numbered, "200 OK", stream, "data: overloaded\n\n", ""},
		{"206 with an event without an id", numbered, "206 Partial Content", stream, "data: overloaded\n\n", ""},
		{"an error event", numbered, "200 OK", stream, "event: error\ndata: overloaded\n\n", ""},
		{"an error event with an id", numbered, "200 OK", stream, "id: 4\nevent: error\ndata: overloaded\n\n", ""},
		{"an event without an id after the rest", numbered, "200 OK", stream, rest + "data: overloaded\n\n", ""},
		{"unsealed", numbered, "200 OK", unsealed, rest, ""},
		{"another type", numbered, "200 OK", plain, "overloaded", ""},
		{"an error status", numbered, "500 Internal Server Error", stream, "data: overloaded\n\n", ""},
		{"a stream without ids begins again", unnumbered, "200 OK", stream, unnumbered, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			for i := range 2 {
				d.store.PutJSON("keyed.servers", fmt.Sprint("m", i), map[string]any{"service": "model",
					"addr": serveBrokenStream(t, c.first, c.status, c.head, c.body), "zone": "z1", "slots": 4, "state": "ready", "version": "v1", "cold_left_ms": 0, "born": 1, "seq": 1})
			}
			p := d.startReady()
			got := send(newRequest(p, http.MethodPost, "/draft/x", "key-a", ""))
			if c.want != "" && (got.err != nil || got.body != c.want) {
				t.Errorf("stream: got %q (%v), want %q", got.body, got.err, c.want)
			}
			if c.want == "" && got.err == nil {
				t.Errorf("stream: got %q, ended as complete, want it broken off", got.body)
			}
			if strings.Contains(got.body, "overloaded") {
				t.Errorf("stream: got the text of an error in %q", got.body)
			}
		})
	}
}
