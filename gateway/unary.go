package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/io/backend"
)

// maxBufferedReplyBytes is the size up to which a reply is buffered before anything
// is sent to the caller, so that a broken reply can be retried.
const maxBufferedReplyBytes = 128 << 10

// bufferedReply is a reply that has been read into memory.
type bufferedReply struct {
	status  int
	header  http.Header
	body    []byte
	framing backend.Framing
}

// attemptUnary forwards a reply that is not a stream.
func (g *Gateway) attemptUnary(a *attempts, v dispatch.Decision, reply *backend.Reply) (dispatch.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedReplyBytes+1))
	if err != nil {
		if a.ctx.Err() != nil {
			g.runBroke(a, v.Server, false)
			return dispatch.OutcomeCancelled, g.contextEnded(a)
		}
		g.logAttempt(a, v, "reply_cut_short", reply.Status, err)
		g.runBroke(a, v.Server, true)
		return dispatch.OutcomeFailed, false
	}
	buffered := &bufferedReply{status: reply.Status, header: reply.Header, body: body, framing: reply.Framing}
	sealed := g.cfg.Headers.Reply(reply.Status, reply.Header).Sealed
	if !sealed {
		g.logAttempt(a, v, "not_sealed", reply.Status, nil)
		return dispatch.OutcomeFailed, false
	}
	if len(body) > maxBufferedReplyBytes {
		return g.forwardLarge(a, v, buffered, reply), true
	}
	reply.MarkBodyRead()
	if reply.Status >= http.StatusInternalServerError && a.route.Kind.Repeatable() && a.relay == nil && a.fallback == nil {
		a.fallback = buffered
		g.logAttempt(a, v, "server_error", reply.Status, nil)
		return dispatch.OutcomeServed, false
	}
	if a.relay != nil && a.relay.started {
		g.recordEnd(a, "resumed_stream_failed")
		panic(http.ErrAbortHandler)
	}
	g.sendBuffered(a, buffered)
	return dispatch.OutcomeServed, true
}

// sendBuffered sends a buffered reply to the caller.
func (g *Gateway) sendBuffered(a *attempts, b *bufferedReply) {
	copyReplyHeaders(a.w, b.header)
	if a.r.Method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	a.w.WriteHeader(b.status)
	if _, err := a.w.Write(b.body); err != nil {
		g.recordEnd(a, "caller_left")
		return
	}
	g.logServed(a, b.status, b.framing)
}

// forwardLarge forwards a reply that is too large to buffer. If the reply breaks
// off, it aborts the caller's connection so that the reply does not look complete.
func (g *Gateway) forwardLarge(a *attempts, v dispatch.Decision, head *bufferedReply, reply *backend.Reply) dispatch.Outcome {
	copyReplyHeaders(a.w, head.header)
	a.w.WriteHeader(head.status)
	_, err := a.w.Write(head.body)
	if err == nil {
		_, err = io.Copy(a.w, reply.Body)
	}
	if err != nil {
		g.logAttempt(a, v, "reply_cut_short", head.status, err)
		g.runBroke(a, v.Server, false)
		panic(http.ErrAbortHandler)
	}
	reply.MarkBodyRead()
	g.logServed(a, head.status, head.framing)
	return dispatch.OutcomeServed
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

func (g *Gateway) logServed(a *attempts, status int, framing backend.Framing) {
	a.outcome = "served_" + strconv.Itoa(status)
	sendsByOutcome.Add("served", 1)
	replyEnds.Add(framing.String(), 1)
	g.requestCompleted(a, status)
	fields := []zap.Field{zap.String("request_id", a.id()), zap.String("route", a.route.Name),
		zap.Int("status", status), zap.Strings("servers", a.serverIDs), zap.Int64("version", a.version),
		zap.Duration("held", time.Since(a.arrived)), zap.Stringer("framing", framing)}
	if a.relay != nil {
		fields = append(fields, zap.Int("events", a.relay.events), zap.Duration("longest_pause", a.relay.longestPause))
	}
	if framing == backend.FramingConnection {
		// Sampling counts lines by their message, so these are not lost among others.
		g.log.Info("reply ended with its connection", fields...)
		return
	}
	g.log.Info("request served", fields...)
}
