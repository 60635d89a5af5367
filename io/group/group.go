// Package group is the task of an agent that belongs to a group of ranks in
// lock-step. It serves its own rank, follows the leaders stream, stands for
// leadership and leads when the stream names it.
package group

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of the tasks.
const (
	// orderTimeout bounds one order to the engine.
	orderTimeout = time.Second
	// pollInterval is for the rank of the leader, which renews grants by its
	// engine's step, and for a rank whose engine or state is not as it should be.
	pollInterval = 100 * time.Millisecond
	// idlePollInterval is for other ranks. Grants last 1.6 s, so that an engine
	// has at least 0.8 s of steps left when it misses one.
	idlePollInterval = 400 * time.Millisecond
	leadInterval     = 50 * time.Millisecond
	// idleInterval is the interval of a task that does not lead and has heard a
	// leader within idleSilence, long before it may stand.
	idleInterval   = 400 * time.Millisecond
	idleSilence    = 2 * time.Second
	answerTimeout  = 2 * time.Second
	appendTimeout  = 5 * time.Second
	readWait       = 2 * time.Second
	readRetryDelay = 200 * time.Millisecond
	// pauseLimit is the time between two turns of a leader from which it checks
	// that it still leads before it sends anything.
	pauseLimit   = time.Second
	checkTimeout = 500 * time.Millisecond
	// collectLimit is the time after which a leader that does not reach all
	// ranks gives up. A leader that has collected in vain for holdOffAfter stands
	// back for holdOff, so that other agents can try.
	collectLimit = 5 * time.Second
	holdOffAfter = 2 * time.Second
	holdOff      = 10 * time.Second
	// lostDelay keeps a rank without state from standing before the others.
	lostDelay     = 3 * time.Second
	senderBacklog = 4
	keptMaps      = 4
)

// Opener opens streams to peers; *peer.Node is one.
type Opener interface {
	Open(peerID string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error)
}

// Config is what a Group needs. RankIDs holds the agent id of every rank.
// InitialMap is used when the group has no map yet. An empty Incarnation gets
// a random one.
type Config struct {
	Group       string
	Rank        int
	RankIDs     []string
	Incarnation string
	InitialMap  core.ExpertMap
	Log         core.Log
	Engine      core.RankEngine
	// ExpertLoads reports the load of experts. NewRebalancer returns the policy of
	// one leadership, which is asked every RebalanceInterval for a map of Shape.
	// The map stays when one of them is not set.
	ExpertLoads       core.ExpertLoadReader
	NewRebalancer     func() core.Rebalancer
	RebalanceInterval time.Duration
	Shape             expertmap.Shape
	Peers             Opener
	Logger            *zap.Logger
}

// Group is the task. It is safe for concurrent use.
type Group struct {
	cfg      Config
	requests chan request
	infos    chan rankInfo
	folds    chan fold
	floors   chan int64
	answers  chan answer
	ops      chan func(*leadTask)
	// leadDone is closed when the lead task has ended, which is before done.
	leadDone chan struct{}
	done     chan struct{}
	// steppedAt is when the engine was last seen to have run a step.
	steppedAt atomic.Pointer[time.Time]
	// leads is set while the lead task leads.
	leads     atomic.Bool
	ranksHash uint64
}

// New returns a group that works once Run is called.
func New(cfg Config) *Group {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	cfg.Logger = cfg.Logger.With(zap.String("group", cfg.Group), zap.Int("rank", cfg.Rank))
	g := &Group{
		cfg:      cfg,
		requests: make(chan request),
		infos:    make(chan rankInfo),
		folds:    make(chan fold),
		floors:   make(chan int64),
		answers:  make(chan answer),
		ops:      make(chan func(*leadTask)),
		leadDone: make(chan struct{}),
		done:     make(chan struct{}),
		// A line break is in no id.
		ranksHash: xxhash.Sum64String(strings.Join(cfg.RankIDs, "\n")),
	}
	now := time.Now()
	g.steppedAt.Store(&now)
	return g
}

// SinceStep returns the time since the agent last saw its engine get on by a
// step. It does not block.
func (g *Group) SinceStep() time.Duration { return time.Since(*g.steppedAt.Load()) }

// Done is closed when Run has returned.
func (g *Group) Done() <-chan struct{} { return g.done }

// Run works until ctx ends. It may be called once.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	var wg conc.WaitGroup
	wg.Go(func() { newRankTask(g).run(ctx) })
	wg.Go(func() { g.follow(ctx) })
	wg.Go(func() {
		defer close(g.leadDone)
		newLeadTask(g).run(ctx)
	})
	if g.cfg.ExpertLoads != nil && g.cfg.NewRebalancer != nil && g.cfg.RebalanceInterval > 0 {
		wg.Go(func() { g.rebalance(ctx) })
	}
	wg.Wait()
}

// ServeStream answers a leader's messages until the stream ends or the rank
// cannot answer. It is the peer.Handler of STREAM_KIND_GROUP.
func (g *Group) ServeStream(ctx context.Context, s *peer.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	for {
		f, err := s.Receive()
		if err != nil {
			return
		}
		reply := g.ask(ctx, f)
		if reply == nil || s.Send(reply) != nil {
			return
		}
	}
}

// request is a leader's message for the rank task.
type request struct {
	frame *peerpb.Frame
	reply chan *peerpb.Frame
}

// ask lets the rank task answer a frame. It returns nil when it cannot.
func (g *Group) ask(ctx context.Context, f *peerpb.Frame) *peerpb.Frame {
	r := request{frame: f, reply: make(chan *peerpb.Frame, 1)}
	select {
	case g.requests <- r:
	case <-ctx.Done():
		return nil
	case <-g.done:
		return nil
	}
	select {
	case reply := <-r.reply:
		return reply
	case <-ctx.Done():
		return nil
	case <-g.done:
		return nil
	}
}

// do runs op in the lead task.
func (g *Group) do(op func(*leadTask)) bool {
	ran := make(chan struct{})
	select {
	case g.ops <- func(t *leadTask) { op(t); close(ran) }:
		<-ran
		return true
	case <-g.leadDone:
		return false
	}
}

// Propose starts a change to another map and returns its version. ErrNotReady
// means that this agent does not lead a running group, ErrConflict that another
// change is under way.
func (g *Group) Propose(m core.ExpertMap) (int64, error) {
	var version int64
	err := error(core.ErrUnavailable)
	g.do(func(t *leadTask) { version, err = t.propose(m) })
	return version, err
}

// Status returns the state of the group.
func (g *Group) Status() Status {
	var s Status
	g.do(func(t *leadTask) { s = t.status() })
	return s
}
