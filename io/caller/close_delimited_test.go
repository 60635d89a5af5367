package caller_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"nutmegnotch/io/caller"
)

// Guards against a reply that ends with its connection and looks whole although it was
// broken off here.
func TestCloseDelimitedReply(t *testing.T) {
	cases := []struct {
		name string
		// end ends the reply after its first part was sent.
		end  func(s *httptest.Server, w http.ResponseWriter, r *http.Request)
		want error
	}{
		{"ended", func(_ *httptest.Server, w http.ResponseWriter, r *http.Request) {
			if err := caller.EndCloseDelimited(w, r); err != nil {
				t.Errorf("end the reply: %v", err)
			}
		}, nil},
		{"not ended", func(*httptest.Server, http.ResponseWriter, *http.Request) {}, syscall.ECONNRESET},
		{"aborted", func(*httptest.Server, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, syscall.ECONNRESET},
		{"server closed", func(s *httptest.Server, _ http.ResponseWriter, r *http.Request) {
			s.Config.Close()
			<-r.Context().Done()
		}, syscall.ECONNRESET},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			read := make(chan struct{})
			var s *httptest.Server
			s = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if err := caller.BeginCloseDelimited(w, r); err != nil {
					t.Errorf("begin the reply: %v", err)
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-read
				c.end(s, w, r)
			}))
			s.Config.ConnContext = caller.ConnContext
			s.Start()
			defer s.Close()
			resp, err := http.Get(s.URL)
			if err != nil {
				t.Fatalf("get: %v", err)
			}
			defer resp.Body.Close()
			if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Header.Get("Transfer-Encoding") != "" {
				t.Errorf("framing: got length %d and encoding %q, want neither", resp.ContentLength, resp.TransferEncoding)
			}
			part := make([]byte, len("part"))
			if _, err := io.ReadFull(resp.Body, part); err != nil {
				t.Fatalf("read the first part: %v", err)
			}
			close(read)
			if _, err := io.ReadAll(resp.Body); !errors.Is(err, c.want) {
				t.Errorf("end of the reply: got error %v, want %v", err, c.want)
			}
		})
	}
}
