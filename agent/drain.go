package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
)

// exclusiveWait bounds the wait of one exclusive request for an empty backend
// server. A refusal after it still comes within 3 s.
const exclusiveWait = 2 * time.Second

// drainer is an Admitter that can empty the backend server for one exclusive
// request.
type drainer interface {
	Drain(r core.Request, now time.Time) bool
	Draining(now time.Time) bool
}

// admitAlone admits a request. An exclusive one waits while the backend server
// is drained for it, unless the server is drained for another.
func (t *admissionTask) admitAlone(gone context.Context, r core.Request) (admitted, core.Refusal, bool) {
	start := time.Now()
	for {
		ad, refusal, ok := t.admit(r, time.Now())
		left := exclusiveWait - time.Since(start)
		if ok || !r.Exclusive || refusal.Code != core.CodeOverloaded || left <= 0 {
			t.noteDrain(r, ok, time.Since(start))
			return ad, refusal, ok
		}
		empty := t.drainFor(r, time.Now())
		if empty == nil || !waitEmpty(gone, empty, left) {
			return ad, refusal, ok
		}
	}
}

// waitEmpty reports false when the caller has gone.
func waitEmpty(gone context.Context, empty <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
	case <-gone.Done():
		return false
	}
	return true
}

// drainFor begins or continues a drain. It returns a channel that is closed
// when the backend server holds nothing, or nil when it is not drained for r.
func (t *admissionTask) drainFor(r core.Request, now time.Time) <-chan struct{} {
	var empty chan struct{}
	t.do(func(s *admissionState) {
		d, ok := s.admitter.(drainer)
		// An empty server refuses for other reasons, which no drain removes.
		if _, held, _, _ := s.admitter.Load(); held == 0 || !ok || !d.Drain(r, now) {
			return
		}
		empty = make(chan struct{})
		s.empty = append(s.empty, empty)
	})
	return empty
}

// wakeExclusive wakes the exclusive requests when nothing is held.
func (s *admissionState) wakeExclusive() {
	if _, held, _, _ := s.admitter.Load(); held > 0 {
		return
	}
	for _, c := range s.empty {
		close(c)
	}
	s.empty = nil
}

func (s *admissionState) draining(now time.Time) bool {
	d, ok := s.admitter.(drainer)
	return ok && d.Draining(now)
}

// noteDrain counts the waits of exclusive requests.
func (t *admissionTask) noteDrain(r core.Request, ok bool, waited time.Duration) {
	if !r.Exclusive {
		return
	}
	metrics.Add("exclusive_wait_ms", waited.Milliseconds())
	if ok {
		metrics.Add("exclusive_admitted", 1)
	} else {
		metrics.Add("exclusive_refused", 1)
	}
	t.cfg.Log.Debug("exclusive request", zap.String("request_id", r.ID), zap.Bool("admitted", ok), zap.Duration("waited", waited))
}
