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

// Times and limits of a partition task.
const (
	minBatchTime  = 10 * time.Millisecond
	maxBatchTime  = 200 * time.Millisecond
	calmAppends   = 100
	retryDelay    = 100 * time.Millisecond
	appendTimeout = 2 * time.Second
	sweepInterval = 50 * time.Millisecond
	maxPending    = 10000
	// maxClaims bounds a fold to about 200 MB.
	maxClaims  = 1000000
	retryAfter = time.Second
)

// request asks a partition task to append one operation. The agent is set for
// releases that an agent asks for.
type request struct {
	op          claim.Op
	agentID     string
	incarnation string
	answer      chan *peerpb.ClaimVerdict
}

// pending is an operation that has not been read back.
type pending struct {
	op      claim.Op
	waiters []chan *peerpb.ClaimVerdict
	// sent reports that an append of it took effect or may have.
	sent      bool
	inFlight  bool
	appended  bool
	notBefore time.Time
	giveUp    time.Time
}

// pendingKey tells a claim from its release.
type pendingKey struct {
	id claim.ID
	op string
}

// appendResult tells how an append ended.
type appendResult struct {
	ops []*pending
	err error
}

// partition is the task of one claim stream.
type partition struct {
	batcher  *Batcher
	ctx      context.Context
	cancel   context.CancelFunc
	stream   string
	asked    time.Time
	ready    atomic.Bool
	requests chan request
	reads    chan readEvent
	appends  chan appendResult
	done     chan struct{}

	fold     *claim.StateMachine
	target   int64
	readAt   time.Time
	down     bool
	pending  map[pendingKey]*pending
	queue    []*pending
	inFlight bool
	// flush fires when the oldest queued operation has waited for batchTime.
	flush     *time.Timer
	armed     bool
	batchTime time.Duration
	calm      int
}

func newPartition(ctx context.Context, b *Batcher, n int) *partition {
	ctx, cancel := context.WithCancel(ctx)
	return &partition{
		batcher:   b,
		ctx:       ctx,
		cancel:    cancel,
		stream:    claim.Stream(n),
		asked:     time.Now(),
		requests:  make(chan request),
		reads:     make(chan readEvent),
		appends:   make(chan appendResult, 1),
		done:      make(chan struct{}),
		fold:      claim.NewStateMachine(0, time.Time{}, b.cfg.Window),
		pending:   map[pendingKey]*pending{},
		flush:     time.NewTimer(time.Hour),
		batchTime: minBatchTime,
	}
}

func (p *partition) run() {
	defer close(p.done)
	p.batcher.wg.Go(p.read)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	defer p.flush.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.stop()
			return
		case r := <-p.requests:
			p.add(r)
		case e := <-p.reads:
			p.handleRead(e)
		case r := <-p.appends:
			p.handleAppend(r)
		case <-p.flush.C:
			p.armed = false
			p.send()
		case now := <-sweep.C:
			p.sweep(now)
		}
	}
}

// add answers a request from the fold or queues its operation.
func (p *partition) add(r request) {
	if v := p.answer(r); v != nil {
		r.answer <- v
		return
	}
	k := pendingKey{r.op.ClaimID, r.op.Op}
	if w := p.pending[k]; w != nil {
		w.waiters = append(w.waiters, r.answer)
		return
	}
	p.enqueue(r.op, r.answer)
}

// answer returns the answer to a request that needs no append, or nil.
func (p *partition) answer(r request) *peerpb.ClaimVerdict {
	id := r.op.ClaimID
	notAppended := verdict(id.String(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	if !p.ready.Load() {
		return notAppended
	}
	if r.op.Op == claim.OpRelease {
		if p.foreign(r) {
			return notAppended
		}
		if p.fold.Released(id) {
			return verdict(id.String(), peerpb.ClaimVerdict_RESULT_VOID)
		}
	} else {
		if v := p.fold.Verdict(id); v.Result != claim.Unknown {
			return foldVerdict(id, v)
		}
		// A claim that meets a holder loses without an append. A holder that
		// was released in records not yet read answers as abandoned.
		logNow := p.fold.Time().Add(time.Since(p.readAt))
		if h, held := p.fold.HolderOf(r.op.KeyHash, logNow); held && h.ClaimID != id && p.pending[pendingKey{id, claim.OpClaim}] == nil {
			return foldVerdict(id, claim.Verdict{Result: claim.Lost, Holder: h})
		}
	}
	if p.down || len(p.pending) >= maxPending || (r.op.Op == claim.OpClaim && p.fold.Len() >= maxClaims) {
		return notAppended
	}
	return nil
}

// foreign reports a release by another agent than that of the claim.
func (p *partition) foreign(r request) bool {
	if h, ok := p.fold.Claim(r.op.ClaimID); ok {
		return h.AgentID != r.agentID || h.AgentIncarnation != r.incarnation
	}
	if w := p.pending[pendingKey{r.op.ClaimID, claim.OpClaim}]; w != nil {
		return w.op.AgentID != r.agentID || w.op.AgentIncarnation != r.incarnation
	}
	return false
}

func (p *partition) enqueue(op claim.Op, waiters ...chan *peerpb.ClaimVerdict) {
	w := &pending{op: op, waiters: waiters, giveUp: time.Now().Add(p.batcher.cfg.VerdictTimeout)}
	p.pending[pendingKey{op.ClaimID, op.Op}] = w
	p.queue = append(p.queue, w)
	p.arm(p.batchTime)
	if len(p.queue) >= claim.MaxRecordOps {
		p.send()
	}
}

func (p *partition) arm(d time.Duration) {
	if !p.armed && len(p.queue) > 0 {
		p.armed = true
		p.flush.Reset(d)
	}
}

// send appends the queued operations that are due as one record, unless an
// append is on its way.
func (p *partition) send() {
	if p.inFlight || p.down {
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
	p.arm(retryDelay)
	if len(batch) == 0 {
		return
	}
	p.inFlight = true
	p.batcher.wg.Go(func() { p.append(batch) })
}

// append runs outside the task and reports to it.
func (p *partition) append(batch []*pending) {
	ops := make([]claim.Op, len(batch))
	for i, w := range batch {
		ops[i] = w.op
	}
	data, err := claim.Encode(ops)
	if err == nil {
		err = p.appendRecord(data)
	}
	p.appends <- appendResult{ops: batch, err: err}
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
	p.adapt(limited)
	if r.err != nil {
		p.batcher.cfg.Logger.Debug("append of claims failed", zap.String("stream", p.stream), zap.Error(r.err))
	}
	for _, w := range r.ops {
		w.inFlight = false
		w.sent = w.sent || !limited
		w.appended = r.err == nil
		if p.pending[pendingKey{w.op.ClaimID, w.op.Op}] != w || w.appended {
			continue
		}
		// An append without an answer is sent again with the same ids: its
		// copies end in one verdict, and reading past the copy settles it.
		if !limited {
			w.notBefore = time.Now().Add(retryDelay)
		}
		p.queue = append(p.queue, w)
	}
	p.arm(p.batchTime)
}

// adapt lengthens the batch time when the log limits appends.
func (p *partition) adapt(limited bool) {
	if limited {
		p.calm = 0
		p.batchTime = min(2*p.batchTime, maxBatchTime)
		return
	}
	p.calm++
	if p.calm >= calmAppends {
		p.calm = 0
		p.batchTime = max(p.batchTime/2, minBatchTime)
	}
}

// sweep answers what has waited for too long, and at once what was never sent
// while the log is down.
func (p *partition) sweep(now time.Time) {
	for k, w := range p.pending {
		unsent := !w.sent && !w.inFlight
		switch {
		case unsent && (p.down || !now.Before(w.giveUp)):
			p.finish(k, w, verdict(k.id.String(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED))
		case !unsent && !now.Before(w.giveUp):
			p.finish(k, w, verdict(k.id.String(), peerpb.ClaimVerdict_RESULT_UNKNOWN))
		}
	}
	p.arm(p.batchTime)
}

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

func (p *partition) stop() {
	p.ready.Store(false)
	for k, w := range p.pending {
		result := peerpb.ClaimVerdict_RESULT_NOT_APPENDED
		if w.sent || w.inFlight {
			result = peerpb.ClaimVerdict_RESULT_UNKNOWN
		}
		p.finish(k, w, verdict(k.id.String(), result))
	}
}
