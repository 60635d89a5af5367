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

// Times of the watcher.
const (
	engineProbeInterval = 200 * time.Millisecond
	deskProbeInterval   = time.Second
	probeTimeout        = 500 * time.Millisecond
	// lateProbes in a row mean that the backend server is down.
	lateProbes = 3
)

// watcherTask follows the backend server: whether it answers, and whether it
// has restarted.
type watcherTask struct {
	agent  *Agent
	checks chan check
	poked  chan struct{}
	done   chan struct{}
	// late counts the probes in a row that got no answer in time.
	late int
}

// check asks whether the given incarnation of the backend server has crashed.
type check struct {
	incarnation string
	answer      chan bool
}

func newWatcherTask(a *Agent) *watcherTask {
	return &watcherTask{agent: a, checks: make(chan check), poked: make(chan struct{}, 1), done: make(chan struct{})}
}

func (t *watcherTask) run(ctx context.Context) {
	defer close(t.done)
	for {
		t.probe(ctx)
		timer := time.NewTimer(t.interval())
		select {
		case <-timer.C:
		case <-t.poked:
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

// crashed marks a broken run and reports whether the backend server crashed
// under it.
func (a *Agent) crashed(ad admitted) bool {
	a.admission.broke(ad, time.Now())
	return a.watcher.crashed(ad.incarnation)
}

// poke asks for a probe soon. It does not block.
func (t *watcherTask) poke() {
	select {
	case t.poked <- struct{}{}:
	default:
	}
}

// crashed reports whether the incarnation that a broken run ran on is gone.
func (t *watcherTask) crashed(incarnation string) bool {
	c := check{incarnation: incarnation, answer: make(chan bool, 1)}
	select {
	case t.checks <- c:
	case <-t.done:
		return false
	}
	return <-c.answer
}

func (t *watcherTask) interval() time.Duration {
	if s, _ := t.agent.service(); s.Kind == core.ServiceModel {
		return engineProbeInterval
	}
	return deskProbeInterval
}

// probe asks the backend server and tells the admission task what it saw. A
// plain service has no incarnations; its is always empty.
func (t *watcherTask) probe(ctx context.Context) (up bool, incarnation string) {
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
		t.agent.log.Debug("probe of the backend server failed", zap.Error(err))
	}
	if t.slow(err) {
		return true, t.incarnation()
	}
	t.tell(err == nil, incarnation, models)
	return err == nil, incarnation
}

// slow reports whether a failed probe shows a busy backend server rather than
// one that is down.
func (t *watcherTask) slow(err error) bool {
	if !errors.Is(err, context.DeadlineExceeded) {
		t.late = 0
		return false
	}
	t.late++
	return t.late < lateProbes
}

// incarnation returns the incarnation that was seen last.
func (t *watcherTask) incarnation() string {
	seen := ""
	t.agent.admission.do(func(s *admissionState) { seen = s.incarnation })
	return seen
}

func (t *watcherTask) tell(up bool, incarnation string, models []string) {
	var report *peerpb.CrashReport
	t.agent.admission.do(func(s *admissionState) { report = s.observe(up, incarnation, models, time.Now()) })
	if report == nil {
		return
	}
	metrics.Add("crash_reports", 1)
	t.agent.log.Warn("backend server crashed", zap.String("crash_id", report.CrashId), zap.Int("requests", len(report.Fingerprints)))
	t.agent.broadcast(&peerpb.Frame{Body: &peerpb.Frame_CrashReport{CrashReport: report}})
}

// observe takes over what the watcher saw. It returns a report when the backend
// server has crashed while it held requests.
func (s *admissionState) observe(up bool, incarnation string, models []string, now time.Time) *peerpb.CrashReport {
	s.forgetBroken(now)
	restarted := up && s.incarnation != "" && incarnation != s.incarnation
	died := !up && s.up && len(s.broken) > 0
	// An engine that comes back with its old incarnation was only slow.
	cameBack := up && !s.up && (incarnation == "" || incarnation != s.incarnation)
	old := s.incarnation
	s.up = up
	if up {
		s.incarnation, s.models = incarnation, models
	}
	if restarted || cameBack {
		s.admitter.Restarted(now)
	}
	if !restarted && !died {
		return nil
	}
	s.admitter.Restarted(now)
	return s.crashReport(old, restarted)
}

// crashReport names what was held when the server crashed. The requests of a
// crash are reported once: those that are still ending have been named too.
func (s *admissionState) crashReport(old string, restarted bool) *peerpb.CrashReport {
	var fingerprints []uint64
	for _, b := range s.broken {
		fingerprints = append(fingerprints, b.fingerprint)
	}
	s.broken = nil
	for id, f := range s.running {
		fingerprints = append(fingerprints, f)
		s.running[id] = 0
	}
	fingerprints = nonZero(fingerprints)
	if len(fingerprints) == 0 {
		return nil
	}
	s.crashes++
	id := fmt.Sprintf("%s/%s/%s", s.cfg.Self.Id, s.cfg.Self.Incarnation, old)
	if old == "" || !restarted {
		id = fmt.Sprintf("%s/%d", id, s.crashes)
	}
	return &peerpb.CrashReport{CrashId: id, Fingerprints: fingerprints}
}

func nonZero(list []uint64) []uint64 {
	var kept []uint64
	for _, f := range list {
		if f != 0 {
			kept = append(kept, f)
		}
	}
	return kept
}

// forgetBroken drops broken runs that no crash explains.
func (s *admissionState) forgetBroken(now time.Time) {
	for len(s.broken) > 0 && now.Sub(s.broken[0].at) > brokenAge {
		s.broken = s.broken[1:]
	}
}
