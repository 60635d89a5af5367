package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/io/backend"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/membuf"
)

// maxBufferedReplyBytes is the size up to which a reply is buffered before anything
// is sent to the caller, so that a broken reply can be retried.
const maxBufferedReplyBytes = 128 << 10

// bufferedReply is a reply that has been read into memory.
type bufferedReply struct {
	status  int
	header  http.Header
	body    membuf.Buffer
	framing backend.Framing
}

// attemptUnary forwards a reply that is not a stream.
func (g *Gateway) attemptUnary(a *attempts, v dispatch.Decision, reply *backend.Reply) (dispatch.Outcome, bool) {
	buffered := &bufferedReply{status: reply.Status, header: reply.Header, body: membuf.NewBuffer(g.replyMemory, initialBufferBytes), framing: reply.Framing}
	defer func() {
		if a.fallback != buffered {
			buffered.body.Free()
		}
	}()
	err := buffered.body.Read(io.LimitReader(reply.Body, maxBufferedReplyBytes+1), unknownLength, maxBufferedReplyBytes)
	noMemory := errors.Is(err, membuf.ErrNoMemory)
	if err != nil && !noMemory && !errors.Is(err, backend.ErrUnverifiedEnd) {
		if a.ctx.Err() != nil {
			if !g.aborted(a) {
				g.runBroke(a, v.Server, false)
			}
			return dispatch.OutcomeCancelled, g.contextEnded(a)
		}
		g.logAttempt(a, v, "reply_cut_short", reply.Status, err)
		g.runBroke(a, v.Server, true)
		return dispatch.OutcomeFailed, false
	}
	sealed := g.cfg.Headers.Reply(reply.Status, reply.Header).Sealed
	if !sealed {
		g.logAttempt(a, v, "not_sealed", reply.Status, nil)
		return dispatch.OutcomeFailed, false
	}
	if a.relay != nil && a.relay.started {
		g.recordEnd(a, "resumed_stream_failed")
		a.abort()
	}
	if noMemory || len(buffered.body.Data) > maxBufferedReplyBytes {
		return g.forwardLarge(a, v, buffered, reply), true
	}
	reply.MarkBodyRead()
	outcome := g.replyEnded(a, v, reply.Framing)
	if reply.Status >= http.StatusInternalServerError && a.route.Kind.Repeatable() && a.relay == nil && a.fallback == nil {
		a.fallback = buffered
		g.logAttempt(a, v, "server_error", reply.Status, nil)
		return outcome, false
	}
	g.sendBuffered(a, buffered)
	return outcome, true
}

// replyEnded returns the outcome of a send whose reply has ended as its framing says. A
// reply that ended with its connection may have been cut short by the end of its server.
func (g *Gateway) replyEnded(a *attempts, v dispatch.Decision, framing backend.Framing) dispatch.Outcome {
	if framing != backend.FramingConnection {
		return dispatch.OutcomeServed
	}
	g.checkEnded(a, v.Server, false)
	return dispatch.OutcomeUnverified
}

// sendBuffered sends a buffered reply to the caller.
func (g *Gateway) sendBuffered(a *attempts, b *bufferedReply) {
	length := len(b.body.Data)
	if a.r.Method == http.MethodHead {
		length = unknownLength
	}
	g.beginReply(a.call, b.status, b.header, b.framing, length)
	_, err := a.w.Write(b.body.Data)
	if err == nil {
		err = g.endReply(a.call)
	}
	if err != nil {
		g.recordEnd(a, "caller_left")
		return
	}
	g.logForwarded(a, b.status, b.framing)
}

// forwardLarge forwards a reply that is too large to buffer, or for which no memory is left. If the reply breaks
// off, it aborts the caller's connection so that the reply does not look complete.
func (g *Gateway) forwardLarge(a *attempts, v dispatch.Decision, head *bufferedReply, reply *backend.Reply) dispatch.Outcome {
	g.beginReply(a.call, head.status, head.header, head.framing, unknownLength)
	_, err := a.w.Write(head.body.Data)
	head.body.Free()
	if err == nil {
		_, err = io.Copy(a.w, reply.Body)
	}
	if errors.Is(err, backend.ErrUnverifiedEnd) {
		err = nil
	}
	if err == nil {
		err = g.endReply(a.call)
	}
	if err != nil {
		g.logAttempt(a, v, "reply_cut_short", head.status, err)
		if !g.aborted(a) {
			g.runBroke(a, v.Server, false)
		}
		a.abort()
	}
	reply.MarkBodyRead()
	g.logForwarded(a, head.status, head.framing)
	return g.replyEnded(a, v, head.framing)
}

// unknownLength is the length of a body that is not known before its end.
const unknownLength = -1

// beginReply sends the status and the headers of a server's reply to the caller. A
// reply that the server ends with its connection ends so for the caller, since nobody
// can vouch for a length or a last chunk.
func (g *Gateway) beginReply(c *call, status int, header http.Header, framing backend.Framing, length int) {
	copyReplyHeaders(c.w, header)
	switch {
	case framing == backend.FramingConnection, length == unknownLength && !c.r.ProtoAtLeast(1, 1):
		c.closeDelimited = true
		if err := caller.BeginCloseDelimited(c.w, c.r); err != nil {
			g.log.Warn("the caller will not see whether this reply breaks off", zap.String("request_id", c.id()), zap.Error(err))
		}
	case length != unknownLength:
		c.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	c.keepForNext()
	c.w.WriteHeader(status)
}

// endReply ends a reply that was forwarded to its end.
func (g *Gateway) endReply(c *call) error {
	if !c.closeDelimited {
		return nil
	}
	return caller.EndCloseDelimited(c.w, c.r)
}

// abort ends a handler without a whole reply and closes the caller's connection, so that
// the caller sees that the reply is missing or incomplete.
func (c *call) abort() {
	c.aborted = true
	panic(http.ErrAbortHandler)
}

// flushAborted sends what was written of an aborted reply before the caller's
// connection is reset.
func (g *Gateway) flushAborted(c *call) {
	if !c.aborted || !c.closeDelimited || c.r.Context().Err() != nil {
		return
	}
	if err := caller.FlushUnsent(c.w, c.r); err != nil {
		g.log.Info("the caller does not get all of a reply that broke off", zap.String("request_id", c.id()), zap.Error(err))
	}
}

// copyReplyHeaders copies the headers of a reply except the hop-by-hop ones.
func copyReplyHeaders(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	for k, v := range from {
		if !hopByHopHeaders[k] {
			to[k] = v
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// Prevents net/http from sniffing the content type.
		to["Content-Type"] = nil
	}
}

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// logForwarded records a reply that was forwarded to its end. One that ended with its
// connection does not count as served, since it may be incomplete.
func (g *Gateway) logForwarded(a *attempts, status int, framing backend.Framing) {
	outcome, message := "served", "request served"
	if framing == backend.FramingConnection {
		outcome, message = "unverified", "reply forwarded, but its server did not mark its end"
	} else {
		// A stream without events may have been resumed at its end.
		a.served = status >= http.StatusOK && status < http.StatusMultipleChoices && (a.relay == nil || a.relay.events > 0)
	}
	a.answered = true
	a.outcome = outcome + "_" + strconv.Itoa(status)
	sendsByOutcome.Add(outcome, 1)
	replyEnds.Add(framing.String(), 1)
	fields := []zap.Field{zap.String("request_id", a.id()), zap.String("route", a.route.Name),
		zap.Int("status", status), zap.Strings("servers", a.serverIDs), zap.Int64("version", a.version),
		zap.Duration("held", time.Since(a.arrived)), zap.Stringer("framing", framing)}
	if a.relay != nil {
		fields = append(fields, zap.Int("events", a.relay.events), zap.Duration("longest_pause", a.relay.longestPause))
	}
	g.log.Info(message, fields...)
}
