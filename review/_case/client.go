package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of requests and answers.
const (
	headerRequestID = "Nutmegnotch-Request-Id"
	headerDeadline  = "Nutmegnotch-Deadline-Ms"
	headerSeal      = "Nutmegnotch-Response-Seal"
	headerKey       = "Nutmegnotch-Key"
)

// answer is what a client got for one request.
type answer struct {
	status   int
	sealed   bool
	body     []byte
	complete bool
	// err says how the connection ended if the answer is not complete.
	err error
	// sentAt is when the last byte of the request was sent, and endedAt when the answer or
	// the connection ended.
	sentAt, endedAt time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	if !a.complete {
		return fmt.Sprintf("status %d, sealed %t, %d bytes, then the connection ended: %v", a.status, a.sealed, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, sealed %t, %d bytes, complete", a.status, a.sealed, len(a.body))
}

// client is one connection of a client, which it keeps.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &client{conn: c, r: bufio.NewReader(c)}, nil
}

// clientRequest is a request of a client.
type clientRequest struct {
	id, method, path, key string
	deadline              time.Duration
	body                  []byte
	headers               string
}

func (q clientRequest) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, headerRequestID, q.id, headerDeadline, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerKey, q.key)
	}
	if q.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString(q.headers + "\r\n")
	return b.String()
}

// do sends a request and reads its answer, for as long as the request's deadline says.
func (c *client) do(q clientRequest) answer {
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	defer func() { a.endedAt = time.Now() }()
	if _, err := io.WriteString(c.conn, q.head()); err != nil {
		a.err = err
		a.endedAt = time.Now()
		return a
	}
	if len(q.body) > 0 {
		if _, err := c.conn.Write(q.body); err != nil {
			a.err = err
		}
	}
	a.sentAt = time.Now()
	c.read(q.method, &a)
	a.endedAt = time.Now()
	return a
}

// read reads an answer.
func (c *client) read(method string, a *answer) {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get(headerSeal) != ""
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
}
