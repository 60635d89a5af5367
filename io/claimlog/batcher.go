// Package claimlog appends and reads the claims of non-repeatable requests.
// Batcher runs at entries, Claimer at agents.
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
	// appendsPerSecond bounds the appends of all claim streams of one process,
	// since the log takes several hundred a second from all processes.
	appendsPerSecond = 200
	appendBurst      = 4
	// defaultIdle is how long a partition is read after the last question.
	defaultIdle = 10 * time.Minute
	// defaultWait bounds the time to a verdict.
	defaultWait = 3 * time.Second
	idleCheck   = time.Second
)

// BatcherConfig is what a Batcher needs. Zero values of Wait and Idle mean the
// defaults.
type BatcherConfig struct {
	// Self is the id of this entry in the entry set.
	Self       string
	Log        core.Log
	Config     core.ConfigSource
	Partitions int
	// Window is the time for which keys are remembered.
	Window time.Duration
	// Wait is the longest time to a verdict.
	VerdictTimeout time.Duration
	// Idle is how long a partition is read after the last question.
	IdleTimeout time.Duration
	Logger      *zap.Logger
}

// Batcher gathers the claims of many agents into few appends. It always reads
// the partitions that it is the preferred batcher of, and others while it is
// asked for them.
type Batcher struct {
	cfg     BatcherConfig
	ctx     context.Context
	cancel  context.CancelFunc
	lookups chan lookup
	done    chan struct{}
	wg      *conc.WaitGroup
	limiter *rate.Limiter
}

// lookup asks for the task of a partition. start also starts it.
type lookup struct {
	partition int
	start     bool
	answer    chan *partition
}

// NewBatcher starts a batcher.
func NewBatcher(cfg BatcherConfig) *Batcher {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.VerdictTimeout == 0 {
		cfg.VerdictTimeout = defaultWait
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdle
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Batcher{
		cfg:     cfg,
		ctx:     ctx,
		cancel:  cancel,
		lookups: make(chan lookup),
		done:    make(chan struct{}),
		wg:      conc.NewWaitGroup(),
		limiter: rate.NewLimiter(appendsPerSecond, appendBurst),
	}
	go b.run()
	return b
}

// Done is closed when the batcher has stopped.
func (b *Batcher) Done() <-chan struct{} { return b.done }

// Stop ends all tasks and waits for them. Open claims are answered as not
// appended or unknown.
func (b *Batcher) Stop() {
	b.cancel()
	<-b.done
}

// run owns the table of partition tasks.
func (b *Batcher) run() {
	defer close(b.done)
	defer b.wg.Wait()
	tasks := map[int]*partition{}
	tick := time.NewTicker(idleCheck)
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
				b.start(tasks, q.partition).asked = time.Now()
			}
			q.answer <- tasks[q.partition]
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
		if b.preferred(n, set) {
			b.start(tasks, n)
		}
	}
}

func (b *Batcher) preferred(n int, set core.EntrySet) bool {
	first := claim.Batchers(n, set, 1)
	return len(first) == 1 && first[0].ID == b.cfg.Self
}

// stopIdle stops the tasks that nobody has asked for in a while.
func (b *Batcher) stopIdle(tasks map[int]*partition, now time.Time) {
	set := b.cfg.Config.Current().EntrySet
	for n, p := range tasks {
		if now.Sub(p.asked) > b.cfg.IdleTimeout && !b.preferred(n, set) {
			p.cancel()
			delete(tasks, n)
		}
	}
}

func (b *Batcher) lookup(ctx context.Context, n int, start bool) *partition {
	q := lookup{partition: n, start: start, answer: make(chan *partition, 1)}
	select {
	case b.lookups <- q:
		return <-q.answer
	case <-b.done:
	case <-ctx.Done():
	}
	return nil
}

// Ready reports whether a partition is being read and has been read to its end
// as it was when the reading began.
func (b *Batcher) Ready(ctx context.Context, n int) bool {
	p := b.lookup(ctx, n, false)
	return p != nil && p.ready.Load()
}

// Claim appends a claim, reads it back and returns its verdict. A claim that
// was not appended has the result NOT_APPENDED; one that may have been has
// UNKNOWN.
func (b *Batcher) Claim(ctx context.Context, n int32, c *peerpb.Claim) *peerpb.ClaimVerdict {
	op, err := claimOp(c)
	if err == nil && (n < 0 || int(n) != claim.Partition(op.KeyHash, b.cfg.Partitions)) {
		err = fmt.Errorf("claim %s is not of partition %d: %w", c.GetClaimId(), n, core.ErrInvalid)
	}
	if err != nil {
		b.cfg.Logger.Warn("claim refused", zap.Error(err))
		return verdict(c.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	return b.ask(ctx, int(n), request{op: op})
}

// Release appends a release on behalf of the agent of the claim and reads it
// back. The result is VOID when the release was read, NOT_APPENDED when it was
// not appended or is not that agent's to make, and UNKNOWN otherwise.
func (b *Batcher) Release(ctx context.Context, r *peerpb.ReleaseRequest, agentID, incarnation string) *peerpb.ClaimVerdict {
	id, err := uuid.Parse(r.GetClaimId())
	if err != nil || r.GetPartition() < 0 || int(r.GetPartition()) >= b.cfg.Partitions {
		b.cfg.Logger.Warn("release refused", zap.String("claim_id", r.GetClaimId()), zap.Int32("partition", r.GetPartition()))
		return verdict(r.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	op := claim.Op{Op: claim.OpRelease, ClaimID: id}
	return b.ask(ctx, int(r.GetPartition()), request{op: op, agentID: agentID, incarnation: incarnation})
}

func (b *Batcher) ask(ctx context.Context, n int, r request) *peerpb.ClaimVerdict {
	id := r.op.ClaimID.String()
	p := b.lookup(ctx, n, true)
	if p == nil {
		return verdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	r.answer = make(chan *peerpb.ClaimVerdict, 1)
	select {
	case p.requests <- r:
	case <-p.done:
		return verdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	case <-ctx.Done():
		return verdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	select {
	case v := <-r.answer:
		return v
	case <-ctx.Done():
		return verdict(id, peerpb.ClaimVerdict_RESULT_UNKNOWN)
	}
}

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
