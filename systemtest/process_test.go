package systemtest

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits each wait for an event. It is far above every limit that
// tests check, so that a slow machine does not change a result.
const waitTimeout = 30 * time.Second

// proc is one process of the program under test.
type proc struct {
	t          testing.TB
	id         string
	domain     string
	role       string
	settings   string
	logFile    string
	callerAddr string
	adminAddr  string
	peerAddr   string
	logAddr    string
	// deployment is unique to the cluster, so that processes left over from
	// another test run cannot join it.
	deployment      string
	listAddr        string
	reportsInterval string
	cmd             *exec.Cmd
	exited          chan struct{}
	// exitErr is the result of Wait. It may be read after exited is closed.
	exitErr error
	// starts counts the starts, so that an observer can tell incarnations apart.
	starts atomic.Int64
	// faultMu is held while a fault kills or pauses the process.
	faultMu sync.Mutex
}

// start starts the process with its settings file.
func (p *proc) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatalf("open log of %s: %v", p.id, err)
	}
	defer out.Close()
	p.starts.Add(1)
	cmd := exec.Command(program, p.role, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the test process dies. It has its own
	// process group: when the shell that started the tests exits, the kernel sends
	// SIGHUP to its orphaned process group if a member is stopped, which would
	// terminate processes that a test has paused.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started, exited := make(chan error), make(chan struct{})
	go func() {
		// Pdeathsig is sent when the thread that started the process exits, so the
		// thread must live as long as the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			p.exitErr = cmd.Wait()
		}
		close(exited)
	}()
	if err := <-started; err != nil {
		p.t.Fatalf("start %s: %v", p.id, err)
	}
	p.cmd, p.exited = cmd, exited
}

// kill sends SIGKILL and waits for the exit, as a host failure would end it.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *proc) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("send %v to %s: %v", s, p.id, err)
	}
}

// stopGracefully sends SIGTERM and waits for the exit.
func (p *proc) stopGracefully() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Errorf("%s did not exit within %v of SIGTERM", p.id, waitTimeout)
		// SIGQUIT makes the process log the stacks of its goroutines.
		p.signal(syscall.SIGQUIT)
		select {
		case <-p.exited:
		case <-time.After(time.Second):
		}
		p.t.Logf("log of %s:\n%s", p.id, p.logTail(400))
		p.kill()
	}
}

// ready reports whether the readiness check of the process succeeds.
func (p *proc) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.adminAddr + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last n lines of the process's log.
func (p *proc) logTail(n int) string {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(bytes.TrimSpace(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// state describes whether the process is running or how it exited.
func (p *proc) state() string {
	select {
	case <-p.exited:
		return fmt.Sprintf("exited: %v", p.exitErr)
	default:
		return "running"
	}
}

// eventually polls ok until it returns true, and fails the test after
// waitTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: still false after %v", what, waitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// writeFile writes a file in dir and returns its path.
func writeFile(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatalf("write %s: %v", name, err)
	}
	return path
}

// settingsText returns the settings of a process. The claim window is half of
// the retention, which is the largest valid value, and at most 10 minutes.
func settingsText(p *proc, retention time.Duration, extra string) string {
	if p.reportsInterval != "" {
		extra = fmt.Sprintf("[reports]\ninterval = %q\n%s", p.reportsInterval, extra)
	}
	return fmt.Sprintf(`id = %q
deployment = %q
role = %q
failure_domain = %q
region = "r1"
log_level = "debug"
[log]
address = %q
retention = %q
timeout = "1s"
[host_list]
address = %q
timeout = "1s"
[claims]
window = %q
partitions = 4
%s`, p.id, p.deployment, p.role, p.domain, p.logAddr, retention.String(), p.listAddr, min(retention/2, 10*time.Minute).String(), extra)
}
