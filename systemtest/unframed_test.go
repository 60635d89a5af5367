package systemtest

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
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
