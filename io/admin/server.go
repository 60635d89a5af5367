// Package admin serves the administration API, health, readiness and metrics.
package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Limits and timeouts of the API.
const (
	maxBodyBytes          = config.MaxRecordBytes
	defaultPublishTimeout = 5 * time.Second
	maxPublishTimeout     = time.Minute
)

// Configuration provides the current configuration and publishes changes.
// *configlog.Follower implements it.
type Configuration interface {
	core.ConfigSource
	Publish(ctx context.Context, c config.Change) (config.Outcome, error)
	Outcome(ctx context.Context, changeID string) (config.Outcome, bool)
	Object(ctx context.Context, name string) (config.Object, bool)
	Objects(ctx context.Context, kind string) []config.Object
}

// Config configures a Server. BootstrapTokenHash is the hex SHA-256 of a token that
// is accepted while no team exists; it may be empty.
type Config struct {
	ID            string
	Configuration Configuration
	Log           core.Log
	Readiness     core.Readiness
	Status        core.StatusReporter
	// ReportInterval is the interval at which entries append records to the reports
	// stream.
	ReportInterval     time.Duration
	BootstrapTokenHash string
	Logger             *zap.Logger
}

// Server is the http.Handler of the administration API.
type Server struct {
	cfg    Config
	router *httprouter.Router
	audit  *auditWriter
}

// New returns a Server and starts its audit task. Close stops the task.
func New(cfg Config) *Server {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Server{cfg: cfg, router: httprouter.New(), audit: newAuditWriter(cfg)}
	s.router.GET("/healthz", s.healthz)
	s.router.GET("/readyz", s.readyz)
	s.router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	s.router.GET("/status", s.authenticated(s.status))
	s.router.GET("/objects", s.authenticated(s.listObjects))
	s.router.GET("/objects/:kind/:name", s.authenticated(s.getObject))
	s.router.PUT("/objects/:kind/:name", s.authenticated(s.putObject))
	s.router.DELETE("/objects/:kind/:name", s.authenticated(s.deleteObject))
	s.router.GET("/changes/:id", s.authenticated(s.getOutcome))
	s.router.GET("/audit", s.authenticated(s.listAudit))
	s.router.GET("/reports", s.authenticated(s.reports))
	s.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, "not_found", "path "+strconv.Quote(r.URL.Path)+" does not exist")
	})
	s.router.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, "method_not_allowed", "method "+r.Method+" is not allowed here")
	})
	return s
}

// Close appends the audit records that are still queued, until ctx is done, and
// stops the audit task.
func (s *Server) Close(ctx context.Context) { s.audit.close(ctx) }

// Done is closed when the audit task has stopped.
func (s *Server) Done() <-chan struct{} { return s.audit.done }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := s.cfg.Readiness.Ready(); err != nil {
		writeError(w, http.StatusServiceUnavailable, "not_ready", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ identity) {
	writeJSON(w, http.StatusOK, s.cfg.Status.ReportStatus(r.Context()))
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error   errorDetail     `json:"error"`
	Outcome *config.Outcome `json:"outcome,omitempty"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}
