// Package caller is the HTTP/1.1 frontend for callers. It authenticates the caller,
// finds the service, reads the request within limits, and writes replies and
// refusals. It never logs bodies, headers or query strings.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/core/report"
)

// CompletionsPath is the path of requests to model services.
const CompletionsPath = "/v1/completions"

// RequestIDHeader carries the request id to the caller and to the backend
// server.
const RequestIDHeader = "X-Request-Id"

// Limits and their defaults.
const (
	DefaultUploadTimeout = 30 * time.Second
	DefaultStallTimeout  = 10 * time.Minute
	DefaultMaxBodyBytes  = 1 << 20
	// MaxBodyBytes is the upper bound of the body limit of a service.
	MaxBodyBytes = 64 << 20
	// DefaultClaimWindow is the default of the setting claims.window.
	DefaultClaimWindow = 6 * time.Hour
)

// Request is a caller's request after it has been read completely and validated.
// Its fields must not be changed, except by ReleaseBody.
type Request struct {
	core.Request
	Method string
	// Path includes the query.
	Path        string
	Header      http.Header
	Body        []byte
	RequestHash claim.Hash
	Contract    core.Contract
	ServiceInfo core.Service
	// ConfigOffset is the NextOffset of the configuration that the request was
	// checked against.
	ConfigOffset int64
	// ContractVersion is the version of Contract.
	ContractVersion int64
	freeBody        func()
}

// ReleaseBody drops the body and releases its memory. It may be called repeatedly.
func (r *Request) ReleaseBody() {
	r.Body = nil
	if r.freeBody != nil {
		r.freeBody()
		r.freeBody = nil
	}
}

// Config configures a Frontend.
type Config struct {
	Source core.ConfigSource
	// Reserve reserves memory for an upload of the organisation. limit bounds the
	// memory of the organisation.
	Reserve func(ctx context.Context, organisation string, bytes, limit int64) (release func(), ok bool)
	// Serve handles a validated request. It must either call Refuse, or send the whole
	// reply with Start and Write, or call Abort or AbortCallerGone. Otherwise the
	// caller takes an incomplete reply for a complete one.
	Serve func(ctx context.Context, r *Request, w *Reply)
	// RefuseAll returns true with the refusal while all requests are refused, for
	// example during a shutdown. It may be nil.
	RefuseAll     func() (core.Refusal, bool)
	UploadTimeout time.Duration
	// ClaimWindow is how long idempotency keys are retained.
	ClaimWindow time.Duration
	// StallTimeout bounds each write of at most MaxWriteBytes to a caller.
	StallTimeout time.Duration
	// OnOutcome is called with the final outcome of each request whose caller key
	// belongs to a contract. It must not block. It may be nil.
	OnOutcome func(o report.Outcome)
	Log       *zap.Logger
}

// Frontend is the http.Handler for callers.
type Frontend struct {
	cfg    Config
	router *httprouter.Router
}

// New returns a Frontend. Limits that are not set get their defaults.
func New(cfg Config) *Frontend {
	if cfg.UploadTimeout <= 0 {
		cfg.UploadTimeout = DefaultUploadTimeout
	}
	if cfg.StallTimeout <= 0 {
		cfg.StallTimeout = DefaultStallTimeout
	}
	if cfg.ClaimWindow <= 0 {
		cfg.ClaimWindow = DefaultClaimWindow
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	f := &Frontend{cfg: cfg, router: httprouter.New()}
	f.router.RedirectTrailingSlash = false
	f.router.RedirectFixedPath = false
	f.router.HandleMethodNotAllowed = false
	f.router.POST(CompletionsPath, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		f.handle(w, r, f.readCompletion)
	})
	f.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handle(w, r, f.readPlain)
	})
	return f
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

// requestReader reads the HTTP request of an authenticated caller into a Request.
type requestReader func(id identity, w http.ResponseWriter, r *http.Request) (*Request, *core.Refusal)

func (f *Frontend) handle(w http.ResponseWriter, r *http.Request, read requestReader) {
	reply := newReply(w, r, uuid.NewString(), f.cfg.StallTimeout)
	id, refusal := f.identify(r)
	if refusal != nil {
		reply.Refuse(*refusal)
		f.logRequestEnd(reply, "", "")
		f.reportUnidentified(reply, r)
		return
	}
	req, refusal := read(id, w, r)
	if refusal != nil {
		reply.Refuse(*refusal)
		f.logRequestEnd(reply, id.contract.Organisation, "")
		f.reportOutcome(reply, subjectOf(id, ""))
		return
	}
	defer req.ReleaseBody()
	req.ID = reply.id
	f.cfg.Serve(r.Context(), req, reply)
	f.logRequestEnd(reply, req.Organisation, req.Service)
	f.reportOutcome(reply, req.Subject())
	reply.finish(f.cfg.Log)
}

// logRequestEnd logs the outcome of a request.
func (f *Frontend) logRequestEnd(w *Reply, organisation, service string) {
	f.cfg.Log.Info("request ended",
		zap.String("request_id", w.id), zap.String("organisation", organisation), zap.String("service", service),
		zap.Int("status", w.status), zap.String("code", string(w.code)), zap.Bool("cut", w.aborted), zap.Bool("unverified", w.unverified),
		zap.Int64("reply_bytes", w.writtenBytes), zap.Duration("elapsed", time.Since(w.receivedAt)))
}
