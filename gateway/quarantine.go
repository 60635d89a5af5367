package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/retry"
	"nutmegnotch/io/peer/peerpb"
)

// Retry-After of quarantined requests, and of requests of which it is not known yet
// whether they crash servers.
const (
	quarantineRetryAfter = 5 * time.Second
	trialRetryAfter      = time.Second
)

// Sources of what is known of a request, besides the ids of peers.
const (
	sourceSelf  = "self"
	sourceStore = "store"
)

// fingerprint returns a hash that is the same for repeated sends of a request, by
// its caller or by gateways.
func fingerprint(organisation, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{organisation, target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// fingerprintField returns the log field by which the lines about one request, its
// copies and its crashes are found.
func fingerprintField(fingerprint uint64) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(fingerprint, 16))
}

// Reasons for which a request is not sent to a server.
const (
	reasonCrashes      = "crashes_backend_servers"
	reasonTrialRunning = "another_copy_is_tried"
	// reasonServersSilent applies until it is known whether the servers to which a
	// request was sent have ended.
	reasonServersSilent = "its_servers_are_silent"
)

// quarantineReason returns why a request may not be sent now and the Retry-After, or
// an empty reason. It runs in the task.
func (g *Gateway) quarantineReason(a *attempts) (reason string, retryAfter time.Duration) {
	q, now := g.state.quarantine, time.Now()
	switch {
	case q.Status(a.fingerprint, now) == core.QuarantineBlocked:
		return reasonCrashes, quarantineRetryAfter
	case !a.isTrial && g.state.trials[a.fingerprint]:
		return reasonTrialRunning, trialRetryAfter
	case q.MayReach(a.fingerprint, g.state.brokenRuns.CountSilent(a.fingerprint)):
		return reasonServersSilent, trialRetryAfter
	}
	return "", 0
}

// checkQuarantine reports why a request may not be sent now.
func (g *Gateway) checkQuarantine(a *attempts) (reason string, retryAfter time.Duration) {
	if !g.hasCrashes.Load() {
		return "", 0
	}
	g.task.Do(func() { reason, retryAfter = g.quarantineReason(a) })
	return reason, retryAfter
}

// beginSend is like checkQuarantine. Of a request whose crashes are ambiguous, it
// allows one copy to be sent at a time.
func (g *Gateway) beginSend(a *attempts) (reason string, retryAfter time.Duration) {
	if !g.hasCrashes.Load() {
		return "", 0
	}
	g.task.Do(func() {
		reason, retryAfter = g.quarantineReason(a)
		if reason == "" && !a.isTrial && g.state.quarantine.IsAmbiguous(a.fingerprint, time.Now()) {
			g.state.trials[a.fingerprint], a.isTrial = true, true
		}
	})
	return reason, retryAfter
}

// endTrial allows another copy of the request to be sent.
func (g *Gateway) endTrial(a *attempts) {
	if a.isTrial {
		g.task.Do(func() { delete(g.state.trials, a.fingerprint) })
	}
}

// countCrash counts the end of a server's process against the request that it ran.
// It reports whether the crash was not known before. It runs in the task.
func (g *Gateway) countCrash(c retry.Crash, source, evidence string) bool {
	q, now := g.state.quarantine, time.Now()
	before := q.Status(c.Fingerprint, now)
	c, counted := q.Add(c, now)
	if !counted {
		return false
	}
	g.hasCrashes.Store(true)
	quarantineEvents.Add("crashes_counted", 1)
	status := q.Status(c.Fingerprint, now)
	g.log.Info("crash counted", fingerprintField(c.Fingerprint), zap.String("process", c.ID),
		zap.Int("crashes", q.Crashes(c.Fingerprint)), zap.Bool("quarantined", status == core.QuarantineBlocked),
		zap.String("source", source), zap.String("evidence", evidence),
		zap.Duration("run_time", c.Ended.Sub(c.Started)), zap.Duration("age", now.Sub(c.Ended)))
	if status == core.QuarantineBlocked && before != core.QuarantineBlocked {
		quarantineEvents.Add("requests_quarantined", 1)
		g.log.Warn("request is quarantined, since it crashes backend servers", fingerprintField(c.Fingerprint),
			zap.Int("crashes", q.Crashes(c.Fingerprint)))
		if source == sourceSelf {
			g.state.crashWrites.hasten(c.Fingerprint, now)
		}
	}
	if source != sourceStore {
		g.state.crashWrites.add(c, now.Add(saveDelay(source, status)))
	}
	return true
}

// serversEnded counts crashes for which there is evidence, and reports them to the
// other gateways. It runs in the task.
func (g *Gateway) serversEnded(crashes []retry.Crash, evidence string) {
	f := &peerpb.CrashRecords{}
	now := time.Now()
	for _, c := range crashes {
		if g.countCrash(c, sourceSelf, evidence) {
			f.Crashes = append(f.Crashes, requestCrash(c, now))
		}
	}
	if len(f.Crashes) > 0 {
		g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_CrashRecords{CrashRecords: f}})
	}
}

func requestCrash(c retry.Crash, now time.Time) *peerpb.RequestCrash {
	return &peerpb.RequestCrash{Fingerprint: c.Fingerprint, ProcessId: c.ID,
		StartedMsAgo: now.Sub(c.Started).Milliseconds(), EndedMsAgo: now.Sub(c.Ended).Milliseconds()}
}

// requestCompleted clears a request that was served to its end, here and at the
// other gateways.
func (g *Gateway) requestCompleted(a *attempts, status int) {
	if status < http.StatusOK || status >= http.StatusMultipleChoices || !g.hasCrashes.Load() {
		return
	}
	g.task.Do(func() {
		now := time.Now()
		g.state.brokenRuns.Completed(a.fingerprint)
		if !g.clearRequest(a.fingerprint, now, sourceSelf) {
			return
		}
		g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_CrashRecords{
			CrashRecords: &peerpb.CrashRecords{Served: []*peerpb.ServedRequest{{Fingerprint: a.fingerprint}}},
		}})
	})
}

// clearRequest drops the crashes of a request that was served to its end at a time.
// It reports whether there were any. It runs in the task.
func (g *Gateway) clearRequest(fingerprint uint64, at time.Time, source string) bool {
	dropped := g.state.quarantine.Clear(fingerprint, at)
	if len(dropped) == 0 {
		return false
	}
	for _, c := range dropped {
		g.state.crashWrites.remove(c, time.Now().Add(saveDelay(source, core.QuarantineBlocked)))
	}
	quarantineEvents.Add("requests_cleared", 1)
	g.log.Info("request cleared, since a backend server has served it", fingerprintField(fingerprint),
		zap.Int("crashes", len(dropped)), zap.String("source", source))
	return true
}

// countKnownCrash counts a crash of which a peer or the store tells, and those of this
// gateway's own runs that broke off at the same process. It runs in the task.
func (g *Gateway) countKnownCrash(c retry.Crash, source string, now time.Time) {
	if g.countCrash(c, source, "report") {
		g.serversEnded(g.state.brokenRuns.Ended(c.ID, now), "report")
	}
}

// applyCrashRecords applies what another gateway knows. It runs in the task.
func (g *Gateway) applyCrashRecords(p *peerpb.CrashRecords, source string, now time.Time) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	for _, c := range p.GetCrashes() {
		g.countKnownCrash(retry.Crash{Fingerprint: c.GetFingerprint(), ID: c.GetProcessId(),
			Started: ago(c.GetStartedMsAgo()), Ended: ago(c.GetEndedMsAgo())}, source, now)
	}
	for _, r := range p.GetServed() {
		g.clearRequest(r.GetFingerprint(), ago(r.GetMsAgo()), source)
	}
}
