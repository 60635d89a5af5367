package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
)

// gatedListener accepts nothing until its gate is closed.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// stopping is a server for callers that is about to be stopped.
type stopping struct {
	*callerServer
	l       *gatedListener
	entered chan struct{}
	release chan struct{}
}

func startStopping(t *testing.T) *stopping {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s := &stopping{l: &gatedListener{l.(*net.TCPListener), make(chan struct{})},
		entered: make(chan struct{}, 8), release: make(chan struct{})}
	s.callerServer = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.entered <- struct{}{}
		if r.URL.Path == "/slow" {
			<-s.release
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}), l.Addr(), zap.NewNop())
	go s.serve(s.l)
	return s
}

func (s *stopping) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("write %q: %v", text, err)
	}
}

// answer reads the status of the next answer, or 0 if there is none.
func answer(r *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, fmt.Errorf("read the answer: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("read the body: %w", err)
	}
	return resp.StatusCode, nil
}

// Guards against a planned stop that cuts off requests which arrive together with it.
func TestPlannedStopAnswersWhatArrives(t *testing.T) {
	t.Parallel()
	const (
		whole = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
		slow  = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
		half  = len(whole) / 2
		// later is after the listener has been closed.
		later = 2 * acceptQueueTime
	)
	sendHalf := func(c net.Conn) {
		write(t, c, whole[:half])
		time.Sleep(later)
	}
	sendRest := func(_ *stopping, c net.Conn) {
		time.Sleep(later)
		write(t, c, whole[half:])
	}
	cases := []struct {
		name string
		// before plays a connection up to the stop, and after from then on.
		before func(s *stopping, c net.Conn, r *bufio.Reader)
		after  func(s *stopping, c net.Conn)
	}{
		{"in the accept queue", func(_ *stopping, c net.Conn, _ *bufio.Reader) { write(t, c, whole) },
			func(s *stopping, _ net.Conn) {
				time.Sleep(acceptQueueTime / 2)
				close(s.l.gate)
			}},
		{"half of the head", func(s *stopping, c net.Conn, _ *bufio.Reader) {
			close(s.l.gate)
			sendHalf(c)
		}, sendRest},
		{"half of the head on a kept connection", func(s *stopping, c net.Conn, r *bufio.Reader) {
			close(s.l.gate)
			write(t, c, whole)
			if got, err := answer(r); got != http.StatusServiceUnavailable {
				t.Errorf("first answer: got %d (%v), want 503", got, err)
			}
			<-s.entered
			sendHalf(c)
		}, sendRest},
		{"in the handler", func(s *stopping, c net.Conn, _ *bufio.Reader) {
			close(s.l.gate)
			write(t, c, slow)
			<-s.entered
		}, func(s *stopping, _ net.Conn) {
			time.Sleep(later)
			close(s.release)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t)
			c := s.dial(t)
			r := bufio.NewReader(c)
			tc.before(s, c, r)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				s.close(s.l, maxCloseTime)
			}()
			tc.after(s, c)
			if got, err := answer(r); got != http.StatusServiceUnavailable {
				t.Errorf("answer: got %d (%v), want 503", got, err)
			}
			select {
			case <-stopped:
			case <-time.After(time.Second):
				t.Error("the server still runs 1 s after its last answer")
			}
		})
	}
}

// Guards against a planned stop that waits for callers who send nothing or not the rest
// of their request.
func TestPlannedStopDoesNotWaitForIdleCallers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, sent string
		want       time.Duration
	}{
		{"no byte", "", maxCloseTime / 2},
		{"half of a head", "GET /a HT", 2 * maxCloseTime},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := startStopping(t)
			close(s.l.gate)
			c := s.dial(t)
			write(t, c, tc.sent)
			time.Sleep(50 * time.Millisecond)
			begun := time.Now()
			s.close(s.l, maxCloseTime)
			if got := time.Since(begun); got > tc.want {
				t.Errorf("close: took %v, want at most %v", got, tc.want)
			}
			if _, err := bufio.NewReader(c).ReadByte(); err == nil {
				t.Error("the connection is open after the stop")
			}
		})
	}
}

// Guards against a planned stop that waits for requests although its grace is over.
func TestPlannedStopEndsWithItsGrace(t *testing.T) {
	t.Parallel()
	s := startStopping(t)
	close(s.l.gate)
	write(t, s.dial(t), "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.entered
	defer close(s.release)
	begun := time.Now()
	s.close(s.l, 0)
	if got, want := time.Since(begun), 2*acceptQueueTime+maxCloseTime/4; got > want {
		t.Errorf("close: took %v, want at most %v", got, want)
	}
}

// Guards against a planned stop that cuts off the second of two requests which a caller has
// sent one behind the other.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	s := startStopping(t)
	close(s.l.gate)
	c := s.dial(t)
	write(t, c, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.entered
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.close(s.l, maxCloseTime)
	}()
	time.Sleep(2 * acceptQueueTime)
	close(s.release)
	r := bufio.NewReader(c)
	for i := range 2 {
		if got, err := answer(r); got != http.StatusServiceUnavailable {
			t.Errorf("answer %d: got %d (%v), want 503", i, got, err)
		}
	}
	<-stopped
}
