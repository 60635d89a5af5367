package gateway

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// failingListener fails the first calls of Accept, as if file descriptors had run
// out.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a gateway that accepts no more connections after it once ran out of
// file descriptors.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	l := &failingListener{Listener: inner}
	l.failures.Store(3)
	c := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), l.Addr(), zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.serve(l)
	}()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatalf("request after listener errors: got %v, want a response", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status: got %d, want 200", resp.StatusCode)
	}
	c.close(l, maxCloseTime)
	<-done
}
