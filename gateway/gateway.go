// Package gateway takes callers' requests and sends them straight to backend
// servers. Its tasks own what the process believes of the deployment and the
// work that it has in progress.
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
	"nutmegnotch/core/retry"
	"nutmegnotch/io/backend"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Times and sizes of the gateway.
const (
	// tickInterval is the time between two looks at waiting requests.
	tickInterval = 20 * time.Millisecond
	// maxIdleConnsPerServer bounds the idle connections to one backend server.
	maxIdleConnsPerServer = 16
)

// Config is what a Gateway needs.
type Config struct {
	ID            string
	Incarnation   string
	FailureDomain string
	Region        string
	Deployment    string
	// CallerAddress, ReadyAddress and PeerAddress are listened on.
	CallerAddress, ReadyAddress, PeerAddress string
	// ServersInterval is the time between two reads of the backend servers.
	ServersInterval time.Duration
	Reloadable      ReloadableConfig
	// BodyMemoryBytes bounds the request bodies held at once, in bytes.
	BodyMemoryBytes int64

	Store   core.KeyedStore
	Decoder core.RecordDecoder
	Headers core.HeaderCodec
	Logger  *zap.Logger
}

// ReloadableConfig holds the settings that a running gateway takes over.
type ReloadableConfig struct {
	// Seeds are addresses of other gateways, which may be stale.
	Seeds []string
	// RetryRatio, RetrySlack and RetryWindow are the budget of repeats that all
	// gateways share.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Grace is the time from a stop to the end of the process.
	Grace time.Duration
}

// configSnapshot is what handlers read without asking the task.
type configSnapshot struct {
	deployment *core.Deployment
	routes     *directory.Routes
}

// Gateway is one process in front of the backend servers.
type Gateway struct {
	cfg      Config
	log      *zap.Logger
	node     *peer.Node
	client   *backend.Client
	task     *task.Task
	state    *state
	snapshot atomic.Pointer[configSnapshot]
	// draining is set when a stop was asked for, rejecting when new requests are
	// rejected.
	draining, rejecting  atomic.Bool
	ready                atomic.Bool
	inFlight             atomic.Int64
	bodyBytes            atomic.Int64
	nextID               atomic.Uint64
	refreshServersSignal chan struct{}
	callerServer         *callerServer
	cancel               context.CancelFunc
	wg                   *conc.WaitGroup
	done                 chan struct{}
}

// state is owned by the gateway's task.
type state struct {
	directory   *directory.Directory
	dispatcher  *dispatch.Dispatcher
	reloadable  ReloadableConfig
	retryBudget *retry.WindowBudget
	waiting     map[uint64]chan dispatch.Verdict
	sendCancels sendCancels
	callerAges  callerAges
	members     *members
	quarantine  *quarantine
	// behindSince is since when another gateway knows more of a topic.
	behindSince [2]time.Time
	sentView    *peerpb.GroupView
}

// New returns a gateway that is not running.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:                  cfg,
		log:                  cfg.Logger,
		task:                 task.New(),
		wg:                   conc.NewWaitGroup(),
		done:                 make(chan struct{}),
		refreshServersSignal: make(chan struct{}, 1),
	}
	g.client = backend.New(backend.Config{
		MaxIdle:   maxIdleConnsPerServer,
		RequestID: func(h http.Header) string { return cfg.Headers.Reply(0, h).RequestID },
	})
	g.state = &state{
		directory:   directory.New(cfg.Decoder),
		dispatcher:  dispatch.New(cfg.FailureDomain, xxhash.Sum64String(cfg.Incarnation)),
		reloadable:  cfg.Reloadable,
		retryBudget: newRetryBudget(cfg.Reloadable, 1),
		waiting:     map[uint64]chan dispatch.Verdict{},
		sendCancels: sendCancels{},
		callerAges:  callerAges{},
		members:     newMembers(cfg.PeerAddress, cfg.Reloadable.Seeds),
		quarantine:  newQuarantine(),
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
		Control: g.control,
		Up:      g.peerUp,
		Down:    g.peerDown,
		Log:     cfg.Logger,
	})
	return g
}

func newRetryBudget(t ReloadableConfig, gateways int) *retry.WindowBudget {
	return retry.NewWindowBudget(t.RetryRatio*retryBudgetShare, t.RetrySlack*retryBudgetShare/float64(gateways), t.RetryWindow)
}

// Reload takes over changed settings.
func (g *Gateway) Reload(t ReloadableConfig) {
	g.task.Do(func() {
		s := g.state
		old := s.reloadable
		s.reloadable = t
		if t.RetryRatio != old.RetryRatio || t.RetrySlack != old.RetrySlack || t.RetryWindow != old.RetryWindow {
			s.retryBudget = newRetryBudget(t, s.members.countLive(time.Now()))
		}
		for _, a := range t.Seeds {
			g.addMember(a)
		}
	})
	g.log.Info("settings reloaded", zap.Strings("seeds", t.Seeds), zap.Float64("retry_ratio", t.RetryRatio),
		zap.Float64("retry_slack", t.RetrySlack), zap.Duration("grace", t.Grace))
}

// Done is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Run serves until ctx ends, and then until what was taken is finished or the
// grace is over.
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
	health := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	g.wg.Go(func() { g.callerServer.serve(listeners[0]) })
	g.wg.Go(func() { g.serve(health, listeners[1]) })
	g.wg.Go(func() {
		if err := g.node.Serve(listeners[2]); err != nil {
			g.log.Error("serving peers ended", zap.Error(err))
		}
	})
	for _, loop := range []func(context.Context){g.watchOperator, g.watchServers, g.watchMembers, g.tick, g.sendHeartbeats} {
		g.wg.Go(func() { loop(run) })
	}
	g.log.Info("gateway started", zap.String("id", g.cfg.ID), zap.String("incarnation", g.cfg.Incarnation),
		zap.String("caller_address", g.cfg.CallerAddress))
	<-ctx.Done()
	g.drain()
	g.callerServer.close(listeners[0])
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
		g.log.Error("serving ended", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// serveReady answers the balancer's health checks.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || !g.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tick looks at waiting requests and lapsed servers at an interval.
func (g *Gateway) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.task.Do(func() {
				if g.state.directory.Expire(now) == directory.ChangeServers {
					g.serversChanged(now)
				}
				g.cancelUnresponsiveSends(now)
				if g.state.dispatcher.Waiting() > 0 {
					g.deliver(g.state.dispatcher.DispatchWaiting(now))
				}
			})
		}
	}
}

// deliver hands verdicts to the requests that wait for them.
func (g *Gateway) deliver(list []dispatch.Verdict) {
	for _, v := range list {
		if ch := g.state.waiting[v.RequestID]; ch != nil {
			delete(g.state.waiting, v.RequestID)
			ch <- v
		}
	}
}
