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
	// DefaultMaxPending bounds the intervals that wait for the log. It covers an
	// outage of ten default intervals without loss of resolution.
	DefaultMaxPending = 10

	retryPause = 500 * time.Millisecond
)

// Config is what a Reporter needs. Zero values of Interval, QueueLen and
// MaxPending get defaults.
type Config struct {
	EntryID     string
	Incarnation string
	Log         core.Log
	Interval    time.Duration
	// QueueLen bounds the events that wait to be counted.
	QueueLen int
	// MaxPending bounds the intervals that wait for the log. The oldest ones
	// beyond it are merged.
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

// event is an outcome, or an admission if admitted is true. It is copied, since
// two allocations per request cost more.
type event struct {
	admitted  bool
	admission report.Admission
	outcome   report.Outcome
}

// Reporter is the task that counts events and appends a record per interval. An
// idle entry appends nothing. Its methods are safe for concurrent use.
type Reporter struct {
	cfg     Config
	events  chan event
	dropped atomic.Int64
	// unreported counts records that the log refused for good.
	unreported expvar.Int
	appended   expvar.Int
	lost       expvar.Int
	stop       chan struct{}
	done       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
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

// Admitted counts spent credit. It never blocks.
func (r *Reporter) Admitted(a report.Admission) { r.put(event{admitted: true, admission: a}) }

// Ended counts a final outcome. It never blocks.
func (r *Reporter) Ended(o report.Outcome) { r.put(event{outcome: o}) }

func (r *Reporter) put(e event) {
	select {
	case r.events <- e:
	default:
		r.dropped.Add(1)
		r.lost.Add(1)
	}
}

// Metrics returns the metrics of the task, for expvar.Publish.
func (r *Reporter) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("records_appended_total", &r.appended)
	m.Set("records_refused_total", &r.unreported)
	m.Set("events_dropped_total", &r.lost)
	return m
}

// Done is closed when the task has ended.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// Stop appends the last record and ends the task. No event may be put after its
// call. When ctx ends first, what the log has not confirmed is lost and shows
// as a gap.
func (r *Reporter) Stop(ctx context.Context) {
	close(r.stop)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	r.cancel()
	<-r.done
}

// phase spreads the ends of intervals over entries.
func (r *Reporter) phase() time.Duration {
	return time.Duration(xxhash.Sum64String(r.cfg.EntryID) % uint64(r.cfg.Interval))
}

// firstEnd returns the time until the first interval ends.
func (r *Reporter) firstEnd(now time.Time) time.Duration {
	interval := int64(r.cfg.Interval)
	rest := (int64(r.phase()) - now.UnixNano()%interval + interval) % interval
	if rest == 0 {
		rest = interval
	}
	return time.Duration(rest)
}

// run counts events, ends intervals and hands records to the sender.
func (r *Reporter) run() {
	defer close(r.done)
	s := newState(r.cfg, time.Now())
	end := time.NewTimer(r.firstEnd(time.Now()))
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
			end.Reset(r.firstEnd(time.Now()))
		case err := <-results:
			r.answered(s, err)
			if s.wait {
				retry.Reset(retryPause)
			}
		case <-retry.C:
			s.wait = false
		case <-stop:
			stop = nil
			r.drain(s)
			s.close(r.dropped.Swap(0), time.Now())
		case <-r.ctx.Done():
			s.sendingDone(results)
			return
		}
		if stop == nil && len(s.pending) == 0 && !s.sending {
			return
		}
	}
}

func (r *Reporter) drain(s *state) {
	for {
		select {
		case e := <-r.events:
			s.count(e, time.Now())
		default:
			return
		}
	}
}

// send starts the append of the oldest record unless one is on its way.
func (r *Reporter) send(s *state, results chan<- error) {
	data, ok := s.next(time.Now())
	if !ok {
		return
	}
	go func() {
		_, err := r.cfg.Log.Append(r.ctx, core.StreamReports, data)
		results <- err
	}()
}

// answered takes the log's answer. A record without a clear answer is sent
// again with the same sequence number.
func (r *Reporter) answered(s *state, err error) {
	s.sending = false
	switch {
	case err == nil:
		r.appended.Add(1)
		s.sent()
	case refusedForGood(err):
		r.unreported.Add(1)
		r.cfg.Logger.Error("log refused a report record; its sequence number stays missing", zap.Error(err))
		s.sent()
	default:
		r.cfg.Logger.Warn("appending a report record failed", zap.Error(err))
		s.wait = true
	}
}
