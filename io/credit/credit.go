// Package credit enforces the rate and concurrency limits of contracts at an
// entry. It spends the entry's share of each contract for admitted requests,
// borrows credit and slots from home entries and lends to other entries.
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

// Times of the limiter.
const (
	tickInterval = 100 * time.Millisecond
	// borrowTimeout bounds the time for all requests to homes for one caller request.
	borrowTimeout = 100 * time.Millisecond
	// slotRetryAfter is the RetryAfter of a refusal because all slots are in use. It
	// is fixed, since the end of the running requests is not known.
	slotRetryAfter        = 500 * time.Millisecond
	staleConfigRetryAfter = time.Second
)

// Opener opens streams to peers. It is implemented by *peer.Node.
type Opener interface {
	Open(id string, kind peerpb.StreamKind, requestID string) (*peer.Stream, error)
}

// Config configures a Limiter.
type Config struct {
	// Self is the id of this entry in the entry set.
	Self   string
	Peers  Opener
	Config core.ConfigSource
	Logger *zap.Logger
}

// Limiter admits requests within the contracts of their organisations. It is safe
// for concurrent use.
type Limiter struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	ops    chan func(*state)
	done   chan struct{}
	wg     *conc.WaitGroup
}

// state is the state of the limiter; only run accesses it.
type state struct {
	pool  *share.Pool
	links map[string]*link
	// waiters holds a channel for each request to a home whose answer a caller waits
	// for, by sequence number.
	waiters map[uint64]chan struct{}
	// failedAt holds the time at which the last stream to a home failed.
	failedAt map[string]time.Time
	// entrySetVersion is the version of the newest entry set passed to the pool.
	entrySetVersion int64
	// requestsSent is the number of requests sent to homes.
	requestsSent int64
}

// New starts a limiter. Stop must be called.
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

// Done is closed when the limiter has stopped.
func (c *Limiter) Done() <-chan struct{} { return c.done }

// Stop stops the limiter and waits until its streams to homes are closed.
func (c *Limiter) Stop() {
	c.cancel()
	<-c.done
}

func (c *Limiter) run() {
	defer close(c.done)
	defer c.wg.Wait()
	now := time.Now()
	s := &state{
		pool:     share.New(c.cfg.Self, uint64(now.UnixNano()), now),
		links:    map[string]*link{},
		waiters:  map[uint64]chan struct{}{},
		failedAt: map[string]time.Time{},
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	changed := c.cfg.Config.Changed()
	c.applyConfig(s)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
			changed = c.cfg.Config.Changed()
			c.applyConfig(s)
		case op := <-c.ops:
			op(s)
		case <-tick.C:
			// The time of the tick may be before that of the last operation.
			now := time.Now()
			for _, r := range s.pool.Tick(now) {
				c.send(s, r)
			}
			s.closeIdleLinks(now)
		}
	}
}

// applyConfig passes the contracts and every entry set since entrySetVersion to the
// pool. It passes an empty set in place of sets that are no longer known.
func (c *Limiter) applyConfig(s *state) {
	cfg := c.cfg.Config.Current()
	now := time.Now()
	version := cfg.Versions[core.ObjectEntrySet]
	if past := cfg.PastEntrySets; len(past) > 0 && version != s.entrySetVersion {
		if past[0].Version > s.entrySetVersion {
			s.pool.Update(cfg.Contracts, core.EntrySet{}, now)
		}
		for _, v := range past {
			if v.Version > s.entrySetVersion {
				s.pool.Update(cfg.Contracts, v.Set, now)
			}
		}
	}
	s.entrySetVersion = version
	s.pool.Update(cfg.Contracts, cfg.EntrySet, now)
}

// do executes op in run and waits for its end. It reports false when the limiter
// has stopped.
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

// Acquire takes a concurrency slot and the amount of credit from the contract of
// an organisation. If ok is true, the request may run, and release must be called
// when it has ended; further calls of release have no effect. Otherwise the
// request must be refused with refusal.
func (c *Limiter) Acquire(ctx context.Context, organisation string, amount core.CreditAmount) (release func(), refusal core.Refusal, ok bool) {
	if !c.cfg.Config.Confirmed(time.Now()) {
		return nil, refuse(core.CodeStaleConfig, "configuration is not confirmed", staleConfigRetryAfter), false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	if !c.takeSlot(ctx, organisation) {
		return nil, c.replaceWhileSettling(organisation, refuse(core.CodeConcurrency, "all concurrency slots of the contract are in use", slotRetryAfter)), false
	}
	if wait, ok := c.spend(ctx, organisation, amount); !ok {
		c.freeSlot(organisation)
		if wait == 0 {
			return nil, refuse(core.CodeRateLimit, "the request costs more than the contract ever permits at once", 0), false
		}
		return nil, c.replaceWhileSettling(organisation, refuse(core.CodeRateLimit, "the rate of the contract is used up", wait)), false
	}
	notReleased := make(chan struct{}, 1)
	notReleased <- struct{}{}
	return func() {
		select {
		case <-notReleased:
			c.freeSlot(organisation)
		default:
		}
	}, core.Refusal{}, true
}

// replaceWhileSettling replaces a refusal while the shares of the organisation are
// settling, since it then does not mean that the organisation has reached a limit.
func (c *Limiter) replaceWhileSettling(organisation string, r core.Refusal) core.Refusal {
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

// takeSlot takes a slot of this entry. If none is free, it borrows one from the
// homes.
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
		c.requestFromHome(ctx, func(s *state, now time.Time) (share.BorrowRequest, bool) {
			return s.pool.RequestSlot(organisation, home, now)
		})
		c.do(func(s *state) { ok = s.pool.TakeSlot(organisation, time.Now()) })
	}
	if !ok && len(homes) > 0 {
		c.do(func(s *state) { s.pool.SlotsExhausted(organisation, time.Now()) })
	}
	return ok
}

// spend takes credit of this entry. If there is not enough, it borrows the rest
// from the homes. It reports false with the time to wait; zero means that the
// contract never covers the amount.
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
		c.requestFromHome(ctx, func(s *state, now time.Time) (share.BorrowRequest, bool) {
			return s.pool.RequestCredit(organisation, home, amount, now)
		})
		c.do(func(s *state) { wait, ok = s.pool.Spend(organisation, amount, time.Now()) })
	}
	if !ok && len(homes) > 0 {
		c.do(func(s *state) { s.pool.CreditExhausted(organisation, time.Now()) })
	}
	return wait, ok
}

// requestFromHome sends the request that prepare returns to a home. It waits until
// the answer has been handled, the stream has failed or ctx has ended.
func (c *Limiter) requestFromHome(ctx context.Context, prepare func(*state, time.Time) (share.BorrowRequest, bool)) {
	answered := make(chan struct{})
	var seq uint64
	c.do(func(s *state) {
		r, ok := prepare(s, time.Now())
		if !ok {
			close(answered)
			return
		}
		seq = r.Seq
		s.waiters[seq] = answered
		c.send(s, r)
	})
	select {
	case <-answered:
	case <-ctx.Done():
		c.do(func(s *state) { delete(s.waiters, seq) })
	case <-c.ctx.Done():
	}
}

// Sent returns the number of requests sent to homes since the start.
func (c *Limiter) Sent() int64 {
	var n int64
	c.do(func(s *state) { n = s.requestsSent })
	return n
}

// borrowerID returns an id that differs between the incarnations of an entry, so
// that slots lent to an earlier incarnation count as lent until their lease ends.
func borrowerID(h *peerpb.Hello) string {
	if h.GetIncarnation() == "" {
		return h.GetId()
	}
	return h.GetId() + "/" + h.GetIncarnation()
}
