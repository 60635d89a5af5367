package reportlog

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// interval is one or more intervals that wait for the log. idleFrom is the end
// of the interval before it.
type interval struct {
	idleFrom, start, end time.Time
	counter              *report.Counter
	dropped              int64
	closed               string
}

// state is what the task of a Reporter owns.
type state struct {
	cfg      Config
	counter  *report.Counter
	lastEnd  time.Time
	active   bool
	sequence int64

	pending []*interval
	// parts are the records of pending[0] that the log has not confirmed. A
	// record gets its number when it is first sent and keeps it, so that
	// intervals that were never sent can be merged without a gap.
	parts   []report.Record
	sending bool
	wait    bool
}

func newState(cfg Config, now time.Time) *state {
	return &state{cfg: cfg, counter: report.NewCounter(), lastEnd: now}
}

// count adds an event. The first one after an idle time is announced at once,
// so that an entry that dies before the end of the interval leaves a gap.
func (s *state) count(e event, now time.Time) {
	if !s.active {
		s.active = true
		s.push(&interval{idleFrom: s.lastEnd, start: now, end: now, counter: report.NewCounter()})
		s.lastEnd = now
	}
	if e.admitted {
		s.counter.CountAdmission(e.admission)
		return
	}
	s.counter.CountOutcome(e.outcome)
}

// endInterval takes the counts of the interval, or closes the reports when
// nothing happened.
func (s *state) endInterval(dropped int64, now time.Time) {
	if !s.active && dropped == 0 {
		return
	}
	if s.counter.Empty() && dropped == 0 {
		s.cut(0, report.ClosedIdle, now)
		s.active = false
		return
	}
	s.cut(dropped, "", now)
	s.active = true
}

// close ends the reports of this incarnation at a planned stop.
func (s *state) close(dropped int64, now time.Time) {
	if s.active || dropped > 0 || s.sequence > 0 || len(s.pending) > 0 {
		s.cut(dropped, report.ClosedStop, now)
	}
	s.active = false
}

func (s *state) cut(dropped int64, closed string, now time.Time) {
	start := s.lastEnd
	if !s.active && dropped == 0 {
		start = now
	}
	s.push(&interval{idleFrom: s.lastEnd, start: start, end: now, counter: s.counter, dropped: dropped, closed: closed})
	s.counter = report.NewCounter()
	s.lastEnd = now
}

// push queues an interval and merges the oldest ones that were never sent when
// there are too many.
func (s *state) push(i *interval) {
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

// next returns the record to send, if none is on its way.
func (s *state) next(now time.Time) ([]byte, bool) {
	if s.sending || s.wait || len(s.pending) == 0 {
		return nil, false
	}
	if len(s.parts) == 0 {
		s.split(s.pending[0])
	}
	p := s.parts[0]
	p.AgeMS = max(0, now.Sub(s.pending[0].end).Milliseconds())
	data, err := p.Encode()
	if err != nil {
		s.cfg.Logger.Error("encoding a report record failed; its sequence number stays missing", zap.Error(err))
		s.sent()
		return nil, false
	}
	s.sending = true
	return data, true
}

// split numbers the records of an interval.
func (s *state) split(i *interval) {
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

// sent drops the record that was sent.
func (s *state) sent() {
	s.parts = s.parts[1:]
	if len(s.parts) == 0 {
		s.pending = s.pending[1:]
	}
}

// sendingDone waits for the append that is on its way.
func (s *state) sendingDone(results <-chan error) {
	if s.sending {
		if err := <-results; err != nil {
			s.cfg.Logger.Warn("the last report record was not confirmed", zap.Error(err))
		}
	}
}

// refusedForGood reports that sending the record again cannot help.
func refusedForGood(err error) bool { return errors.Is(err, core.ErrInvalid) }
