package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"nutmegnotch/io/peer/peerpb"
)

// scriptedReplies is a backend server whose replies are what reply says, after which it
// closes the connection, or resets it if reset is set.
type scriptedReplies struct {
	reply atomic.Pointer[string]
	reset atomic.Bool
}

func (b *scriptedReplies) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, *b.reply.Load())
	if t, ok := c.(*net.TCPConn); ok && b.reset.Load() {
		_ = t.SetLinger(0)
	}
}

// Guards against a reply whose backend server stops at any byte of the head, of a chunk
// size or of the trailers, and that is passed on or stored as a whole one.
func TestReplyCutAtAnyByteIsNotComplete(t *testing.T) {
	b := &scriptedReplies{}
	r := startHarness(t, deskService, b, nil)
	const length, chunks = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0c\r\nhello, world\r\n0\r\nX-A: b\r\n\r\n"
	number := 0
	for _, whole := range []string{length, chunks} {
		for n := range len(whole) + 1 {
			reply := whole[:n]
			b.reply.Store(&reply)
			b.reset.Store(n%2 == 1 && n < len(whole))
			for _, once := range []bool{false, true} {
				number++
				id, key := fmt.Sprint("q", number), fmt.Sprint("k", number)
				head := lookupHead(id)
				if once {
					head = bookingHead(id, key)
				}
				if got := r.do(head, "").end.GetComplete(); got != (n == len(whole)) {
					t.Errorf("reply %q, once %t: got complete %t, want %t", reply, once, got, n == len(whole))
				}
				if !once {
					continue
				}
				holder := r.do(bookingHead(id+"-2", key), "").verdict.GetHolder()
				if got := r.lookup(holder.GetClaimId(), "inc-1").State == peerpb.LookupResult_STATE_STORED; got != (n == len(whole)) {
					t.Errorf("reply %q: got stored %t, want %t", reply, got, n == len(whole))
				}
			}
		}
	}
}

// Guards against a head that a backend server breaks off and that is merged with another
// reply on the connection, so that a failed booking seems to be done.
func TestReplyAfterACutHeadIsNotComplete(t *testing.T) {
	b := &scriptedReplies{}
	r := startHarness(t, deskService, b, nil)
	const first = "HTTP/1.1 200 OK\r\nX-Note: text\r\n"
	for n := 1; n < len(first); n++ {
		reply := first[:n] + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
		b.reply.Store(&reply)
		for _, head := range []*peerpb.RequestHead{lookupHead(fmt.Sprint("q", n)), bookingHead(fmt.Sprint("b", n), fmt.Sprint("k", n))} {
			if got := r.do(head, ""); got.head.GetStatus() == http.StatusOK || got.end.GetComplete() {
				t.Errorf("reply %q: got %+v, want it broken off", reply, got)
			}
		}
	}
}
