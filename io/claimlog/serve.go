package claimlog

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// maxStreamRequests bounds the requests of one stream that wait for a verdict.
const maxStreamRequests = 256

// ServeStream serves the claims and releases of one stream until the agent closes
// it. Each ClaimRequest and ReleaseRequest gets one ClaimVerdict; a release that
// was read back gets the result VOID. An agent can claim and release only for its
// own incarnation.
func (b *Batcher) ServeStream(ctx context.Context, s *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	answers := make(chan *peerpb.ClaimVerdict, maxStreamRequests)
	slots := make(chan struct{}, maxStreamRequests)
	var writer, requests conc.WaitGroup
	writer.Go(func() { writeVerdicts(s, answers, slots, cancel) })
	for {
		f, err := s.Receive()
		if err != nil {
			break
		}
		slots <- struct{}{}
		requests.Go(func() { answers <- b.handleFrame(ctx, s.Peer(), f) })
	}
	requests.Wait()
	close(answers)
	writer.Wait()
}

// writeVerdicts sends the verdicts and frees their slots. A failed send cancels the
// stream, and the remaining verdicts are dropped.
func writeVerdicts(s *peer.Stream, answers <-chan *peerpb.ClaimVerdict, slots <-chan struct{}, cancel func()) {
	for v := range answers {
		if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_ClaimVerdict{ClaimVerdict: v}}); err != nil {
			cancel()
		}
		<-slots
	}
}

func (b *Batcher) handleFrame(ctx context.Context, from *peerpb.Hello, f *peerpb.Frame) *peerpb.ClaimVerdict {
	if r := f.GetReleaseRequest(); r != nil {
		return b.Release(ctx, r, from.GetId(), from.GetIncarnation())
	}
	r := f.GetClaimRequest()
	c := r.GetClaim()
	if c.GetAgentId() != from.GetId() || c.GetAgentIncarnation() != from.GetIncarnation() {
		return newVerdict(c.GetClaimId(), peerpb.ClaimVerdict_RESULT_NOT_APPENDED)
	}
	return b.Claim(ctx, r.GetPartition(), c)
}
