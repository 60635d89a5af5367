// Package claimlog appends the claims of non-repeatable requests to the claim
// streams of the log and reads them. Batcher runs at entries, Claimer at agents.
package claimlog

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of a batcher.
const (
	// maxAppendsPerSecond bounds the appends of one process to all claim streams,
	// since the log accepts several hundred a second from all processes.
	maxAppendsPerSecond = 200
	appendBurst         = 4
	// defaultIdleTimeout is how long a partition is read after the last request.
	defaultIdleTimeout = 10 * time.Minute
	// defaultVerdictTimeout bounds the time to a verdict.
	defaultVerdictTimeout = 3 * time.Second
	idleCheckInterval     = time.Second
)

// BatcherConfig configures a Batcher. Zero timeouts mean the defaults.
type BatcherConfig struct {
	// Self is the id of this entry in the entry set.
	Self       string
	Log        core.Log
	Config     core.ConfigSource
	Partitions int
	// Window is how long a key stays claimed.
	Window time.Duration
	// VerdictTimeout bounds the time to a verdict.
	VerdictTimeout time.Duration
	// IdleTimeout is how long a partition is read after the last request.
	IdleTimeout time.Duration
	Logger      *zap.Logger
}

// Batcher batches the claims of many agents into few appends. It always reads the
// partitions of which it is the preferred batcher, and others while it receives
// requests for them.
type Batcher struct {
	cfg     BatcherConfig
	ctx     context.Context
	cancel  context.CancelFunc
	lookups chan lookup
	done    chan struct{}
	wg      *conc.WaitGroup
	limiter *rate.Limiter
}

// lookup requests the task of a partition. If start is true, the task is started
// when it does not run.
type lookup struct {
	partition int
	start     bool
	reply     chan *partition
}

// NewBatcher starts a batcher.
func NewBatcher(cfg BatcherConfig) *Batcher {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.VerdictTimeout == 0 {
		cfg.VerdictTimeout = defaultVerdictTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		lookups: make(chan lookup),
		done:    make(chan struct{}),
		wg:      conc.NewWaitGroup(),
		limiter: rate.NewLimiter(maxAppendsPerSecond, appendBurst),
	}
	go b.run()
	return b
}

// Done returns a channel that is closed when the batcher has stopped.
func (b *Batcher) Done() <-chan struct{} { return b.done }

// Stop ends all tasks and waits for them. Pending claims get the result
// NOT_APPENDED or UNKNOWN.
func (b *Batcher) Stop() {
	b.cancel()
	<-b.done
}

// run owns the map of partition tasks.
func (b *Batcher) run() {
	defer close(b.done)
	defer b.wg.Wait()
	tasks := map[int]*partition{}
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	changed := b.cfg.Config.Changed()
	b.startPreferred(tasks)
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-changed:
			changed = b.cfg.Config.Changed()
			b.startPreferred(tasks)
		case q := <-b.lookups:
			if q.start {
				b.start(tasks, q.partition).lastRequestAt = time.Now()
			}
			q.reply <- tasks[q.partition]
		case now := <-tick.C:
			b.stopIdle(tasks, now)
		}
	}
}

func (b *Batcher) start(tasks map[int]*partition, n int) *partition {
	p := tasks[n]
	if p == nil {
		p = newPartition(b.ctx, b, n)
		tasks[n] = p
		b.wg.Go(p.run)
	}
	return p
}

func (b *Batcher) startPreferred(tasks map[int]*partition) {
	set := b.cfg.Config.Current().EntrySet
	for n := range b.cfg.Partitions {
		if b.isPreferred(n, set) {
			b.start(tasks, n)
		}
	}
}

func (b *Batcher) isPreferred(n int, set core.EntrySet) bool {
	first := claim.Batchers(n, set, 1)
	return len(first) == 1 && first[0].ID == b.cfg.Self
}

// stopIdle stops the tasks without a request during IdleTimeout, except those of
// preferred partitions.
func (b *Batcher) stopIdle(tasks map[int]*partition, now time.Time) {
	set := b.cfg.Config.Current().EntrySet
	for n, p := range tasks {
		if now.Sub(p.lastRequestAt) > b.cfg.IdleTimeout && !b.isPreferred(n, set) {
			p.cancel()
			delete(tasks, n)
		}
	}
}

func (b *Batcher) lookup(ctx context.Context, n int, start bool) *partition {
	q := lookup{partition: n, start: start, reply: make(chan *partition, 1)}
	select {
	case b.lookups <- q:
		return <-q.reply
	case <-b.done:
	case <-ctx.Done():
	}
	return nil
}

// Ready reports whether a partition is being read and has been read to the offset
// at which it ended when reading started.
func (b *Batcher) Ready(ctx context.Context, n int) bool {
	p := b.lookup(ctx, n, false)
	return p != nil && p.ready.Load()
}

// Claim appends a claim, reads it back and returns its verdict. The result is
// NOT_APPENDED if the claim was not appended, and UNKNOWN if it may have been.
func (b *Batcher) Claim(ctx context.Context, n int32, c *peerpb.Claim) *peerpb.ClaimVerdict {
	op, err := claimOp(c)
	if err == nil && (n < 0 || int(n) != claim.Partition(op.KeyHash, b.cfg.Partitions)) {
		err = fmt.Errorf("claim %s does not belong to partition %d: %w", c.GetClaimId(), n, core.ErrInvalid)
	}
	if err != nil {
		b.cfg.Logger.Warn("claim refused", zap.Error(err))
		return newVerdict(c.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	return b.submit(ctx, int(n), request{op: op})
}

// Release appends a release on behalf of an agent and reads it back. The result is
// VOID if the release was read back, NOT_APPENDED if it was not appended or the
// claim belongs to another agent, and UNKNOWN otherwise.
func (b *Batcher) Release(ctx context.Context, r *peerpb.ReleaseRequest, agentID, incarnation string) *peerpb.ClaimVerdict {
	id, err := uuid.Parse(r.GetClaimId())
	if err != nil || r.GetPartition() < 0 || int(r.GetPartition()) >= b.cfg.Partitions {
		b.cfg.Logger.Warn("release refused", zap.String("claim_id", r.GetClaimId()), zap.Int32("partition", r.GetPartition()))
		return newVerdict(r.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	op := claim.Op{Op: claim.OpRelease, ClaimID: id}
	return b.submit(ctx, int(r.GetPartition()), request{op: op, agentID: agentID, incarnation: incarnation})
}

// submit passes a request to the task of its partition and waits for the verdict.
func (b *Batcher) submit(ctx context.Context, n int, r request) *peerpb.ClaimVerdict {
	id := r.op.ClaimID.String()
	p := b.lookup(ctx, n, true)
	if p == nil {
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	r.reply = make(chan *peerpb.ClaimVerdict, 1)
	select {
	case p.requests <- r:
	case <-p.done:
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	case <-ctx.Done():
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	select {
	case v := <-r.reply:
		return v
	case <-ctx.Done():
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_UNKNOWN)
	}
}

// claimOp validates a claim and converts it to an operation.
func claimOp(c *peerpb.Claim) (claim.Op, error) {
	id, err := uuid.Parse(c.GetClaimId())
	if err != nil {
		return claim.Op{}, fmt.Errorf("claim id %q: %w: %w", c.GetClaimId(), err, core.ErrInvalid)
	}
	key, err := claim.HashFromBytes(c.GetKeyHash())
	if err != nil {
		return claim.Op{}, fmt.Errorf("claim %s: key: %w", id, err)
	}
	req, err := claim.HashFromBytes(c.GetRequestHash())
	if err != nil {
		return claim.Op{}, fmt.Errorf("claim %s: request: %w", id, err)
	}
	op := claim.Op{
		Op:               claim.OpClaim,
		ClaimID:          id,
		KeyHash:          key,
		RequestHash:      req,
		AgentID:          c.GetAgentId(),
		AgentIncarnation: c.GetAgentIncarnation(),
		AgentAddress:     c.GetAgentAddress(),
		DeadlineUnixMS:   c.GetDeadlineUnixMs(),
	}
	if _, err := claim.Encode([]claim.Op{op}); err != nil {
		return claim.Op{}, err
	}
	return op, nil
}
