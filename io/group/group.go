// Package group runs the agent of one rank of a lock-step group. It controls
// the engine of its rank, reads the leaders stream, campaigns for leadership
// and leads the group while the newest record of the stream names its agent.
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

// Times and sizes of the tasks.
const (
	// orderTimeout bounds each poll of the engine and the orders that a message of a
	// leader leads to.
	orderTimeout = time.Second
	// pollInterval applies to the rank of the leader, which renews grants according
	// to the step of its engine, and to a rank whose engine has failed or whose
	// state is lost or not recovered yet.
	pollInterval = 100 * time.Millisecond
	// idlePollInterval applies to all other ranks. A poll resends a grant that the
	// engine has missed. Grants last 1.6 s, so the engine has at least 0.8 s of
	// granted steps left then.
	idlePollInterval   = 400 * time.Millisecond
	leaderTickInterval = 50 * time.Millisecond
	// followerTickInterval applies to a task that does not lead and has seen a
	// leader within recentLeaderWindow. That is well below the delay after which
	// the task may campaign.
	followerTickInterval = 400 * time.Millisecond
	recentLeaderWindow   = 2 * time.Second
	answerTimeout        = 2 * time.Second
	appendTimeout        = 5 * time.Second
	readWaitTimeout      = 2 * time.Second
	readRetryDelay       = 200 * time.Millisecond
	// pauseThreshold is the time between two ticks of a leader above which it checks
	// that it still leads before it sends anything.
	pauseThreshold         = time.Second
	leadershipCheckTimeout = 500 * time.Millisecond
	// collectTimeout is the time after which a leader resigns if some ranks have not
	// answered Collect. A leader that resigns after it has collected for more than
	// campaignBackoffThreshold does not campaign for campaignBackoff, so that other
	// agents can try.
	collectTimeout           = 5 * time.Second
	campaignBackoffThreshold = 2 * time.Second
	campaignBackoff          = 10 * time.Second
	// stateLossCampaignDelay lets other ranks campaign before a rank that has lost
	// its state.
	stateLossCampaignDelay = 3 * time.Second
	senderQueueLen         = 4
	maxCachedMaps          = 4
)

// Opener opens streams to peers. It is implemented by *peer.Node.
type Opener interface {
	Open(peerID string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error)
}

// Config configures a Group. RankIDs holds the agent id of every rank.
// InitialMap is the map of a new generation when the content of the map used so
// far is not known, as at the first start of a group. An empty Incarnation is
// replaced by a random one.
type Config struct {
	Group       string
	Rank        int
	RankIDs     []string
	Incarnation string
	InitialMap  core.ExpertMap
	Log         core.Log
	Engine      core.RankEngine
	// ExpertLoads reports the load of experts. NewRebalancer returns the policy for
	// one leadership. While this agent leads, the policy is called every
	// RebalanceInterval and returns a map of Shape. There is no rebalancing unless
	// ExpertLoads, NewRebalancer and RebalanceInterval are set.
	ExpertLoads       core.ExpertLoadReader
	NewRebalancer     func() core.Rebalancer
	RebalanceInterval time.Duration
	Shape             expertmap.Shape
	Peers             Opener
	Logger            *zap.Logger
}

// Group is the agent's member of a lock-step group. It is safe for concurrent
// use.
type Group struct {
	cfg           Config
	rankRequests  chan rankRequest
	rankSnapshots chan rankSnapshot
	leadersViews  chan leadersView
	initialFences chan int64
	answers       chan answer
	leaderOps     chan func(*leaderTask)
	// leaderTaskDone is closed when the leader task has ended, which is before done
	// is closed.
	leaderTaskDone chan struct{}
	done           chan struct{}
	// lastStepAt is the time at which the agent last saw a new step of its engine.
	lastStepAt atomic.Pointer[time.Time]
	// leading is set while this agent leads the group.
	leading   atomic.Bool
	ranksHash uint64
}

// New returns a group. Run starts its tasks.
func New(cfg Config) *Group {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	cfg.Logger = cfg.Logger.With(zap.String("group", cfg.Group), zap.Int("rank", cfg.Rank))
	g := &Group{
		cfg:            cfg,
		rankRequests:   make(chan rankRequest),
		rankSnapshots:  make(chan rankSnapshot),
		leadersViews:   make(chan leadersView),
		initialFences:  make(chan int64),
		answers:        make(chan answer),
		leaderOps:      make(chan func(*leaderTask)),
		leaderTaskDone: make(chan struct{}),
		done:           make(chan struct{}),
		// Ids contain no line breaks.
		ranksHash: xxhash.Sum64String(strings.Join(cfg.RankIDs, "\n")),
	}
	now := time.Now()
	g.lastStepAt.Store(&now)
	return g
}

// SinceStep returns the time since the agent last saw a new step of its engine.
// It does not block.
func (g *Group) SinceStep() time.Duration { return time.Since(*g.lastStepAt.Load()) }

// Done is closed when Run has returned.
func (g *Group) Done() <-chan struct{} { return g.done }

// Run runs the tasks until ctx ends. It must not be called twice.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	var wg conc.WaitGroup
	wg.Go(func() { newRankTask(g).run(ctx) })
	wg.Go(func() { g.followLeaders(ctx) })
	wg.Go(func() {
		defer close(g.leaderTaskDone)
		newLeaderTask(g).run(ctx)
	})
	if g.cfg.ExpertLoads != nil && g.cfg.NewRebalancer != nil && g.cfg.RebalanceInterval > 0 {
		wg.Go(func() { g.rebalance(ctx) })
	}
	wg.Wait()
}

// ServeStream answers the messages of a leader until the stream ends or the rank
// cannot answer. It is the peer.Handler of STREAM_KIND_GROUP.
func (g *Group) ServeStream(ctx context.Context, s *peer.Stream) {
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	for {
		f, err := s.Receive()
		if err != nil {
			return
		}
		reply := g.callRank(ctx, f)
		if reply == nil || s.Send(reply) != nil {
			return
		}
	}
}

// rankRequest is a message of a leader to the rank task.
type rankRequest struct {
	frame *peerpb.Frame
	reply chan *peerpb.Frame
}

// callRank passes a frame to the rank task and returns its answer, or nil when
// there is none.
func (g *Group) callRank(ctx context.Context, f *peerpb.Frame) *peerpb.Frame {
	r := rankRequest{frame: f, reply: make(chan *peerpb.Frame, 1)}
	select {
	case g.rankRequests <- r:
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

// doInLeaderTask runs op in the leader task and waits for its end. It reports
// false when the task has ended.
func (g *Group) doInLeaderTask(op func(*leaderTask)) bool {
	ran := make(chan struct{})
	select {
	case g.leaderOps <- func(t *leaderTask) { op(t); close(ran) }:
		<-ran
		return true
	case <-g.leaderTaskDone:
		return false
	}
}

// Propose starts a change to another map and returns its version. It returns
// ErrNotReady if this agent does not lead a running group, ErrConflict if another
// change is in progress, and ErrUnavailable if the group has stopped.
func (g *Group) Propose(m core.ExpertMap) (int64, error) {
	var version int64
	err := error(core.ErrUnavailable)
	g.doInLeaderTask(func(t *leaderTask) { version, err = t.propose(m) })
	return version, err
}

// Status returns the state of the group.
func (g *Group) Status() Status {
	var s Status
	g.doInLeaderTask(func(t *leaderTask) { s = t.status() })
	return s
}
