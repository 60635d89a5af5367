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

// Limits of the audit trail.
const (
	auditQueueLen   = 1000
	auditRetry      = 500 * time.Millisecond
	outcomePoll     = time.Second
	outcomePatience = 10 * time.Minute
	maxAuditLimit   = 1000
)

// auditRecord is one record of the audit stream. AuditID tells copies of a
// record apart, since an append whose answer was lost is sent again.
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

func newAudit(entry string, id identity, c config.Change) auditRecord {
	return auditRecord{
		AuditID: uuid.NewString(), Entry: entry, Team: id.team, Operator: id.operator,
		ChangeID: c.ChangeID, Object: c.Object, BasedOn: c.BasedOn, Delete: c.Delete, After: c.Value,
	}
}

func (a auditRecord) rejected(reason string) auditRecord {
	a.Result, a.Reason = config.Rejected, reason
	return a
}

func (a auditRecord) decided(o config.Outcome) auditRecord {
	a.Result, a.Version, a.Winner, a.Reason = o.Result, o.Version, o.Winner, o.Reason
	return a
}

// auditor is the task that appends audit records in the background until each
// one is in the log.
type auditor struct {
	cfg    Config
	slots  chan struct{}
	queue  chan auditRecord
	ctx    context.Context
	cancel context.CancelFunc
	stop   chan struct{}
	done   chan struct{}
}

func newAuditor(cfg Config) *auditor {
	a := &auditor{
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

// reserve takes room for one record. Each reservation is used by one write.
func (a *auditor) reserve() bool {
	select {
	case a.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// write queues a record. It does not block, since its room was reserved.
func (a *auditor) write(r auditRecord) { a.queue <- r }

func (a *auditor) close(ctx context.Context) {
	close(a.stop)
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	a.cancel()
	<-a.done
}

// open is a change whose outcome was unknown when its record was written.
type open struct {
	record auditRecord
	until  time.Time
}

func (a *auditor) run() {
	defer close(a.done)
	var opens []open
	t := time.NewTicker(outcomePoll)
	defer t.Stop()
	for {
		select {
		case r := <-a.queue:
			a.append(r)
			if r.Result == config.Unknown {
				opens = append(opens, open{record: r, until: time.Now().Add(outcomePatience)})
			}
			<-a.slots
		case now := <-t.C:
			opens = a.resolve(opens, now)
		case <-a.stop:
			a.drain()
			return
		}
	}
}

// drain appends what is queued when the API closes.
func (a *auditor) drain() {
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

// resolve writes a second record for changes whose outcome has become known,
// and returns the others.
func (a *auditor) resolve(opens []open, now time.Time) []open {
	var left []open
	for _, o := range opens {
		result, ok := a.cfg.Configuration.Outcome(a.ctx, o.record.ChangeID)
		switch {
		case ok && result.Result != config.Unknown:
			r := o.record.decided(result)
			r.AuditID = uuid.NewString()
			a.append(r)
		case now.Before(o.until) && len(left) < auditQueueLen:
			left = append(left, o)
		}
	}
	return left
}

// append adds a record and tries again until the log has answered.
func (a *auditor) append(r auditRecord) {
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
		case <-time.After(auditRetry):
		case <-a.ctx.Done():
		}
	}
	a.cfg.Logger.Error("audit record was not confirmed by the log", zap.ByteString("record", data))
}

// listedAudit is a record as the API shows it.
type listedAudit struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	auditRecord
}

// listAudit returns the records from an offset on that the caller may see.
func (s *Server) listAudit(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id identity) {
	from, err1 := queryNumber(r, "from", 0, 1<<62)
	limit, err2 := queryNumber(r, "limit", 100, maxAuditLimit)
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
	records, next := visibleAudit(b.Records, id, from, r.URL.Query().Get("object"))
	writeJSON(w, http.StatusOK, map[string]any{"records": records, "next_offset": next, "end_offset": b.NextOffset})
}

// visibleAudit leaves out copies, other objects and what the caller may not see.
func visibleAudit(records []core.Record, id identity, from int64, object string) ([]listedAudit, int64) {
	list := []listedAudit{}
	seen := map[string]bool{}
	for _, rec := range records {
		from = rec.Offset + 1
		a := listedAudit{Offset: rec.Offset, Time: rec.Time}
		if json.Unmarshal(rec.Data, &a.auditRecord) != nil || seen[a.AuditID] || !id.covers(a.Object) || object != "" && object != a.Object {
			continue
		}
		seen[a.AuditID] = true
		list = append(list, a)
	}
	return list, from
}

func queryNumber(r *http.Request, name string, missing, hi int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > hi {
		return 0, fmt.Errorf("%s is %q, allowed are 0 to %d", name, text, hi)
	}
	return n, nil
}
