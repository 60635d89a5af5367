package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/emulator/runner"
)

// bodyMemoryBytes is the memory for bodies of the gateways in tests.
const bodyMemoryBytes = 1 << 20

// replyMemoryBytes is the memory for replies of the gateways in tests.
const replyMemoryBytes = 4 << 20

// upload is a request whose body is sent in two parts.
type upload struct {
	conn       net.Conn
	r          *bufio.Reader
	chunked    bool
	rest, id   string
	unfinished bool
}

// beginUpload sends a request without the last byte of its body.
func beginUpload(t *testing.T, p *process, size int, chunked bool) *upload {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	u := &upload{conn: c, r: bufio.NewReader(c), chunked: chunked, rest: "x"}
	u.id = newRequest(p, http.MethodPost, "/book/1", "", "").Header.Get("Nutmegnotch-Request-Id")
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	if chunked {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)
		u.rest = "x\r\n0\r\n\r\n"
	}
	text := fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 8000\r\n%s", u.id, framing)
	if _, err := io.WriteString(c, text+strings.Repeat("x", size-1)); err != nil {
		t.Fatalf("send: %v", err)
	}
	return u
}

// answered reports whether a response has begun to arrive within wait.
func (u *upload) answered(t *testing.T, wait time.Duration) bool {
	t.Helper()
	if err := u.conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := u.r.Peek(1)
	if err := u.conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return err == nil
}

// end sends the rest of the body and reads the response.
func (u *upload) end() answer {
	if _, err := io.WriteString(u.conn, u.rest); err != nil {
		return answer{err: fmt.Errorf("send the rest: %w", err)}
	}
	resp, err := http.ReadResponse(u.r, nil)
	if err != nil {
		return answer{err: fmt.Errorf("read response: %w", err)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}

// bookAgain sends a request without a body on the connection of an upload that has ended.
func (u *upload) bookAgain(p *process) answer {
	id := newRequest(p, http.MethodPost, "/book/1", "", "").Header.Get("Nutmegnotch-Request-Id")
	u.rest = fmt.Sprintf("POST /book/2 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: %s\r\nNutmegnotch-Key: key-a\r\n"+
		"Nutmegnotch-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", id)
	return u.end()
}

// Guards against bodies that together take more memory than they may when they arrive at
// the same time, which ends the process and all of its requests.
func TestBodiesThatArriveTogetherAreBounded(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		size, number int
		chunked      bool
	}{
		{"stated length", 200 << 10, 24, false},
		{"chunks", 200 << 10, 24, true},
		{"small ones in chunks", 30 << 10, 80, true},
		{"large ones", 700 << 10, 8, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.limits["max_body_bytes"] = 800 << 10
			for _, r := range d.routes {
				r["timeout_ms"] = 8000
			}
			d.publish()
			// A free server for each upload, so that only the memory holds them up.
			for i := range tc.number {
				d.addRunner(runner.Config{ID: fmt.Sprintf("d%d", i), Body: "booked"}, "desk")
			}
			p := d.startReady()
			for round := range 2 {
				uploads := make([]*upload, tc.number)
				for i := range uploads {
					uploads[i] = beginUpload(t, p, tc.size, tc.chunked)
				}
				time.Sleep(300 * time.Millisecond)
				for i := range 20 {
					if got := send(newRequest(p, http.MethodPost, "/book/1", "key-a", "")); got.status != http.StatusOK {
						t.Errorf("booking %d beside the uploads: got %d (%v), want 200", i, got.status, got.err)
					}
				}
				open := 0
				for _, u := range uploads {
					if u.unfinished = !u.answered(t, 10*time.Millisecond); u.unfinished {
						open++
					}
				}
				if most := bodyMemoryBytes / tc.size; open > most || open == 0 {
					t.Errorf("round %d: got %d bodies of %d bytes in memory, want 1 to %d", round, open, tc.size, most)
				}
				served := 0
				for _, u := range uploads {
					got := u.end()
					want := http.StatusServiceUnavailable
					if u.unfinished {
						want = http.StatusOK
						served++
					}
					if got.status != want || got.err != nil {
						t.Errorf("round %d, upload that waited %t: got %d %q (%v), want %d", round, u.unfinished, got.status, got.body, got.err, want)
					}
					if got.status != http.StatusServiceUnavailable {
						continue
					}
					if got.header.Get("Retry-After") == "" {
						t.Error("refusal: got no Retry-After, want one")
					}
					if next := u.bookAgain(p); next.status != http.StatusOK || next.body != "booked" {
						t.Errorf("request after the refusal on its connection: got %+v, want 200", next)
					}
					if d.hasRun(u.id) {
						t.Errorf("request %s was refused as not run, but has run", u.id)
					}
					if p.logs.FilterMessage("request refused").FilterField(zap.String("request_id", u.id)).FilterField(zap.String("reason", "body_memory")).Len() != 1 {
						t.Errorf("request %s was refused for another reason than memory", u.id)
					}
				}
				t.Logf("round %d: %d of %d uploads served", round, served, tc.number)
			}
		})
	}
}

// hasRun reports whether any server has run a request.
func (d *deployment) hasRun(id string) bool {
	for _, r := range d.runners {
		for _, x := range r.Runs() {
			if x.ID == id {
				return true
			}
		}
	}
	return false
}

// Guards against memory that stays reserved for uploads whose callers have left, and against a
// refusal for which a caller that asks before it sends its body has to wait.
func TestBodyMemoryIsFreedAndRefusalsDoNotWait(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.limits["max_body_bytes"] = 800 << 10
	for _, r := range d.routes {
		r["timeout_ms"] = 8000
	}
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "booked"}, "desk")
	p := d.startReady()
	const askedSize = 700 << 10
	for _, chunked := range []bool{false, true} {
		size := askedSize
		if chunked {
			// The buffer of a body in chunks is larger than the body.
			size = 400 << 10
		}
		held := beginUpload(t, p, size, chunked)
		if held.answered(t, 300*time.Millisecond) {
			t.Fatalf("chunked %t: the first upload was answered before its end", chunked)
		}
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatalf("connect: %v", err)
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nNutmegnotch-Request-Id: ask-%t\r\nNutmegnotch-Key: key-a\r\n"+
			"Nutmegnotch-Deadline-Ms: 8000\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", chunked, askedSize); err != nil {
			t.Fatalf("send: %v", err)
		}
		if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("chunked %t: read the refusal within 1 s: %v", chunked, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("chunked %t, no memory: got %d (%v), want 503", chunked, resp.StatusCode, err)
		}
		resp.Body.Close()
		held.conn.Close()
		eventually(t, "the memory of the upload is free again", func() bool {
			u := beginUpload(t, p, size, chunked)
			defer u.conn.Close()
			return u.end().status == http.StatusOK
		})
	}
}
