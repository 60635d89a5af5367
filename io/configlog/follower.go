// Package configlog follows the config stream of the platform's log. Its task
// owns the replicated configuration of a process, exchanges positions with peers
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

// Defaults and limits of a Follower.
const (
	defaultExchangeInterval = 500 * time.Millisecond
	defaultReadWait         = time.Second
	defaultEntrySetDelay    = 2 * time.Second
	defaultRetention        = 24 * time.Hour
	defaultCheckpointDelay  = 30 * time.Second
	tickInterval            = 50 * time.Millisecond
	// agentTickInterval is longer, since agents neither publish changes nor
	// propose entry sets.
	agentTickInterval = 100 * time.Millisecond
	inboxCapacity     = 1024
)

// Peers provides the live sessions of the process, one per peer. *peer.Node
// implements it.
type Peers interface {
	Sessions() []*peer.Session
}

// Config configures a Follower. Hosts may be nil for agents. Zero durations mean
// the defaults.
type Config struct {
	Self             core.EntryInfo
	Role             string
	Log              core.Log
	Hosts            core.HostList
	Retention        time.Duration
	ExchangeInterval time.Duration
	ReadWait         time.Duration
	EntrySetDelay    time.Duration
	// CheckpointDelay bounds the random delay before a checkpoint. With many
	// entries the bound is higher.
	CheckpointDelay time.Duration
	Logger          *zap.Logger
}

// view is the immutable state of the follower that other goroutines read. changed
// is closed when cfg is replaced.
type view struct {
	cfg         core.Configuration
	confirmedAt time.Time
	changed     chan struct{}
}

// Follower keeps the configuration of a process up to date. It implements
// core.ConfigSource.
type Follower struct {
	cfg   Config
	view  atomic.Pointer[view]
	ops   chan func(*task)
	inbox chan message
	// loopDone is closed when the task accepts no more operations, done when all
	// its goroutines have ended too.
	loopDone chan struct{}
	done     chan struct{}
}

var _ core.ConfigSource = (*Follower)(nil)

// message is a control frame with the time of its arrival.
type message struct {
	from  *peer.Session
	frame *peerpb.Frame
	at    time.Time
}

// New returns a follower with an empty configuration. Run starts it.
func New(cfg Config) *Follower {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&cfg.Retention, defaultRetention)
	setDefault(&cfg.ExchangeInterval, defaultExchangeInterval)
	setDefault(&cfg.ReadWait, defaultReadWait)
	setDefault(&cfg.EntrySetDelay, defaultEntrySetDelay)
	setDefault(&cfg.CheckpointDelay, min(defaultCheckpointDelay, cfg.Retention/20))
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	f := &Follower{cfg: cfg, ops: make(chan func(*task)), inbox: make(chan message, inboxCapacity), loopDone: make(chan struct{}), done: make(chan struct{})}
	f.view.Store(&view{cfg: config.New().Configuration(), changed: make(chan struct{})})
	return f
}

// Current returns the newest known configuration.
func (f *Follower) Current() core.Configuration { return f.view.Load().cfg }

// Changed returns a channel that is closed at the next change of Current.
func (f *Follower) Changed() <-chan struct{} { return f.view.Load().changed }

// Confirmed reports whether the configuration was confirmed recently enough to
// admit new work.
func (f *Follower) Confirmed(now time.Time) bool {
	return config.Fresh(f.view.Load().confirmedAt, now)
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Control handles the control frames of the configuration and reports whether
// the frame was one of them. It never blocks: when the inbox of the task is full,
// frames are dropped, and peers send or request them again. It is meant to be
// called from peer.Config.OnControl.
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

// task is the state that the goroutine of Run owns.
type task struct {
	f         *Follower
	ctx       context.Context
	wg        conc.WaitGroup
	peers     Peers
	log       *zap.Logger
	state     *config.StateMachine
	startedAt time.Time
	// logReadAt is when the last read that reached the end of the log was sent.
	logReadAt time.Time
	// established is the value of config.Freshness.Established.
	established bool
	// majorityOffset is the first offset that is not known to be applied by a
	// majority of the entries. A change that a majority has applied once stays
	// accepted.
	majorityOffset int64
	reader         reader
	exchange       exchange
	recent         recentRecords
	membership     membership
	checkpoints    checkpointTracker
	waiters        map[*waiter]bool
}

// Run follows the log until ctx ends. peers may be nil.
func (f *Follower) Run(ctx context.Context, peers Peers) {
	defer close(f.done)
	ctx, cancel := context.WithCancel(ctx)
	t := &task{
		f:          f,
		ctx:        ctx,
		peers:      peers,
		log:        f.cfg.Logger,
		state:      config.New(),
		startedAt:  time.Now(),
		reader:     newReader(),
		exchange:   newExchange(),
		membership: newMembership(),
		waiters:    map[*waiter]bool{},
	}
	t.wg.Go(t.readLoop)
	if f.cfg.Hosts != nil {
		t.wg.Go(t.hostListLoop)
	}
	t.loop()
	close(f.loopDone)
	cancel()
	t.wg.Wait()
}

func (t *task) loop() {
	interval := tickInterval
	if t.f.cfg.Role == core.RoleAgent {
		interval = agentTickInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for t.ctx.Err() == nil {
		before := t.state.NextOffset()
		refresh := len(t.waiters) > 0
		select {
		case op := <-t.f.ops:
			op(t)
			refresh = true
		case m := <-t.f.inbox:
			t.receive(m)
		case r := <-t.reader.results:
			t.handleRead(r)
			refresh = true
		case h := <-t.membership.hostLists:
			t.membership.update(h)
		case <-ticker.C:
			refresh = true
		case <-t.exchange.wake:
			t.exchange.wake = nil
			refresh = true
		case <-t.ctx.Done():
			return
		}
		t.step(time.Now(), t.state.NextOffset() != before, refresh)
	}
}

// step refreshes the view and does what is due. advanced reports whether the event
// has advanced the state, and refresh whether the step is needed in any case.
// Without either, as after a frame that did not advance the state, step does
// nothing until the next tick, since refreshing the view takes time for each peer
// and a process can have many peers.
func (t *task) step(now time.Time, advanced, refresh bool) {
	if !advanced && !refresh {
		return
	}
	t.refreshView(now, advanced)
	t.requestRead(now)
	t.exchangePositions(now, advanced)
	if now.Sub(t.membership.checkedAt) >= tickInterval {
		t.membership.checkedAt = now
		t.proposeEntrySet(now)
		t.writeCheckpoint(now)
	}
}

// refreshView publishes the state to other goroutines and notifies the waiters.
func (t *task) refreshView(now time.Time, advanced bool) {
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
	if advanced {
		next.cfg = t.state.Configuration()
		next.changed = make(chan struct{})
	}
	t.f.view.Store(next)
	if advanced {
		close(old.changed)
	}
	if nextOffset := t.state.NextOffset(); t.majorityOffset < nextOffset && fresh.AppliedByMajority(nextOffset-1, now) {
		t.majorityOffset = nextOffset
	}
	t.notifyWaiters(fresh, now)
}

func (t *task) freshness() config.Freshness {
	cfg := t.state.Configuration()
	return config.Freshness{
		Self:             t.f.cfg.Self.ID,
		NextOffset:       t.state.NextOffset(),
		StartedAt:        t.startedAt,
		LogReadAt:        t.logReadAt,
		Established:      t.established,
		EntrySet:         cfg.EntrySet,
		PreviousEntrySet: t.state.PreviousEntrySet(),
		EntrySetVersion:  cfg.Versions[core.ObjectEntrySet],
		Peers:            t.exchange.peerPositions(),
	}
}

// apply applies records to the state up to the first gap. It skips records that
// were applied before.
func (t *task) apply(records []core.Record) {
	for _, r := range records {
		if r.Offset < t.state.NextOffset() {
			continue
		}
		o, decided, err := t.state.Apply(r)
		if err != nil {
			t.log.Warn("gap in records of the config stream", zap.Error(err))
			return
		}
		metrics.Add("records_folded", 1)
		t.recent.add(r)
		t.checkpoints.observe(r, t.recent)
		if decided {
			t.log.Info("change applied", zap.String("change_id", o.ChangeID), zap.String("object", o.Object),
				zap.String("result", string(o.Result)), zap.Int64("offset", o.Offset))
		}
	}
}

// replaceState replaces the state with next. It returns false and does nothing if
// next is not ahead, so the position never decreases.
func (t *task) replaceState(next *config.StateMachine, now time.Time) bool {
	if next.NextOffset() <= t.state.NextOffset() {
		return false
	}
	t.state = next
	t.recent = recentRecords{}
	t.checkpoints.assumeAge(now, t.f.cfg.Retention)
	metrics.Add("snapshots_loaded", 1)
	return true
}

// do runs op in the goroutine of the task. It returns false if the task has ended
// or ctx is done before op was started.
func (f *Follower) do(ctx context.Context, op func(*task)) bool {
	ran := make(chan struct{})
	select {
	case f.ops <- func(t *task) { op(t); close(ran) }:
		<-ran
		return true
	case <-ctx.Done():
		return false
	case <-f.loopDone:
		return false
	}
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
