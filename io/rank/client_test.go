package rank_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"nutmegnotch/io/rank"
)

// Guards against an order that an engine refuses and that seems to be done, since the
// refusal follows a head that the engine broke off.
func TestRefusalAfterACutHead(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nX-Note: text\r\n"
	reply := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, reply)
	}))
	defer s.Close()
	client := rank.Client{URL: s.URL, HTTP: s.Client()}
	for n := 1; n < len(first); n++ {
		reply = first[:n] + "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
		if err := client.Fence(context.Background(), 3); err == nil {
			t.Errorf("fence answered with %q: got no error, want one", reply)
		}
	}
}
