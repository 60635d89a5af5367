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

// Limits of reading a claim stream.
const (
	maxReadRecords = 1000
	readWait       = time.Second
	readTimeout    = 5 * time.Second
	minReadBackoff = 50 * time.Millisecond
	maxReadBackoff = time.Second
)

// readEvent is a result of reading a claim stream: a new start, records, or an
// error. At a start, from is the first offset to read, completeSince the time from
// which on no records are missing, and end the end of the stream.
type readEvent struct {
	start         bool
	from          int64
	completeSince time.Time
	end           int64
	records       []core.Record
	err           error
}

// readLoop reads the stream and passes the results to the task until it ends.
func (p *partition) readLoop() {
	delay := minReadBackoff
	next := int64(-1)
	for p.ctx.Err() == nil {
		e := p.readOnce(next)
		select {
		case p.readEvents <- e:
		case <-p.ctx.Done():
			return
		}
		switch {
		case errors.Is(e.err, core.ErrExpired):
			next = -1
		case e.err != nil:
			sleep(p.ctx, delay)
			delay = min(2*delay, maxReadBackoff)
			continue
		case e.start:
			next = e.from
		case len(e.records) > 0:
			next = e.records[len(e.records)-1].Offset + 1
		}
		delay = minReadBackoff
	}
}

func (p *partition) readOnce(next int64) readEvent {
	ctx, cancel := context.WithTimeout(p.ctx, readTimeout)
	defer cancel()
	if next < 0 {
		from, completeSince, end, err := findReplayStart(ctx, p.batcher.cfg.Log, p.stream, claim.Lookback(p.batcher.cfg.Window))
		return readEvent{start: err == nil, from: from, completeSince: completeSince, end: end, err: err}
	}
	b, err := p.batcher.cfg.Log.Read(ctx, p.stream, next, maxReadRecords, readWait)
	return readEvent{records: b.Records, err: err}
}

// findReplayStart returns the first offset whose record is at most lookback older
// than the last record, the time from which on no records are missing if the
// stream is read from there, and the end of the stream. completeSince is zero if
// the stream is read from offset 0 or holds no records.
func findReplayStart(ctx context.Context, log core.Log, stream string, lookback time.Duration) (from int64, completeSince time.Time, end int64, err error) {
	b, err := log.Read(ctx, stream, 0, 1, 0)
	if err != nil && !errors.Is(err, core.ErrExpired) {
		return 0, completeSince, 0, fmt.Errorf("read the offsets of %s: %w", stream, err)
	}
	first, end := b.FirstOffset, b.NextOffset
	if first == end || (first == 0 && end <= maxReadRecords) {
		return first, completeSince, end, nil
	}
	last, err := recordTime(ctx, log, stream, end-1)
	if err != nil {
		return 0, completeSince, 0, err
	}
	limit := last.Add(-lookback)
	lo, hi := first, end-1
	for lo < hi {
		mid := lo + (hi-lo)/2
		t, err := recordTime(ctx, log, stream, mid)
		if err != nil {
			return 0, completeSince, 0, err
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
		return lo, completeSince, end, nil
	}
	if completeSince, err = recordTime(ctx, log, stream, lo); err != nil {
		return 0, completeSince, 0, err
	}
	return lo, completeSince, end, nil
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

// handleRead applies records to the state and answers the pending operations among
// them.
func (p *partition) handleRead(e readEvent) {
	if e.err != nil {
		if !p.logUnavailable && !errors.Is(e.err, core.ErrExpired) {
			p.batcher.cfg.Logger.Warn("could not read claim stream", zap.String("stream", p.stream), zap.Error(e.err))
		}
		p.logUnavailable = !errors.Is(e.err, core.ErrExpired)
		if errors.Is(e.err, core.ErrExpired) {
			p.ready.Store(false)
		}
		return
	}
	p.logUnavailable = false
	if e.start {
		p.state = claim.NewStateMachine(e.from, e.completeSince, p.batcher.cfg.Window)
		p.replayEnd = e.end
		p.ready.Store(false)
	}
	for _, r := range e.records {
		ops, err := p.state.Apply(r)
		if err != nil {
			p.batcher.cfg.Logger.Warn("skipped invalid claim record",
				zap.String("stream", p.stream), zap.Int64("offset", r.Offset), zap.Error(err))
		}
		p.appliedAt = time.Now()
		if p.ready.Load() {
			for _, op := range ops {
				p.resolve(pendingKey{op.ClaimID, op.Op})
			}
		}
	}
	if !p.ready.Load() && p.state.NextOffset() >= p.replayEnd {
		p.ready.Store(true)
		for k := range p.pending {
			p.resolve(k)
		}
	}
	p.armFlush(p.batchDelay)
}

// resolve answers an operation that was read back. A claim that lost is released,
// so that it does not hold the key after the holder is released.
func (p *partition) resolve(k pendingKey) {
	w := p.pending[k]
	if w == nil {
		return
	}
	if k.op == claim.OpRelease {
		if p.state.Released(k.id) {
			p.finish(k, w, newVerdict(k.id.String(), peerpb.ClaimVerdict_RESULT_VOID))
		}
		return
	}
	v := p.state.Verdict(k.id)
	if v.Result == claim.Unknown {
		return
	}
	p.finish(k, w, encodeVerdict(k.id, v))
	release := pendingKey{k.id, claim.OpRelease}
	if v.Result == claim.Lost && !p.state.Released(k.id) && p.pending[release] == nil {
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

// newVerdict returns a verdict without a holder.
func newVerdict(id string, r peerpb.ClaimVerdict_Result) *peerpb.ClaimVerdict {
	v := &peerpb.ClaimVerdict{ClaimId: id, Result: r}
	if r == peerpb.ClaimVerdict_RESULT_NOT_APPENDED {
		v.RetryAfterMs = retryAfter.Milliseconds()
	}
	return v
}

// encodeVerdict converts a verdict of the state to a message.
func encodeVerdict(id claim.ID, f claim.Verdict) *peerpb.ClaimVerdict {
	v := newVerdict(id.String(), peerpb.ClaimVerdict_RESULT_VOID)
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
