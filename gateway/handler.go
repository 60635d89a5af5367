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
)

// Times of callers' requests.
const (
	// uploadTimeout bounds the time for which a body is waited for.
	uploadTimeout = 10 * time.Second
	// defaultTimeLeft holds for callers that do not say how long they wait.
	defaultTimeLeft = 30 * time.Second
	// unavailableRetryAfter is told to callers while the gateway knows no
	// configuration.
	unavailableRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter sends callers to another gateway at once.
	drainingRetryAfter = 50 * time.Millisecond
	// defaultMaxBodyBytes holds while the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	headerRetryAfter    = "Retry-After"
)

// call is one request of a caller.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	fields  core.CallerFields
	route   core.Route
	holder  core.KeyHolder
	version int64
	service string
	body    []byte
	// fingerprint identifies a request that its caller sends again.
	fingerprint uint64
	deadline    time.Time
	// outcome names the end of the request in metrics.
	outcome string
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
}

// refusal is an answer of the gateway itself.
type refusal struct {
	status int
	reason string
	after  time.Duration
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{w: w, r: r, arrived: time.Now()}
	defer c.observe()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if ref := g.admit(c); ref != nil {
		g.refuse(c, *ref)
		return
	}
	defer g.bodyBytes.Add(-int64(len(c.body)))
	g.forward(c)
}

// admit checks a request and reads its body.
func (g *Gateway) admit(c *call) *refusal {
	if g.rejecting.Load() {
		return &refusal{http.StatusServiceUnavailable, "leaving", drainingRetryAfter}
	}
	snap := g.snapshot.Load()
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
		g.log.Warn("request headers cannot be read", zap.Error(err))
		return &refusal{status: http.StatusBadRequest, reason: "bad_header"}
	}
	if snap.deployment.KeysRequired && !route.Public {
		if c.holder, ok = snap.deployment.Keys[c.fields.Key]; !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.setDeadline()
	if ref := g.readBody(c, snap.deployment.Limits); ref != nil {
		return ref
	}
	c.service = directory.PickService(route, rand.Float64())
	c.fingerprint = fingerprint(c.holder.Organisation, c.r.RequestURI, c.body)
	return nil
}

// setDeadline bounds a request by what its caller and its route say.
func (c *call) setDeadline() {
	left := c.fields.TimeLeft
	if left <= 0 {
		left = defaultTimeLeft
	}
	c.callerDeadline = c.arrived.Add(left)
	c.deadline = c.callerDeadline
	if t := c.route.Timeout; t > 0 && c.arrived.Add(t).Before(c.deadline) {
		c.deadline = c.arrived.Add(t)
	}
}

// readBody reads the whole body, so that a request that is cut short never
// reaches a server and one that failed can be sent again.
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
	if g.bodyBytes.Load()+max(0, c.r.ContentLength) > g.cfg.BodyMemoryBytes {
		return &refusal{http.StatusServiceUnavailable, "body_memory", unavailableRetryAfter}
	}
	rc := http.NewResponseController(c.w)
	until := c.arrived.Add(uploadTimeout)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	if err := rc.SetReadDeadline(until); err != nil {
		g.log.Warn("set read deadline failed", zap.Error(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, maxBytes))
	if err != nil {
		return bodyRefusal(err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.log.Warn("lift read deadline failed", zap.Error(err))
	}
	c.body = body
	g.bodyBytes.Add(int64(len(body)))
	return nil
}

func bodyRefusal(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout"):
		return &refusal{status: http.StatusRequestTimeout, reason: "upload_timeout"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_cut_short"}
}

// refuse sends an answer of the gateway itself. Statuses 408, 421, 429 and 503
// promise that the request has not run and never will.
func (g *Gateway) refuse(c *call, ref refusal) {
	g.log.Info("request refused", zap.String("request_id", c.id()), zap.String("route", c.route.Name),
		zap.Int("status", ref.status), zap.String("reason", ref.reason), zap.Duration("retry_after", ref.after),
		zap.Int64("version", c.version), zap.Duration("held", time.Since(c.arrived)))
	c.outcome = "refused_" + strconv.Itoa(ref.status)
	h := c.w.Header()
	if ref.after > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(ref.after.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("%s\n", ref.reason)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(ref.status)
	if _, err := io.WriteString(c.w, text); err != nil {
		g.log.Debug("caller did not take the refusal", zap.String("request_id", c.id()), zap.Error(err))
	}
}

// id is the request's id as far as it is known.
func (c *call) id() string { return c.fields.RequestID }
