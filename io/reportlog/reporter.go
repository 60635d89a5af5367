// Package reportlog counts the outcomes of an entry, appends the counts to the
// reports stream of the platform's log and reads that stream.
package reportlog

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// Defaults and limits of a Reporter.
const (
	DefaultInterval = time.Minute
	DefaultQueueLen = 4096
	// DefaultMaxPending covers a log outage of ten default intervals before
	// intervals are merged.
	DefaultMaxPending = 10

	retryDelay = 500 * time.Millisecond
)

// Config configures a Reporter. Zero values of Interval, QueueLen and MaxPending
// mean the defaults, as does a MaxPending below 3.
type Config struct {
	EntryID     string
	Incarnation string
	Log         core.Log
	Interval    time.Duration
	// QueueLen bounds the events that wait to be counted.
	QueueLen int
	// MaxPending bounds the intervals that wait to be appended. Above it the
	// oldest ones are merged.
	MaxPending int
	Logger     *zap.Logger
}

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.QueueLen <= 0 {
		c.QueueLen = DefaultQueueLen
	}
	if c.MaxPending < 3 {
		c.MaxPending = DefaultMaxPending
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// event is an outcome, or an admission if admitted is true. It is passed by value,
// since two allocations per request cost more.
type event struct {
	admitted  bool
	admission report.Admission
	outcome   report.Outcome
}

// Reporter is a task that counts events and appends a record per interval. An idle
// entry appends nothing. Its methods are safe for concurrent use.
type Reporter struct {
	cfg    Config
	events chan event
	// dropped counts the events dropped since the last interval ended.
	dropped atomic.Int64
	// refusedTotal counts records that the log refused permanently.
	refusedTotal  expvar.Int
	appendedTotal expvar.Int
	droppedTotal  expvar.Int
	stop          chan struct{}
	done          chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc
}

// New starts the task. Stop ends it.
func New(cfg Config) *Reporter {
	cfg = cfg.withDefaults()
	r := &Reporter{
		cfg:    cfg,
		events: make(chan event, cfg.QueueLen),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.run()
	return r
}

// Admitted counts an admission and the credit it used. It never blocks.
func (r *Reporter) Admitted(a report.Admission) { r.enqueue(event{admitted: true, admission: a}) }

// Ended counts the final outcome of a request. It never blocks.
func (r *Reporter) Ended(o report.Outcome) { r.enqueue(event{outcome: o}) }

// enqueue drops the event if the queue is full.
func (r *Reporter) enqueue(e event) {
	select {
	case r.events <- e:
	default:
		r.dropped.Add(1)
		r.droppedTotal.Add(1)
	}
}

// Metrics returns the metrics of the task, for expvar.Publish.
func (r *Reporter) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("records_appended_total", &r.appendedTotal)
	m.Set("records_refused_total", &r.refusedTotal)
	m.Set("events_dropped_total", &r.droppedTotal)
	return m
}

// Done returns a channel that is closed when the task has ended.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Stop appends the last record and ends the task. It must be called once, and no
// event may be added afterwards. If ctx ends first, the counts that the log has not
// confirmed are lost and appear as a gap in reports.
func (r *Reporter) Stop(ctx context.Context) {
	close(r.stop)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	r.cancel()
	<-r.done
}

// phase returns an offset derived from the entry's id, so that the intervals of the
// entries do not all end at the same time.
func (r *Reporter) phase() time.Duration {
	return time.Duration(xxhash.Sum64String(r.cfg.EntryID) % uint64(r.cfg.Interval))
}

// untilIntervalEnd returns the time from now to the next end of an interval.
func (r *Reporter) untilIntervalEnd(now time.Time) time.Duration {
	interval := int64(r.cfg.Interval)
	rest := (int64(r.phase()) - now.UnixNano()%interval + interval) % interval
	if rest == 0 {
		rest = interval
	}
	return time.Duration(rest)
}

// run owns the state: it counts events, ends intervals and appends records.
func (r *Reporter) run() {
	defer close(r.done)
	s := newState(r.cfg, time.Now())
	end := time.NewTimer(r.untilIntervalEnd(time.Now()))
	defer end.Stop()
	retry := time.NewTimer(0)
	defer retry.Stop()
	results := make(chan error, 1)
	stop := r.stop
	for {
		r.send(s, results)
		select {
		case e := <-r.events:
			s.count(e, time.Now())
		case <-end.C:
			s.endInterval(r.dropped.Swap(0), time.Now())
			end.Reset(r.untilIntervalEnd(time.Now()))
		case err := <-results:
			r.handleAppend(s, err)
			if s.retryWait {
				retry.Reset(retryDelay)
			}
		case <-retry.C:
			s.retryWait = false
		case <-stop:
			stop = nil
			r.countQueued(s)
			s.closeReports(r.dropped.Swap(0), time.Now())
		case <-r.ctx.Done():
			s.awaitAppend(results)
			return
		}
		if stop == nil && len(s.pending) == 0 && !s.appendInFlight {
			return
		}
	}
}

// countQueued counts the events that are still in the queue.
func (r *Reporter) countQueued(s *state) {
	for {
		select {
		case e := <-r.events:
			s.count(e, time.Now())
		default:
			return
		}
	}
}

// send starts the append of the oldest record unless an append is in flight.
func (r *Reporter) send(s *state, results chan<- error) {
	data, ok := s.nextRecord(time.Now())
	if !ok {
		return
	}
	go func() {
		_, err := r.cfg.Log.Append(r.ctx, core.StreamReports, data)
		results <- err
	}()
}

// handleAppend handles the result of an append. A record whose append may have
// succeeded is sent again with the same sequence number.
func (r *Reporter) handleAppend(s *state, err error) {
	s.appendInFlight = false
	switch {
	case err == nil:
		r.appendedTotal.Add(1)
		s.removeSent()
	case isPermanent(err):
		r.refusedTotal.Add(1)
		r.cfg.Logger.Error("log refused a report record; its sequence number stays missing", zap.Error(err))
		s.removeSent()
	default:
		r.cfg.Logger.Warn("appending a report record failed", zap.Error(err))
		s.retryWait = true
	}
}
