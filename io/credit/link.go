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

// Times and sizes of a link.
const (
	linkQueueLen    = 256
	linkIdleTimeout = 30 * time.Second
	// linkRetryDelay is the time after a failure of the stream to a home in which no
	// new stream is opened.
	linkRetryDelay = 200 * time.Millisecond
)

// link holds the stream to a home and its queue of requests.
type link struct {
	home   string
	queue  chan share.BorrowRequest
	cancel context.CancelFunc
	usedAt time.Time
	// pending holds the times of unanswered requests, by sequence number.
	pending map[uint64]time.Time
}

// send queues a request to a home. It drops the request when the queue is full or
// the home is unreachable; then nothing is borrowed.
func (c *Limiter) send(s *state, r share.BorrowRequest) {
	now := time.Now()
	l := s.links[r.Home]
	if l == nil {
		if now.Sub(s.failedAt[r.Home]) < linkRetryDelay {
			s.wakeWaiter(r.Seq)
			return
		}
		l = c.startLink(r.Home)
		s.links[r.Home] = l
	}
	l.usedAt = now
	select {
	case l.queue <- r:
		l.pending[r.Seq] = now
		s.requestsSent++
	default:
		s.wakeWaiter(r.Seq)
	}
}

// wakeWaiter wakes the caller that waits for the answer to a request, if any.
func (s *state) wakeWaiter(seq uint64) {
	if w := s.waiters[seq]; w != nil {
		close(w)
		delete(s.waiters, seq)
	}
}

// closeIdleLinks closes idle links. It also drops requests whose answer would come
// too late and failures that are no longer relevant.
func (s *state) closeIdleLinks(now time.Time) {
	for home, l := range s.links {
		for seq, t := range l.pending {
			if now.Sub(t) > share.LoanTTL {
				delete(l.pending, seq)
			}
		}
		if now.Sub(l.usedAt) > linkIdleTimeout {
			l.cancel()
			delete(s.links, home)
		}
	}
	for home, t := range s.failedAt {
		if now.Sub(t) > linkRetryDelay {
			delete(s.failedAt, home)
		}
	}
}

// startLink returns a new link to a home. Its goroutines run until the stream fails
// or the link is closed.
func (c *Limiter) startLink(home string) *link {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		home:    home,
		queue:   make(chan share.BorrowRequest, linkQueueLen),
		cancel:  cancel,
		usedAt:  time.Now(),
		pending: map[uint64]time.Time{},
	}
	c.wg.Go(func() {
		defer cancel()
		c.runLink(ctx, l)
		c.do(func(s *state) { s.handleLinkEnd(l) })
	})
	return l
}

// handleLinkEnd removes a link that has ended and wakes the callers that wait for
// its answers.
func (s *state) handleLinkEnd(l *link) {
	if s.links[l.home] == l {
		delete(s.links, l.home)
		s.failedAt[l.home] = time.Now()
	}
	for seq := range l.pending {
		s.wakeWaiter(seq)
	}
}

// runLink opens the stream, sends the queued requests and receives the answers
// until the stream fails or ctx ends.
func (c *Limiter) runLink(ctx context.Context, l *link) {
	st, err := c.cfg.Peers.Open(l.home, peerpb.StreamKind_STREAM_KIND_CREDIT, "")
	if err != nil {
		c.cfg.Logger.Debug("opening a credit stream failed", zap.String("home", l.home), zap.Error(err))
		return
	}
	defer st.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var reader conc.WaitGroup
	reader.Go(func() { defer cancel(); c.receiveAnswers(l, st) })
	for ctx.Err() == nil {
		select {
		case r := <-l.queue:
			if st.Send(borrowRequestToPB(c.cfg.Self, r)) != nil {
				cancel()
			}
		case <-ctx.Done():
		}
	}
	stop()
	_ = st.SetDeadline(time.Unix(1, 0))
	reader.Wait()
}

func borrowRequestToPB(self string, r share.BorrowRequest) *peerpb.Frame {
	if r.ForSlots {
		return &peerpb.Frame{Body: &peerpb.Frame_SlotRequest{SlotRequest: &peerpb.SlotRequest{
			Organisation: r.Organisation, Borrower: self, Slots: int32(r.Slots), Seq: r.Seq,
		}}}
	}
	return &peerpb.Frame{Body: &peerpb.Frame_CreditRequest{CreditRequest: &peerpb.CreditRequest{
		Organisation: r.Organisation, Borrower: self, Requests: r.Amount.Requests, Tokens: r.Amount.Tokens, Seq: r.Seq,
	}}}
}

func (c *Limiter) receiveAnswers(l *link, st *peer.Stream) {
	for {
		f, err := st.Receive()
		if err != nil {
			return
		}
		if !c.do(func(s *state) { s.handleAnswer(l, f) }) {
			return
		}
	}
}

func (s *state) handleAnswer(l *link, f *peerpb.Frame) {
	now := time.Now()
	if g := f.GetCreditGrant(); g != nil {
		s.pool.CreditGranted(g.GetOrganisation(), l.home, g.GetSeq(), core.CreditAmount{Requests: g.GetRequests(), Tokens: g.GetTokens()}, now)
		delete(l.pending, g.GetSeq())
		s.wakeWaiter(g.GetSeq())
	}
	if g := f.GetSlotGrant(); g != nil {
		s.pool.SlotsGranted(g.GetOrganisation(), l.home, g.GetSeq(), int(g.GetSlots()), now)
		delete(l.pending, g.GetSeq())
		s.wakeWaiter(g.GetSeq())
	}
}

// ServeStream lends to another entry until the stream ends. An entry whose
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

// lend returns the answer to a request of a borrower, or nil when there is none.
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
	// If the configuration is not confirmed, the answer of 0 slots ends the
	// borrower's use at once. This home counts the slots as lent until their leases
	// end.
	answerDue := !confirmed
	c.do(func(s *state) {
		if !confirmed {
			return
		}
		var n int
		n, answerDue = s.pool.LendSlots(r.GetOrganisation(), borrower, r.GetSeq(), int(r.GetSlots()), time.Now())
		g.Slots = int32(n)
	})
	if !answerDue {
		return nil
	}
	return &peerpb.Frame{Body: &peerpb.Frame_SlotGrant{SlotGrant: g}}
}
