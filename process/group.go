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

// Settings of the policy that are the same for all groups.
const (
	loadSmoothing         = 0.3
	loadSmoothingInterval = time.Minute
	loadJump              = 0.15
	// engineTimeout is above the time that the group gives an order.
	engineTimeout = 5 * time.Second
	// stallLimit is the time without a step after which an agent reports that
	// its group stands still. A change of leader takes longer than 3 s.
	stallLimit = 5 * time.Second
)

// groupTask is the part of an agent that belongs to a group of ranks.
type groupTask struct {
	cfg    options.Group
	log    *zap.Logger
	group  *group.Group
	web    *http.Client
	leave  *leaveTask
	cancel context.CancelFunc
	drain  time.Duration
}

// newGroupTask returns nil for an agent without a group.
func newGroupTask(cfg options.Settings, incarnation string, log core.Log, node *peer.Node, status func() agent.Status, logger *zap.Logger) *groupTask {
	g := cfg.Group
	if g.Name == "" {
		return nil
	}
	t := &groupTask{cfg: g, log: logger, web: &http.Client{Transport: &http.Transport{}, Timeout: engineTimeout},
		drain: cfg.Agent.DrainTimeout.AsDuration(), leave: newLeaveTask(cfg.ID, g.RankIDs, nodePeers{node}, status)}
	engine := &rank.Client{URL: baseURL(g.EngineAddress), HTTP: t.web}
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
		NewRebalancer:     func() core.Rebalancer { return policy(g.Rebalance, shape) },
		RebalanceInterval: g.Rebalance.Interval.AsDuration(),
		Shape:             shape,
		Peers:             node,
		Logger:            logger,
	})
	expvar.Publish("group", expvar.Func(func() any { return t.group.Status() }))
	return t
}

func policy(r options.Rebalance, shape expertmap.Shape) core.Rebalancer {
	return &expertmap.CostBenefitPolicy{
		Shape: shape,
		Cost: expertmap.Cost{
			ExpertBytes:         float64(r.ExpertBytes),
			StoreBytesPerSecond: float64(r.StoreBytesPerSecond),
			LoadSlowdown:        r.LoadSlowdown,
			SwitchDelay:         r.SwitchDelay.AsDuration(),
		},
		MaxMapLifetime:    r.MapLife.AsDuration(),
		SmoothingWeight:   loadSmoothing,
		SmoothingInterval: loadSmoothingInterval,
		ResetThreshold:    loadJump,
		MinGain:           r.MinGain,
	}
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// start keeps a session to every other rank: each rank dials the lower ones,
// so that there is one session for each pair.
func (t *groupTask) start(node *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	for _, address := range t.cfg.RankAddresses[:t.cfg.Rank] {
		node.KeepConnected(address)
	}
	go t.group.Run(ctx)
	go t.leave.run(ctx)
}

// stop ends the group's task before the sessions that it uses.
func (t *groupTask) stop() {
	if t.cancel == nil {
		return
	}
	empty := t.leave.wait(t.drain, t.standsStill)
	s := t.group.Status()
	t.log.Warn("agent leaves its group, which stands still at the horizon until this rank has an agent again",
		zap.String("group", t.cfg.Name), zap.Int("rank", t.cfg.Rank), zap.Int64("step", s.Step), zap.Int64("horizon", s.Horizon),
		zap.Bool("other_ranks_empty", empty))
	t.cancel()
	<-t.group.Done()
	<-t.leave.done
	t.web.CloseIdleConnections()
}

// serve answers the leader when it is an agent of the group.
func (t *groupTask) serve(ctx context.Context, s *peer.Stream) {
	if from := s.Peer(); from.GetRole() != core.RoleAgent || !slices.Contains(t.cfg.RankIDs, from.GetId()) {
		t.log.Warn("refused a group stream of a process that is no rank of the group", zap.String("peer", from.GetId()))
		return
	}
	t.group.ServeStream(ctx, s)
}

// standsStill reports that the engine has run no step for long.
func (t *groupTask) standsStill() bool { return t.group.SinceStep() > stallLimit }

// stalled reports that new work would not end, since the group stands still or
// will when another rank's agent has left.
func (t *groupTask) stalled() bool { return t != nil && (t.standsStill() || t.leave.othersLeave()) }

// control takes a control frame of another rank's agent.
func (t *groupTask) control(from *peer.Session, f *peerpb.Frame) {
	if from.Hello.GetRole() == core.RoleAgent && slices.Contains(t.cfg.RankIDs, from.Hello.GetId()) {
		t.leave.control(from.Hello.GetId(), f)
	}
}

// nodePeers fits a peer.Node to the leave task.
type nodePeers struct{ *peer.Node }

// Reached implements groupPeers.
func (n nodePeers) Reached(id string) bool { return n.Session(id) != nil }
