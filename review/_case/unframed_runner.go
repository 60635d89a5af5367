package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Names of the program's own runner, and the headers that only it needs.
const (
	unframedRunnerName   = "unframed-runner"
	headerExpectInstance = "Nutmegnotch-Expect-Instance"
	headerLastEventID    = "Last-Event-Id"
)

// serveUnframed is a runner in a process of its own. It answers each request with a stream
// that has neither a length nor chunks and ends with its connection. It prints its address
// first, and a line for each request that it begins to run. It ends when its standard input
// does, as with the process that started it.
func serveUnframed(id string) error {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(exitHeld)
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the runner: %w", err)
	}
	fmt.Println(l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept a connection: %w", err)
		}
		go answerUnframed(conn, id)
	}
}

func answerUnframed(conn net.Conn, id string) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	requestID := q.Header.Get(headerRequestID)
	if q.Header.Get(headerExpectInstance) != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nNutmegnotch-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	after, err := strconv.Atoi(q.Header.Get(headerLastEventID))
	if err != nil {
		after = 0
	}
	fmt.Println(requestID, after)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%d\r\nContent-Type: text/event-stream\r\n\r\n", headerRequestID, requestID, headerSeal, requestID, unframedEvents)
	for i := after + 1; i <= unframedEvents; i++ {
		time.Sleep(unframedInterval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", i, requestID, i); err != nil {
			return
		}
	}
}

// unframedRunner is a process of serveUnframed.
type unframedRunner struct {
	id, address string
	cmd         *exec.Cmd
	// lines receives the requests that it has begun to run.
	lines  chan string
	exited chan struct{}
}

func startUnframedRunner(id string) (*unframedRunner, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	r := &unframedRunner{id: id, cmd: exec.Command(program, unframedRunnerName, id), lines: make(chan string, 1024), exited: make(chan struct{})}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("connect to a runner: %w", err)
	}
	if _, err := r.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("connect to a runner: %w", err)
	}
	if err := r.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start a runner: %w", err)
	}
	s := bufio.NewScanner(out)
	if !s.Scan() {
		r.kill()
		return nil, errors.New("a runner names no address")
	}
	r.address = strings.TrimSpace(s.Text())
	go func() {
		for s.Scan() {
			r.lines <- s.Text()
		}
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	return r, nil
}

// kill ends the process, unless it has ended.
func (r *unframedRunner) kill() { _ = r.cmd.Process.Signal(syscall.SIGKILL) }

// requests returns the ids of the requests that the runner has begun to run.
func (r *unframedRunner) requests() []string {
	var out []string
	for {
		select {
		case line := <-r.lines:
			id, _, _ := strings.Cut(line, " ")
			out = append(out, id)
		default:
			return out
		}
	}
}
