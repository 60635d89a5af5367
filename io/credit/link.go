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

// Times and sizes of links.
const (
	linkQueueLen = 256
	linkIdle     = 30 * time.Second
	// linkRetry is how long a home counts as unreachable after its stream
	// failed.
	linkRetry = 200 * time.Millisecond
)

// link is the stream to one home.
type link struct {
	home   string
	queue  chan share.BorrowRequest
	cancel context.CancelFunc
	used   time.Time
	// waiting holds the times of the requests that have no answer.
	waiting map[uint64]time.Time
}

// send queues a request to a home. A request that can't be queued is lost,
// which only costs its credit.
func (c *Limiter) send(s *state, a share.BorrowRequest) {
	now := time.Now()
	l := s.links[a.Home]
	if l == nil {
		if now.Sub(s.failed[a.Home]) < linkRetry {
			s.answered(a.Seq)
			return
		}
		l = c.link(a.Home)
		s.links[a.Home] = l
	}
	l.used = now
	select {
	case l.queue <- a:
		l.waiting[a.Seq] = now
		s.sent++
	default:
		s.answered(a.Seq)
	}
}

func (s *state) answered(seq uint64) {
	if w := s.waiters[seq]; w != nil {
		close(w)
		delete(s.waiters, seq)
	}
}

func (s *state) closeIdleLinks(now time.Time) {
	for home, l := range s.links {
		for seq, t := range l.waiting {
			if now.Sub(t) > share.LoanTTL {
				delete(l.waiting, seq)
			}
		}
		if now.Sub(l.used) > linkIdle {
			l.cancel()
			delete(s.links, home)
		}
	}
	for home, t := range s.failed {
		if now.Sub(t) > linkRetry {
			delete(s.failed, home)
		}
	}
}

func (c *Limiter) link(home string) *link {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		home:    home,
		queue:   make(chan share.BorrowRequest, linkQueueLen),
		cancel:  cancel,
		used:    time.Now(),
		waiting: map[uint64]time.Time{},
	}
	c.wg.Go(func() {
		defer cancel()
		c.runLink(ctx, l)
		c.do(func(s *state) { s.linkEnded(l) })
	})
	return l
}

// linkEnded wakes the callers that wait for answers from the home.
func (s *state) linkEnded(l *link) {
	if s.links[l.home] == l {
		delete(s.links, l.home)
		s.failed[l.home] = time.Now()
	}
	for seq := range l.waiting {
		s.answered(seq)
	}
}

// runLink sends requests and takes answers until the stream fails.
func (c *Limiter) runLink(ctx context.Context, l *link) {
	st, err := c.cfg.Peers.Open(l.home, peerpb.StreamKind_STREAM_KIND_CREDIT, "")
	if err != nil {
		c.cfg.Logger.Debug("credit stream not opened", zap.String("home", l.home), zap.Error(err))
		return
	}
	defer st.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var reader conc.WaitGroup
	reader.Go(func() { defer cancel(); c.takeAnswers(l, st) })
	for ctx.Err() == nil {
		select {
		case a := <-l.queue:
			if st.Send(askFrame(c.cfg.Self, a)) != nil {
				cancel()
			}
		case <-ctx.Done():
		}
	}
	stop()
	_ = st.SetDeadline(time.Unix(1, 0))
	reader.Wait()
}

func askFrame(self string, a share.BorrowRequest) *peerpb.Frame {
	if a.ForSlots {
		return &peerpb.Frame{Body: &peerpb.Frame_SlotRequest{SlotRequest: &peerpb.SlotRequest{
			Organisation: a.Organisation, Borrower: self, Slots: int32(a.Slots), Seq: a.Seq,
		}}}
	}
	return &peerpb.Frame{Body: &peerpb.Frame_CreditRequest{CreditRequest: &peerpb.CreditRequest{
		Organisation: a.Organisation, Borrower: self, Requests: a.Amount.Requests, Tokens: a.Amount.Tokens, Seq: a.Seq,
	}}}
}

func (c *Limiter) takeAnswers(l *link, st *peer.Stream) {
	for {
		f, err := st.Receive()
		if err != nil {
			return
		}
		if !c.do(func(s *state) { s.take(l, f) }) {
			return
		}
	}
}

func (s *state) take(l *link, f *peerpb.Frame) {
	now := time.Now()
	if g := f.GetCreditGrant(); g != nil {
		s.pool.CreditGranted(g.GetOrganisation(), l.home, g.GetSeq(), core.CreditAmount{Requests: g.GetRequests(), Tokens: g.GetTokens()}, now)
		delete(l.waiting, g.GetSeq())
		s.answered(g.GetSeq())
	}
	if g := f.GetSlotGrant(); g != nil {
		s.pool.SlotsGranted(g.GetOrganisation(), l.home, g.GetSeq(), int(g.GetSlots()), now)
		delete(l.waiting, g.GetSeq())
		s.answered(g.GetSeq())
	}
}

// ServeStream lends to another entry until it closes the stream. An entry whose
// configuration is not confirmed lends nothing.
func (c *Limiter) ServeStream(ctx context.Context, st *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer context.AfterFunc(c.ctx, cancel)()
	for {
		f, err := st.Receive()
		if err != nil {
			return
		}
		answer := c.lend(borrowerID(st.Peer()), f)
		if answer == nil {
			continue
		}
		if err := st.Send(answer); err != nil {
			return
		}
	}
}

// lend returns the answer to a request, or nil when none is due.
func (c *Limiter) lend(borrower string, f *peerpb.Frame) *peerpb.Frame {
	confirmed := c.cfg.Config.Confirmed(time.Now())
	if r := f.GetCreditRequest(); r != nil {
		g := &peerpb.CreditGrant{Organisation: r.GetOrganisation(), Seq: r.GetSeq()}
		c.do(func(s *state) {
			if confirmed {
				lent := s.pool.Lend(r.GetOrganisation(), core.CreditAmount{Requests: r.GetRequests(), Tokens: r.GetTokens()}, time.Now())
				g.Requests, g.Tokens = lent.Requests, lent.Tokens
			}
		})
		return &peerpb.Frame{Body: &peerpb.Frame_CreditGrant{CreditGrant: g}}
	}
	r := f.GetSlotRequest()
	if r == nil {
		return nil
	}
	g := &peerpb.SlotGrant{Organisation: r.GetOrganisation(), Seq: r.GetSeq(), LeaseMs: share.SlotLeaseTTL.Milliseconds()}
	// Without confirmation the borrower loses its slots at once; this home
	// counts what it lent until the leases end.
	current := !confirmed
	c.do(func(s *state) {
		if !confirmed {
			return
		}
		var n int
		n, current = s.pool.LendSlots(r.GetOrganisation(), borrower, r.GetSeq(), int(r.GetSlots()), time.Now())
		g.Slots = int32(n)
	})
	if !current {
		return nil
	}
	return &peerpb.Frame{Body: &peerpb.Frame_SlotGrant{SlotGrant: g}}
}
