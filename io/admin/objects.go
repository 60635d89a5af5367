package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// changeRequest is the body of PUT. The server generates a missing change id.
type changeRequest struct {
	BasedOn  *int64          `json:"based_on"`
	ChangeID string          `json:"change_id"`
	Value    json.RawMessage `json:"value"`
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	objects := []config.Object{}
	for _, o := range s.cfg.Configuration.Objects(r.Context(), r.URL.Query().Get("kind")) {
		if id.mayRead(o.Name) {
			objects = append(objects, o)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"objects": objects})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	name := core.ObjectName(p.ByName("kind"), p.ByName("name"))
	if !id.mayRead(name) {
		writeForbidden(w, id, name)
		return
	}
	o, ok := s.cfg.Configuration.Object(r.Context(), name)
	if !ok {
		writeError(w, http.StatusNotFound, string(core.CodeNotFound), fmt.Sprintf("object %q does not exist", name))
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	var q changeRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), "body: "+err.Error())
		return
	}
	if q.BasedOn == nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), "based_on is missing; it is the version that you have seen, 0 for a new object")
		return
	}
	s.publish(w, r, id, config.Change{
		ChangeID: q.ChangeID,
		Object:   core.ObjectName(p.ByName("kind"), p.ByName("name")),
		BasedOn:  *q.BasedOn,
		Value:    q.Value,
	})
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	q := r.URL.Query()
	basedOn, err := strconv.ParseInt(q.Get("based_on"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), fmt.Sprintf("based_on is %q, it must be the version that you have seen", q.Get("based_on")))
		return
	}
	s.publish(w, r, id, config.Change{
		ChangeID: q.Get("change_id"),
		Object:   core.ObjectName(p.ByName("kind"), p.ByName("name")),
		BasedOn:  basedOn,
		Delete:   true,
	})
}

// publish publishes the change and queues its audit record. It reserves space in
// the audit queue first, so that no change is published without an audit record.
func (s *Server) publish(w http.ResponseWriter, r *http.Request, id identity, c config.Change) {
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	c.Author = id.author()
	timeout, err := publishTimeout(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), err.Error())
		return
	}
	if !s.audit.reserve() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "audit_unavailable", "too many audit records wait for the log; the change was not published")
		return
	}
	a := newAuditRecord(s.cfg.ID, id, c)
	if o, ok := s.cfg.Configuration.Object(r.Context(), c.Object); ok {
		a.Before = &o
	}
	if !id.mayChange(c.Object) {
		s.audit.enqueue(a.withRejection("forbidden"))
		writeForbidden(w, id, c.Object)
		return
	}
	// The audit record needs the outcome even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()
	o, err := s.cfg.Configuration.Publish(ctx, c)
	if err != nil {
		s.audit.enqueue(a.withRejection(err.Error()))
		writePublishError(w, err)
		return
	}
	s.audit.enqueue(a.withOutcome(o))
	writeOutcome(w, o)
}

func publishTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("timeout_ms")
	if text == "" {
		return defaultPublishTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxPublishTimeout.Milliseconds() {
		return 0, fmt.Errorf("timeout_ms is %q, allowed are 1 to %d", text, maxPublishTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func writeForbidden(w http.ResponseWriter, id identity, object string) {
	writeError(w, http.StatusForbidden, string(core.CodeForbidden), fmt.Sprintf("team %q has no access to object %q", id.team, object))
}

func writePublishError(w http.ResponseWriter, err error) {
	if errors.Is(err, core.ErrInvalid) {
		writeError(w, http.StatusUnprocessableEntity, "invalid", err.Error())
		return
	}
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusServiceUnavailable, "not_published", "the change was not published: "+err.Error())
}

func writeOutcome(w http.ResponseWriter, o config.Outcome) {
	fail := func(status int, code, message string) {
		writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}, Outcome: &o})
	}
	switch o.Result {
	case config.Accepted:
		writeJSON(w, http.StatusOK, o)
	case config.Lost:
		fail(http.StatusConflict, "lost", fmt.Sprintf("change %q lost to change %q", o.ChangeID, o.Winner))
	case config.Rejected:
		fail(http.StatusUnprocessableEntity, "invalid", o.Reason)
	default:
		writeJSON(w, http.StatusAccepted, o)
	}
}

func (s *Server) getOutcome(w http.ResponseWriter, r *http.Request, p httprouter.Params, id identity) {
	o, ok := s.cfg.Configuration.Outcome(r.Context(), p.ByName("id"))
	if !ok {
		writeError(w, http.StatusNotFound, string(core.CodeNotFound),
			fmt.Sprintf("change %q is not folded, or is older than the last %d", p.ByName("id"), config.MaxOutcomes))
		return
	}
	if !id.mayRead(o.Object) {
		writeForbidden(w, id, o.Object)
		return
	}
	writeJSON(w, http.StatusOK, o)
}
