// Package agent is the role that runs beside one backend server and is the only
// way to reach it. It admits requests, runs them, claims those that must not
// run twice, reports load and crashes, and leaves without cutting off a reply.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/desk"
	"nutmegnotch/io/engine"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Defaults of Config.
const (
	defaultBufferBytes    = 64 << 10
	defaultStoredBytes    = 64 << 20
	defaultStoredAge      = 6 * time.Hour
	defaultClaimTimeout   = 2 * time.Second
	defaultReportInterval = 200 * time.Millisecond
)

// Broadcaster sends control frames to the peers of a role. A peer.Node is one.
type Broadcaster interface {
	Broadcast(role string, f *peerpb.Frame)
}

// Claimer asks the batcher of a key's partition. It is safe for concurrent use.
type Claimer interface {
	// Claim appends a claim and returns the verdict of the log. After an error
	// the claim may or may not have been appended.
	Claim(ctx context.Context, c *peerpb.Claim) (*peerpb.ClaimVerdict, error)
	// Release frees the key of a claim that was not run and never will be.
	Release(ctx context.Context, c *peerpb.Claim) error
}

// Config is what an agent needs. Hosts, Node, Claimer and Admitter may be nil:
// without Hosts no leaving mark is read, without Claimer requests that must not
// run twice are refused.
type Config struct {
	Self    *peerpb.Hello
	Service string
	// BackendAddress is the IP number and port of the backend server.
	BackendAddress string
	Source         core.ConfigSource
	Claimer        Claimer
	Hosts          core.HostList
	Node           Broadcaster
	Admitter       core.Admitter
	Log            *zap.Logger
	// GroupStalled reports that the backend server cannot get on, since its group
	// stands still; nil means never. It must not block.
	GroupStalled func() bool
	// ReplyBufferBytes bounds the reply bytes held for one slow reader.
	ReplyBufferBytes int
	// StoredReplyBytes and StoredAge bound the stored replies of requests that must
	// not run twice.
	StoredReplyBytes int64
	StoredReplyTTL   time.Duration
	ClaimTimeout     time.Duration
	ReportInterval   time.Duration
}

// Agent is the agent role.
type Agent struct {
	cfg       Config
	log       *zap.Logger
	engine    *engine.Client
	desk      *desk.Client
	admission *admissionTask
	runs      *runTask
	releases  *releaseTask
	watcher   *watcherTask
	peers     atomic.Pointer[Broadcaster]
	// open counts the request streams that the entries have not closed.
	open  atomic.Int64
	leave chan struct{}
	done  chan struct{}
}

// New returns an agent that refuses all work until Run.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:    cfg,
		log:    cfg.Log.With(zap.String("agent_id", cfg.Self.Id)),
		engine: engine.New(cfg.BackendAddress),
		desk:   desk.New(cfg.BackendAddress),
		leave:  make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	a.admission = newAdmissionTask(cfg, time.Now())
	a.runs = newRunTask(cfg.StoredReplyBytes, cfg.StoredReplyTTL)
	a.releases = newReleaseTask(cfg.Claimer, a.log)
	a.watcher = newWatcherTask(a)
	if cfg.Node != nil {
		a.Attach(cfg.Node)
	}
	return a
}

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.GroupStalled == nil {
		c.GroupStalled = func() bool { return false }
	}
	if c.ReplyBufferBytes <= 0 {
		c.ReplyBufferBytes = defaultBufferBytes
	}
	if c.StoredReplyBytes <= 0 {
		c.StoredReplyBytes = defaultStoredBytes
	}
	if c.StoredReplyTTL <= 0 {
		c.StoredReplyTTL = defaultStoredAge
	}
	if c.ClaimTimeout <= 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = defaultReportInterval
	}
	return c
}

// Attach sets the node, whose own configuration needs the agent's handlers
// first. Call it before the node serves.
func (a *Agent) Attach(p Broadcaster) { a.peers.Store(&p) }

// Handlers returns the handlers of the streams that entries open.
func (a *Agent) Handlers() map[peerpb.StreamKind]peer.Handler {
	return map[peerpb.StreamKind]peer.Handler{
		peerpb.StreamKind_STREAM_KIND_REQUEST: a.ServeRequest,
		peerpb.StreamKind_STREAM_KIND_LOOKUP:  a.ServeLookup,
	}
}

// Control handles a control frame. A Leaving frame of an entry that names this
// agent is an order to leave. It does not block.
func (a *Agent) Control(from *peer.Session, f *peerpb.Frame) {
	l := f.GetLeaving()
	if l != nil && from.Hello.GetRole() == core.RoleEntry && l.Id == a.cfg.Self.Id {
		a.Leave()
	}
}

// SessionUp sends a load report to a new peer. It fits peer.Config.SessionUp.
func (a *Agent) SessionUp(s *peer.Session) {
	if s.Hello.GetRole() == core.RoleEntry {
		s.Control(loadFrame(a.admission.load(time.Now())))
	}
}

// Leave makes the agent refuse new work, finish what it holds and stop. It does
// not block.
func (a *Agent) Leave() {
	select {
	case a.leave <- struct{}{}:
	default:
	}
}

// Done is closed when Run has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Run serves until the context ends or the agent is told to leave, finishes
// what it holds and returns. The node must go on serving until then.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	a.admission.Start(work)
	a.runs.Start(work)
	wg.Go(func() { a.releases.run(work) })
	wg.Go(func() { a.watcher.run(work) })
	wg.Go(func() { a.report(work) })
	if a.cfg.Hosts != nil {
		wg.Go(func() { a.watchHosts(work) })
	}
	select {
	case <-ctx.Done():
	case <-a.leave:
	}
	a.finish()
	cancel()
	wg.Wait()
	<-a.admission.Done()
	<-a.runs.Done()
	a.engine.Close()
	a.desk.Close()
	return nil
}

func (a *Agent) broadcast(f *peerpb.Frame) {
	if p := a.peers.Load(); p != nil {
		(*p).Broadcast(core.RoleEntry, f)
	}
}

// service returns the settings of the agent's service.
func (a *Agent) service() (core.Service, bool) {
	s, ok := a.cfg.Source.Current().Services[a.cfg.Service]
	return s, ok
}
