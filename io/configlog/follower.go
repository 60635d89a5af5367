// Package configlog follows the config stream of the platform's log. Its task
// owns the folded configuration of a process, exchanges positions with peers
// and publishes changes.
package configlog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of the follower.
const (
	defaultExchange      = 500 * time.Millisecond
	defaultWait          = time.Second
	defaultEntrySetDelay = 2 * time.Second
	defaultRetention     = 24 * time.Hour
	maxCheckpointDelay   = 30 * time.Second
	tick                 = 50 * time.Millisecond
	// agentTick is for agents, which publish nothing and write no entry set.
	agentTick = 100 * time.Millisecond
	inboxLen  = 1024
)

// Peers gives the live sessions of the process, one for each peer.
// *peer.Node implements it.
type Peers interface {
	Sessions() []*peer.Session
}

// Config is what a Follower needs. Hosts may be nil for agents. Zero times
// stand for the defaults.
type Config struct {
	Self             core.EntryInfo
	Role             string
	Log              core.Log
	Hosts            core.HostList
	Retention        time.Duration
	ExchangeInterval time.Duration
	ReadWait         time.Duration
	EntrySetDelay    time.Duration
	// CheckpointDelay bounds the random delay before a checkpoint.
	CheckpointDelay time.Duration
	Logger          *zap.Logger
}

// view is what other goroutines see of the follower.
type view struct {
	cfg         core.Configuration
	confirmedAt time.Time
	changed     chan struct{}
}

// Follower implements core.ConfigSource.
type Follower struct {
	cfg   Config
	view  atomic.Pointer[view]
	ops   chan func(*task)
	inbox chan message
	// ended is closed when the task takes no more work, done when all its
	// goroutines have ended too.
	ended chan struct{}
	done  chan struct{}
}

var _ core.ConfigSource = (*Follower)(nil)

// message is a control frame with the time of its arrival.
type message struct {
	from  *peer.Session
	frame *peerpb.Frame
	at    time.Time
}

// New returns a follower that has folded nothing. Run starts it.
func New(cfg Config) *Follower {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&cfg.Retention, defaultRetention)
	setDefault(&cfg.ExchangeInterval, defaultExchange)
	setDefault(&cfg.ReadWait, defaultWait)
	setDefault(&cfg.EntrySetDelay, defaultEntrySetDelay)
	setDefault(&cfg.CheckpointDelay, min(maxCheckpointDelay, cfg.Retention/20))
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	f := &Follower{cfg: cfg, ops: make(chan func(*task)), inbox: make(chan message, inboxLen), ended: make(chan struct{}), done: make(chan struct{})}
	f.view.Store(&view{cfg: config.New().Configuration(), changed: make(chan struct{})})
	return f
}

// Current returns the folded configuration.
func (f *Follower) Current() core.Configuration { return f.view.Load().cfg }

// Changed returns a channel that is closed at the next change of Current.
func (f *Follower) Changed() <-chan struct{} { return f.view.Load().changed }

// Confirmed reports whether new work may be admitted.
func (f *Follower) Confirmed(now time.Time) bool {
	return config.Fresh(f.view.Load().confirmedAt, now)
}

// Done is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Control takes the control frames that concern the configuration and reports
// whether f was one. It never blocks: when the task lags, frames are dropped
// and asked for again. It is made for peer.Config.Control.
func (f *Follower) Control(from *peer.Session, frame *peerpb.Frame) bool {
	switch frame.Body.(type) {
	case *peerpb.Frame_Position, *peerpb.Frame_RecordsRequest, *peerpb.Frame_Records, *peerpb.Frame_Snapshot:
	default:
		return false
	}
	select {
	case f.inbox <- message{from: from, frame: frame, at: time.Now()}:
	default:
		metrics.Add("control_frames_dropped", 1)
	}
	return true
}

// task is the state of the follower's task.
type task struct {
	f       *Follower
	ctx     context.Context
	wg      conc.WaitGroup
	peers   Peers
	log     *zap.Logger
	fold    *config.StateMachine
	started time.Time
	// readAt is when the last read that reached the end of the log was sent.
	readAt      time.Time
	established bool
	// heldUpTo is the first offset not known to be held by a majority. What a
	// majority has held once stays accepted.
	heldUpTo    int64
	reader      reader
	exchange    exchange
	recent      recent
	members     membership
	checkpoints checkpoints
	waiters     map[*waiter]bool
}

// Run follows the log until ctx ends. peers may be nil.
func (f *Follower) Run(ctx context.Context, peers Peers) {
	defer close(f.done)
	ctx, cancel := context.WithCancel(ctx)
	t := &task{
		f:        f,
		ctx:      ctx,
		peers:    peers,
		log:      f.cfg.Logger,
		fold:     config.New(),
		started:  time.Now(),
		reader:   newReader(),
		exchange: newExchange(),
		members:  newMembership(),
		waiters:  map[*waiter]bool{},
	}
	t.wg.Go(t.readLoop)
	if f.cfg.Hosts != nil {
		t.wg.Go(t.hostLoop)
	}
	t.loop()
	close(f.ended)
	cancel()
	t.wg.Wait()
}

func (t *task) loop() {
	interval := tick
	if t.f.cfg.Role == core.RoleAgent {
		interval = agentTick
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for t.ctx.Err() == nil {
		before := t.fold.NextOffset()
		ticked := len(t.waiters) > 0
		select {
		case op := <-t.f.ops:
			op(t)
			ticked = true
		case m := <-t.f.inbox:
			t.receive(m)
		case r := <-t.reader.results:
			t.handleRead(r)
			ticked = true
		case h := <-t.members.rows:
			t.members.update(h)
		case <-ticker.C:
			ticked = true
		case <-t.exchange.wake:
			t.exchange.wake = nil
			ticked = true
		case <-t.ctx.Done():
			return
		}
		t.step(time.Now(), t.fold.NextOffset() != before, ticked)
	}
}

// step does what is due. Positions of many peers alone don't make it settle:
// that costs time for each peer and waits for the next tick.
func (t *task) step(now time.Time, moved, ticked bool) {
	if !moved && !ticked {
		return
	}
	t.settle(now, moved)
	t.requestRead(now)
	t.exchangePositions(now, moved)
	if now.Sub(t.members.checkedAt) >= tick {
		t.members.checkedAt = now
		t.proposeEntrySet(now)
		t.writeCheckpoint(now)
	}
}

// settle makes the new state visible and answers the waiters.
func (t *task) settle(now time.Time, moved bool) {
	fresh := t.freshness()
	if !t.established && fresh.CanEstablish() {
		t.established = true
		fresh.Established = true
	}
	old := t.f.view.Load()
	next := &view{cfg: old.cfg, confirmedAt: old.confirmedAt, changed: old.changed}
	if at := fresh.ConfirmedAt(); at.After(next.confirmedAt) {
		next.confirmedAt = at
	}
	if moved {
		next.cfg = t.fold.Configuration()
		next.changed = make(chan struct{})
	}
	t.f.view.Store(next)
	if moved {
		close(old.changed)
	}
	if next := t.fold.NextOffset(); t.heldUpTo < next && fresh.AppliedByMajority(next-1, now) {
		t.heldUpTo = next
	}
	t.answerWaiters(fresh, now)
}

func (t *task) freshness() config.Freshness {
	cfg := t.fold.Configuration()
	return config.Freshness{
		Self:             t.f.cfg.Self.ID,
		NextOffset:       t.fold.NextOffset(),
		StartedAt:        t.started,
		LogReadAt:        t.readAt,
		Established:      t.established,
		EntrySet:         cfg.EntrySet,
		PreviousEntrySet: t.fold.PreviousEntrySet(),
		EntrySetVersion:  cfg.Versions[core.ObjectEntrySet],
		Peers:            t.exchange.heard(),
	}
}

// apply folds records that follow the state; older ones have no effect.
func (t *task) apply(records []core.Record) {
	for _, r := range records {
		if r.Offset < t.fold.NextOffset() {
			continue
		}
		o, decided, err := t.fold.Apply(r)
		if err != nil {
			t.log.Warn("gap in records of the config stream", zap.Error(err))
			return
		}
		metrics.Add("records_folded", 1)
		t.recent.add(r)
		t.checkpoints.seen(r, t.recent)
		if decided {
			t.log.Info("change folded", zap.String("change_id", o.ChangeID), zap.String("object", o.Object),
				zap.String("result", string(o.Result)), zap.Int64("offset", o.Offset))
		}
	}
}

// replace takes over a state that is ahead. The position never goes back.
func (t *task) replace(f *config.StateMachine, now time.Time) bool {
	if f.NextOffset() <= t.fold.NextOffset() {
		return false
	}
	t.fold = f
	t.recent = recent{}
	t.checkpoints.unknown(now, t.f.cfg.Retention)
	metrics.Add("snapshots_loaded", 1)
	return true
}

// do runs op in the task. It reports false when the task has ended or ctx has.
func (f *Follower) do(ctx context.Context, op func(*task)) bool {
	ran := make(chan struct{})
	select {
	case f.ops <- func(t *task) { op(t); close(ran) }:
		<-ran
		return true
	case <-ctx.Done():
		return false
	case <-f.ended:
		return false
	}
}

// jitter returns a random time below d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
