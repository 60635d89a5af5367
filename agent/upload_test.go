package agent_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/agent"
	"nutmegnotch/io/peer/peerpb"
)

// upload sends a request with a large body and reads its result.
func (r *harness) upload(head *peerpb.RequestHead, size int) result {
	r.t.Helper()
	s, err := r.entry.Open("agent-1", peerpb.StreamKind_STREAM_KIND_REQUEST, head.RequestId)
	if err != nil {
		r.t.Fatal(err)
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(20 * time.Second))
	head.BodyBytes = int64(size)
	send(r.t, s, &peerpb.Frame{Body: &peerpb.Frame_RequestHead{RequestHead: head}})
	part := bytes.Repeat([]byte("x"), 64<<10)
	for at := 0; at < size; at += len(part) {
		send(r.t, s, &peerpb.Frame{Body: &peerpb.Frame_BodyChunk{BodyChunk: &peerpb.BodyChunk{Data: part, Last: at+len(part) >= size}}})
	}
	sendCredit(r.t, s, 1<<20)
	return read(s)
}

// Guards against a backend server that breaks off while a large request is sent to it, and
// whose caller gets a part of the reply that ends like a whole one.
func TestResetDuringAnUploadIsNotComplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nboo")
				time.Sleep(5 * time.Millisecond)
				// Without unread bytes of the request, a close alone would not reset.
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	service := deskService
	service.MaxBodyBytes = 16 << 20
	r := startHarness(t, service, http.NotFoundHandler(), func(cfg *agent.Config) { cfg.BackendAddress = strings.TrimPrefix(l.Addr().String(), "http://") })
	for n := range 3 {
		for _, head := range []*peerpb.RequestHead{lookupHead(fmt.Sprint("q", n)), bookingHead(fmt.Sprint("b", n), fmt.Sprint("k", n))} {
			head.Method = http.MethodPost
			if got := r.upload(head, 8<<20); got.verdict == nil || !got.verdict.Admitted || got.end.GetComplete() {
				t.Errorf("upload %s: got %+v, body %q, want it broken off", head.RequestId, got.verdict, got.body)
			}
		}
	}
}
