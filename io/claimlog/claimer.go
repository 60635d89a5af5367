package claimlog

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// maxEntryAttempts is the number of entries that are tried for one verdict.
const maxEntryAttempts = 2

// Opener opens streams to peers. *peer.Node implements it.
type Opener interface {
	Open(id string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error)
}

// ClaimerConfig configures a Claimer.
type ClaimerConfig struct {
	// Self is the Hello that the agent sends on its sessions.
	Self       *peerpb.Hello
	Peers      Opener
	Config     core.ConfigSource
	Partitions int
	Window     time.Duration
	// AttemptTimeout bounds one attempt at one entry. Zero means 4 s, which is a
	// little more than the default VerdictTimeout of a batcher.
	AttemptTimeout time.Duration
	Logger         *zap.Logger
}

// Claimer requests the verdicts of the claims of one agent, and releases the claims
// that the agent has abandoned. It is safe for concurrent use.
type Claimer struct {
	cfg           ClaimerConfig
	ctx           context.Context
	cancel        context.CancelFunc
	abandon       chan *peerpb.Claim
	countRequests chan chan int
	done          chan struct{}
	wg            *conc.WaitGroup
}

// NewClaimer starts a claimer.
func NewClaimer(cfg ClaimerConfig) *Claimer {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = defaultVerdictTimeout + time.Second
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		cfg:           cfg,
		ctx:           ctx,
		cancel:        cancel,
		abandon:       make(chan *peerpb.Claim),
		countRequests: make(chan chan int),
		done:          make(chan struct{}),
		wg:            conc.NewWaitGroup(),
	}
	go c.run()
	return c
}

// Done returns a channel that is closed when the claimer has stopped.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// Stop ends the claimer. Releases that were not appended are lost; their keys stay
// claimed until the window has passed.
func (c *Claimer) Stop() {
	c.cancel()
	<-c.done
}

// NewClaim returns a claim with a new id for a key. requestHash has at least
// claim.HashBytes bytes.
func (c *Claimer) NewClaim(organisation, service, key string, requestHash []byte, deadline time.Time) *peerpb.Claim {
	h := claim.KeyHash(organisation, service, key)
	return &peerpb.Claim{
		ClaimId:          uuid.NewString(),
		KeyHash:          h[:],
		RequestHash:      requestHash,
		AgentId:          c.cfg.Self.GetId(),
		AgentIncarnation: c.cfg.Self.GetIncarnation(),
		AgentAddress:     c.cfg.Self.GetAddress(),
		DeadlineUnixMs:   deadline.UnixMilli(),
	}
}

// Claim returns the verdict of a claim. Only the result WON permits the caller to
// run the request, and only once. After any other result the request of the claim
// must never run. If an attempt had an unknown result and no other won, Claim has
// already abandoned the claim.
func (c *Claimer) Claim(ctx context.Context, cl *peerpb.Claim) *peerpb.ClaimVerdict {
	n, err := c.partitionOf(cl)
	if err != nil {
		c.cfg.Logger.Warn("claim is malformed", zap.Error(err))
		return newVerdict(cl.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	f := &peerpb.Frame{Body: &peerpb.Frame_ClaimRequest{ClaimRequest: &peerpb.ClaimRequest{Partition: n, Claim: cl}}}
	unknown := false
	v := newVerdict(cl.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	for _, e := range claim.Batchers(int(n), c.cfg.Config.Current().EntrySet, maxEntryAttempts) {
		v = c.requestVerdict(ctx, e.ID, cl.GetClaimId(), f)
		switch v.GetResult() {
		case peerpb.ClaimVerdict_RESULT_NOT_APPENDED:
			continue
		case peerpb.ClaimVerdict_RESULT_UNKNOWN:
			unknown = true
			continue
		}
		break
	}
	if v.GetResult() == peerpb.ClaimVerdict_RESULT_WON || !unknown {
		return v
	}
	c.Abandon(cl)
	if v.GetResult() == peerpb.ClaimVerdict_RESULT_NOT_APPENDED {
		return newVerdict(cl.GetClaimId(), peerpb.ClaimVerdict_RESULT_UNKNOWN)
	}
	return v
}

// partitionOf returns the partition of a claim, or an error if it is malformed.
func (c *Claimer) partitionOf(cl *peerpb.Claim) (int32, error) {
	op, err := claimOp(cl)
	if err != nil {
		return 0, err
	}
	return int32(claim.Partition(op.KeyHash, c.cfg.Partitions)), nil
}

// requestVerdict sends one frame to an entry and waits for the verdict.
func (c *Claimer) requestVerdict(ctx context.Context, entry, id string, f *peerpb.Frame) *peerpb.ClaimVerdict {
	unknown := newVerdict(id, peerpb.ClaimVerdict_RESULT_UNKNOWN)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	s, err := c.cfg.Peers.Open(entry, peerpb.StreamKind_STREAM_KIND_CLAIM, id)
	if err != nil {
		// The claim itself is sent only after the stream is open.
		if !errors.Is(err, core.ErrNotFound) {
			c.cfg.Logger.Debug("could not open claim stream", zap.String("entry", entry), zap.Error(err))
		}
		return newVerdict(id, peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := s.Send(f); err != nil {
		return unknown
	}
	for {
		reply, err := s.Receive()
		if err != nil {
			return unknown
		}
		if v := reply.GetClaimVerdict(); v.GetClaimId() == id {
			return v
		}
	}
}
