// Package credit owns the contract shares of an entry: it spends them for the
// request pipeline, borrows from home entries and lends to other entries.
package credit

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of the credit task.
const (
	tickInterval = 100 * time.Millisecond
	// askTimeout bounds all questions to homes for one request.
	askTimeout = 100 * time.Millisecond
	// slotRetryAfter is told to callers that find all slots in use. When a
	// running request will end is not known.
	slotRetryAfter  = 500 * time.Millisecond
	staleRetryAfter = time.Second
)

// Opener opens streams to peers, as peer.Node does.
type Opener interface {
	Open(id string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error)
}

// Config is what Credit needs.
type Config struct {
	// Self is the id of this entry in the entry set.
	Self   string
	Peers  Opener
	Config core.ConfigSource
	Logger *zap.Logger
}

// Limiter is the task that owns the shares of an entry. It is safe for
// concurrent use.
type Limiter struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	ops    chan func(*state)
	done   chan struct{}
	wg     *conc.WaitGroup
}

// state is what the task owns. waiters holds a channel for each request to a
// home whose answer a caller waits for.
type state struct {
	pool    *share.Pool
	links   map[string]*link
	waiters map[uint64]chan struct{}
	// failed holds the time at which the last stream to a home failed.
	failed map[string]time.Time
	// setVersion is the version of the newest entry set that the pool has seen.
	setVersion int64
	// sent counts the requests to homes.
	sent int64
}

// New starts the task.
func New(cfg Config) *Limiter {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Limiter{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		ops:    make(chan func(*state)),
		done:   make(chan struct{}),
		wg:     conc.NewWaitGroup(),
	}
	go c.run()
	return c
}

// Done is closed when the task has stopped.
func (c *Limiter) Done() <-chan struct{} { return c.done }

// Stop ends the task and its streams.
func (c *Limiter) Stop() {
	c.cancel()
	<-c.done
}

func (c *Limiter) run() {
	defer close(c.done)
	defer c.wg.Wait()
	now := time.Now()
	s := &state{
		pool:    share.New(c.cfg.Self, uint64(now.UnixNano()), now),
		links:   map[string]*link{},
		waiters: map[uint64]chan struct{}{},
		failed:  map[string]time.Time{},
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	changed := c.cfg.Config.Changed()
	c.adopt(s)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
			changed = c.cfg.Config.Changed()
			c.adopt(s)
		case op := <-c.ops:
			op(s)
		case <-tick.C:
			// The tick's own time may be older than that of the last operation.
			now := time.Now()
			for _, a := range s.pool.Tick(now) {
				c.send(s, a)
			}
			s.closeIdleLinks(now)
		}
	}
}

// adopt hands the pool each entry set since the last one that it has seen. When
// some are no longer known, a set without entries stands for them.
func (c *Limiter) adopt(s *state) {
	cfg := c.cfg.Config.Current()
	now := time.Now()
	version := cfg.Versions[core.ObjectEntrySet]
	if past := cfg.PastEntrySets; len(past) > 0 && version != s.setVersion {
		if past[0].Version > s.setVersion {
			s.pool.Update(cfg.Contracts, core.EntrySet{}, now)
		}
		for _, v := range past {
			if v.Version > s.setVersion {
				s.pool.Update(cfg.Contracts, v.Set, now)
			}
		}
	}
	s.setVersion = version
	s.pool.Update(cfg.Contracts, cfg.EntrySet, now)
}

// do runs op in the task. It reports false when the task has stopped.
func (c *Limiter) do(op func(*state)) bool {
	ran := make(chan struct{})
	select {
	case c.ops <- func(s *state) { op(s); close(ran) }:
		<-ran
		return true
	case <-c.ctx.Done():
		return false
	}
}

// Acquire takes a slot and the amount from the contract of an organisation.
// The request may run when ok is true; release gives the slot back and must be
// called once, when the request has ended. Otherwise the refusal is final.
func (c *Limiter) Acquire(ctx context.Context, organisation string, amount core.CreditAmount) (release func(), refusal core.Refusal, ok bool) {
	if !c.cfg.Config.Confirmed(time.Now()) {
		return nil, refuse(core.CodeStaleConfig, "configuration is not confirmed", staleRetryAfter), false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !c.takeSlot(ctx, organisation) {
		return nil, c.settling(organisation, refuse(core.CodeConcurrency, "all concurrency slots of the contract are in use", slotRetryAfter)), false
	}
	if wait, ok := c.spend(ctx, organisation, amount); !ok {
		c.freeSlot(organisation)
		if wait == 0 {
			return nil, refuse(core.CodeRateLimit, "the request costs more than the contract ever permits at once", 0), false
		}
		return nil, c.settling(organisation, refuse(core.CodeRateLimit, "the rate of the contract is used up", wait)), false
	}
	freed := make(chan struct{}, 1)
	freed <- struct{}{}
	return func() {
		select {
		case <-freed:
			c.freeSlot(organisation)
		default:
		}
	}, core.Refusal{}, true
}

// settling replaces a refusal that the organisation's use has not caused.
func (c *Limiter) settling(organisation string, r core.Refusal) core.Refusal {
	c.do(func(s *state) {
		if wait, ok := s.pool.Settling(organisation, time.Now()); ok {
			r = refuse(core.CodeSettling, "the contract or this entry is new, its limits are not in force everywhere yet", wait)
		}
	})
	return r
}

func refuse(code core.Code, message string, retryAfter time.Duration) core.Refusal {
	return core.Refusal{Code: code, Message: message, NotRun: true, RetryAfter: retryAfter}
}

func (c *Limiter) freeSlot(organisation string) {
	c.do(func(s *state) { s.pool.FreeSlot(organisation, time.Now()) })
}

// takeSlot takes a slot of this entry or asks the homes for one.
func (c *Limiter) takeSlot(ctx context.Context, organisation string) bool {
	ok := false
	var homes []string
	c.do(func(s *state) {
		now := time.Now()
		if ok = s.pool.TakeSlot(organisation, now); !ok {
			homes = s.pool.SlotHomes(organisation, now)
		}
	})
	for _, home := range homes {
		if ok {
			return true
		}
		c.askHome(ctx, func(s *state, now time.Time) (share.BorrowRequest, bool) {
			return s.pool.RequestSlot(organisation, home, now)
		})
		c.do(func(s *state) { ok = s.pool.TakeSlot(organisation, time.Now()) })
	}
	if !ok && len(homes) > 0 {
		c.do(func(s *state) { s.pool.SlotsExhausted(organisation, time.Now()) })
	}
	return ok
}

// spend takes credit of this entry or asks the homes for what is missing.
func (c *Limiter) spend(ctx context.Context, organisation string, amount core.CreditAmount) (time.Duration, bool) {
	var wait time.Duration
	var ok bool
	var homes []string
	c.do(func(s *state) {
		now := time.Now()
		if wait, ok = s.pool.Spend(organisation, amount, now); !ok && wait > 0 {
			homes = s.pool.CreditHomes(organisation, now)
		}
	})
	for _, home := range homes {
		if ok {
			return wait, true
		}
		c.askHome(ctx, func(s *state, now time.Time) (share.BorrowRequest, bool) {
			return s.pool.RequestCredit(organisation, home, amount, now)
		})
		c.do(func(s *state) { wait, ok = s.pool.Spend(organisation, amount, time.Now()) })
	}
	if !ok && len(homes) > 0 {
		c.do(func(s *state) { s.pool.CreditExhausted(organisation, time.Now()) })
	}
	return wait, ok
}

// askHome sends a request to a home and waits for the answer, for the end of
// the stream or for the end of ctx.
func (c *Limiter) askHome(ctx context.Context, prepare func(*state, time.Time) (share.BorrowRequest, bool)) {
	answered := make(chan struct{})
	var seq uint64
	c.do(func(s *state) {
		a, ok := prepare(s, time.Now())
		if !ok {
			close(answered)
			return
		}
		seq = a.Seq
		s.waiters[seq] = answered
		c.send(s, a)
	})
	select {
	case <-answered:
	case <-ctx.Done():
		c.do(func(s *state) { delete(s.waiters, seq) })
	case <-c.ctx.Done():
	}
}

// Sent returns the number of requests sent to homes so far.
func (c *Limiter) Sent() int64 {
	var n int64
	c.do(func(s *state) { n = s.sent })
	return n
}

// borrowerID tells the incarnations of an entry apart: slots lent to an earlier
// one must run out.
func borrowerID(h *peerpb.Hello) string {
	if h.GetIncarnation() == "" {
		return h.GetId()
	}
	return h.GetId() + "/" + h.GetIncarnation()
}
