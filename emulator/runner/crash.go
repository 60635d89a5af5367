package runner

import (
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// partialReplyTime is the time between the first part of a reply and the crash, since
// the reset of a connection discards what the client has not read yet.
const partialReplyTime = 20 * time.Millisecond

// darkFillers is the largest number of connections that fill the queue of a server that
// goes dark, and darkDialTimeout the time after which the queue counts as full.
const (
	darkFillers     = 4
	darkDialTimeout = 5 * time.Millisecond
)

// CrashPoint is the point in a run at which the process of a Runner ends.
type CrashPoint string

// Crash points. After CrashSilently the Runner keeps its connections open, answers
// nothing and lets connection attempts time out, like a server whose host has lost
// power.
const (
	CrashBeforeReply CrashPoint = "before reply"
	CrashAfterHead   CrashPoint = "after head"
	CrashInBody      CrashPoint = "in body"
	CrashSilently    CrashPoint = "silently"
	// CrashInUnframedBody is CrashInBody in a close-delimited reply. Its connection is
	// closed, not reset, so that the reply ends like a whole one.
	CrashInUnframedBody CrashPoint = "in unframed body"
)

// Crashed is closed when the process of the Runner has ended.
func (r *Runner) Crashed() <-chan struct{} { return r.crashed }

// crash ends the process during a run.
func (r *Runner) crash(run *Run, silently bool) {
	r.mu.Lock()
	if !r.ended {
		r.crashedBy = run.Target
	}
	r.mu.Unlock()
	r.Crash(silently)
}

// Crash ends the process. It closes the listener and resets all connections, or, if
// silently is set, leaves them open without an answer.
func (r *Runner) Crash(silently bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended, r.silent = true, silently
	if silently {
		r.goDark()
	} else {
		r.listener.Close()
		for c := range r.conns {
			if r.cfg.CrashPoint == CrashInUnframedBody {
				c.Close()
			} else {
				reset(c)
			}
		}
	}
	close(r.crashed)
}

// goDark makes connection attempts time out: the queue of new connections is made as
// short as possible and filled, and nothing accepts from it any more. The caller must
// hold mu.
func (r *Runner) goDark() {
	l := r.listener.(*net.TCPListener)
	if err := l.SetDeadline(time.Now()); err != nil {
		panic(err)
	}
	raw, err := l.SyscallConn()
	if err != nil {
		panic(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }); err != nil {
		panic(err)
	}
	for range darkFillers {
		c, err := net.DialTimeout("tcp", r.Address(), darkDialTimeout)
		if err != nil {
			return
		}
		r.conns[c] = true
	}
}

func (r *Runner) causedBy(match func(target string) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return match(r.crashedBy)
}

func (r *Runner) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

// crashesAt reports whether a run ends the process at a point.
func (r *Runner) crashesAt(run *Run, at CrashPoint) bool {
	return r.cfg.CrashMarker != "" && r.cfg.CrashPoint == at && strings.Contains(run.Target+run.Body+run.Header.Get(headerPromptParts), r.cfg.CrashMarker)
}

// crashAtStart crashes the Runner if the run ends the process without a reply.
func (r *Runner) crashAtStart(c net.Conn, run *Run) bool {
	switch {
	case r.crashesAt(run, CrashBeforeReply):
		r.crash(run, false)
	case r.crashesAt(run, CrashSilently):
		r.crash(run, true)
		_, _ = io.Copy(io.Discard, c)
	default:
		return false
	}
	return true
}

// crashAfter sends the first part of a reply and crashes.
func (r *Runner) crashAfter(c net.Conn, run *Run, part string) {
	_, _ = io.WriteString(c, part)
	time.Sleep(partialReplyTime)
	r.crash(run, false)
}
