package claimlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of a partition task.
const (
	minBatchDelay        = 10 * time.Millisecond
	maxBatchDelay        = 200 * time.Millisecond
	appendsUntilDecrease = 100
	appendRetryDelay     = 100 * time.Millisecond
	appendTimeout        = 2 * time.Second
	expiryCheckInterval  = 50 * time.Millisecond
	maxPendingOps        = 10000
	// maxClaims bounds the state of a partition to about 200 MB.
	maxClaims = 1000000
	// retryAfter is sent with the result NOT_APPENDED.
	retryAfter = time.Second
)

// request asks a partition task to append one operation. agentID and incarnation
// are set if an agent requests a release.
type request struct {
	op          claim.Op
	agentID     string
	incarnation string
	reply       chan *peerpb.ClaimVerdict
}

// pending is an operation that was not read back from the log yet.
type pending struct {
	op      claim.Op
	waiters []chan *peerpb.ClaimVerdict
	// maybeAppended is true if an append of the operation succeeded or may have.
	maybeAppended bool
	inFlight      bool
	appended      bool
	notBefore     time.Time
	deadline      time.Time
}

// pendingKey identifies an operation: a claim and its release have the same id.
type pendingKey struct {
	id claim.ID
	op string
}

// appendResult is the result of an append.
type appendResult struct {
	ops []*pending
	err error
}

// partition is the task of one claim stream.
type partition struct {
	batcher       *Batcher
	ctx           context.Context
	cancel        context.CancelFunc
	stream        string
	lastRequestAt time.Time
	ready         atomic.Bool
	requests      chan request
	readEvents    chan readEvent
	appendResults chan appendResult
	done          chan struct{}

	state          *claim.StateMachine
	replayEnd      int64
	appliedAt      time.Time
	logUnavailable bool
	pending        map[pendingKey]*pending
	queue          []*pending
	inFlight       bool
	// flushTimer fires when the oldest queued operation has waited for batchDelay.
	flushTimer        *time.Timer
	flushArmed        bool
	batchDelay        time.Duration
	appendsSinceLimit int
}

func newPartition(ctx context.Context, b *Batcher, n int) *partition {
	ctx, cancel := context.WithCancel(ctx)
	return &partition{
		batcher:       b,
		ctx:           ctx,
		cancel:        cancel,
		stream:        claim.Stream(n),
		lastRequestAt: time.Now(),
		requests:      make(chan request),
		readEvents:    make(chan readEvent),
		appendResults: make(chan appendResult, 1),
		done:          make(chan struct{}),
		state:         claim.NewStateMachine(0, time.Time{}, b.cfg.Window),
		pending:       map[pendingKey]*pending{},
		flushTimer:    time.NewTimer(time.Hour),
		batchDelay:    minBatchDelay,
	}
}

func (p *partition) run() {
	defer close(p.done)
	p.batcher.wg.Go(p.readLoop)
	expiry := time.NewTicker(expiryCheckInterval)
	defer expiry.Stop()
	defer p.flushTimer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.stop()
			return
		case r := <-p.requests:
			p.add(r)
		case e := <-p.readEvents:
			p.handleRead(e)
		case r := <-p.appendResults:
			p.handleAppend(r)
		case <-p.flushTimer.C:
			p.flushArmed = false
			p.appendQueued()
		case now := <-expiry.C:
			p.expirePending(now)
		}
	}
}

// add answers a request from the state or queues its operation.
func (p *partition) add(r request) {
	if v := p.answerWithoutAppend(r); v != nil {
		r.reply <- v
		return
	}
	k := pendingKey{r.op.ClaimID, r.op.Op}
	if w := p.pending[k]; w != nil {
		w.waiters = append(w.waiters, r.reply)
		return
	}
	p.enqueue(r.op, r.reply)
}

// answerWithoutAppend returns the verdict of a request that needs no append or
// cannot be appended now, or nil.
func (p *partition) answerWithoutAppend(r request) *peerpb.ClaimVerdict {
	id := r.op.ClaimID
	notAppended := newVerdict(id.String(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	if !p.ready.Load() {
		return notAppended
	}
	if r.op.Op == claim.OpRelease {
		if p.ownedByOtherAgent(r) {
			return notAppended
		}
		if p.state.Released(id) {
			return newVerdict(id.String(), peerpb.ClaimVerdict_RESULT_VOID)
		}
	} else {
		if v := p.state.Verdict(id); v.Result != claim.Unknown {
			return encodeVerdict(id, v)
		}
		// A claim whose key has another holder loses without an append. If the
		// holder was released in a record that was not read yet, its agent replies
		// that the claim was abandoned.
		logNow := p.state.Time().Add(time.Since(p.appliedAt))
		if h, held := p.state.HolderOf(r.op.KeyHash, logNow); held && h.ClaimID != id && p.pending[pendingKey{id, claim.OpClaim}] == nil {
			return encodeVerdict(id, claim.Verdict{Result: claim.Lost, Holder: h})
		}
	}
	if p.logUnavailable || len(p.pending) >= maxPendingOps || (r.op.Op == claim.OpClaim && p.state.Len() >= maxClaims) {
		return notAppended
	}
	return nil
}

// ownedByOtherAgent reports whether the claim to release is known to belong to
// another agent or incarnation.
func (p *partition) ownedByOtherAgent(r request) bool {
	if h, ok := p.state.Claim(r.op.ClaimID); ok {
		return h.AgentID != r.agentID || h.AgentIncarnation != r.incarnation
	}
	if w := p.pending[pendingKey{r.op.ClaimID, claim.OpClaim}]; w != nil {
		return w.op.AgentID != r.agentID || w.op.AgentIncarnation != r.incarnation
	}
	return false
}

func (p *partition) enqueue(op claim.Op, waiters ...chan *peerpb.ClaimVerdict) {
	w := &pending{op: op, waiters: waiters, deadline: time.Now().Add(p.batcher.cfg.VerdictTimeout)}
	p.pending[pendingKey{op.ClaimID, op.Op}] = w
	p.queue = append(p.queue, w)
	p.armFlush(p.batchDelay)
	if len(p.queue) >= claim.MaxRecordOps {
		p.appendQueued()
	}
}

// armFlush starts the flush timer if operations are queued and it does not run.
func (p *partition) armFlush(d time.Duration) {
	if !p.flushArmed && len(p.queue) > 0 {
		p.flushArmed = true
		p.flushTimer.Reset(d)
	}
}

// appendQueued appends the queued operations that are due as one record, unless an
// append is in flight.
func (p *partition) appendQueued() {
	if p.inFlight || p.logUnavailable {
		return
	}
	now := time.Now()
	var batch []*pending
	var later []*pending
	for _, w := range p.queue {
		if len(batch) < claim.MaxRecordOps && !now.Before(w.notBefore) {
			w.inFlight = true
			batch = append(batch, w)
		} else {
			later = append(later, w)
		}
	}
	p.queue = later
	p.armFlush(appendRetryDelay)
	if len(batch) == 0 {
		return
	}
	p.inFlight = true
	p.batcher.wg.Go(func() { p.appendBatch(batch) })
}

// appendBatch runs in a goroutine of its own and passes the result to the task.
func (p *partition) appendBatch(batch []*pending) {
	ops := make([]claim.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op
	}
	data, err := claim.Encode(ops)
	if err == nil {
		err = p.appendRecord(data)
	}
	p.appendResults <- appendResult{ops: batch, err: err}
}

func (p *partition) appendRecord(data []byte) error {
	if p.batcher.limiter.Wait(p.ctx) != nil {
		return core.ErrRateLimited
	}
	ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
	defer cancel()
	_, err := p.batcher.cfg.Log.Append(ctx, p.stream, data)
	return err
}

func (p *partition) handleAppend(r appendResult) {
	p.inFlight = false
	limited := errors.Is(r.err, core.ErrRateLimited)
	p.adaptBatchDelay(limited)
	if r.err != nil {
		p.batcher.cfg.Logger.Debug("append of claims failed", zap.String("stream", p.stream), zap.Error(r.err))
	}
	for _, w := range r.ops {
		w.inFlight = false
		w.maybeAppended = w.maybeAppended || !limited
		w.appended = r.err == nil
		if p.pending[pendingKey{w.op.ClaimID, w.op.Op}] != w || w.appended {
			continue
		}
		// An append without a response is retried with the same ids. Copies of a
		// claim get one verdict, which is known once a copy was read.
		if !limited {
			w.notBefore = time.Now().Add(appendRetryDelay)
		}
		p.queue = append(p.queue, w)
	}
	p.armFlush(p.batchDelay)
}

// adaptBatchDelay doubles the batch delay when the log refuses an append because of
// its rate limit, and halves it after appendsUntilDecrease appends without that.
func (p *partition) adaptBatchDelay(limited bool) {
	if limited {
		p.appendsSinceLimit = 0
		p.batchDelay = min(2*p.batchDelay, maxBatchDelay)
		return
	}
	p.appendsSinceLimit++
	if p.appendsSinceLimit >= appendsUntilDecrease {
		p.appendsSinceLimit = 0
		p.batchDelay = max(p.batchDelay/2, minBatchDelay)
	}
}

// expirePending answers operations whose deadline has passed. While the log is
// unavailable, operations that were never sent are answered at once.
func (p *partition) expirePending(now time.Time) {
	for k, w := range p.pending {
		unsent := !w.maybeAppended && !w.inFlight
		switch {
		case unsent && (p.logUnavailable || !now.Before(w.deadline)):
			p.finish(k, w, newVerdict(k.id.String(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED))
		case !unsent && !now.Before(w.deadline):
			p.finish(k, w, newVerdict(k.id.String(), peerpb.ClaimVerdict_RESULT_UNKNOWN))
		}
	}
	p.armFlush(p.batchDelay)
}

// finish sends the verdict of an operation to its waiters and removes it.
func (p *partition) finish(k pendingKey, w *pending, v *peerpb.ClaimVerdict) {
	for _, c := range w.waiters {
		c <- v
	}
	delete(p.pending, k)
	for i, q := range p.queue {
		if q == w {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
}

// stop answers all pending operations.
func (p *partition) stop() {
	p.ready.Store(false)
	for k, w := range p.pending {
		result := peerpb.ClaimVerdict_RESULT_NOT_APPENDED
		if w.maybeAppended || w.inFlight {
			result = peerpb.ClaimVerdict_RESULT_UNKNOWN
		}
		p.finish(k, w, newVerdict(k.id.String(), result))
	}
}
