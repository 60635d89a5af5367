package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/retry"
	"nutmegnotch/io/membuf"
)

// Timeouts, limits and Retry-After values of callers' requests.
const (
	// uploadTimeout limits the time for reading a request body.
	uploadTimeout = 10 * time.Second
	// defaultTimeLeft applies to requests that state no deadline.
	defaultTimeLeft = 30 * time.Second
	// unavailableRetryAfter is sent while the gateway has no configuration or no
	// memory for another request body.
	unavailableRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is short, since other gateways serve the retry.
	drainingRetryAfter = 50 * time.Millisecond
	// defaultMaxBodyBytes applies if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	headerRetryAfter    = "Retry-After"
)

// call is a caller's request and what the gateway knows of it.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	fields  core.CallerFields
	route   core.Route
	holder  core.KeyHolder
	version int64
	service string
	body    membuf.Buffer
	// fingerprint is the key of the request in the quarantine, and keys holds those of
	// its shared parts too.
	fingerprint uint64
	keys        retry.Keys
	// blockedPart is the part of the prompt for which the request is refused.
	blockedPart string
	// outcome is the name of the result in metrics.
	outcome string
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
	// closeDelimited is set if the reply to the caller ends with its connection.
	closeDelimited bool
	// discardBytes is how many bytes of the body are read and discarded after a refusal.
	discardBytes int64
	// answered is set if the whole reply was written.
	answered bool
	// aborted is set if the connection is closed without a whole reply.
	aborted bool
}

// refusal is an error response that the gateway itself sends.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{gateway: g, w: w, r: r, arrived: time.Now(), body: membuf.NewBuffer(g.bodyMemory, 0)}
	defer g.requestPanicked(c)
	defer g.flushAborted(c)
	defer c.observe()
	if g.stopping() {
		w.Header().Set("Connection", "close")
	}
	defer c.body.Free()
	if ref := g.admit(c); ref != nil {
		g.refuse(c, *ref)
		return
	}
	g.forward(c)
	if !c.answered {
		// net/http would end the reply as if it were whole, with an empty 200 if none has
		// begun.
		c.abort()
	}
}

// requestPanicked logs an unexpected panic of the handler, which costs the caller's
// connection only.
func (g *Gateway) requestPanicked(c *call) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		failures.Add("requests", 1)
		g.log.Error("handling a request failed; closing its connection", zap.String("request_id", c.id()), zap.Any("panic", p), zap.Stack("stack"))
	}
	panic(http.ErrAbortHandler)
}

// admit validates a request, finds its route and service and reads its body. It
// returns nil if the request may be forwarded.
func (g *Gateway) admit(c *call) *refusal {
	if ref := g.refuseIfStopping(c.arrived); ref != nil {
		return ref
	}
	g.ownPauses.await(c.r.Context())
	snap := g.currentConfig.Load()
	if snap == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", unavailableRetryAfter}
	}
	c.version = snap.deployment.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := snap.routes.Find(c.r.Host, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	c.route = route
	var err error
	if c.fields, err = g.cfg.Headers.Caller(c.r.Header); err != nil {
		g.log.Warn("invalid request headers", zap.Error(err))
		return &refusal{status: http.StatusBadRequest, reason: "bad_header"}
	}
	if snap.deployment.KeysRequired && !route.Public {
		if c.holder, ok = snap.deployment.Keys[c.fields.Key]; !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.setCallerDeadline()
	if ref := g.readBody(c, snap.deployment.Limits); ref != nil {
		return ref
	}
	// The body may have taken until late in a planned stop.
	if ref := g.refuseIfStopping(c.deadline()); ref != nil {
		return ref
	}
	c.service = directory.PickService(route, rand.Float64())
	c.fingerprint = fingerprint(c.holder.Organisation, c.r.RequestURI, c.body.Data)
	c.keys = retry.Keys{Request: c.fingerprint, Parts: partFingerprints(c.service, c.fields.SharedPromptParts)}
	return nil
}

// setCallerDeadline sets the deadline of the caller from its time left.
func (c *call) setCallerDeadline() {
	left := c.fields.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	c.callerDeadline = c.arrived.Add(left)
}

// readBody reads the whole body before anything is sent to a server. A truncated
// request thus never reaches a server, and a failed one can be retried.
func (g *Gateway) readBody(c *call, limits core.CallerLimits) *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if c.r.ContentLength > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	rc := http.NewResponseController(c.w)
	setReadDeadline := func(t time.Time) {
		if err := rc.SetReadDeadline(t); err != nil {
			g.log.Warn("set read deadline failed", zap.Error(err))
		}
	}
	// A read deadline that has passed cannot be extended, so it is set once it is due.
	setReadDeadline(c.arrived.Add(uploadTimeout))
	e := expire(c.deadline, func() { setReadDeadline(time.Now()) })
	err := c.body.Read(http.MaxBytesReader(c.w, c.r.Body, maxBytes), c.r.ContentLength, maxBytes)
	e.stop()
	if err != nil {
		c.body.Free()
		// A caller that waits for status 100 sends no body after a refusal.
		if errors.Is(err, membuf.ErrNoMemory) && c.r.Header.Get("Expect") == "" {
			c.discardBytes = maxBytes
		}
		return bodyRefusal(err)
	}
	setReadDeadline(time.Time{})
	return nil
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, membuf.ErrNoMemory):
		return &refusal{http.StatusServiceUnavailable, "body_memory", unavailableRetryAfter}
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout"):
		return &refusal{status: http.StatusRequestTimeout, reason: "upload_timeout"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_cut_short"}
}

// refuse sends an error response of the gateway. Statuses 408, 421, 429 and 503
// guarantee that the request has not run and will not run.
func (g *Gateway) refuse(c *call, ref refusal) {
	c.answered = true
	g.log.Info("request refused", zap.String("request_id", c.id()), zap.String("route", c.route.Name),
		fingerprintField(c.fingerprint), zap.Int("status", ref.status), zap.String("reason", ref.reason), zap.String("prompt_part", c.blockedPart), zap.Duration("retry_after", ref.retryAfter),
		zap.Int64("version", c.version), zap.Duration("held", time.Since(c.arrived)))
	c.outcome = "refused_" + strconv.Itoa(ref.status)
	refusalsByReason.Add(ref.reason, 1)
	h := c.w.Header()
	if ref.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("%s\n", ref.reason)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if c.discardBytes > 0 {
		// Otherwise net/http reads the body before it sends the refusal.
		if err := http.NewResponseController(c.w).EnableFullDuplex(); err != nil {
			g.log.Warn("a refusal waits for the body of its request", zap.String("request_id", c.id()), zap.Error(err))
		}
	}
	c.keepForNext()
	c.w.WriteHeader(ref.status)
	if _, err := io.WriteString(c.w, text); err != nil {
		g.log.Debug("writing the refusal to the caller failed", zap.String("request_id", c.id()), zap.Error(err))
		return
	}
	if c.discardBytes > 0 {
		g.discardBody(c)
	}
}

// id returns the id of the request. It is empty until the headers are parsed.
func (c *call) id() string { return c.fields.RequestID }
