package caller

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// MaxWriteBytes bounds one write to a caller, so that a slow caller that makes
// progress does not reach the stall timeout.
const MaxWriteBytes = 4 << 10

// Reply writes a reply or a refusal to a caller. It is not safe for concurrent use.
type Reply struct {
	w            http.ResponseWriter
	r            *http.Request
	rc           *http.ResponseController
	id           string
	stallTimeout time.Duration
	receivedAt   time.Time
	status       int
	code         core.Code
	writtenBytes int64
	aborted      bool
	// closeDelimited means that the reply ends with the caller's connection, and
	// unverified that it does so because that of the backend server did.
	closeDelimited, unverified bool
	// callerGone means that the caller disconnected before the end of the reply.
	callerGone bool
	// sentRefusal is the refusal that the caller was sent, if any.
	sentRefusal *core.Refusal
	// firstByteAt is when the first write of the body began.
	firstByteAt time.Time
}

func newReply(w http.ResponseWriter, r *http.Request, id string, stallTimeout time.Duration) *Reply {
	w.Header().Set(RequestIDHeader, id)
	return &Reply{w: w, r: r, rc: http.NewResponseController(w), id: id, stallTimeout: stallTimeout, receivedAt: time.Now()}
}

// Started reports whether any part of the reply may have reached the caller.
func (p *Reply) Started() bool { return p.status != 0 }

// Start writes the status and the headers of a reply.
func (p *Reply) Start(status int, header http.Header) error {
	if status < 200 || status > 999 {
		return fmt.Errorf("backend server sent status %d: %w", status, core.ErrInvalid)
	}
	for name, values := range replyHeader(header) {
		p.w.Header()[name] = values
	}
	if p.closeDelimited = p.unverified || !p.r.ProtoAtLeast(1, 1); p.closeDelimited {
		if err := BeginCloseDelimited(p.w, p.r); err != nil {
			return err
		}
	}
	p.status = status
	p.w.WriteHeader(status)
	return nil
}

// StartUnverified is like Start for a reply that the backend server has ended with its
// connection. It ends so for the caller too, since nobody can tell whether it is whole.
func (p *Reply) StartUnverified(status int, header http.Header) error {
	p.unverified = true
	return p.Start(status, header)
}

// Write sends a part of the reply's body to the caller and flushes it. It blocks
// while the caller reads slowly, and fails if a single write of at most
// MaxWriteBytes takes longer than the stall timeout.
func (p *Reply) Write(data []byte) error {
	if p.firstByteAt.IsZero() && len(data) > 0 {
		p.firstByteAt = time.Now()
	}
	for len(data) > 0 {
		n := min(len(data), MaxWriteBytes)
		if err := p.rc.SetWriteDeadline(time.Now().Add(p.stallTimeout)); err != nil {
			return fmt.Errorf("set write deadline: %w", err)
		}
		if _, err := p.w.Write(data[:n]); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := p.rc.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
		p.writtenBytes += int64(n)
		data = data[n:]
	}
	return nil
}

// Abort marks the reply as truncated. The connection to the caller is then reset
// at the end of the request, so that the caller cannot mistake the reply for a
// complete one.
func (p *Reply) Abort(code core.Code) {
	p.code = code
	p.aborted = true
}

// AbortCallerGone aborts a reply whose caller has disconnected.
func (p *Reply) AbortCallerGone() {
	p.Abort(core.CodeConnectionBroken)
	p.callerGone = true
}

// Aborted reports whether the reply was aborted.
func (p *Reply) Aborted() bool { return p.aborted }

// finish must be called last: it panics with http.ErrAbortHandler if the reply was
// aborted.
func (p *Reply) finish(log *zap.Logger) {
	if p.aborted {
		if p.closeDelimited && !p.callerGone {
			if err := FlushUnsent(p.w, p.r); err != nil {
				log.Info("the caller does not get all of a reply that broke off", zap.String("request_id", p.id), zap.Error(err))
			}
		}
		panic(http.ErrAbortHandler)
	}
	// The deadline of the last write must not apply to the final chunk.
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.stallTimeout))
	if !p.closeDelimited {
		return
	}
	if err := EndCloseDelimited(p.w, p.r); err != nil {
		// The connection is still reset when it is closed.
		panic(http.ErrAbortHandler)
	}
}
