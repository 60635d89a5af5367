package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"nutmegnotch/core"
)

// statusByCode maps refusal codes to HTTP status codes.
var statusByCode = map[core.Code]int{
	core.CodeBadRequest:       http.StatusBadRequest,
	core.CodeUnauthorized:     http.StatusUnauthorized,
	core.CodeForbidden:        http.StatusForbidden,
	core.CodeNotFound:         http.StatusNotFound,
	core.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	core.CodeUploadTimeout:    http.StatusRequestTimeout,
	core.CodeKeyRequired:      http.StatusBadRequest,
	core.CodeKeyMismatch:      http.StatusUnprocessableEntity,
	core.CodeKeyExpired:       http.StatusUnprocessableEntity,
	core.CodeRateLimit:        http.StatusTooManyRequests,
	core.CodeConcurrency:      http.StatusTooManyRequests,
	core.CodeStillRunning:     http.StatusConflict,
	core.CodeOutcomeUnknown:   http.StatusBadGateway,
	core.CodeCrashesServers:   http.StatusUnprocessableEntity,
	core.CodeDeadline:         http.StatusGatewayTimeout,
	core.CodeBackendFailed:    http.StatusBadGateway,
	core.CodeConnectionBroken: http.StatusBadGateway,
}

// Status returns the HTTP status of a refusal. All codes that are not in
// statusByCode concern the state of the system and return 503.
func Status(r core.Refusal) int {
	if s, ok := statusByCode[r.Code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code           core.Code `json:"code"`
	Message        string    `json:"message"`
	NotRun         bool      `json:"not_run"`
	OutcomeUnknown bool      `json:"outcome_unknown"`
	RetryAfterMS   int64     `json:"retry_after_ms"`
	RequestID      string    `json:"request_id"`
}

// Refuse answers a request with a refusal. It must not be called after Start.
func (p *Reply) Refuse(r core.Refusal) {
	p.sentRefusal = &r
	body, err := json.Marshal(refusalBody{refusalError{
		Code: r.Code, Message: r.Message, NotRun: r.NotRun, OutcomeUnknown: r.OutcomeUnknown,
		RetryAfterMS: r.RetryAfter.Milliseconds(), RequestID: p.id,
	}})
	if err != nil {
		p.Abort(r.Code)
		return
	}
	h := p.w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if r.Code == core.CodeLeaving {
		h.Set("Connection", "close")
	}
	p.code, p.status = r.Code, Status(r)
	_ = p.rc.SetWriteDeadline(time.Now().Add(p.stallTimeout))
	p.w.WriteHeader(p.status)
	// A failed write means that the caller has disconnected or reads nothing.
	_, _ = p.w.Write(body)
}
