// Package caller is the HTTP/1.1 front end for callers. It identifies the
// caller and the service, reads the request within limits, and writes replies
// and refusals. It never logs bodies, headers or query strings.
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

// CompletionsPath takes the requests of model services.
const CompletionsPath = "/v1/completions"

// RequestIDHeader carries the request id to the caller and to the backend
// server.
const RequestIDHeader = "X-Request-Id"

// Default limits of a Frontend.
const (
	DefaultUploadTimeout = 30 * time.Second
	DefaultStallTimeout  = 10 * time.Minute
	DefaultMaxBodyBytes  = 1 << 20
	// MaxBodyBytes bounds any setting of a body limit.
	MaxBodyBytes = 64 << 20
	// DefaultClaimWindow is the default of the setting claims.window.
	DefaultClaimWindow = 6 * time.Hour
)

// Request is one caller's request, read whole and checked. Its fields may not
// be changed, except that ReleaseBody frees the body.
type Request struct {
	core.Request
	Method string
	// Path holds the query too.
	Path        string
	Header      http.Header
	Body        []byte
	RequestHash claim.Hash
	Contract    core.Contract
	ServiceInfo core.Service
	// ConfigOffset is the NextOffset of the configuration that was used.
	ConfigOffset int64
	// ContractVersion is the version of the contract that was used.
	ContractVersion int64
	freeBody        func()
}

// ReleaseBody gives back the memory of the body. It may be called more than once.
func (r *Request) ReleaseBody() {
	r.Body = nil
	if r.freeBody != nil {
		r.freeBody()
		r.freeBody = nil
	}
}

// Config is what a Frontend needs.
type Config struct {
	Source core.ConfigSource
	// Reserve sets memory aside for an upload of the organisation.
	Reserve func(ctx context.Context, organisation string, bytes, limit int64) (release func(), ok bool)
	// Serve handles a checked request. It ends in exactly one of Refuse, Finish
	// and Abort of the reply.
	Serve func(ctx context.Context, r *Request, w *Reply)
	// RefuseAll may refuse all requests, for example during a stop.
	RefuseAll     func() (core.Refusal, bool)
	UploadTimeout time.Duration
	// ClaimWindow is the time for which idempotency keys are remembered.
	ClaimWindow time.Duration
	// StallTimeout bounds the time in which a caller accepts no part of a write
	// of at most MaxWriteBytes.
	StallTimeout time.Duration
	// OnOutcome is told the final outcome of each request whose caller key belongs
	// to a contract. It must not block. It may be nil.
	OnOutcome func(o report.Outcome)
	Log       *zap.Logger
}

// Frontend is the http.Handler for callers.
type Frontend struct {
	cfg    Config
	router *httprouter.Router
}

// New returns a front end. Unset limits get their defaults.
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

// reader turns an HTTP request of a known caller into a Request.
type reader func(id identity, w http.ResponseWriter, r *http.Request) (*Request, *core.Refusal)

func (f *Frontend) handle(w http.ResponseWriter, r *http.Request, read reader) {
	reply := newReply(w, uuid.NewString(), f.cfg.StallTimeout)
	id, refusal := f.identify(r)
	if refusal != nil {
		reply.Refuse(*refusal)
		f.logEnd(reply, "", "")
		f.unidentified(reply, r)
		return
	}
	req, refusal := read(id, w, r)
	if refusal != nil {
		reply.Refuse(*refusal)
		f.logEnd(reply, id.contract.Organisation, "")
		f.ended(reply, subject(id, ""))
		return
	}
	defer req.ReleaseBody()
	req.ID = reply.id
	f.cfg.Serve(r.Context(), req, reply)
	f.logEnd(reply, req.Organisation, req.Service)
	f.ended(reply, req.Subject())
	reply.end()
}

// logEnd logs what became of a request.
func (f *Frontend) logEnd(w *Reply, organisation, service string) {
	f.cfg.Log.Info("request ended",
		zap.String("request_id", w.id), zap.String("organisation", organisation), zap.String("service", service),
		zap.Int("status", w.status), zap.String("code", string(w.code)), zap.Bool("cut", w.aborted),
		zap.Int64("reply_bytes", w.written), zap.Duration("elapsed", time.Since(w.started)))
}
