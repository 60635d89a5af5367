package entry

import (
	"bytes"
	"context"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

const (
	// lookupTimeout bounds a lookup at the agent that holds a claim.
	lookupTimeout = 2 * time.Second
	// holderConnectTimeout bounds the wait for a session with that agent.
	holderConnectTimeout = time.Second
	holderPollInterval   = 20 * time.Millisecond
)

// answerDuplicate answers a request whose idempotency key is held by an earlier
// claim.
func (c *call) answerDuplicate(ctx context.Context, h *peerpb.Holder) attemptResult {
	if !bytes.Equal(h.GetRequestHash(), c.r.RequestHash[:]) {
		return attemptResult{final: true, refusal: core.Refusal{Code: core.CodeKeyMismatch, NotRun: true,
			Message: "the Idempotency-Key was used with another request"}}
	}
	found := c.lookup(ctx, h)
	switch found.GetState() {
	case peerpb.LookupResult_STATE_STORED:
		return c.writeStoredReply(found)
	case peerpb.LookupResult_STATE_RUNNING:
		return attemptResult{final: true, refusal: core.Refusal{Code: core.CodeStillRunning, RetryAfter: defaultRetryAfter,
			Message: "a request with this Idempotency-Key is running"}}
	case peerpb.LookupResult_STATE_ABANDONED:
		return attemptResult{final: true, refusal: core.Refusal{Code: core.CodeLogUnavailable, NotRun: true, RetryAfter: defaultRetryAfter,
			Message: "the earlier request with this Idempotency-Key was given up before it ran"}}
	}
	return attemptResult{final: true, refusal: core.Refusal{Code: core.CodeOutcomeUnknown, OutcomeUnknown: true,
		RetryAfter: defaultRetryAfter, Message: "the outcome of the earlier request with this Idempotency-Key is not known"}}
}

// writeStoredReply writes the stored reply to the caller.
func (c *call) writeStoredReply(found *peerpb.LookupResult) attemptResult {
	head := &peerpb.ReplyHead{Status: found.GetStatus(), Headers: found.GetHeaders(), CloseDelimited: found.GetCloseDelimited()}
	if err := c.startReply(head); err != nil {
		return attemptResult{final: true, refusal: core.Refusal{Code: core.CodeBackendFailed, Message: "the stored reply is not valid"}}
	}
	if err := c.w.Write(found.GetBody()); err != nil {
		c.w.Abort(core.CodeConnectionBroken)
	}
	c.countReply(found.GetCloseDelimited())
	return attemptResult{done: true}
}

// lookup asks the agent that holds a claim for the claim's state. It returns nil
// if the agent cannot be reached or does not answer; the outcome is then not
// known.
func (c *call) lookup(ctx context.Context, h *peerpb.Holder) *peerpb.LookupResult {
	if !c.connectHolder(ctx, h) {
		return nil
	}
	s, err := c.e.node.Open(h.GetAgentId(), peerpb.StreamKind_STREAM_KIND_LOOKUP, c.r.ID)
	if err != nil {
		return nil
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(lookupTimeout)); err != nil {
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

// connectHolder waits for a session with the holder's agent, which may be outside
// this entry's subset of agents.
func (c *call) connectHolder(ctx context.Context, h *peerpb.Holder) bool {
	if c.e.node.Session(h.GetAgentId()) != nil {
		return true
	}
	if h.GetAgentAddress() == "" {
		return false
	}
	c.e.views.keepHolderSession(h.GetAgentAddress())
	ctx, cancel := context.WithTimeout(ctx, holderConnectTimeout)
	defer cancel()
	t := time.NewTicker(holderPollInterval)
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
