package caller

import (
	"fmt"
	"net/http"
	"time"

	"nutmegnotch/core"
)

// MaxWriteBytes bounds one write to a caller, so that the stall timeout measures
// progress.
const MaxWriteBytes = 4 << 10

// Reply writes one reply or one refusal to a caller. One goroutine uses it.
type Reply struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	id      string
	stall   time.Duration
	started time.Time
	status  int
	code    core.Code
	written int64
	aborted bool
	// gone reports that the caller went away first.
	gone bool
	// refused holds the refusal that was the answer.
	refused *core.Refusal
	// first is when the first byte of the reply's body was handed over.
	first time.Time
}

func newReply(w http.ResponseWriter, id string, stall time.Duration) *Reply {
	w.Header().Set(RequestIDHeader, id)
	return &Reply{w: w, rc: http.NewResponseController(w), id: id, stall: stall, started: time.Now()}
}

// Started reports whether a part of the reply may have reached the caller.
func (p *Reply) Started() bool { return p.status != 0 }

// WriteHeader writes the status and the headers.
func (p *Reply) WriteHeader(status int, header http.Header) error {
	if status < 200 || status > 999 {
		return fmt.Errorf("backend server sent status %d: %w", status, core.ErrInvalid)
	}
	for name, values := range replyHeader(header) {
		p.w.Header()[name] = values
	}
	p.status = status
	p.w.WriteHeader(status)
	return nil
}

// Write sends a part of the reply to the caller at once. It waits while the
// caller reads slowly, and fails when the caller takes nothing for the stall
// timeout.
func (p *Reply) Write(data []byte) error {
	if p.first.IsZero() && len(data) > 0 {
		p.first = time.Now()
	}
	for len(data) > 0 {
		n := min(len(data), MaxWriteBytes)
		if err := p.rc.SetWriteDeadline(time.Now().Add(p.stall)); err != nil {
			return fmt.Errorf("set write deadline: %w", err)
		}
		if _, err := p.w.Write(data[:n]); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := p.rc.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
		p.written += int64(n)
		data = data[n:]
	}
	return nil
}

// Abort cuts the caller's connection when the request ends, so that the reply
// cannot be taken for a whole one.
func (p *Reply) Abort(code core.Code) {
	p.code = code
	p.aborted = true
}

// AbortCallerGone ends a reply whose caller has gone away.
func (p *Reply) AbortCallerGone() {
	p.Abort(core.CodeConnectionBroken)
	p.gone = true
}

// Aborted reports whether the reply is cut short.
func (p *Reply) Aborted() bool { return p.aborted }

// end raises the abort after everything else has been done.
func (p *Reply) end() {
	if p.aborted {
		panic(http.ErrAbortHandler)
	}
	// The deadline of the last write must not cut the final chunk.
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.stall))
}
