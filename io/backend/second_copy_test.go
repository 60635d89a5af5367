package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/backend"
)

// reply returns a framed reply to a request.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// copyingServer answers each request on a connection and sends a further reply late.
type copyingServer struct {
	// late is sent in two parts, with a pause if halves is set.
	late   string
	halves bool
	// idle sends it while the connection is idle, otherwise once the next request has
	// begun to arrive or, with whole, has arrived.
	idle, whole bool
	// connections is the number of accepted connections.
	connections chan struct{}
}

func (s *copyingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.connections <- struct{}{}
		go s.serveConn(c)
	}
}

func (s *copyingServer) sendLate(c net.Conn) {
	at := 0
	if s.halves {
		at = len(s.late) / 2
		_, _ = io.WriteString(c, s.late[:at])
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(c, s.late[at:])
}

func (s *copyingServer) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if n == 1 && !s.idle && !s.whole {
			s.sendLate(c)
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if n == 1 && s.whole {
			s.sendLate(c)
		}
		id := req.Header.Get("X-Id")
		if _, err := io.WriteString(c, reply(id, "reply to "+id)); err != nil {
			return
		}
		if n == 0 && s.idle {
			s.sendLate(c)
		}
	}
}

// Guards against a late second copy of an answer that the next caller gets, whenever it
// arrives on a connection that is used again.
func TestLateCopyReachesNobody(t *testing.T) {
	first := reply("1", "reply to 1")
	forms := []struct{ name, late string }{
		{"the earlier id", first},
		{"no id", strings.Replace(first, "X-Id: 1\r\n", "", 1)},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\nreply to 1\r\n0\r\n\r\n"},
		{"a body like a head", reply("1", reply("2", "reply to 1"))},
		{"after 100", "HTTP/1.1 100 Continue\r\n\r\n" + first},
		{"after 103 with the next id", "HTTP/1.1 103 Early Hints\r\nX-Id: 2\r\n\r\n" + first},
		{"without an end", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nreply to 1"},
		{"a stream", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"},
		{"many copies", strings.Repeat(first, 20)},
	}
	for _, f := range forms {
		for _, s := range []copyingServer{
			{idle: true}, {idle: true, halves: true}, {}, {halves: true}, {whole: true}, {whole: true, halves: true},
		} {
			s.late, s.connections = f.late, make(chan struct{}, 16)
			name := fmt.Sprintf("%s/idle %t, request arrived %t, in halves %t", f.name, s.idle, s.whole, s.halves)
			t.Run(name, func(t *testing.T) { sendTwice(t, &s) })
		}
	}
}

func sendTwice(t *testing.T, s *copyingServer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go s.serve(l)
	client := newClient()
	defer client.Close()
	for _, id := range []string{"1", "2", "3"} {
		h := http.Header{"X-Id": {id}}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		rep, err := client.Send(ctx, core.BackendServer{ID: "a", Address: l.Addr().String()},
			backend.Request{ID: id, Method: http.MethodPost, Target: "/", Host: "h", Header: h, Body: []byte("body")})
		if err == nil {
			body, err := io.ReadAll(rep.Body)
			if got, want := string(body), "reply to "+id; err == nil && got != want {
				t.Errorf("reply to request %s: got %q, want %q", id, got, want)
			}
			if err == nil {
				rep.MarkBodyRead()
			}
			rep.Close()
		}
		cancel()
		if id == "1" && s.idle {
			time.Sleep(5 * time.Millisecond)
		}
	}
	if got := len(s.connections); got > 3 {
		t.Errorf("connections: got %d, want at most one for each request", got)
	}
}
