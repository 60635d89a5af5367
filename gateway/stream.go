package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/io/backend"
)

// Limits of streams.
const (
	// maxEventBytes bounds one event.
	maxEventBytes      = 1 << 20
	initialBufferBytes = 4 << 10
)

// Errors of the relay of a stream.
const (
	errCallerWrite   = errors.ConstError("caller does not take the stream")
	errEventTooLarge = errors.ConstError("event is malformed")
)

// relay passes the events of a stream to a caller, across runs at several
// servers. Only whole events are passed on.
type relay struct {
	gateway *Gateway
	call    *call
	rc      *http.ResponseController
	// serverID is the one whose run is relayed.
	serverID    string
	started     bool
	lastEventID string
	lastEventAt time.Time
	events      int
	// longestPause is the longest pause between two events.
	longestPause time.Duration
}

func newRelay(g *Gateway, c *call) *relay {
	return &relay{gateway: g, call: c, rc: http.NewResponseController(c.w), lastEventID: c.fields.LastEventID}
}

// attemptStream relays the events of one run. A run that breaks off may be
// carried on by another one.
func (g *Gateway) attemptStream(a *attempts, v dispatch.Verdict, reply *backend.Reply) (dispatch.Outcome, bool) {
	if !g.cfg.Headers.Reply(reply.Status, reply.Header).Sealed {
		g.logAttempt(a, v, "not_sealed", reply.Status, nil)
		return dispatch.OutcomeFailed, false
	}
	before := a.relay.events
	a.relay.serverID = v.Server.ID
	err := a.relay.copyEvents(reply)
	switch {
	case err == nil:
		reply.Ended()
		a.relay.writeHeader(reply)
		g.logServed(a, reply.Status)
		return dispatch.OutcomeServed, true
	case errors.Is(err, errCallerWrite):
		g.recordEnd(a, "caller_left")
		return dispatch.OutcomeCancelled, true
	case a.ctx.Err() != nil:
		return dispatch.OutcomeCancelled, g.contextEnded(a)
	}
	g.logAttempt(a, v, "stream_broken", reply.Status, fmt.Errorf("after %d events, last id %q: %w", a.relay.events-before, a.relay.lastEventID, err))
	return dispatch.OutcomeFailed, false
}

// writeHeader sends the head of the first run.
func (s *relay) writeHeader(reply *backend.Reply) {
	if s.started {
		return
	}
	s.started = true
	copyReplyHeaders(s.call.w, reply.Header)
	s.call.w.WriteHeader(reply.Status)
}

// copyEvents relays one copyEvents until it ends. A nil error means that it is complete.
func (s *relay) copyEvents(reply *backend.Reply) error {
	buf := make([]byte, 0, initialBufferBytes)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				return fmt.Errorf("event is larger than %d bytes: %w", maxEventBytes, errEventTooLarge)
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reply.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			used, writeErr := s.forwardEvents(reply, buf)
			if writeErr != nil {
				return writeErr
			}
			buf = append(buf[:0], buf[used:]...)
		}
		if err != nil {
			return s.finish(reply, buf, err)
		}
	}
}

// finish judges the end of a run. Bytes that are no whole event are passed on
// only at the end of a complete run.
func (s *relay) finish(reply *backend.Reply, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return fmt.Errorf("read stream: %w", err)
	}
	if len(rest) == 0 {
		return nil
	}
	s.writeHeader(reply)
	if _, err := s.call.w.Write(rest); err != nil {
		return fmt.Errorf("%w: %w", err, errCallerWrite)
	}
	return nil
}

// forwardEvents sends all whole events in a buffer to the caller and returns how many
// bytes it has used.
func (s *relay) forwardEvents(reply *backend.Reply, buf []byte) (int, error) {
	used := 0
	var out []byte
	for {
		end := eventEnd(buf[used:])
		if end < 0 {
			break
		}
		event := buf[used : used+end]
		used += end
		if s.accept(event) {
			out = append(out, event...)
		}
	}
	if len(out) == 0 {
		return used, nil
	}
	s.writeHeader(reply)
	if _, err := s.call.w.Write(out); err != nil {
		return used, fmt.Errorf("%w: %w", err, errCallerWrite)
	}
	if err := s.rc.Flush(); err != nil {
		return used, fmt.Errorf("%w: %w", err, errCallerWrite)
	}
	return used, nil
}

// accept notes an event and reports whether the caller does not have it yet.
func (s *relay) accept(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	if !isNewerID(id, s.lastEventID) {
		return false
	}
	s.lastEventID = id
	now := time.Now()
	pause := time.Duration(0)
	if s.events > 0 {
		pause = now.Sub(s.lastEventAt)
		s.longestPause = max(s.longestPause, pause)
	}
	g := s.gateway
	g.task.Do(func() {
		g.state.dispatcher.ObserveEvent(s.call.service, s.serverID, pause, s.call.route.MaxEventGap, now)
	})
	s.events++
	s.lastEventAt = now
	return true
}

// isNewerID reports whether an event id comes behind the last one. Ids increase;
// ids that are no numbers only must differ.
func isNewerID(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// eventEnd returns the length of the first whole event, or -1.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	}
	return -1
}

// eventID returns the value of the id line of an event.
func eventID(event []byte) (string, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
