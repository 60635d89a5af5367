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
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Timing and limits of the audit trail.
const (
	auditQueueLen       = 1000
	auditRetryDelay     = 500 * time.Millisecond
	outcomePollInterval = time.Second
	outcomeTimeout      = 10 * time.Minute
	maxAuditLimit       = 1000
)

// auditRecord is one record of the audit stream. An append whose response was lost
// is retried, so the stream may hold copies of a record; they have the same
// AuditID.
type auditRecord struct {
	AuditID  string          `json:"audit_id"`
	Entry    string          `json:"entry"`
	Team     string          `json:"team"`
	Operator string          `json:"operator,omitempty"`
	ChangeID string          `json:"change_id"`
	Object   string          `json:"object"`
	BasedOn  int64           `json:"based_on"`
	Delete   bool            `json:"delete,omitempty"`
	Before   *config.Object  `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	Result   config.Result   `json:"result"`
	Version  int64           `json:"version"`
	Winner   string          `json:"winner,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

func newAuditRecord(entry string, id identity, c config.Change) auditRecord {
	return auditRecord{
		AuditID: uuid.NewString(), Entry: entry, Team: id.team, Operator: id.operator,
		ChangeID: c.ChangeID, Object: c.Object, BasedOn: c.BasedOn, Delete: c.Delete, After: c.Value,
	}
}

func (a auditRecord) withRejection(reason string) auditRecord {
	a.Result, a.Reason = config.Rejected, reason
	return a
}

func (a auditRecord) withOutcome(o config.Outcome) auditRecord {
	a.Result, a.Version, a.Winner, a.Reason = o.Result, o.Version, o.Winner, o.Reason
	return a
}

// auditWriter is the task that appends audit records in the background and retries
// until each one is in the log.
type auditWriter struct {
	cfg    Config
	slots  chan struct{}
	queue  chan auditRecord
	ctx    context.Context
	cancel context.CancelFunc
	stop   chan struct{}
	done   chan struct{}
}

func newAuditWriter(cfg Config) *auditWriter {
	a := &auditWriter{
		cfg:   cfg,
		slots: make(chan struct{}, auditQueueLen),
		queue: make(chan auditRecord, auditQueueLen),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// reserve reserves space in the queue for one record. It returns false if there is
// none. Each reservation must be followed by one call of enqueue.
func (a *auditWriter) reserve() bool {
	select {
	case a.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// enqueue queues a record. It does not block, since the space was reserved.
func (a *auditWriter) enqueue(r auditRecord) { a.queue <- r }

func (a *auditWriter) close(ctx context.Context) {
	close(a.stop)
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	a.cancel()
	<-a.done
}

// pendingOutcome is a change whose outcome was unknown when its audit record was
// written.
type pendingOutcome struct {
	record   auditRecord
	deadline time.Time
}

func (a *auditWriter) run() {
	defer close(a.done)
	var pending []pendingOutcome
	t := time.NewTicker(outcomePollInterval)
	defer t.Stop()
	for {
		select {
		case r := <-a.queue:
			a.append(r)
			if r.Result == config.Unknown {
				pending = append(pending, pendingOutcome{record: r, deadline: time.Now().Add(outcomeTimeout)})
			}
			<-a.slots
		case now := <-t.C:
			pending = a.resolvePending(pending, now)
		case <-a.stop:
			a.appendQueued()
			return
		}
	}
}

// appendQueued appends the records that are still queued when the API is closed.
func (a *auditWriter) appendQueued() {
	for {
		select {
		case r := <-a.queue:
			a.append(r)
			<-a.slots
		default:
			return
		}
	}
}

// resolvePending appends a second record for each change whose outcome has become
// known. It returns the other changes that have not reached their deadline.
func (a *auditWriter) resolvePending(pending []pendingOutcome, now time.Time) []pendingOutcome {
	var unresolved []pendingOutcome
	for _, o := range pending {
		result, ok := a.cfg.Configuration.Outcome(a.ctx, o.record.ChangeID)
		switch {
		case ok && result.Result != config.Unknown:
			r := o.record.withOutcome(result)
			r.AuditID = uuid.NewString()
			a.append(r)
		case now.Before(o.deadline) && len(unresolved) < auditQueueLen:
			unresolved = append(unresolved, o)
		}
	}
	return unresolved
}

// append appends a record to the log. It retries until the log has confirmed or
// rejected the record, or the context is cancelled.
func (a *auditWriter) append(r auditRecord) {
	data, err := json.Marshal(r)
	if err != nil {
		a.cfg.Logger.Error("encoding an audit record failed", zap.Error(err))
		return
	}
	for a.ctx.Err() == nil {
		_, err := a.cfg.Log.Append(a.ctx, core.StreamAudit, data)
		if err == nil {
			return
		}
		a.cfg.Logger.Warn("appending an audit record failed", zap.String("change_id", r.ChangeID), zap.Error(err))
		if errors.Is(err, core.ErrInvalid) {
			return
		}
		select {
		case <-time.After(auditRetryDelay):
		case <-a.ctx.Done():
		}
	}
	a.cfg.Logger.Error("audit record was not confirmed by the log", zap.ByteString("record", data))
}

// listedRecord is an audit record in a response of the API.
type listedRecord struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	auditRecord
}

// listAudit returns the audit records from an offset on that the caller is allowed
// to read.
func (s *Server) listAudit(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	from, err1 := parseQueryInt(r, "from", 0, 1<<62)
	limit, err2 := parseQueryInt(r, "limit", 100, maxAuditLimit)
	if err := errors.Join(err1, err2); err != nil {
		writeError(w, http.StatusBadRequest, string(core.CodeBadRequest), err.Error())
		return
	}
	b, err := s.cfg.Log.Read(r.Context(), core.StreamAudit, from, int(limit), 0)
	if errors.Is(err, core.ErrExpired) {
		from = b.FirstOffset
		b, err = s.cfg.Log.Read(r.Context(), core.StreamAudit, from, int(limit), 0)
	}
	if err != nil {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, string(core.CodeLogUnavailable), err.Error())
		return
	}
	records, next := visibleRecords(b.Records, id, from, r.URL.Query().Get("object"))
	writeJSON(w, http.StatusOK, map[string]any{"records": records, "next_offset": next, "end_offset": b.NextOffset})
}

// visibleRecords decodes audit records. It drops copies, records of other objects,
// and records that the caller is not allowed to read. It also returns the offset
// after the last record.
func visibleRecords(records []core.Record, id identity, from int64, object string) ([]listedRecord, int64) {
	list := []listedRecord{}
	seen := map[string]bool{}
	for _, rec := range records {
		from = rec.Offset + 1
		a := listedRecord{Offset: rec.Offset, Time: rec.Time}
		if json.Unmarshal(rec.Data, &a.auditRecord) != nil || seen[a.AuditID] || !id.covers(a.Object) || object != "" && object != a.Object {
			continue
		}
		seen[a.AuditID] = true
		list = append(list, a)
	}
	return list, from
}

func parseQueryInt(r *http.Request, name string, defaultValue, maxValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxValue {
		return 0, fmt.Errorf("%s is %q, allowed are 0 to %d", name, text, maxValue)
	}
	return n, nil
}
