package systemtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"nutmegnotch/emulator/desk"
)

// Guards against replies of a plain service that may have broken off and reach their
// callers framed as complete, also when they are stored for a repeated key.
func TestReplyWithoutLengthIsNotFramedAsComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, desks: 1})
	c.waitReady()
	l := c.client("trails")
	booked := l.book(c.entries[0], "lookup")
	if booked.result != resultOK {
		t.Fatalf("booking: got %+v, want a booking", booked)
	}
	for _, cut := range []bool{false, true} {
		c.desks[0].desk.Inject(desk.Faults{CloseDelimited: true, Cut: cut})
		key := map[bool]string{false: "whole", true: "cut"}[cut]
		for _, r := range []struct{ name, method, path, key string }{
			{"lookup", http.MethodGet, "/bookings/" + booked.booking, ""},
			{"booking", http.MethodPost, "/bookings", key},
			{"repeated booking", http.MethodPost, "/bookings", key},
		} {
			t.Run(r.name+", "+key, func(t *testing.T) { l.checkUnframed(t, r.method, r.path, r.key, cut) })
		}
	}
	runs := 0
	for _, r := range c.desks[0].desk.Runs() {
		if r.Kind == desk.KindBooking {
			runs++
		}
	}
	if runs != 3 {
		t.Errorf("bookings run: got %d, want 3", runs)
	}
}

// checkUnframed sends a request whose reply the server does not frame.
func (l *client) checkUnframed(t *testing.T, method, path, key string, cut bool) {
	t.Helper()
	var body any
	if method == http.MethodPost {
		body = map[string]string{"mule": "m7", "key": key}
	}
	resp, err := l.send(l.c.entries[0], method, path, key, body)
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read reply: %v", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices || !strings.HasPrefix(string(b), `{"booking_id"`) {
		t.Fatalf("reply: got %d %q, want what the server sent", resp.StatusCode, b)
	}
	if whole := json.Valid(b); whole == cut {
		t.Errorf("reply: got %q, want it whole: %t", b, !cut)
	}
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		t.Errorf("framing: got length %d and encoding %q, want neither", resp.ContentLength, resp.TransferEncoding)
	}
}

// Guards against a reply that looks whole because the gateway that forwarded it, which
// ends it with its connection, was killed.
func TestKilledGatewayBreaksOffReplies(t *testing.T) {
	t.Parallel()
	g := newGatewayProc(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go streamWithoutEnd(l)
	g.store.PutJSON("keyed.op", "config", map[string]any{
		"version": 1, "services": []map[string]any{{"name": "model"}},
		"routes": []map[string]any{{"name": "a", "host": "a.example", "path_prefix": "/a/", "kind": "streaming", "service": "model", "max_attempts": 1, "timeout_ms": 9000}},
	})
	g.store.PutJSON("keyed.servers", "m1", map[string]any{"service": "model", "addr": l.Addr().String(), "zone": "z1", "version": "v1", "cold_left_ms": 0, "slots": 2, "state": "ready", "seq": 0})
	eventually(t, "the gateway is ready", g.isReady)
	r, err := http.NewRequest(http.MethodGet, "http://"+g.callerAddr+"/a/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Nutmegnotch-Request-Id", "r1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatalf("send: %v", err)
	}
	defer resp.Body.Close()
	first := make([]byte, len(firstEvent))
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != firstEvent {
		t.Fatalf("first event: got %q (%v), want %q", first, err, firstEvent)
	}
	g.kill()
	if _, err := io.ReadAll(resp.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("end of the reply: got error %v, want %v", err, syscall.ECONNRESET)
	}
}

const firstEvent = "id: 1\ndata: x\n\n"

// streamWithoutEnd answers each request with the first event of a stream that has
// neither a length nor chunks, and keeps the connection open.
func streamWithoutEnd(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nNutmegnotch-Request-Id: %s\r\n"+
				"Nutmegnotch-Response-Seal: seal\r\n\r\n%s", r.Header.Get("Nutmegnotch-Request-Id"), firstEvent)
			_, _ = io.Copy(io.Discard, br)
		}()
	}
}
