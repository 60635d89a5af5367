package core_test

import (
	"net/http"
	"testing"

	"nutmegnotch/core"
)

// Guards against two heads that were merged into one and against codes that are no status
// and pass as a reply, and against usual heads that are taken for such.
func TestCheckReplyHead(t *testing.T) {
	cases := []struct {
		status, value string
		want          bool
	}{
		{"200 OK", "text/plain", true},
		{"200", "", true},
		{"200 OK", "HTTP/1.1 proxy.example", true},
		{"200 OK", "client HTTP/1.1", true},
		{"200 OK", "HTTP/1.1 2001:db8::1", true},
		{"200 HTTP/1.1 503 Service Unavailable", "", false},
		{"200 OHTTP/1.1 503 Service Unavailable", "", false},
		{"200 OK", "Mon, 01HTTP/1.1 500 Internal Server Error", false},
		{"200 OK", "HTTP/1.0 500", false},
		{"200 OK", "text/plain\rHTTP/1.1 200 OK", false},
		{"100 Continue", "", true},
		{"599", "", true},
		{"000 OK", "", false},
		{"099", "", false},
		{"600 OK", "", false},
		{"+20 OK", "", false},
		{"-00 OK", "", false},
		{"2000 OK", "", false},
		{"", "", false},
	}
	for _, c := range cases {
		err := core.CheckReplyHead(c.status, http.Header{"X-A": {"b", c.value}})
		if got := err == nil; got != c.want {
			t.Errorf("status %q, header %q: got %v, want accepted %t", c.status, c.value, err, c.want)
		}
	}
}
