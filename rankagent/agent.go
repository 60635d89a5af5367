// Package rankagent implements the agent that runs next to the model engine of one
// rank of a lock-step group. It reports the state of the engine to the leader of
// the group and passes the leader's orders to the engine. The agent that leads the
// group also plans and coordinates the changes of the expert map.
package rankagent

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Timing of agents and the number of leader candidates.
const (
	// pollInterval is the interval at which the engine is polled.
	pollInterval = 50 * time.Millisecond
	// pollTimeout limits the calls of one poll.
	pollTimeout = 400 * time.Millisecond
	// leaderCandidates is the number of ranks, from rank 0 on, that may lead a group.
	leaderCandidates = 3
	// leaderHeartbeatInterval is the interval of a leader's heartbeats. If an agent
	// has received none for leaderTimeout, the candidate of the next rank leads.
	leaderHeartbeatInterval = 200 * time.Millisecond
	leaderTimeout           = 1200 * time.Millisecond
	// stopTimeout limits how long a shutdown waits for a map change in progress.
	stopTimeout = 3 * time.Second
)

// Config configures an Agent.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Deployment    string
	// PeerAddress is the address to listen on for other processes of nutmegnotch.
	// All agents must use the same port, on the host of their engine.
	PeerAddress string
	// EngineAddress is the address of the local engine.
	EngineAddress string
	// Gateways are peer addresses of gateways. Some of them may be stale.
	Gateways []string
	// LinkRate is the rate of the host's network link in bytes per second. It is
	// taken for that of the leader's host too; 0 means defaultLinkRate.
	LinkRate float64
	Engine   core.EngineControl
	Logger   *zap.Logger
}

// Agent is the agent of one rank.
type Agent struct {
	cfg   Config
	log   *zap.Logger
	port  string
	node  *peer.Node
	task  *task.Task
	state *state
	wg    *conc.WaitGroup
	done  chan struct{}
}

// state is owned by the agent's task.
type state struct {
	// report is the newest report of the local engine, if hasReport is set.
	report    core.RankReport
	hasReport bool
	placement [][]int
	// placementVersion and placementEpoch are the map version and the epoch of
	// placement.
	placementVersion, placementEpoch int64
	counts                           []int64
	countsStartUnixMS                int64
	spec                             expertSpec
	rankEngines                      map[int]string
	dialed                           map[string]bool
	// views holds the addresses of gateways that each connected one has sent, and gateways
	// those that this agent dials. chosen are the ones that it reports to.
	views    map[*peer.Session][]string
	gateways map[string]bool
	chosen   []string
	leaders  map[int]*knownLeader
	started  time.Time
	// placementSession is the session with the leader to which the placement was
	// last sent, with placementSentVersion and at placementSentAt.
	placementSession     *peer.Session
	placementSentVersion int64
	placementSentAt      time.Time
	// sentSlowdown and sentOpen are the engine state last sent to gateways, at
	// stateSentAt.
	sentSlowdown float64
	sentOpen     bool
	stateSentAt  time.Time
	// leading is the state of the leader; nil if this agent has never led.
	leading *leaderState
}

// expertSpec describes the experts of the engines of a group.
type expertSpec struct {
	// maxNewExperts is the number of experts that one change may add to a rank in
	// each set, and copyTime the time to copy one expert.
	sets, experts, slotsPerRank, maxNewExperts int
	copyTime                                   time.Duration
}

// knownLeader is an agent that has sent leader heartbeats.
type knownLeader struct {
	session       *peer.Session
	lastHeartbeat time.Time
}

// New returns an agent that starts when Run is called.
func New(cfg Config) (*Agent, error) {
	_, port, err := net.SplitHostPort(cfg.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("split peer address: %w: %w", err, core.ErrInvalid)
	}
	if cfg.LinkRate <= 0 {
		cfg.LinkRate = defaultLinkRate
	}
	a := &Agent{
		cfg:  cfg,
		log:  cfg.Logger,
		port: port,
		task: task.New(),
		state: &state{sentSlowdown: 1, rankEngines: map[int]string{}, dialed: map[string]bool{}, leaders: map[int]*knownLeader{},
			views: map[*peer.Session][]string{}, gateways: map[string]bool{}},
		wg:   conc.NewWaitGroup(),
		done: make(chan struct{}),
	}
	a.node = peer.New(peer.Config{
		Self: &peerpb.Hello{
			Id:            cfg.ID,
			Role:          core.RoleRankAgent,
			Incarnation:   cfg.Incarnation,
			Address:       cfg.PeerAddress,
			FailureDomain: cfg.FailureDomain,
			Region:        cfg.Region,
			Deployment:    cfg.Deployment,
		},
		Handlers:      map[peerpb.StreamKind]peer.Handler{peerpb.StreamKind_STREAM_KIND_RANK_ORDER: a.serveOrder},
		OnControl:     a.control,
		OnSessionUp:   a.peerUp,
		OnSessionDown: a.peerDown,
		Log:           cfg.Logger,
	})
	return a, nil
}

// Done returns a channel that is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run runs the agent until ctx is done. Before it returns, it finishes or drops a
// map change in progress.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	l, err := net.Listen("tcp", a.cfg.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", a.cfg.PeerAddress, err)
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.state.started = time.Now()
	a.task.Start(run)
	a.wg.Go(func() {
		if err := a.node.Serve(l); err != nil {
			a.log.Error("peer listener failed", zap.Error(err))
		}
	})
	a.task.Do(func() { a.dialGateways(a.cfg.Gateways) })
	for _, loop := range []func(context.Context){a.keepGateways, a.poll, a.sendHeartbeats} {
		a.wg.Go(func() { task.Keep(run, loop, a.failed) })
	}
	a.log.Info("rank agent started", zap.String("id", a.cfg.ID), zap.String("incarnation", a.cfg.Incarnation),
		zap.String("engine_address", a.cfg.EngineAddress))
	<-ctx.Done()
	a.endChange()
	cancel()
	a.node.Stop()
	a.wg.Wait()
	a.log.Info("rank agent stopped")
	return nil
}

// failed logs a panic in a goroutine of the agent.
func (a *Agent) failed(err error) { a.log.Error("a part of the rank agent failed", zap.Error(err)) }

// attempt runs f in a goroutine of the agent. A panic ends it only.
func (a *Agent) attempt(f func()) {
	a.wg.Go(func() {
		if err := task.Catch(f); err != nil {
			a.failed(err)
		}
	})
}

// Reload replaces the gateways that are dialled while none of the chosen ones can be
// reached.
func (a *Agent) Reload(gateways []string) {
	a.task.Do(func() {
		a.cfg.Gateways = gateways
		if len(a.state.chosen) == 0 {
			a.dialGateways(gateways)
		}
	})
	a.log.Info("settings reloaded", zap.Strings("gateways", gateways))
}
