package entry

import (
	"bytes"
	"context"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

const (
	// lookupTime bounds the question to the holder of a claim.
	lookupTime = 2 * time.Second
	// reachTime bounds the wait for a session with the holder.
	reachTime  = time.Second
	reachPause = 20 * time.Millisecond
)

// repeated answers a request whose idempotency key another claim holds.
func (c *call) repeated(ctx context.Context, h *peerpb.Holder) result {
	if !bytes.Equal(h.GetRequestHash(), c.r.RequestHash[:]) {
		return result{final: true, refusal: core.Refusal{Code: core.CodeKeyMismatch, NotRun: true,
			Message: "the Idempotency-Key was used with another request"}}
	}
	found := c.lookup(ctx, h)
	switch found.GetState() {
	case peerpb.LookupResult_STATE_STORED:
		return c.stored(found)
	case peerpb.LookupResult_STATE_RUNNING:
		return result{final: true, refusal: core.Refusal{Code: core.CodeStillRunning, RetryAfter: retryOther,
			Message: "a request with this Idempotency-Key is running"}}
	case peerpb.LookupResult_STATE_ABANDONED:
		return result{final: true, refusal: core.Refusal{Code: core.CodeLogUnavailable, NotRun: true, RetryAfter: retryOther,
			Message: "the earlier request with this Idempotency-Key was given up before it ran"}}
	}
	return result{final: true, refusal: core.Refusal{Code: core.CodeOutcomeUnknown, OutcomeUnknown: true,
		RetryAfter: retryOther, Message: "the outcome of the earlier request with this Idempotency-Key is not known"}}
}

// stored writes the stored reply to the caller.
func (c *call) stored(found *peerpb.LookupResult) result {
	if err := c.w.Begin(int(found.GetStatus()), fromHeaders(found.GetHeaders())); err != nil {
		return result{final: true, refusal: core.Refusal{Code: core.CodeBackendFailed, Message: "the stored reply is not valid"}}
	}
	if err := c.w.Write(found.GetBody()); err != nil {
		c.w.Abort(core.CodeConnectionBroken)
	}
	c.e.metrics.replies.Add(1)
	return result{done: true}
}

// lookup asks the holder's agent. It returns nil when no answer comes, which
// means that the outcome is not known.
func (c *call) lookup(ctx context.Context, h *peerpb.Holder) *peerpb.LookupResult {
	if !c.reach(ctx, h) {
		return nil
	}
	s, err := c.e.node.Open(h.GetAgentId(), peerpb.StreamKind_STREAM_KIND_LOOKUP, c.r.ID)
	if err != nil {
		return nil
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(lookupTime)); err != nil {
		return nil
	}
	if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyLookup{ReplyLookup: &peerpb.ReplyLookup{
		ClaimId: h.GetClaimId(), AgentIncarnation: h.GetAgentIncarnation()}}}); err != nil {
		return nil
	}
	f, err := s.Receive()
	if err != nil {
		return nil
	}
	return f.GetLookupResult()
}

// reach waits for a session with the holder, which may be outside the subset.
func (c *call) reach(ctx context.Context, h *peerpb.Holder) bool {
	if c.e.node.Session(h.GetAgentId()) != nil {
		return true
	}
	if h.GetAgentAddress() == "" {
		return false
	}
	c.e.views.reach(h.GetAgentAddress())
	ctx, cancel := context.WithTimeout(ctx, reachTime)
	defer cancel()
	t := time.NewTicker(reachPause)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if c.e.node.Session(h.GetAgentId()) != nil {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}
