// Package agent implements the agent role: a process that runs beside one
// backend server and proxies all requests to it. The agent admits and runs
// requests, claims the idempotency keys of requests that must not run twice,
// reports load and crashes to the entries, and shuts down gracefully.
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
	"nutmegnotch/task"
)

// Default values of Config fields.
const (
	defaultReplyBufferBytes = 64 << 10
	defaultStoredReplyBytes = 64 << 20
	defaultStoredReplyTTL   = 6 * time.Hour
	defaultClaimTimeout     = 2 * time.Second
	defaultReportInterval   = 200 * time.Millisecond
)

// Broadcaster sends a control frame to all peers of a role. *peer.Node
// implements it.
type Broadcaster interface {
	Broadcast(role string, f *peerpb.Frame)
}

// Claimer claims idempotency keys at the batcher of the key's partition. It is
// safe for concurrent use.
type Claimer interface {
	// Claim appends a claim to the log and returns the verdict. After an error
	// the claim may or may not have been appended.
	Claim(ctx context.Context, c *peerpb.Claim) (*peerpb.ClaimVerdict, error)
	// Release frees the key of a claim that has not run and never will.
	Release(ctx context.Context, c *peerpb.Claim) error
}

// Config configures an Agent. Hosts, Node, Claimer and Admitter may be nil.
// Without Hosts the agent does not leave when the host list says so. Without
// Node, Attach must be called. Without Claimer, requests that must not run
// twice are refused. Without Admitter, the agent uses an admission.Admitter.
type Config struct {
	Self    *peerpb.Hello
	Service string
	// BackendAddress is the IP address and port of the backend server.
	BackendAddress string
	Source         core.ConfigSource
	Claimer        Claimer
	Hosts          core.HostList
	Node           Broadcaster
	Admitter       core.Admitter
	Log            *zap.Logger
	// GroupStalled reports whether the backend server makes no progress because
	// its group is stalled; nil means never. It must not block.
	GroupStalled func() bool
	// ReplyBufferBytes bounds the bytes buffered per reply for a slow reader.
	ReplyBufferBytes int
	// StoredReplyBytes and StoredReplyTTL bound the stored replies of requests
	// that must not run twice.
	StoredReplyBytes int64
	StoredReplyTTL   time.Duration
	ClaimTimeout     time.Duration
	ReportInterval   time.Duration
}

// Agent implements the agent role.
type Agent struct {
	cfg       Config
	log       *zap.Logger
	engine    *engine.Client
	desk      *desk.Client
	admission *admissionTask
	runs      *runTask
	releases  *releaseTask
	health    *healthTask
	peers     atomic.Pointer[Broadcaster]
	// openStreams counts the request streams that the entries have not closed.
	openStreams    atomic.Int64
	leaveRequested chan struct{}
	done           chan struct{}
}

// New returns an agent that refuses all requests until Run is called.
func New(cfg Config) *Agent {
	cfg = cfg.withDefaults()
	a := &Agent{
		cfg:            cfg,
		log:            cfg.Log.With(zap.String("agent_id", cfg.Self.Id)),
		engine:         engine.New(cfg.BackendAddress),
		desk:           desk.New(cfg.BackendAddress),
		leaveRequested: make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	a.admission = newAdmissionTask(cfg, time.Now())
	a.runs = newRunTask(cfg.StoredReplyBytes, cfg.StoredReplyTTL)
	a.releases = newReleaseTask(cfg.Claimer, a.log)
	a.health = newHealthTask(a)
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
		c.ReplyBufferBytes = defaultReplyBufferBytes
	}
	if c.StoredReplyBytes <= 0 {
		c.StoredReplyBytes = defaultStoredReplyBytes
	}
	if c.StoredReplyTTL <= 0 {
		c.StoredReplyTTL = defaultStoredReplyTTL
	}
	if c.ClaimTimeout <= 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = defaultReportInterval
	}
	return c
}

// Attach sets the node after New, because the node's own configuration needs
// the agent's handlers. It must be called before the node serves.
func (a *Agent) Attach(p Broadcaster) { a.peers.Store(&p) }

// Handlers returns the handlers of the streams that entries open to the agent.
func (a *Agent) Handlers() map[peerpb.StreamKind]peer.Handler {
	return map[peerpb.StreamKind]peer.Handler{
		peerpb.StreamKind_STREAM_KIND_REQUEST: a.ServeRequest,
		peerpb.StreamKind_STREAM_KIND_LOOKUP:  a.ServeLookup,
	}
}

// Control handles a control frame. A Leaving frame from an entry that names this
// agent tells the agent to leave. Control does not block.
func (a *Agent) Control(from *peer.Session, f *peerpb.Frame) {
	if f.GetLeavingAck().GetIncarnation() == a.cfg.Self.Incarnation {
		a.admission.do(func(s *admissionState) { s.leavingAcks[from.Hello.GetId()] = true })
	}
	l := f.GetLeaving()
	if l != nil && from.Hello.GetRole() == core.RoleEntry && l.Id == a.cfg.Self.Id {
		a.Leave()
	}
}

// SessionUp sends a load report to a newly connected entry, and tells it if the agent
// is leaving. It can be used as peer.Config.OnSessionUp.
func (a *Agent) SessionUp(s *peer.Session) {
	if s.Hello.GetRole() != core.RoleEntry {
		return
	}
	l := a.admission.loadReport(time.Now())
	s.SendControl(loadFrame(l))
	if l.State == string(core.AgentLeaving) {
		s.SendControl(a.leavingFrame())
	}
}

func (a *Agent) leavingFrame() *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Leaving{Leaving: &peerpb.Leaving{
		Id:          a.cfg.Self.Id,
		Incarnation: a.cfg.Self.Incarnation,
	}}}
}

// Leave starts a graceful shutdown: the agent refuses new requests, completes
// the admitted ones and stops. Leave does not block.
func (a *Agent) Leave() {
	select {
	case a.leaveRequested <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when Run has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// loopFailed logs a panic of one of the agent's loops, which is started again.
func (a *Agent) loopFailed(err error) {
	a.log.Error("a loop of the agent failed; starting it again", zap.Error(err))
}

// Run serves requests until ctx is done or Leave is called, then completes the
// admitted requests and returns. The node must keep serving until Run returns.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	a.admission.Start(workCtx)
	a.runs.Start(workCtx)
	loops := []func(context.Context){a.releases.run, a.health.run, a.reportLoad}
	if a.cfg.Hosts != nil {
		loops = append(loops, a.watchHostList)
	}
	for _, loop := range loops {
		wg.Go(func() { task.Keep(workCtx, loop, a.loopFailed) })
	}
	select {
	case <-ctx.Done():
	case <-a.leaveRequested:
	}
	a.shutdown()
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

// service returns the current settings of the agent's service, and false if the
// service is not configured.
func (a *Agent) service() (core.Service, bool) {
	s, ok := a.cfg.Source.Current().Services[a.cfg.Service]
	return s, ok
}
