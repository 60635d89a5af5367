// Package gateway implements the gateway process, which accepts callers' requests
// and forwards them directly to backend servers. The gateway's task owns the
// view of the deployment and the state of the requests in progress.
package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/enginestate"
	"nutmegnotch/core/retry"
	"nutmegnotch/core/shutdown"
	"nutmegnotch/io/backend"
	"nutmegnotch/io/membuf"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

const (
	// tickInterval is the interval at which queued requests, expired records of
	// servers and unresponsive servers are checked.
	tickInterval = 20 * time.Millisecond
	// maxIdleConnsPerServer limits the idle connections to one backend server.
	maxIdleConnsPerServer = 16
	// readyHeaderTimeout limits the time for reading the head of a health check.
	readyHeaderTimeout = 20 * time.Second
)

// Config configures a Gateway.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Deployment    string
	// CallerAddress, ReadyAddress and PeerAddress are the addresses to listen on
	// for callers, health checks and other processes of nutmegnotch.
	CallerAddress, ReadyAddress, PeerAddress string
	// ServersInterval is the interval at which the list of backend servers is
	// read from the store.
	ServersInterval time.Duration
	// ForgetAfter is the time without a heartbeat after which another gateway is
	// forgotten; 0 means one minute.
	ForgetAfter time.Duration
	Reloadable  ReloadableConfig
	// BodyMemoryBytes limits the total size of the request bodies in memory.
	BodyMemoryBytes int64
	// ReplyMemoryBytes limits the total size of the replies of servers in memory, beyond
	// the first few KiB of each.
	ReplyMemoryBytes int64

	Store   core.KeyedStore
	Decoder core.RecordDecoder
	Headers core.HeaderCodec
	Logger  *zap.Logger
}

// ReloadableConfig holds the settings that Reload can change in a running
// gateway.
type ReloadableConfig struct {
	// Seeds are addresses of other gateways. Some of them may be stale.
	Seeds []string
	// RetryRatio, RetrySlack and RetryWindow define the retry budget that all
	// gateways share: in any window, RetryRatio times the requests plus
	// RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Grace is the longest time from the start of a shutdown to the end of the
	// process.
	Grace time.Duration
}

// configSnapshot is the part of the configuration that request handlers read
// without a call to the task. It is immutable.
type configSnapshot struct {
	deployment *core.Deployment
	routes     *directory.Routes
	timeouts   *directory.Timeouts
}

// Gateway forwards callers' requests to backend servers.
type Gateway struct {
	cfg           Config
	log           *zap.Logger
	node          *peer.Node
	client        *backend.Client
	task          *task.Task
	state         *state
	currentConfig atomic.Pointer[configSnapshot]
	// stopPlan is set when a planned stop begins. aborting is done when it aborts the
	// requests in progress, and abort makes it so. breakingOff and breakOff do the same for
	// requests whose server has begun its reply, a little later.
	stopPlan    atomic.Pointer[shutdown.Plan]
	aborting    context.Context
	abort       context.CancelFunc
	breakingOff context.Context
	breakOff    context.CancelFunc
	ready       atomic.Bool
	// hasCrashes is set while there may be crashes or broken runs, so that requests
	// need no call to the task otherwise.
	hasCrashes atomic.Bool
	// hasLimits is set while a server has a rate limit, for the same reason.
	hasLimits            atomic.Bool
	inFlight             atomic.Int64
	bodyMemory           *membuf.Budget
	replyMemory          *membuf.Budget
	nextID               atomic.Uint64
	refreshServersSignal chan struct{}
	registerSignal       chan struct{}
	watchers             []*topicWatcher
	// era is the latest known era of the store, or noEra.
	era            atomic.Int64
	livenessChecks chan livenessCheck
	// activeGateways is the number of gateways that send heartbeats, with this one.
	activeGateways atomic.Int64
	callerServer   *callerServer
	ownPauses      *ownPauses
	startedAt      time.Time
	cancel         context.CancelFunc
	wg             *conc.WaitGroup
	done           chan struct{}
}

// state is owned by the gateway's task.
type state struct {
	directory   *directory.Directory
	dispatcher  *dispatch.Dispatcher
	reloadable  ReloadableConfig
	retryBudget *retry.WindowBudget
	// budgetStart is when retryBudget began to count.
	budgetStart  time.Time
	waiting      map[uint64]chan dispatch.Decision
	movableSends movableSends
	// unresponsive holds the servers from which requests are moved.
	unresponsive map[string]bool
	callerAges   callerAges
	members      *members
	quarantine   *retry.Quarantine
	brokenRuns   *retry.BrokenRuns
	crashWrites  *crashWrites
	// trials holds the fingerprints of requests and parts of prompts of which one request
	// is being sent.
	trials map[uint64]bool
	// lags tells for each topic, and configLag for the version of the configuration, for
	// how long another gateway has known more. pulledAt is when records of the topic were
	// last pulled.
	lags      [2]directory.Lag
	configLag directory.Lag
	pulledAt  [2]time.Time
	// serversLearnedAt is when the servers were last read from the store, or newer
	// records came from another gateway.
	serversLearnedAt time.Time
	// limitsAt and limitsLoggedAt are when the rate limits of servers were last published
	// and logged.
	limitsAt, limitsLoggedAt time.Time
	// membersSentAt is when the addresses of the gateways were last sent to all.
	membersSentAt time.Time
	engineStates  *enginestate.Relay
	// sentView is the group view last sent to rank agents. It was last compared at
	// groupViewAt, and groupViewDue is set when it may have changed since.
	sentView     *peerpb.GroupView
	groupViewAt  time.Time
	groupViewDue bool
}

// New returns a gateway that serves when Run is called.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:                  cfg,
		bodyMemory:           membuf.NewBudget(cfg.BodyMemoryBytes),
		replyMemory:          membuf.NewBudget(cfg.ReplyMemoryBytes),
		log:                  cfg.Logger,
		task:                 task.New(),
		wg:                   conc.NewWaitGroup(),
		done:                 make(chan struct{}),
		refreshServersSignal: make(chan struct{}, 1),
		registerSignal:       make(chan struct{}, 1),
		livenessChecks:       make(chan livenessCheck, maxQueuedLivenessChecks),
	}
	g.aborting, g.abort = context.WithCancel(context.Background())
	g.breakingOff, g.breakOff = context.WithCancel(context.Background())
	g.era.Store(noEra)
	g.activeGateways.Store(1)
	g.watchers = g.newWatchers()
	g.ownPauses = newOwnPauses(g.woken)
	g.startedAt = time.Now()
	g.client = backend.New(backend.Config{
		MaxIdleConnsPerServer: maxIdleConnsPerServer,
		HeadMemory:            g.replyMemory,
		RequestID:             func(h http.Header) string { return cfg.Headers.Reply(0, h).RequestID },
	})
	g.state = &state{
		directory:    directory.New(cfg.Decoder),
		dispatcher:   dispatch.New(cfg.FailureDomain, xxhash.Sum64String(cfg.Incarnation)),
		reloadable:   cfg.Reloadable,
		retryBudget:  newRetryBudget(cfg.Reloadable),
		budgetStart:  time.Now(),
		waiting:      map[uint64]chan dispatch.Decision{},
		movableSends: movableSends{},
		unresponsive: map[string]bool{},
		callerAges:   callerAges{},
		members:      newMembers(cfg.PeerAddress, cfg.Reloadable.Seeds, cfg.ForgetAfter),
		quarantine:   retry.NewQuarantine(),
		brokenRuns:   retry.NewBrokenRuns(),
		crashWrites:  newCrashWrites(),
		trials:       map[uint64]bool{},

		engineStates: enginestate.New(),
	}
	g.node = peer.New(peer.Config{
		Self: &peerpb.Hello{
			Id:            cfg.ID,
			Role:          core.RoleGateway,
			Incarnation:   cfg.Incarnation,
			Address:       cfg.PeerAddress,
			FailureDomain: cfg.FailureDomain,
			Region:        cfg.Region,
			Deployment:    cfg.Deployment,
		},
		OneSession:    true,
		OnControl:     g.control,
		OnSessionUp:   g.peerUp,
		OnSessionDown: g.peerDown,
		Log:           cfg.Logger,
	})
	return g
}

// Reload applies changed settings. Addresses that are no longer seeds stay known while
// they are heard.
func (g *Gateway) Reload(cfg ReloadableConfig) {
	g.task.Do(func() {
		s := g.state
		old := s.reloadable
		s.reloadable = cfg
		if cfg.RetryWindow != old.RetryWindow {
			s.retryBudget, s.budgetStart = newRetryBudget(cfg), time.Now()
		}
		for _, a := range cfg.Seeds {
			g.addMember(a)
		}
		s.members.setSeeds(cfg.Seeds, time.Now())
	})
	g.log.Info("settings reloaded", zap.Strings("seeds", cfg.Seeds), zap.Float64("retry_ratio", cfg.RetryRatio),
		zap.Float64("retry_slack", cfg.RetrySlack), zap.Duration("grace", cfg.Grace))
}

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Run serves until ctx is done. It then drains: it returns when the requests in
// progress have finished or the grace period is over.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	listeners, err := listenAll(g.cfg.CallerAddress, g.cfg.ReadyAddress, g.cfg.PeerAddress)
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	defer cancel()
	g.task.Start(run)
	g.callerServer = newCallerServer(g, listeners[0].Addr(), g.log)
	health := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: readyHeaderTimeout}
	g.wg.Go(func() { g.callerServer.serve(listeners[0]) })
	g.wg.Go(func() { g.serve(health, listeners[1]) })
	g.wg.Go(func() {
		if err := g.node.Serve(listeners[2]); err != nil {
			g.log.Error("peer listener failed", zap.Error(err))
		}
	})
	g.ownPauses.tick()
	g.dialSeeds()
	loops := []func(context.Context){g.registerMember, g.forgetMembers, g.tick, g.sendHeartbeats, g.checkLiveness, g.syncCrashRecords, g.saveCrashes}
	for _, w := range g.watchers {
		loops = append(loops, w.run)
	}
	for _, loop := range loops {
		g.wg.Go(func() { task.Keep(run, loop, g.loopFailed) })
	}
	g.log.Info("gateway started", zap.String("id", g.cfg.ID), zap.String("incarnation", g.cfg.Incarnation),
		zap.String("caller_address", g.cfg.CallerAddress))
	<-ctx.Done()
	left := g.drain()
	g.callerServer.close(listeners[0], left)
	health.Close()
	cancel()
	g.node.Stop()
	g.wg.Wait()
	g.client.Close()
	g.log.Info("gateway stopped")
	return nil
}

func listenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range out {
				open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		out = append(out, l)
	}
	return out, nil
}

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		g.log.Error("HTTP server failed", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// loopFailed logs a panic of one of the gateway's loops, which is started again.
func (g *Gateway) loopFailed(err error) {
	failures.Add("loops", 1)
	g.log.Error("a loop of the gateway failed; starting it again", zap.Error(err))
}

// serveReady answers the health checks of the load balancer in front of the
// gateways.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping() || !g.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tick periodically removes expired servers, moves requests from unresponsive
// servers and dispatches queued requests.
func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.ownPauses.tick()
			g.task.Do(func() {
				if g.state.directory.Expire(now) == directory.ChangeServers {
					g.serversChanged(now)
				}
				g.checkReady(now)
				g.passOnEngineStates(now)
				g.broadcastGroupView(now)
				g.detectUnresponsive(now)
				g.expireBrokenRuns(now)
				g.checkLimits(now)
				g.hasCrashes.Store(g.state.brokenRuns.Len() > 0 || g.state.quarantine.HasCrashes())
				g.dispatchWaiting(now)
			})
		}
	}
}

// dispatchWaiting assigns servers to requests at unresponsive servers and to waiting ones.
// It runs in the task.
func (g *Gateway) dispatchWaiting(now time.Time) {
	g.moveRequests(now)
	if g.state.dispatcher.Waiting() > 0 {
		g.deliver(g.state.dispatcher.DispatchWaiting(now))
		g.askPermits(now)
	}
}

// deliver passes decisions to the requests that wait for them. It runs in the task.
func (g *Gateway) deliver(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if ch := g.state.waiting[d.RequestID]; ch != nil {
			delete(g.state.waiting, d.RequestID)
			ch <- d
		}
	}
}
