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
	"nutmegnotch/io/desk"
	"nutmegnotch/io/peer/peerpb"
)

// claimAgeParts is the part of the claim window within which a won claim may
// run. Later the log may have forgotten it and given the key to another claim.
const claimAgeParts = 4

// runOnce runs a request that must not run twice, if it wins the claim.
func (t *serverTask) runOnce(ctx context.Context) {
	c, refusal, ok := t.claim()
	if !ok {
		t.free(core.Outcome{Cancelled: true})
		t.refuse(refusal)
		return
	}
	if c == nil {
		t.free(core.Outcome{Cancelled: true})
		return
	}
	if refusal, ok := t.mayRunClaim(); !ok {
		t.free(core.Outcome{Cancelled: true})
		t.abandon(c)
		t.refuse(refusal)
		return
	}
	if !t.agent.runs.use(c.ClaimId) {
		t.free(core.Outcome{Cancelled: true})
		t.refuse(core.Refusal{Code: core.CodeOutcomeUnknown, Message: "the claim was used before", OutcomeUnknown: true})
		return
	}
	t.runClaim(ctx, c)
}

// claim asks for the right to run. A nil claim without refusal means that the
// key is held and that the verdict with its holder has been sent.
func (t *serverTask) claim() (*peerpb.Claim, core.Refusal, bool) {
	if t.agent.cfg.Claimer == nil {
		return nil, refuse(core.CodeLogUnavailable, "the agent has no claims", retryLater), false
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
	t.claimedAt = time.Now()
	timeout := min(t.agent.cfg.ClaimTimeout, time.Until(t.request.Deadline))
	ctx, cancel := context.WithTimeout(t.gone, timeout)
	defer cancel()
	v, err := t.agent.cfg.Claimer.Claim(ctx, c)
	if err != nil {
		t.log.Info("claim got no verdict", zap.String("claim_id", c.ClaimId), zap.Error(err))
		v = &peerpb.ClaimVerdict{Result: peerpb.ClaimVerdict_RESULT_UNKNOWN}
	}
	refusal, won := t.judge(c, v)
	if won {
		t.agent.runs.won(c.ClaimId)
		return c, core.Refusal{}, true
	}
	return nil, refusal, refusal.Code == ""
}

// judge reads the verdict on a claim. A refusal without code means that the
// holder was named to the entry.
func (t *serverTask) judge(c *peerpb.Claim, v *peerpb.ClaimVerdict) (core.Refusal, bool) {
	retry := max(time.Duration(v.RetryAfterMs)*time.Millisecond, retryLater)
	switch v.Result {
	case peerpb.ClaimVerdict_RESULT_WON:
		metrics.Add("claims_won", 1)
		return core.Refusal{}, true
	case peerpb.ClaimVerdict_RESULT_LOST:
		metrics.Add("claims_lost", 1)
		t.sendVerdict(&peerpb.Verdict{Code: string(core.CodeStillRunning), Message: "the key is claimed", Holder: v.Holder})
		return core.Refusal{}, false
	case peerpb.ClaimVerdict_RESULT_VOID, peerpb.ClaimVerdict_RESULT_NOT_APPENDED:
		return refuse(core.CodeLogUnavailable, "the claim was not recorded", retry), false
	default:
		metrics.Add("claims_unknown", 1)
		t.abandon(c)
		return refuse(core.CodeLogUnavailable, "the claim got no verdict in time", retry), false
	}
}

// mayRunClaim repeats the checks of admission, since the claim took time.
func (t *serverTask) mayRunClaim() (core.Refusal, bool) {
	if t.gone.Err() != nil {
		return refuse(core.CodeConnectionBroken, "the caller has gone", 0), false
	}
	if time.Since(t.claimedAt) > t.agent.cfg.StoredReplyTTL/claimAgeParts {
		return refuse(core.CodeLogUnavailable, "the claim is too old to run", retryLater), false
	}
	return t.agent.admission.mayRun(t.request, time.Now())
}

// abandon marks a claim as never to run and releases it when the log takes it.
func (t *serverTask) abandon(c *peerpb.Claim) {
	metrics.Add("claims_abandoned", 1)
	t.agent.runs.abandon(c.ClaimId, time.Now())
	t.agent.releases.release(c)
}

// free releases the reservation of a request that is not running.
func (t *serverTask) free(o core.Outcome) {
	t.agent.admission.released(t.admitted, o, time.Now())
}

// runClaim runs the request to its end, even when the caller goes, and stores
// the reply.
func (t *serverTask) runClaim(ctx context.Context, c *peerpb.Claim) {
	start := time.Now()
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.runTimeout())
	defer cancel()
	reply, err := t.callOnce(run)
	if errors.Is(err, desk.ErrNotSent) {
		t.free(core.Outcome{Cancelled: true})
		t.abandon(c)
		t.agent.watcher.poke()
		t.refuse(refuse(core.CodeNoServer, "the backend server does not accept connections", retryLater))
		return
	}
	if err != nil {
		t.lost(run, c, err)
		return
	}
	t.agent.runs.store(c.ClaimId, reply, time.Now())
	t.free(core.Outcome{Good: reply.status < http.StatusInternalServerError, Elapsed: time.Since(start)})
	head := &peerpb.ReplyHead{RequestId: t.head.RequestId, Status: reply.status, Headers: reply.headers}
	if t.send(&peerpb.Frame{Body: &peerpb.Frame_ReplyHead{ReplyHead: head}}) && t.sendBytes(t.gone, reply.body) {
		t.sendEnd(nil, nil, int64(len(reply.body)), false)
	}
}

// lost answers a run whose outcome is not known.
func (t *serverTask) lost(run context.Context, c *peerpb.Claim, err error) {
	t.agent.runs.lose(c.ClaimId, time.Now())
	broken := run.Err() == nil && !errors.Is(err, errTooLarge)
	crashed := broken && t.agent.crashed(t.admitted)
	t.free(core.Outcome{Crashed: crashed})
	t.log.Warn("run ended without a whole reply", zap.String("claim_id", c.ClaimId), zap.Error(err))
	t.sendEnd(err, nil, 0, crashed)
}

// callOnce sends the request once and reads the whole reply.
func (t *serverTask) callOnce(ctx context.Context) (storedReply, error) {
	r, err := t.backendRequest(ctx)
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
		limit = maxStoredReply
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, limit+1)); err != nil {
		return storedReply{}, fmt.Errorf("read reply: %w", err)
	}
	if int64(body.Len()) > limit {
		return storedReply{}, errTooLarge
	}
	return storedReply{status: int32(resp.StatusCode), headers: headersOf(resp.Header), body: body.Bytes()}, nil
}
