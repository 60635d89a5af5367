// Package entry is the role of an entry host: it takes requests from callers,
// chooses an agent for each and passes the reply on. Each task owns one piece
// of state; requests reach it by messages.
package entry

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
	"nutmegnotch/core/report"
	"nutmegnotch/core/retry"
	"nutmegnotch/core/routing"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Defaults of Config.
const (
	DefaultReplyMemoryBytes = 256 << 20
	DefaultDrainDelay       = 2 * time.Second
	DefaultReplyIdleTimeout = 30 * time.Second
	DefaultHostListInterval = 500 * time.Millisecond
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	retryOther     = time.Second
	// callerSendBuffer bounds what the kernel holds for one slow caller beside
	// the reservation. Without it Linux may grow the buffer up to its tcp_wmem.
	callerSendBuffer = 32 << 10
)

// Limiter holds the contract limits of organisations over all entries.
type Limiter interface {
	// Acquire takes the rate credit and one concurrency slot for the request.
	// When it returns true, release gives the slot back and must be called once.
	// Otherwise the refusal is the answer to the caller.
	Acquire(ctx context.Context, c core.Contract, r core.Request) (release func(), refusal core.Refusal, ok bool)
}

// Reporter counts what organisations get. Its methods must not block.
type Reporter interface {
	Admitted(a report.Admission)
	Ended(o report.Outcome)
}

// Config is what an Entry needs. Source, Hosts, Limiter and Self are required;
// zero values of the others get defaults.
type Config struct {
	Self *peerpb.Hello
	// Listener takes callers; without one, Address is listened on.
	Listener net.Listener
	Address  string
	Source   core.ConfigSource
	Hosts    core.HostList
	Limiter  Limiter

	Router     core.Router
	Retrier    core.Retrier
	Quarantine core.Quarantine
	Budget     core.ReplyBudget

	// ReplyMemoryBytes bounds the memory held for callers.
	ReplyMemoryBytes int64
	SubsetSize       int
	DrainDelay       time.Duration
	// StopTimeout bounds the end of running replies during a stop; 0 means that
	// they end at the speed of their readers.
	StopTimeout   time.Duration
	UploadTimeout time.Duration
	// ClaimWindow is the time for which idempotency keys are remembered.
	ClaimWindow  time.Duration
	StallTimeout time.Duration
	// ReplyIdleTimeout bounds the time without a frame from an agent that may send.
	ReplyIdleTimeout time.Duration
	HostListInterval time.Duration
	Seed             uint64
	// Reports may be nil.
	Reports Reporter
	Log     *zap.Logger
}

// withDefaults fills the zero values.
func (c Config) withDefaults() Config {
	if c.ReplyMemoryBytes <= 0 {
		c.ReplyMemoryBytes = DefaultReplyMemoryBytes
	}
	if c.SubsetSize <= 0 {
		c.SubsetSize = routing.DefaultSubsetSize
	}
	if c.DrainDelay <= 0 {
		c.DrainDelay = DefaultDrainDelay
	}
	if c.ReplyIdleTimeout <= 0 {
		c.ReplyIdleTimeout = DefaultReplyIdleTimeout
	}
	if c.HostListInterval <= 0 {
		c.HostListInterval = DefaultHostListInterval
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c.withPolicies()
}

func (c Config) withPolicies() Config {
	if c.Router == nil {
		c.Router = routing.New(c.Self.GetFailureDomain(), c.Seed)
	}
	if c.Retrier == nil {
		c.Retrier = retry.NewBudget()
	}
	if c.Quarantine == nil {
		c.Quarantine = retry.NewQuarantine()
	}
	if c.Budget == nil {
		c.Budget = reply.NewBudget(c.ReplyMemoryBytes)
	}
	return c
}

// Entry is one running entry.
type Entry struct {
	cfg      Config
	log      *zap.Logger
	front    *caller.Front
	node     *peer.Node
	views    *views
	memory   *memory
	suspects *suspects
	metrics  *metrics
	cancel   context.CancelFunc
	stopping atomic.Bool
	refusing atomic.Bool
	running  atomic.Int64
	done     chan struct{}
}

// New starts the tasks of an entry. Attach and Run follow.
func New(cfg Config) (*Entry, error) {
	if cfg.Self.GetId() == "" || cfg.Source == nil || cfg.Hosts == nil || cfg.Limiter == nil {
		return nil, fmt.Errorf("entry needs an id, a configuration, a host list and a limiter: %w", core.ErrInvalid)
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{cfg: cfg, log: cfg.Log, metrics: newMetrics(), cancel: cancel, done: make(chan struct{})}
	e.views = startViews(ctx, cfg, e.metrics)
	e.memory = startMemory(ctx, cfg.Budget, e.metrics)
	e.suspects = startSuspects(ctx, cfg.Retrier, cfg.Quarantine, e.metrics)
	var ended func(report.Outcome)
	if cfg.Reports != nil {
		ended = cfg.Reports.Ended
	}
	e.front = caller.New(caller.Config{
		Ended:  ended,
		Source: cfg.Source, Reserve: e.memory.reserveUpload, Serve: e.serve, Gate: e.gate,
		UploadTimeout: cfg.UploadTimeout, ClaimWindow: cfg.ClaimWindow, StallTimeout: cfg.StallTimeout, Log: cfg.Log,
	})
	return e, nil
}

// Attach gives the entry its sessions. The node's Control, Up and Down call the
// methods of the same names. It must precede Run.
func (e *Entry) Attach(n *peer.Node) {
	e.node = n
	e.views.attach(n)
	e.suspects.attach(n)
}

// ServeHTTP answers a caller. During a stop it asks callers to reconnect
// elsewhere, so that few connections are left when the listener closes.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.front.ServeHTTP(w, r)
}

// Metrics returns the metrics of the entry, for expvar.Publish.
func (e *Entry) Metrics() *expvar.Map { return e.metrics.all }

// Done is closed when Run has returned and all tasks have ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Run serves callers until ctx ends, and then stops gracefully: not ready for
// the drain delay, then refusing new requests, until all running replies have
// ended. The node must stay up until it returns.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	defer e.stopTasks()
	if e.node == nil {
		return fmt.Errorf("entry has no sessions, Attach must precede Run: %w", core.ErrInvalid)
	}
	l, err := e.listen()
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(e.log), ConnContext: boundSendBuffer,
	}
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	pollCtx, stopPolls := context.WithCancel(context.Background())
	wg.Go(func() { failed <- srv.Serve(l) })
	wg.Go(func() { e.pollHosts(pollCtx) })
	wg.Go(func() { e.followConfig(pollCtx) })
	select {
	case <-ctx.Done():
		err = e.shutdown(srv)
	case err = <-failed:
		err = fmt.Errorf("serve callers: %w", err)
	}
	stopPolls()
	srv.Close()
	wg.Wait()
	return err
}

func boundSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that has failed meanwhile needs no bound.
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	return ctx
}

func (e *Entry) listen() (net.Listener, error) {
	if e.cfg.Listener != nil {
		return e.cfg.Listener, nil
	}
	l, err := net.Listen("tcp", e.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return l, nil
}

// shutdown is the graceful stop of design 4.9.
func (e *Entry) shutdown(srv *http.Server) error {
	e.stopping.Store(true)
	e.node.Broadcast("", &peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{
		Id: e.cfg.Self.GetId(), Incarnation: e.cfg.Self.GetIncarnation(),
	}}})
	time.Sleep(e.cfg.DrainDelay)
	e.refusing.Store(true)
	ctx := context.Background()
	if e.cfg.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.cfg.StopTimeout)
		defer cancel()
	}
	if err := srv.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop with running replies: %w", err)
	}
	return nil
}

func (e *Entry) stopTasks() {
	e.cancel()
	<-e.views.Done()
	<-e.memory.Done()
	<-e.suspects.Done()
}

// gate refuses new requests at the end of a stop.
func (e *Entry) gate() (core.Refusal, bool) {
	if !e.refusing.Load() {
		return core.Refusal{}, false
	}
	return core.Refusal{Code: core.CodeLeaving, NotRun: true, RetryAfter: retryOther, Message: "this entry is stopping"}, true
}
