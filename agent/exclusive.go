package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// maxExclusiveWait bounds how long an exclusive request waits for an empty
// backend server. It leaves time to answer the caller within 3 s.
const maxExclusiveWait = 2 * time.Second

// drainer is an optional interface of a core.Admitter that can drain the backend
// server for an exclusive request.
type drainer interface {
	Drain(r core.Request, now time.Time) bool
	Draining(now time.Time) bool
}

// admitExclusive admits a request like admit, but makes an exclusive request
// wait while the backend server is drained for it. It does not wait if the
// server is being drained for another request.
func (t *admissionTask) admitExclusive(callerCtx context.Context, r core.Request) (reservation, core.Refusal, bool) {
	start := time.Now()
	for {
		rsv, refusal, ok := t.admit(r, time.Now())
		left := maxExclusiveWait - time.Since(start)
		if ok || !r.Exclusive || refusal.Code != core.CodeOverloaded || left <= 0 {
			t.recordExclusiveWait(r, ok, time.Since(start))
			return rsv, refusal, ok
		}
		empty := t.drainFor(r, time.Now())
		if empty == nil || !waitEmpty(callerCtx, empty, left) {
			return rsv, refusal, ok
		}
	}
}

// waitEmpty waits until empty is closed or d has passed. It returns false if the
// caller disconnects first.
func waitEmpty(callerCtx context.Context, empty <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
	case <-callerCtx.Done():
		return false
	}
	return true
}

// drainFor starts or continues draining the backend server for r. It returns a
// channel that is closed when the server holds no request, or nil if the server
// is not drained for r.
func (t *admissionTask) drainFor(r core.Request, now time.Time) <-chan struct{} {
	var empty chan struct{}
	t.do(func(s *admissionState) {
		d, ok := s.admitter.(drainer)
		// An empty server refused r for a reason that draining cannot remove.
		if _, held, _, _ := s.admitter.Load(); held == 0 || !ok || !d.Drain(r, now) {
			return
		}
		empty = make(chan struct{})
		s.emptyWaiters = append(s.emptyWaiters, empty)
	})
	return empty
}

// wakeEmptyWaiters wakes the waiting exclusive requests if the backend server
// holds no request.
func (s *admissionState) wakeEmptyWaiters() {
	if _, held, _, _ := s.admitter.Load(); held > 0 {
		return
	}
	for _, c := range s.emptyWaiters {
		close(c)
	}
	s.emptyWaiters = nil
}

func (s *admissionState) draining(now time.Time) bool {
	d, ok := s.admitter.(drainer)
	return ok && d.Draining(now)
}

// recordExclusiveWait counts the result and the waiting time of an exclusive
// request.
func (t *admissionTask) recordExclusiveWait(r core.Request, ok bool, waited time.Duration) {
	if !r.Exclusive {
		return
	}
	metrics.Add("exclusive_wait_ms", waited.Milliseconds())
	if ok {
		metrics.Add("exclusive_admitted", 1)
	} else {
		metrics.Add("exclusive_refused", 1)
	}
	t.cfg.Log.Debug("exclusive request finished waiting for admission", zap.String("request_id", r.ID), zap.Bool("admitted", ok), zap.Duration("waited", waited))
}
