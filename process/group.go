package process

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/agent"
	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/group"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/io/rank"
	"nutmegnotch/options"
)

// Parameters that are the same for all groups.
const (
	loadSmoothingWeight   = 0.3
	loadSmoothingInterval = time.Minute
	loadResetThreshold    = 0.15
	// rankEngineTimeout is above the time that the group allows for one order.
	rankEngineTimeout = 5 * time.Second
	// stallTimeout is the time without a step after which an agent reports that its
	// group is stalled. A change of leader takes longer than 3 s.
	stallTimeout = 5 * time.Second
)

// groupTask runs the part of an agent that belongs to a group of ranks.
type groupTask struct {
	cfg          options.Group
	log          *zap.Logger
	group        *group.Group
	httpClient   *http.Client
	leave        *leaveTask
	cancel       context.CancelFunc
	drainTimeout time.Duration
}

// newGroupTask returns nil for an agent without a group.
func newGroupTask(cfg options.Settings, incarnation string, log core.Log, node *peer.Node, status func() agent.Status, logger *zap.Logger) *groupTask {
	g := cfg.Group
	if g.Name == "" {
		return nil
	}
	t := &groupTask{cfg: g, log: logger, httpClient: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: core.MaxReplyHeadBytes}, Timeout: rankEngineTimeout},
		drainTimeout: cfg.Agent.DrainTimeout.AsDuration(), leave: newLeaveTask(cfg.ID, g.RankIDs, nodePeers{node}, status)}
	engine := &rank.Client{URL: baseURL(g.EngineAddress), HTTP: t.httpClient}
	shape := expertmap.Shape{Ranks: len(g.RankIDs), Layers: g.Layers, Experts: g.Experts, SlotsPerRank: g.Rebalance.SlotsPerRank}
	t.group = group.New(group.Config{
		Group:             g.Name,
		Rank:              g.Rank,
		RankIDs:           g.RankIDs,
		Incarnation:       incarnation,
		InitialMap:        expertmap.EvenMap(shape),
		Log:               log,
		Engine:            engine,
		ExpertLoads:       engine,
		NewRebalancer:     func() core.Rebalancer { return newRebalancePolicy(g.Rebalance, shape) },
		RebalanceInterval: g.Rebalance.Interval.AsDuration(),
		Shape:             shape,
		Peers:             node,
		Logger:            logger,
	})
	expvar.Publish("group", expvar.Func(func() any { return t.group.Status() }))
	return t
}

func newRebalancePolicy(r options.Rebalance, shape expertmap.Shape) core.Rebalancer {
	return &expertmap.CostBenefitPolicy{
		Shape: shape,
		Cost: expertmap.Cost{
			ExpertBytes:         float64(r.ExpertBytes),
			StoreBytesPerSecond: float64(r.StoreBytesPerSecond),
			LoadSlowdown:        r.LoadSlowdown,
			SwitchDelay:         r.SwitchDelay.AsDuration(),
		},
		MaxMapLifetime:    r.MapLife.AsDuration(),
		SmoothingWeight:   loadSmoothingWeight,
		SmoothingInterval: loadSmoothingInterval,
		ResetThreshold:    loadResetThreshold,
		MinGain:           r.MinGain,
	}
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// start runs the group and keeps a session to every other rank. Each rank dials the
// ranks with lower numbers, so that each pair has one session.
func (t *groupTask) start(node *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	for _, address := range t.cfg.RankAddresses[:t.cfg.Rank] {
		node.KeepConnected(address)
	}
	go t.group.Run(ctx)
	go t.leave.run(ctx)
}

// stop waits until the other ranks hold no requests, up to the drain timeout, and then
// stops the group. The sessions of the node must still be open.
func (t *groupTask) stop() {
	if t.cancel == nil {
		return
	}
	othersIdle := t.leave.waitForOthers(t.drainTimeout, t.stepOverdue)
	s := t.group.Status()
	t.log.Warn("agent is leaving its group, which stalls at the horizon until this rank has an agent again",
		zap.String("group", t.cfg.Name), zap.Int("rank", t.cfg.Rank), zap.Int64("step", s.Step), zap.Int64("horizon", s.Horizon),
		zap.Bool("other_ranks_empty", othersIdle))
	t.cancel()
	<-t.group.Done()
	<-t.leave.done
	t.httpClient.CloseIdleConnections()
}

// serveStream serves a group stream of a peer that is an agent of the group. It refuses
// other peers.
func (t *groupTask) serveStream(ctx context.Context, s *peer.Stream) {
	if from := s.Peer(); from.GetRole() != core.RoleAgent || !slices.Contains(t.cfg.RankIDs, from.GetId()) {
		t.log.Warn("refused a group stream from a process that is not a rank of the group", zap.String("peer", from.GetId()))
		return
	}
	t.group.ServeStream(ctx, s)
}

// stepOverdue reports whether the engine has run no step for stallTimeout.
func (t *groupTask) stepOverdue() bool { return t.group.SinceStep() > stallTimeout }

// stalled reports whether new requests would not complete, because the group runs no
// steps or will run none once the agent of another rank has left. It returns false for
// a nil groupTask.
func (t *groupTask) stalled() bool {
	return t != nil && (t.stepOverdue() || t.leave.otherRankLeaving())
}

// handleControl passes a control frame of another rank's agent to the leave task.
func (t *groupTask) handleControl(from *peer.Session, f *peerpb.Frame) {
	if from.Hello.GetRole() == core.RoleAgent && slices.Contains(t.cfg.RankIDs, from.Hello.GetId()) {
		t.leave.handleControl(from.Hello.GetId(), f)
	}
}

// nodePeers adapts a peer.Node to groupPeers.
type nodePeers struct{ *peer.Node }

// Connected implements groupPeers.
func (n nodePeers) Connected(id string) bool { return n.Session(id) != nil }
