package reportlog

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// interval holds the counts of one interval, or of several merged ones, that wait
// to be appended. idleFrom is the end of the previous interval.
type interval struct {
	idleFrom, start, end time.Time
	counter              *report.Counter
	dropped              int64
	closed               string
}

// state is owned by the task of a Reporter.
type state struct {
	cfg             Config
	counter         *report.Counter
	lastIntervalEnd time.Time
	active          bool
	sequence        int64

	pending []*interval
	// parts are the records of pending[0] that the log has not confirmed. A record
	// gets its sequence number when it is first sent and keeps it, so intervals
	// that were never sent can be merged without a gap in the numbers.
	parts          []report.Record
	appendInFlight bool
	retryWait      bool
}

func newState(cfg Config, now time.Time) *state {
	return &state{cfg: cfg, counter: report.NewCounter(), lastIntervalEnd: now}
}

// count counts an event. At the first one after an idle period, a record without
// counts is sent at once, so that a crash before the end of the interval appears
// as a gap.
func (s *state) count(e event, now time.Time) {
	if !s.active {
		s.active = true
		s.enqueue(&interval{idleFrom: s.lastIntervalEnd, start: now, end: now, counter: report.NewCounter()})
		s.lastIntervalEnd = now
	}
	if e.admitted {
		s.counter.CountAdmission(e.admission)
		return
	}
	s.counter.CountOutcome(e.outcome)
}

// endInterval queues the counts of the interval. If there are none, it queues a
// record that marks the entry as idle.
func (s *state) endInterval(dropped int64, now time.Time) {
	if !s.active && dropped == 0 {
		return
	}
	if s.counter.Empty() && dropped == 0 {
		s.finishInterval(0, report.ClosedIdle, now)
		s.active = false
		return
	}
	s.finishInterval(dropped, "", now)
	s.active = true
}

// closeReports queues the last record of this incarnation at a planned stop.
func (s *state) closeReports(dropped int64, now time.Time) {
	if s.active || dropped > 0 || s.sequence > 0 || len(s.pending) > 0 {
		s.finishInterval(dropped, report.ClosedStop, now)
	}
	s.active = false
}

// finishInterval queues the current counts and starts a new interval.
func (s *state) finishInterval(dropped int64, closed string, now time.Time) {
	start := s.lastIntervalEnd
	if !s.active && dropped == 0 {
		start = now
	}
	s.enqueue(&interval{idleFrom: s.lastIntervalEnd, start: start, end: now, counter: s.counter, dropped: dropped, closed: closed})
	s.counter = report.NewCounter()
	s.lastIntervalEnd = now
}

// enqueue queues an interval. Above MaxPending it merges the two oldest intervals
// that were never sent.
func (s *state) enqueue(i *interval) {
	s.pending = append(s.pending, i)
	if len(s.pending) <= s.cfg.MaxPending {
		return
	}
	at := 0
	if len(s.parts) > 0 {
		at = 1
	}
	a, b := s.pending[at], s.pending[at+1]
	a.counter.Merge(b.counter)
	a.end, a.closed, a.dropped = b.end, b.closed, a.dropped+b.dropped
	s.pending = append(s.pending[:at+1], s.pending[at+2:]...)
}

// nextRecord returns the record to send, or false if there is none, an append is in
// flight or the retry delay has not passed.
func (s *state) nextRecord(now time.Time) ([]byte, bool) {
	if s.appendInFlight || s.retryWait || len(s.pending) == 0 {
		return nil, false
	}
	if len(s.parts) == 0 {
		s.splitInterval(s.pending[0])
	}
	p := s.parts[0]
	p.AgeMS = max(0, now.Sub(s.pending[0].end).Milliseconds())
	data, err := p.Encode()
	if err != nil {
		s.cfg.Logger.Error("encoding a report record failed; its sequence number stays missing", zap.Error(err))
		s.removeSent()
		return nil, false
	}
	s.appendInFlight = true
	return data, true
}

// splitInterval splits an interval into numbered records.
func (s *state) splitInterval(i *interval) {
	r := report.Record{
		EntryID: s.cfg.EntryID, Incarnation: s.cfg.Incarnation, Sequence: s.sequence + 1,
		LengthMS: i.end.Sub(i.start).Milliseconds(), IdleMS: i.start.Sub(i.idleFrom).Milliseconds(),
		Closed: i.closed, Dropped: i.dropped, Counts: i.counter.Counts(),
	}
	parts, err := r.Split()
	if err != nil {
		s.cfg.Logger.Error("encoding a report record failed; its counts are reported as dropped", zap.Error(err))
		r.Dropped += int64(len(r.Counts))
		r.Counts = nil
		parts = []report.Record{r}
	}
	s.parts = parts
	s.sequence += int64(len(parts))
}

// removeSent removes the first record of the first interval.
func (s *state) removeSent() {
	s.parts = s.parts[1:]
	if len(s.parts) == 0 {
		s.pending = s.pending[1:]
	}
}

// awaitAppend waits for the append that is in flight.
func (s *state) awaitAppend(results <-chan error) {
	if s.appendInFlight {
		if err := <-results; err != nil {
			s.cfg.Logger.Warn("the last report record was not confirmed by the log", zap.Error(err))
		}
	}
}

// isPermanent reports whether a retry of the append cannot succeed.
func isPermanent(err error) bool { return errors.Is(err, core.ErrInvalid) }
