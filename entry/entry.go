// Package entry implements the entry role: a process that accepts requests from
// callers, chooses an agent for each request and relays the reply. Shared state
// is owned by tasks, each of which serializes access to its part.
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
	"nutmegnotch/task"
)

// Default values of Config fields.
const (
	DefaultReplyMemoryBytes = 256 << 20
	DefaultDrainDelay       = 2 * time.Second
	DefaultReplyIdleTimeout = 30 * time.Second
	DefaultHostListInterval = 500 * time.Millisecond
)

const (
	headerTimeout     = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	defaultRetryAfter = time.Second
	// callerSendBufferBytes bounds the kernel's send buffer of a connection, which
	// holds reply bytes beyond the reservation. Without it, Linux grows the buffer
	// of a slow caller up to tcp_wmem.
	callerSendBufferBytes = 32 << 10
)

// Limiter enforces the contract limits of organisations over all entries.
type Limiter interface {
	// Acquire takes the rate credit and one concurrency slot for the request.
	// If it returns true, release returns the slot and must be called exactly
	// once. Otherwise the refusal is the answer to the caller.
	Acquire(ctx context.Context, c core.Contract, r core.Request) (release func(), refusal core.Refusal, ok bool)
}

// Reporter counts admissions and outcomes per organisation. Its methods must not
// block.
type Reporter interface {
	Admitted(a report.Admission)
	Ended(o report.Outcome)
}

// Config configures an Entry. Source, Hosts, Limiter and Self are required, as is
// Listener or Address. Zero values of other fields are replaced by defaults
// unless stated otherwise.
type Config struct {
	Self *peerpb.Hello
	// Listener accepts callers. If it is nil, the entry listens on Address.
	Listener net.Listener
	Address  string
	Source   core.ConfigSource
	Hosts    core.HostList
	Limiter  Limiter

	Router     core.Router
	Retrier    core.Retrier
	Quarantine core.Quarantine
	Budget     core.ReplyBudget

	// ReplyMemoryBytes bounds the memory reserved for replies and uploads.
	ReplyMemoryBytes int64
	SubsetSize       int
	DrainDelay       time.Duration
	// StopTimeout bounds how long a shutdown waits for running replies; 0 means
	// no limit, so that slow readers get their whole reply.
	StopTimeout   time.Duration
	UploadTimeout time.Duration
	// ClaimWindow is the time for which idempotency keys are remembered.
	ClaimWindow  time.Duration
	StallTimeout time.Duration
	// ReplyIdleTimeout bounds the time between two frames of a reply while the
	// agent has credit to send.
	ReplyIdleTimeout time.Duration
	HostListInterval time.Duration
	Seed             uint64
	// Reports may be nil.
	Reports Reporter
	Log     *zap.Logger
}

// withDefaults returns a copy of c with defaults for zero values.
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

// Entry implements the entry role.
type Entry struct {
	cfg             Config
	log             *zap.Logger
	front           *caller.Frontend
	node            *peer.Node
	views           *views
	replyMemory     *replyMemory
	attemptPolicy   *attemptPolicy
	metrics         *metrics
	cancel          context.CancelFunc
	stopping        atomic.Bool
	refusing        atomic.Bool
	runningRequests atomic.Int64
	done            chan struct{}
}

// New returns an entry whose tasks are running. Attach and then Run must be
// called.
func New(cfg Config) (*Entry, error) {
	if cfg.Self.GetId() == "" || cfg.Source == nil || cfg.Hosts == nil || cfg.Limiter == nil {
		return nil, fmt.Errorf("entry needs an id, a configuration, a host list and a limiter: %w", core.ErrInvalid)
	}
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{cfg: cfg, log: cfg.Log, metrics: newMetrics(), cancel: cancel, done: make(chan struct{})}
	e.views = startViews(ctx, cfg, e.metrics)
	e.replyMemory = startReplyMemory(ctx, cfg.Budget, e.metrics)
	e.attemptPolicy = startAttemptPolicy(ctx, cfg.Retrier, cfg.Quarantine, e.metrics)
	var ended func(report.Outcome)
	if cfg.Reports != nil {
		ended = cfg.Reports.Ended
	}
	e.front = caller.New(caller.Config{
		OnOutcome: ended,
		Source:    cfg.Source, Reserve: e.replyMemory.reserveUpload, Serve: e.serve, RefuseAll: e.gate,
		UploadTimeout: cfg.UploadTimeout, ClaimWindow: cfg.ClaimWindow, StallTimeout: cfg.StallTimeout, Log: cfg.Log,
	})
	return e, nil
}

// Attach sets the node that holds the entry's sessions. The node's Control, Up
// and Down callbacks must call the entry's Control, SessionUp and SessionDown.
// Attach must be called before Run.
func (e *Entry) Attach(n *peer.Node) {
	e.node = n
	e.views.attach(n)
	e.attemptPolicy.attach(n)
}

// ServeHTTP serves a caller's request. During a shutdown it asks callers to close
// their connection and reconnect elsewhere, so that few connections are left when
// the listener closes.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.front.ServeHTTP(w, r)
}

// Metrics returns the metrics of the entry for expvar.Publish.
func (e *Entry) Metrics() *expvar.Map { return e.metrics.all }

// Done returns a channel that is closed when Run has ended and all tasks have
// stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

// loopFailed logs a panic of one of the entry's loops, which is started again.
func (e *Entry) loopFailed(err error) {
	e.log.Error("a loop of the entry failed; starting it again", zap.Error(err))
}

// Run serves callers until ctx is done and then shuts down gracefully: the entry
// is not ready during the drain delay, then refuses new requests, and returns when
// all running replies have ended. The node must keep serving until Run returns.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	defer e.stopTasks()
	if e.node == nil {
		return fmt.Errorf("entry has no node, call Attach before Run: %w", core.ErrInvalid)
	}
	l, err := e.listen()
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(e.log), ConnContext: callerConnContext,
	}
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	pollCtx, stopPolls := context.WithCancel(context.Background())
	wg.Go(func() { failed <- srv.Serve(l) })
	for _, loop := range []func(context.Context){e.pollHosts, e.watchConfig} {
		wg.Go(func() { task.Keep(pollCtx, loop, e.loopFailed) })
	}
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

func callerConnContext(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has already failed.
		_ = tcp.SetWriteBuffer(callerSendBufferBytes)
	}
	return caller.ConnContext(ctx, c)
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

// shutdown stops the entry gracefully (design 4.9). It tells the peers, stays open
// for the drain delay while load balancers notice that the entry is not ready, then
// refuses new requests and waits for running replies.
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
		return fmt.Errorf("shut down with running replies: %w", err)
	}
	return nil
}

func (e *Entry) stopTasks() {
	e.cancel()
	<-e.views.Done()
	<-e.replyMemory.Done()
	<-e.attemptPolicy.Done()
}

// gate refuses new requests after the drain delay of a shutdown.
func (e *Entry) gate() (core.Refusal, bool) {
	if !e.refusing.Load() {
		return core.Refusal{}, false
	}
	return core.Refusal{Code: core.CodeLeaving, NotRun: true, RetryAfter: defaultRetryAfter, Message: "this entry is stopping"}, true
}
