package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// acceptedConn returns a connection that waits for a request under limits, and its caller's end.
func acceptedConn(t *testing.T, l core.CallerLimits) (*callerConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer listener.Close()
	remote, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { remote.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept: %v", err)
	}
	c := newCallerConn(conn.(*net.TCPConn), l.WithDefaults(), zap.NewNop())
	t.Cleanup(func() { c.Close() })
	c.end()
	return c, remote
}

// Guards against a timeout that closes a connection on which a request has arrived, while the
// process had no processor time to read it.
func TestTimeoutReadsWhatHasArrived(t *testing.T) {
	t.Parallel()
	const limit = 50 * time.Millisecond
	c, remote := acceptedConn(t, core.CallerLimits{IdleTimeout: limit})
	write(t, remote, "GET ")
	time.Sleep(2 * limit)
	b := make([]byte, 16)
	if n, err := c.Read(b); err != nil || string(b[:n]) != "GET " {
		t.Errorf("read after the timeout: got %q (%v), want %q", b[:n], err, "GET ")
	}
}

// Guards against a head that is read on after a timeout, of which net/http has taken a part of
// a line for a line.
func TestNoReadSucceedsAfterATimeout(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, sent string
		limits     core.CallerLimits
	}{
		{"idle", "", core.CallerLimits{IdleTimeout: 50 * time.Millisecond}},
		{"in a head", "GET ", core.CallerLimits{HeaderTimeout: 50 * time.Millisecond}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, remote := acceptedConn(t, tc.limits)
			write(t, remote, tc.sent)
			b := make([]byte, 16)
			if tc.sent != "" {
				if _, err := io.ReadFull(c, b[:len(tc.sent)]); err != nil {
					t.Fatalf("read before the timeout: %v", err)
				}
			}
			if _, err := c.Read(b); err == nil {
				t.Fatal("read beside the timeout: got no error")
			}
			if err := c.loosen(core.CallerLimits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute}); err != nil {
				t.Fatalf("raise the limits: %v", err)
			}
			_, _ = io.WriteString(remote, "/lookup")
			time.Sleep(10 * time.Millisecond)
			if n, err := c.Read(b); err == nil {
				t.Errorf("read after the timeout: got %q, want an error", b[:n])
			}
		})
	}
}

// Guards against a deadline of a wait that ends the handling of a request, beside a change of
// the limits.
func TestChangedLimitsDoNotEndActiveRequests(t *testing.T) {
	t.Parallel()
	const limit = 50 * time.Millisecond
	c, remote := acceptedConn(t, core.CallerLimits{HeaderTimeout: limit, IdleTimeout: limit})
	write(t, remote, "GET ")
	b := make([]byte, 16)
	if _, err := c.Read(b); err != nil {
		t.Fatalf("read a head: %v", err)
	}
	if err := c.begin(); err != nil {
		t.Fatalf("begin a request: %v", err)
	}
	if err := c.loosen(core.CallerLimits{HeaderTimeout: 2 * limit}.WithDefaults()); err != nil {
		t.Fatalf("change the limits: %v", err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(b)
		read <- err
	}()
	select {
	case err := <-read:
		t.Errorf("read beside the request: got %v, want none to end", err)
	case <-time.After(4 * limit):
	}
	remote.Close()
	if err := <-read; !errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the caller left: got %v, want the end", err)
	}
}

// Guards against heads without bounds on a server that has no limit of its own.
func TestLongHeadIsRejectedWhileItArrives(t *testing.T) {
	t.Parallel()
	const limit = 1000
	c, remote := acceptedConn(t, core.CallerLimits{MaxHeaderBytes: limit})
	go func() { _, _ = io.WriteString(remote, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 10*headReadAhead)) }()
	got, err := io.Copy(io.Discard, struct{ io.Reader }{c})
	if !errors.Is(err, errHeadRejected) || got > limit+headReadAhead {
		t.Errorf("bytes of the head: got %d (%v), want at most %d", got, err, limit+headReadAhead)
	}
}

// Guards against a caller that is cut off by a limit which was lowered between the arrival of
// its answer and the end of the request's handling.
func TestLimitLoweredAtTheEndOfARequestSparesTheWait(t *testing.T) {
	t.Parallel()
	const limit = 50 * time.Millisecond
	short := core.CallerLimits{IdleTimeout: limit}.WithDefaults()
	c, remote := acceptedConn(t, core.CallerLimits{IdleTimeout: time.Minute})
	b := make([]byte, 16)
	handle := func(during func()) {
		t.Helper()
		write(t, remote, "GET ")
		if _, err := c.Read(b); err != nil {
			t.Fatalf("read a head: %v", err)
		}
		if err := c.begin(); err != nil {
			t.Fatalf("begin a request: %v", err)
		}
		during()
		c.end()
	}
	handle(func() {
		if err := c.loosen(short); err != nil {
			t.Fatalf("lower the limits: %v", err)
		}
	})
	time.AfterFunc(4*limit, func() { _, _ = io.WriteString(remote, "GET ") })
	if _, err := c.Read(b); err != nil {
		t.Fatalf("read after a wait of %v: got %v, want success", 4*limit, err)
	}
	if err := c.begin(); err != nil {
		t.Fatalf("begin a request: %v", err)
	}
	c.end()
	if n, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read in the next wait: got %d bytes (%v), want a timeout after %v", n, err, limit)
	}
}

// Guards against a rejected caller that keeps the gateway busy with reading what it sends on.
func TestRejectedCallerIsNotReadWithoutBounds(t *testing.T) {
	t.Parallel()
	// maxBuffered is more than the buffers of a connection hold.
	const maxBuffered = 64 << 20
	c, remote := acceptedConn(t, core.CallerLimits{MaxHeaderBytes: 1000})
	sent := make(chan int64)
	go func() {
		n, chunk := int64(0), []byte(strings.Repeat("x", 64<<10))
		for {
			w, err := remote.Write(chunk)
			n += int64(w)
			if err != nil {
				sent <- n
				return
			}
		}
	}()
	if _, err := io.Copy(io.Discard, struct{ io.Reader }{c}); !errors.Is(err, errHeadRejected) {
		t.Errorf("read a head beyond the limit: got %v, want %v", err, errHeadRejected)
	}
	c.Close()
	if got := <-sent; got > maxRejectedBytes+maxBuffered {
		t.Errorf("bytes taken from the caller: got %d, want at most %d", got, maxRejectedBytes+maxBuffered)
	}
}
