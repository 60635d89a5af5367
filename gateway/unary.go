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

// maxBufferedReplyBytes is the size up to which a reply is read whole before its head
// goes to the caller, so that a broken one can be replaced.
const maxBufferedReplyBytes = 128 << 10

// bufferedReply is a reply that has been read whole.
type bufferedReply struct {
	status int
	header http.Header
	body   []byte
}

// attemptUnary passes on a reply that is not a stream.
func (g *Gateway) attemptUnary(a *attempts, v dispatch.Verdict, reply *backend.Reply) (dispatch.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedReplyBytes+1))
	if err != nil {
		if a.ctx.Err() != nil {
			return dispatch.OutcomeCancelled, g.contextEnded(a)
		}
		g.logAttempt(a, v, "reply_cut_short", reply.Status, err)
		return dispatch.OutcomeFailed, false
	}
	p := &bufferedReply{status: reply.Status, header: reply.Header, body: body}
	sealed := g.cfg.Headers.Reply(reply.Status, reply.Header).Sealed
	if !sealed {
		g.logAttempt(a, v, "not_sealed", reply.Status, nil)
		return dispatch.OutcomeFailed, false
	}
	if len(body) > maxBufferedReplyBytes {
		return g.forwardLarge(a, v, p, reply), true
	}
	reply.Ended()
	if reply.Status >= http.StatusInternalServerError && a.route.Kind.Repeatable() && a.relay == nil && a.fallback == nil {
		a.fallback = p
		g.logAttempt(a, v, "server_error", reply.Status, nil)
		return dispatch.OutcomeServed, false
	}
	if a.relay != nil && a.relay.started {
		g.recordEnd(a, "resumed_stream_failed")
		panic(http.ErrAbortHandler)
	}
	g.sendBuffered(a, p)
	return dispatch.OutcomeServed, true
}

// sendBuffered sends a whole reply to the caller.
func (g *Gateway) sendBuffered(a *attempts, p *bufferedReply) {
	copyReplyHeaders(a.w, p.header)
	if a.r.Method != http.MethodHead {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	a.w.WriteHeader(p.status)
	if _, err := a.w.Write(p.body); err != nil {
		g.recordEnd(a, "caller_left")
		return
	}
	g.logServed(a, p.status)
}

// forwardLarge passes on a reply that is too large to be held. One that breaks off
// ends the caller's connection, so that it does not look complete.
func (g *Gateway) forwardLarge(a *attempts, v dispatch.Verdict, p *bufferedReply, reply *backend.Reply) dispatch.Outcome {
	copyReplyHeaders(a.w, p.header)
	a.w.WriteHeader(p.status)
	_, err := a.w.Write(p.body)
	if err == nil {
		_, err = io.Copy(a.w, reply.Body)
	}
	if err != nil {
		g.logAttempt(a, v, "reply_cut_short", p.status, err)
		panic(http.ErrAbortHandler)
	}
	reply.Ended()
	g.logServed(a, p.status)
	return dispatch.OutcomeServed
}

// copyReplyHeaders copies the headers of a reply that concern more than one connection.
func copyReplyHeaders(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	for k, v := range from {
		if !hopByHopHeaders[k] {
			to[k] = v
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		to["Content-Type"] = nil
	}
}

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func (g *Gateway) logServed(a *attempts, status int) {
	a.outcome = "served_" + strconv.Itoa(status)
	sendsByOutcome.Add("served", 1)
	fields := []zap.Field{zap.String("request_id", a.id()), zap.String("route", a.route.Name),
		zap.Int("status", status), zap.Strings("servers", a.tried), zap.Int64("version", a.version),
		zap.Duration("held", time.Since(a.arrived))}
	if a.relay != nil {
		fields = append(fields, zap.Int("events", a.relay.events), zap.Duration("longest_pause", a.relay.longestPause))
	}
	g.log.Info("request served", fields...)
}
