package caller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/core"
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

// Guards against an aborted reply whose last bytes are discarded before a slow caller
// has got them.
func TestAbortedReplyReachesSlowCaller(t *testing.T) {
	const size = 200 << 10
	aborted := make(chan struct{})
	s := httptest.NewUnstartedServer(caller.New(caller.Config{
		Source: source{configuration()}, StallTimeout: 5 * time.Second,
		Reserve: func(context.Context, string, int64, int64) (func(), bool) { return func() {}, true },
		Serve: func(_ context.Context, _ *caller.Request, reply *caller.Reply) {
			if err := reply.StartUnverified(http.StatusOK, http.Header{}); err != nil {
				t.Errorf("start the reply: %v", err)
			}
			if err := reply.Write(make([]byte, size)); err != nil {
				t.Errorf("write the reply: %v", err)
			}
			reply.Abort(core.CodeConnectionBroken)
			close(aborted)
		},
	}))
	s.Config.ConnContext = caller.ConnContext
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer c.Close()
	if err := c.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /desk HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n\r\n"); err != nil {
		t.Fatalf("send: %v", err)
	}
	select {
	case <-aborted:
	case <-time.After(5 * time.Second):
		t.Fatal("the reply is not written, although the kernel has room for it")
	}
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read the head: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if len(body) != size || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("body: got %d bytes (%v), want %d and a reset", len(body), err, size)
	}
}
