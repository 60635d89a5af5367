package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/claim"
	"nutmegnotch/core/eventstream"
	"nutmegnotch/io/desk"
	"nutmegnotch/io/peer/peerpb"
)

// claimMaxAgeDivisor divides the claim window to give the age up to which a won
// claim may run. Later the log may have forgotten the claim and may have given
// the key to another one.
const claimMaxAgeDivisor = 4

// runAtMostOnce claims the request's idempotency key and runs the request if
// the claim is won.
func (t *requestTask) runAtMostOnce(ctx context.Context) {
	c, refusal, ok := t.claim()
	if !ok {
		t.freeReservation(core.Outcome{Cancelled: true})
		t.refuse(refusal)
		return
	}
	if c == nil {
		t.freeReservation(core.Outcome{Cancelled: true})
		return
	}
	if refusal, ok := t.recheckClaim(); !ok {
		t.freeReservation(core.Outcome{Cancelled: true})
		t.abandon(c)
		t.refuse(refusal)
		return
	}
	if !t.agent.runs.tryStart(c.ClaimId) {
		t.freeReservation(core.Outcome{Cancelled: true})
		t.refuse(core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the claim was used before", OutcomeUnknown: true})
		return
	}
	t.runClaim(ctx, c)
}

// claim claims the request's idempotency key. It returns true with a nil claim
// if another claim holds the key; the entry has then been told the holder. It
// returns false with a refusal if the request must not run.
func (t *requestTask) claim() (*peerpb.Claim, core.Refusal, bool) {
	if t.agent.cfg.Claimer == nil {
		return nil, notRunRefusal(core.CodeLogUnavailable, "the agent has no claims", longRetryAfter), false
	}
	self := t.agent.cfg.Self
	key := claim.KeyHash(t.request.Organisation, t.request.Service, t.request.IdempotencyKey)
	c := &peerpb.Claim{
		ClaimId:          uuid.NewString(),
		KeyHash:          key[:],
		RequestHash:      t.head.RequestHash,
		AgentId:          self.Id,
		AgentIncarnation: self.Incarnation,
		AgentAddress:     self.Address,
		DeadlineUnixMs:   t.request.Deadline.UnixMilli(),
	}
	t.claimStartedAt = time.Now()
	timeout := min(t.agent.cfg.ClaimTimeout, time.Until(t.request.Deadline))
	ctx, cancel := context.WithTimeout(t.callerCtx, timeout)
	defer cancel()
	v, err := t.agent.cfg.Claimer.Claim(ctx, c)
	if err != nil {
		t.log.Info("no verdict on claim", zap.String("claim_id", c.ClaimId), zap.Error(err))
		v = &peerpb.ClaimVerdict{Result: peerpb.ClaimVerdict_RESULT_UNKNOWN}
	}
	refusal, won := t.handleClaimVerdict(c, v)
	if won {
		t.agent.runs.recordWon(c.ClaimId)
		return c, core.Refusal{}, true
	}
	return nil, refusal, refusal.Code == ""
}

// handleClaimVerdict reports whether the claim was won. Otherwise it returns the
// refusal; a refusal without a code means that another claim holds the key and
// that the entry has been told the holder.
func (t *requestTask) handleClaimVerdict(c *peerpb.Claim, v *peerpb.ClaimVerdict) (core.Refusal, bool) {
	retryAfter := max(time.Duration(v.RetryAfterMs)*time.Millisecond, longRetryAfter)
	switch v.Result {
	case peerpb.ClaimVerdict_RESULT_WON:
		metrics.Add("claims_won", 1)
		return core.Refusal{}, true
	case peerpb.ClaimVerdict_RESULT_LOST:
		metrics.Add("claims_lost", 1)
		t.sendVerdict(&peerpb.Verdict{Code: string(core.CodeStillRunning), Message: "the key is claimed", Holder: v.Holder})
		return core.Refusal{}, false
	case peerpb.ClaimVerdict_RESULT_VOID, peerpb.ClaimVerdict_RESULT_NOT_APPENDED:
		return notRunRefusal(core.CodeLogUnavailable, "the claim was not recorded", retryAfter), false
	default:
		metrics.Add("claims_unknown", 1)
		t.abandon(c)
		return notRunRefusal(core.CodeLogUnavailable, "the claim got no verdict in time", retryAfter), false
	}
}

// recheckClaim repeats the checks of admission, because waiting for the claim
// took time.
func (t *requestTask) recheckClaim() (core.Refusal, bool) {
	if t.callerCtx.Err() != nil {
		return notRunRefusal(core.CodeConnectionBroken, "the caller has gone", 0), false
	}
	if time.Since(t.claimStartedAt) > t.agent.cfg.StoredReplyTTL/claimMaxAgeDivisor {
		return notRunRefusal(core.CodeLogUnavailable, "the claim is too old to run", longRetryAfter), false
	}
	return t.agent.admission.recheckPreconditions(t.request, time.Now())
}

// abandon records that a claim will never run and queues the release of its key.
func (t *requestTask) abandon(c *peerpb.Claim) {
	metrics.Add("claims_abandoned", 1)
	t.agent.runs.recordAbandoned(c.ClaimId, time.Now())
	t.agent.releases.release(c)
}

// freeReservation frees the reservation of a request that is not running or
// no longer running at the backend server.
func (t *requestTask) freeReservation(o core.Outcome) {
	t.agent.admission.freeReservation(t.reservation, o, time.Now())
}

// runClaim runs the request to its end, even if the caller disconnects, and
// stores the reply.
func (t *requestTask) runClaim(ctx context.Context, c *peerpb.Claim) {
	start := time.Now()
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.runTimeout())
	defer cancel()
	reply, err := t.callOnce(runCtx)
	if errors.Is(err, desk.ErrNotSent) {
		t.freeReservation(core.Outcome{Cancelled: true})
		t.abandon(c)
		t.agent.health.requestProbe()
		t.refuse(notRunRefusal(core.CodeNoServer, "the backend server does not accept connections", longRetryAfter))
		return
	}
	if err != nil {
		t.answerOutcomeUnknown(runCtx, c, err)
		return
	}
	t.agent.runs.recordReply(c.ClaimId, reply, time.Now())
	crashed := reply.closeDelimited && t.agent.checkUnverified(t.reservation)
	t.freeReservation(core.Outcome{Succeeded: reply.status < http.StatusInternalServerError, Crashed: crashed, Elapsed: time.Since(start)})
	head := &peerpb.ReplyHead{RequestId: t.head.RequestId, Status: reply.status, Headers: reply.headers, CloseDelimited: reply.closeDelimited}
	if t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: head}}) && t.sendBytes(t.callerCtx, reply.body) {
		t.sendEnd(nil, nil, int64(len(reply.body)), crashed)
	}
}

// answerOutcomeUnknown ends the reply of a run whose outcome is not known.
func (t *requestTask) answerOutcomeUnknown(runCtx context.Context, c *peerpb.Claim, err error) {
	t.agent.runs.recordOutcomeUnknown(c.ClaimId, time.Now())
	broken := runCtx.Err() == nil && !errors.Is(err, errTooLarge)
	crashed := broken && t.agent.checkCrashed(t.reservation)
	t.freeReservation(core.Outcome{Crashed: crashed})
	t.log.Warn("run ended without a complete reply", zap.String("claim_id", c.ClaimId), zap.Error(err))
	t.sendEnd(err, nil, 0, crashed)
}

// callOnce sends the request without retries and reads the whole reply. An
// error that is desk.ErrNotSent proves that nothing ran.
func (t *requestTask) callOnce(ctx context.Context) (storedReply, error) {
	r, err := t.newBackendRequest(ctx)
	if err != nil {
		return storedReply{}, fmt.Errorf("%w: %w", err, desk.ErrNotSent)
	}
	resp, err := t.call(r, false)
	if err != nil {
		return storedReply{}, err
	}
	defer resp.Body.Close()
	limit := t.service.MaxReplyBytes
	if limit <= 0 {
		limit = maxStoredReplyBytes
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1)); err != nil {
		return storedReply{}, fmt.Errorf("read reply: %w", err)
	}
	if int64(body.Len()) > limit {
		return storedReply{}, errTooLarge
	}
	if eventstream.IsContentType(resp.Header.Get("Content-Type")) && (eventstream.Position{}).Read(body.Bytes()).InsideEvent() {
		return storedReply{}, errTruncated
	}
	return storedReply{status: int32(resp.StatusCode), headers: toHeaders(resp.Header), body: body.Bytes(), closeDelimited: closeDelimited(resp)}, nil
}
