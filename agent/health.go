package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Intervals and thresholds of health probes.
const (
	engineProbeInterval = 200 * time.Millisecond
	deskProbeInterval   = time.Second
	probeTimeout        = 500 * time.Millisecond
	// unhealthyThreshold is the number of consecutive probe timeouts after which
	// the backend server counts as down.
	unhealthyThreshold = 3
)

// healthTask probes the backend server to detect whether it is up and whether it
// has restarted.
type healthTask struct {
	agent    *Agent
	checks   chan crashCheck
	probeNow chan struct{}
	done     chan struct{}
	// consecutiveTimeouts counts the probe timeouts since the last probe that
	// ended in time.
	consecutiveTimeouts int
}

// crashCheck asks whether the given incarnation of the backend server has
// crashed.
type crashCheck struct {
	incarnation string
	answer      chan bool
}

func newHealthTask(a *Agent) *healthTask {
	return &healthTask{agent: a, checks: make(chan crashCheck), probeNow: make(chan struct{}, 1), done: make(chan struct{})}
}

func (t *healthTask) run(ctx context.Context) {
	defer close(t.done)
	for {
		t.probe(ctx)
		timer := time.NewTimer(t.interval())
		select {
		case <-timer.C:
		case <-t.probeNow:
		case c := <-t.checks:
			up, incarnation := t.probe(ctx)
			c.answer <- !up || incarnation != c.incarnation
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// checkCrashed records a broken run and reports whether the backend server has
// crashed since the run was admitted.
func (a *Agent) checkCrashed(rsv reservation) bool {
	a.admission.markBroken(rsv, time.Now())
	return a.health.crashed(rsv.incarnation)
}

// checkUnverified is like checkCrashed for a run whose reply may be whole. If the
// backend server lives, the run is not recorded as broken.
func (a *Agent) checkUnverified(rsv reservation) bool {
	if a.checkCrashed(rsv) {
		return true
	}
	a.admission.unmarkBroken(rsv)
	return false
}

// requestProbe makes the task probe without waiting for the interval. It does
// not block.
func (t *healthTask) requestProbe() {
	select {
	case t.probeNow <- struct{}{}:
	default:
	}
}

// crashed probes the backend server and reports whether the given incarnation,
// on which a run broke, is gone.
func (t *healthTask) crashed(incarnation string) bool {
	c := crashCheck{incarnation: incarnation, answer: make(chan bool, 1)}
	select {
	case t.checks <- c:
	case <-t.done:
		return false
	}
	return <-c.answer
}

func (t *healthTask) interval() time.Duration {
	if s, _ := t.agent.service(); s.Kind == core.ServiceModel {
		return engineProbeInterval
	}
	return deskProbeInterval
}

// probe probes the backend server and passes the result to the admission task.
// The incarnation of a plain service is always empty.
func (t *healthTask) probe(ctx context.Context) (up bool, incarnation string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	service, known := t.agent.service()
	if !known {
		return false, ""
	}
	var models []string
	var err error
	if service.Kind == core.ServiceModel {
		l, loadErr := t.agent.engine.Load(ctx)
		incarnation, models, err = l.Incarnation, l.Models, loadErr
	} else {
		err = t.agent.desk.Probe(ctx)
	}
	if err != nil {
		t.agent.log.Debug("backend server probe failed", zap.Error(err))
	}
	if t.onlySlow(err) {
		return true, t.lastIncarnation()
	}
	t.applyProbe(err == nil, incarnation, models)
	return err == nil, incarnation
}

// onlySlow reports whether a probe timed out but fewer than unhealthyThreshold in
// a row did, so that the backend server may just be busy.
func (t *healthTask) onlySlow(err error) bool {
	if !errors.Is(err, context.DeadlineExceeded) {
		t.consecutiveTimeouts = 0
		return false
	}
	t.consecutiveTimeouts++
	return t.consecutiveTimeouts < unhealthyThreshold
}

// lastIncarnation returns the incarnation that the last successful probe
// returned.
func (t *healthTask) lastIncarnation() string {
	seen := ""
	t.agent.admission.do(func(s *admissionState) { seen = s.incarnation })
	return seen
}

func (t *healthTask) applyProbe(up bool, incarnation string, models []string) {
	var report *peerpb.CrashReport
	t.agent.admission.do(func(s *admissionState) { report = s.observe(up, incarnation, models, time.Now()) })
	if report == nil {
		return
	}
	metrics.Add("crash_reports", 1)
	t.agent.log.Warn("backend server crashed", zap.String("crash_id", report.CrashId), zap.Int("requests", len(report.Fingerprints)))
	t.agent.broadcast(&peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: report}})
}

// observe updates the state with the result of a probe. It returns a report if
// the backend server has crashed while it held requests.
func (s *admissionState) observe(up bool, incarnation string, models []string, now time.Time) *peerpb.CrashReport {
	s.expireBrokenRuns(now)
	restarted := up && s.incarnation != "" && incarnation != s.incarnation
	wentDown := !up && s.up && len(s.brokenRuns) > 0
	// An engine that answers again with its old incarnation was only slow.
	cameBack := up && !s.up && (incarnation == "" || incarnation != s.incarnation)
	old := s.incarnation
	s.up = up
	if up {
		s.incarnation, s.models = incarnation, models
	}
	if restarted || cameBack {
		s.admitter.Restarted(now)
	}
	if !restarted && !wentDown {
		return nil
	}
	s.admitter.Restarted(now)
	return s.crashReport(old, restarted)
}

// crashReport returns a report with the fingerprints of the requests that the
// server held when it crashed, or nil if there are none. It clears the
// fingerprints, so that each request is reported for one crash only.
func (s *admissionState) crashReport(old string, restarted bool) *peerpb.CrashReport {
	var fingerprints []uint64
	for _, b := range s.brokenRuns {
		fingerprints = append(fingerprints, b.fingerprint)
	}
	s.brokenRuns = nil
	for id, f := range s.running {
		fingerprints = append(fingerprints, f)
		s.running[id] = 0
	}
	fingerprints = nonZeroFingerprints(fingerprints)
	if len(fingerprints) == 0 {
		return nil
	}
	s.crashCount++
	id := fmt.Sprintf("%s/%s/%s", s.cfg.Self.Id, s.cfg.Self.Incarnation, old)
	if old == "" || !restarted {
		id = fmt.Sprintf("%s/%d", id, s.crashCount)
	}
	return &peerpb.CrashReport{CrashId: id, Fingerprints: fingerprints}
}

func nonZeroFingerprints(list []uint64) []uint64 {
	var kept []uint64
	for _, f := range list {
		if f != 0 {
			kept = append(kept, f)
		}
	}
	return kept
}

// expireBrokenRuns drops broken runs that are too old to be attributed to a
// crash.
func (s *admissionState) expireBrokenRuns(now time.Time) {
	for len(s.brokenRuns) > 0 && now.Sub(s.brokenRuns[0].at) > brokenRunTTL {
		s.brokenRuns = s.brokenRuns[1:]
	}
}
