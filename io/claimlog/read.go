package claimlog

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer/peerpb"
)

// Times and sizes of reading.
const (
	readLimit    = 1000
	readWait     = time.Second
	readTimeout  = 5 * time.Second
	minReadDelay = 50 * time.Millisecond
	maxReadDelay = time.Second
)

// readEvent is one step of reading a partition: a new start, records, or an
// error. target is the end of the stream at the start.
type readEvent struct {
	start   bool
	from    int64
	since   time.Time
	target  int64
	records []core.Record
	err     error
}

// read follows the stream and reports to the task until the task ends.
func (p *partition) read() {
	delay := minReadDelay
	next := int64(-1)
	for p.ctx.Err() == nil {
		e := p.readOnce(next)
		select {
		case p.reads <- e:
		case <-p.ctx.Done():
			return
		}
		switch {
		case errors.Is(e.err, core.ErrExpired):
			next = -1
		case e.err != nil:
			sleep(p.ctx, delay)
			delay = min(2*delay, maxReadDelay)
			continue
		case e.start:
			next = e.from
		case len(e.records) > 0:
			next = e.records[len(e.records)-1].Offset + 1
		}
		delay = minReadDelay
	}
}

func (p *partition) readOnce(next int64) readEvent {
	ctx, cancel := context.WithTimeout(p.ctx, readTimeout)
	defer cancel()
	if next < 0 {
		from, since, target, err := locate(ctx, p.batcher.cfg.Log, p.stream, claim.Lookback(p.batcher.cfg.Window))
		return readEvent{start: err == nil, from: from, since: since, target: target, err: err}
	}
	b, err := p.batcher.cfg.Log.Read(ctx, p.stream, next, readLimit, readWait)
	return readEvent{records: b.Records, err: err}
}

// locate returns the first offset whose record is at most lookback older than
// the last record, the time from which on the stream is complete from there, and
// the end of the stream. since is zero when nothing was ever written before.
func locate(ctx context.Context, log core.Log, stream string, lookback time.Duration) (from int64, since time.Time, end int64, err error) {
	b, err := log.Read(ctx, stream, 0, 1, 0)
	if err != nil && !errors.Is(err, core.ErrExpired) {
		return 0, since, 0, fmt.Errorf("find the ends of %s: %w", stream, err)
	}
	first, end := b.FirstOffset, b.NextOffset
	if first == end || (first == 0 && end <= readLimit) {
		return first, since, end, nil
	}
	last, err := recordTime(ctx, log, stream, end-1)
	if err != nil {
		return 0, since, 0, err
	}
	limit := last.Add(-lookback)
	lo, hi := first, end-1
	for lo < hi {
		mid := lo + (hi-lo)/2
		t, err := recordTime(ctx, log, stream, mid)
		if err != nil {
			return 0, since, 0, err
		}
		if t.Before(limit) {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	switch {
	case lo > first:
		return lo, limit, end, nil
	case first == 0:
		return lo, since, end, nil
	}
	if since, err = recordTime(ctx, log, stream, lo); err != nil {
		return 0, since, 0, err
	}
	return lo, since, end, nil
}

func recordTime(ctx context.Context, log core.Log, stream string, offset int64) (time.Time, error) {
	b, err := log.Read(ctx, stream, offset, 1, 0)
	if err != nil {
		return time.Time{}, fmt.Errorf("read the time of a record of %s: %w", stream, err)
	}
	if len(b.Records) == 0 {
		return time.Time{}, fmt.Errorf("offset %d of %s has no record: %w", offset, stream, core.ErrUnavailable)
	}
	return b.Records[0].Time, nil
}

// handleRead folds records and answers the claims among them.
func (p *partition) handleRead(e readEvent) {
	if e.err != nil {
		if !p.down && !errors.Is(e.err, core.ErrExpired) {
			p.batcher.cfg.Logger.Warn("claim stream is not readable", zap.String("stream", p.stream), zap.Error(e.err))
		}
		p.down = !errors.Is(e.err, core.ErrExpired)
		if errors.Is(e.err, core.ErrExpired) {
			p.ready.Store(false)
		}
		return
	}
	p.down = false
	if e.start {
		p.fold = claim.NewStateMachine(e.from, e.since, p.batcher.cfg.Window)
		p.target = e.target
		p.ready.Store(false)
	}
	for _, r := range e.records {
		ops, err := p.fold.Apply(r)
		if err != nil {
			p.batcher.cfg.Logger.Warn("claim record skipped",
				zap.String("stream", p.stream), zap.Int64("offset", r.Offset), zap.Error(err))
		}
		p.readAt = time.Now()
		if p.ready.Load() {
			for _, op := range ops {
				p.resolve(pendingKey{op.ClaimID, op.Op})
			}
		}
	}
	if !p.ready.Load() && p.fold.NextOffset() >= p.target {
		p.ready.Store(true)
		for k := range p.pending {
			p.resolve(k)
		}
	}
	p.arm(p.batchTime)
}

// resolve answers an operation that was read back. A claim that lost is
// released, so that it doesn't hold its key when the holder is released.
func (p *partition) resolve(k pendingKey) {
	w := p.pending[k]
	if w == nil {
		return
	}
	if k.op == claim.OpRelease {
		if p.fold.Released(k.id) {
			p.finish(k, w, verdict(k.id.String(), peerpb.ClaimVerdict_RESULT_VOID))
		}
		return
	}
	v := p.fold.Verdict(k.id)
	if v.Result == claim.Unknown {
		return
	}
	p.finish(k, w, foldVerdict(k.id, v))
	release := pendingKey{k.id, claim.OpRelease}
	if v.Result == claim.Lost && !p.fold.Released(k.id) && p.pending[release] == nil {
		p.enqueue(claim.Op{Op: claim.OpRelease, ClaimID: k.id})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func verdict(id string, r peerpb.ClaimVerdict_Result) *peerpb.ClaimVerdict {
	v := &peerpb.ClaimVerdict{ClaimId: id, Result: r}
	if r == peerpb.ClaimVerdict_RESULT_NOT_APPENDED {
		v.RetryAfterMs = retryAfter.Milliseconds()
	}
	return v
}

func foldVerdict(id claim.ID, f claim.Verdict) *peerpb.ClaimVerdict {
	v := verdict(id.String(), peerpb.ClaimVerdict_RESULT_VOID)
	v.Offset = f.Offset
	if f.Result == claim.Void {
		return v
	}
	v.Result = peerpb.ClaimVerdict_RESULT_LOST
	if f.Result == claim.Won {
		v.Result = peerpb.ClaimVerdict_RESULT_WON
	}
	h := f.Holder
	v.Holder = &peerpb.Holder{
		ClaimId:          h.ClaimID.String(),
		AgentId:          h.AgentID,
		AgentIncarnation: h.AgentIncarnation,
		AgentAddress:     h.AgentAddress,
		RequestHash:      h.RequestHash[:],
	}
	return v
}
