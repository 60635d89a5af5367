// Package rankagent runs beside the model engine of one rank of a lock-step
// group. It reports the engine's state to the leader of the group, gives the
// engine the leader's orders and, when it leads, decides about expert maps.
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

// Times and sizes of agents.
const (
	// pollInterval is the time between two reads of the engine.
	pollInterval = 50 * time.Millisecond
	// pollTimeout bounds one read of the engine.
	pollTimeout = 400 * time.Millisecond
	// leaderCandidates is the number of ranks that may lead a group.
	leaderCandidates = 3
	// leaderHeartbeatInterval is the interval at which a leader makes itself known, and
	// leaderSilence the time after which the next candidate leads.
	leaderHeartbeatInterval = 200 * time.Millisecond
	leaderTimeout           = 1200 * time.Millisecond
	// stopTimeout bounds the end of a change that is under way at a stop.
	stopTimeout = 3 * time.Second
)

// Config is what an Agent needs.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Deployment    string
	// PeerAddress is listened on; other agents listen on the same port of the
	// host of their engine.
	PeerAddress string
	// EngineAddress is where the engine beside this agent takes calls.
	EngineAddress string
	// Gateways are addresses of gateways, which may be stale.
	Gateways []string
	Engine   core.EngineControl
	Logger   *zap.Logger
}

// Agent is one rank agent.
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
	// report is the newest one of the own engine.
	report    core.RankReport
	hasReport bool
	placement [][]int
	// placed is the map version and epoch of the placement.
	placementVersion, placementEpoch int64
	counts                           []int64
	countsStartUnixMS                int64
	spec                             expertSpec
	rankEngines                      map[int]string
	dialed                           map[string]bool
	leaders                          map[int]*knownLeader
	started                          time.Time
	// placementSession is the leader session that knows the placement.
	placementSession     *peer.Session
	placementSentVersion int64
	placementSentAt      time.Time
	// sentSlowdown and toldOpen are the state that gateways were told, at toldAt.
	sentSlowdown float64
	sentOpen     bool
	stateSentAt  time.Time
	leading      *leaderState
}

// expertSpec is the size of the engine's experts.
type expertSpec struct {
	// maxNewExperts is the number of new experts that a rank takes in each set, copyTime
	// the time that it takes to copy one.
	sets, experts, slotsPerRank, maxNewExperts int
	copyTime                                   time.Duration
}

// knownLeader is a leader that this agent has heard of.
type knownLeader struct {
	session       *peer.Session
	lastHeartbeat time.Time
}

// New returns an agent that is not running.
func New(cfg Config) (*Agent, error) {
	_, port, err := net.SplitHostPort(cfg.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("split peer address: %w: %w", err, core.ErrInvalid)
	}
	a := &Agent{
		cfg:   cfg,
		log:   cfg.Logger,
		port:  port,
		task:  task.New(),
		state: &state{sentSlowdown: 1, rankEngines: map[int]string{}, dialed: map[string]bool{}, leaders: map[int]*knownLeader{}},
		wg:    conc.NewWaitGroup(),
		done:  make(chan struct{}),
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
		Handlers: map[peerpb.StreamKind]peer.Handler{peerpb.StreamKind_STREAM_KIND_RANK_ORDER: a.serveOrder},
		Control:  a.control,
		Up:       a.peerUp,
		Down:     a.peerDown,
		Log:      cfg.Logger,
	})
	return a, nil
}

// Done is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run works until ctx ends. A change of map that is under way is ended first.
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
			a.log.Error("serving peers ended", zap.Error(err))
		}
	})
	for _, g := range a.cfg.Gateways {
		a.node.Keep(g)
	}
	a.wg.Go(func() { a.poll(run) })
	a.wg.Go(func() { a.sendHeartbeats(run) })
	a.log.Info("rank agent started", zap.String("id", a.cfg.ID), zap.String("incarnation", a.cfg.Incarnation),
		zap.String("engine_address", a.cfg.EngineAddress))
	<-ctx.Done()
	a.finishChange()
	cancel()
	a.node.Stop()
	a.wg.Wait()
	a.log.Info("rank agent stopped")
	return nil
}

// Reload takes over changed addresses of gateways.
func (a *Agent) Reload(gateways []string) {
	for _, g := range gateways {
		a.node.Keep(g)
	}
	a.log.Info("settings reloaded", zap.Strings("gateways", gateways))
}
