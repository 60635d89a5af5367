package runner

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Faults of replies whose end is marked badly. A close-delimited reply has neither a
// length nor chunks and ends with its connection. They have no effect on a stream
// without further events.
const (
	// FaultCloseDelimited sends a whole close-delimited reply.
	FaultCloseDelimited Fault = "unframed"
	// FaultCloseDelimitedHTTP10 does so in HTTP/1.0.
	FaultCloseDelimitedHTTP10 Fault = "unframed, HTTP/1.0"
	// FaultCloseDelimitedCut closes the connection of a close-delimited reply in the
	// middle of the body or of an event.
	FaultCloseDelimitedCut Fault = "unframed, cut"
	// FaultCloseDelimitedCutBetween closes it between two events.
	FaultCloseDelimitedCutBetween Fault = "unframed, cut between events"
	// FaultCloseDelimitedEmpty closes it right after the head.
	FaultCloseDelimitedEmpty Fault = "unframed, empty"
	// FaultCloseDelimitedReset resets it in the middle of the body or of an event.
	FaultCloseDelimitedReset Fault = "unframed, reset"
	// FaultEndsInsideEvent sends the last chunk of a stream inside an event.
	FaultEndsInsideEvent Fault = "ends inside an event"
)

// crashUnframed crashes the Runner in a close-delimited reply if the run does so. parts
// is the body, or the events of a stream.
func (r *Runner) crashUnframed(c net.Conn, run *Run, parts []string) bool {
	if !r.crashesAt(run, CrashInUnframedBody) {
		return false
	}
	r.sendBadlyFramed(c, run, FaultCloseDelimitedCut, parts)
	r.crash(run, false)
	return true
}

// framingFault reports whether a fault replaces the framing of a reply.
func framingFault(f Fault) bool {
	return f == FaultEndsInsideEvent || strings.HasPrefix(string(f), string(FaultCloseDelimited))
}

// sendBadlyFramed sends a reply with one of the faults of this file, after which the
// connection must be closed. parts is the body, or the events of a stream.
func (r *Runner) sendBadlyFramed(c net.Conn, run *Run, fault Fault, parts []string) {
	whole := strings.Join(parts, "")
	half := strings.Join(parts[:len(parts)/2], "")
	middle := parts[len(parts)/2]
	cut := half + middle[:len(middle)/2]
	version, framing, body := "HTTP/1.1", "", whole
	switch fault {
	case FaultCloseDelimitedHTTP10:
		version = "HTTP/1.0"
	case FaultCloseDelimitedCut, FaultCloseDelimitedReset:
		body = cut
	case FaultCloseDelimitedCutBetween:
		body = half
	case FaultCloseDelimitedEmpty:
		body = ""
	case FaultEndsInsideEvent:
		framing = "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(cut), cut)
	}
	contentType := "text/plain"
	if r.cfg.Events > 0 {
		contentType = "text/event-stream"
	}
	head := version + " 200 OK\r\nContent-Type: " + contentType + "\r\n" + framing +
		headerRequestID + ": " + run.ID + "\r\n" + headerSeal + ": seal." + r.cfg.ID + "\r\n\r\n"
	_, _ = io.WriteString(c, head+body)
	if fault == FaultCloseDelimitedReset {
		time.Sleep(partialReplyTime)
		reset(c)
	}
}
