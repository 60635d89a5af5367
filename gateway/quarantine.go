package gateway

import (
	"slices"
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

// partFingerprints returns the hashes of the shared parts of a prompt.
func partFingerprints(service string, parts []string) []uint64 {
	var out []uint64
	for _, part := range parts {
		h := xxhash.New()
		_, _ = h.WriteString(service)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(part)
		out = append(out, h.Sum64())
	}
	return out
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

// quarantineVerdict tells whether a request may be sent now. reason is empty if so; then
// ambiguous holds the keys of which one request at a time may be sent. blocked is the
// fingerprint of the part of the prompt for which the request may not be sent.
type quarantineVerdict struct {
	reason     string
	retryAfter time.Duration
	blocked    uint64
	ambiguous  []uint64
}

// quarantineVerdict judges a request. It runs in the task.
func (g *Gateway) quarantineVerdict(a *attempts) quarantineVerdict {
	q := g.state.quarantine
	v := q.Judge(a.keys, time.Now())
	switch {
	case v.Status == core.QuarantineBlocked:
		return quarantineVerdict{reason: reasonCrashes, retryAfter: quarantineRetryAfter, blocked: v.Blocked}
	case g.trialRuns(a):
		return quarantineVerdict{reason: reasonTrialRunning, retryAfter: trialRetryAfter}
	case q.MayReach(a.keys, g.state.brokenRuns.CountSilent):
		return quarantineVerdict{reason: reasonServersSilent, retryAfter: trialRetryAfter}
	}
	return quarantineVerdict{ambiguous: v.Ambiguous}
}

// partName returns the name of the part of the prompt with a fingerprint, or "".
func (a *attempts) partName(fingerprint uint64) string {
	if i := slices.Index(a.keys.Parts, fingerprint); i >= 0 {
		return a.fields.SharedPromptParts[i]
	}
	return ""
}

// trialRuns reports whether another request is being tried that shares a key with this
// one. It runs in the task.
func (g *Gateway) trialRuns(a *attempts) bool {
	if len(g.state.trials) == 0 {
		return false
	}
	return slices.ContainsFunc(a.keys.All(), func(key uint64) bool {
		return g.state.trials[key] && !slices.Contains(a.trials, key)
	})
}

// checkQuarantine reports why a request may not be sent now.
func (g *Gateway) checkQuarantine(a *attempts) (reason string, retryAfter time.Duration) {
	if !g.hasCrashes.Load() {
		return "", 0
	}
	var v quarantineVerdict
	g.task.Do(func() { v = g.quarantineVerdict(a) })
	return a.apply(v)
}

// beginSend is like checkQuarantine. Of the requests with a key whose crashes are
// ambiguous, it allows one to be sent at a time.
func (g *Gateway) beginSend(a *attempts) (reason string, retryAfter time.Duration) {
	if !g.hasCrashes.Load() {
		return "", 0
	}
	var v quarantineVerdict
	g.task.Do(func() {
		v = g.quarantineVerdict(a)
		g.beginTrial(a, v)
	})
	return a.apply(v)
}

// beginTrial keeps other requests with the same keys from being sent meanwhile, if it is not
// known which of them crash servers. It runs in the task.
func (g *Gateway) beginTrial(a *attempts, v quarantineVerdict) {
	for _, key := range v.ambiguous {
		if !g.state.trials[key] {
			g.state.trials[key] = true
			a.trials = append(a.trials, key)
		}
	}
}

// apply records a verdict for the log, and returns why the request may not be sent.
func (a *attempts) apply(v quarantineVerdict) (reason string, retryAfter time.Duration) {
	if v.reason == reasonCrashes {
		a.blockedPart = a.partName(v.blocked)
	}
	return v.reason, v.retryAfter
}

// endTrial allows another request with the same keys to be sent.
func (g *Gateway) endTrial(a *attempts) {
	if len(a.trials) == 0 {
		return
	}
	g.task.Do(func() {
		for _, key := range a.trials {
			delete(g.state.trials, key)
		}
	})
}

// countCrash counts the end of a server's process against the request that it ran.
// It reports whether that tells the other gateways something new. It runs in the task.
func (g *Gateway) countCrash(c retry.Crash, source, evidence string) bool {
	q, now := g.state.quarantine, time.Now()
	before, crashes := isBlocked(q, c, now), q.Crashes(c.Fingerprint)
	c, counted := q.Add(c, now)
	if !counted {
		return false
	}
	g.hasCrashes.Store(true)
	if q.Crashes(c.Fingerprint) > crashes {
		quarantineEvents.Add("crashes_counted", 1)
	}
	blocked := isBlocked(q, c, now)
	g.log.Info("crash counted", fingerprintField(c.Fingerprint), zap.Bool("prompt_part", c.PromptPart), zap.String("process", c.ID),
		zap.Int("crashes", q.Crashes(c.Fingerprint)), zap.Bool("quarantined", blocked),
		zap.String("source", source), zap.String("evidence", evidence),
		zap.Duration("run_time", c.Ended.Sub(c.Started)), zap.Duration("age", now.Sub(c.Ended)))
	if blocked && !before {
		quarantineEvents.Add("requests_quarantined", 1)
		g.log.Warn("request is quarantined, since it crashes backend servers", fingerprintField(c.Fingerprint),
			zap.Bool("prompt_part", c.PromptPart), zap.Int("crashes", q.Crashes(c.Fingerprint)))
		for _, known := range q.CrashesOf(c.Fingerprint) {
			g.state.crashWrites.add(known, now.Add(saveDelay(source, blocked)))
		}
	} else if source != sourceStore && (!c.PromptPart || !q.ServedBefore(c.Fingerprint)) {
		// Parts that were served before mostly are again, before their crashes matter.
		g.state.crashWrites.add(c, now.Add(saveDelay(source, blocked)))
	}
	return true
}

// isBlocked reports whether a request, or each one with a part, is blocked.
func isBlocked(q *retry.Quarantine, c retry.Crash, now time.Time) bool {
	keys := retry.Keys{Request: c.Fingerprint}
	if c.PromptPart {
		keys = retry.Keys{Parts: []uint64{c.Fingerprint}}
	}
	return q.Judge(keys, now).Status == core.QuarantineBlocked
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
	return &peerpb.RequestCrash{Fingerprint: c.Fingerprint, PromptPart: c.PromptPart, ProcessId: c.ID,
		StartedMsAgo: now.Sub(c.Started).Milliseconds(), EndedMsAgo: now.Sub(c.Ended).Milliseconds()}
}

// requestCompleted clears a request that was served to its end, and its parts, here and at
// the other gateways. It runs in the task.
func (g *Gateway) requestCompleted(keys retry.Keys, now time.Time) {
	g.state.quarantine.PartsServed(keys.Parts, now)
	if !g.hasCrashes.Load() {
		return
	}
	for _, key := range keys.All() {
		g.state.brokenRuns.Completed(key)
	}
	g.clearEverywhere(keys.All(), now)
}

// clearEverywhere clears keys here and at the other gateways. It runs in the task.
func (g *Gateway) clearEverywhere(keys []uint64, at time.Time) {
	f := &peerpb.CrashRecords{}
	for _, key := range keys {
		if g.clearRequest(key, at, sourceSelf) {
			f.Served = append(f.Served, &peerpb.ServedRequest{Fingerprint: key, MsAgo: time.Since(at).Milliseconds()})
		}
	}
	if len(f.Served) > 0 {
		g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_CrashRecords{CrashRecords: f}})
	}
}

// expireBrokenRuns clears the parts of requests whose answers had begun when their runs
// broke off, at servers that lived on. It runs in the task.
func (g *Gateway) expireBrokenRuns(now time.Time) {
	for _, run := range g.state.brokenRuns.Expire(now) {
		if run.PromptPart {
			part := []uint64{run.Fingerprint}
			g.state.quarantine.PartsServed(part, run.Ended)
			g.clearEverywhere(part, run.Ended)
		}
	}
}

// clearRequest drops the crashes of a request that was served to its end at a time.
// It reports whether there were any. It runs in the task.
func (g *Gateway) clearRequest(fingerprint uint64, at time.Time, source string) bool {
	dropped := g.state.quarantine.Clear(fingerprint, at)
	if len(dropped) == 0 {
		return false
	}
	for _, c := range dropped {
		g.state.crashWrites.remove(c, time.Now().Add(saveDelay(source, true)))
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
		g.countKnownCrash(retry.Crash{Fingerprint: c.GetFingerprint(), PromptPart: c.GetPromptPart(), ID: c.GetProcessId(),
			Started: ago(c.GetStartedMsAgo()), Ended: ago(c.GetEndedMsAgo())}, source, now)
	}
	for _, r := range p.GetServed() {
		g.state.quarantine.PartsServed([]uint64{r.GetFingerprint()}, ago(r.GetMsAgo()))
		g.clearRequest(r.GetFingerprint(), ago(r.GetMsAgo()), source)
	}
}
