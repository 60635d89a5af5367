package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Timing of reads from the store.
const (
	membersReadWait = 20 * time.Second
	// membersReadSpacing is the time between two reads of the members' topic, and
	// crashesReadSpacing of that of crashes. While many gateways start, and after the end
	// of many servers, each record would else end the long polls of all. Gateways tell each
	// other of crashes at once.
	membersReadSpacing = 2 * time.Second
	crashesReadSpacing = time.Second
	// minServersInterval is the minimum interval between reads of the servers'
	// topic, also when a refresh is requested.
	minServersInterval = 150 * time.Millisecond
	// The time between two reads after a failed one lies between half of the backoff and
	// the whole, and is at least half of minBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// topicWatcher reads one topic of the store and passes what it reads to apply.
type topicWatcher struct {
	gateway  *Gateway
	topic    core.Topic
	wait     time.Duration
	interval time.Duration
	// spacing is the least time between two reads. That of the operators' topic follows
	// from the number of gateways.
	spacing time.Duration
	apply   func(r topicRead)
	// refresh ends the wait between two reads early; it may be nil.
	refresh <-chan struct{}
	// readAt is when the last read has ended.
	readAt time.Time
	next   core.Position
	loaded bool
	failed bool
	// cancelRead ends the read in progress early, and interrupt the wait for the next one.
	cancelRead atomic.Pointer[context.CancelFunc]
	interrupt  chan struct{}
}

// run reads until ctx is done. It retries failed reads with exponential backoff and
// jitter, which count from the begin of the failed read.
func (w *topicWatcher) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		begun := time.Now()
		err := w.readOnce(ctx)
		if errors.Is(err, errReadAnew) {
			continue
		}
		if err == nil {
			backoff = minBackoff
			w.readAt = time.Now()
			w.sleep(ctx, w.readSpacing())
			w.sleep(ctx, min(w.interval, minServersInterval))
			if w.interval > minServersInterval {
				w.sleepUntilDue(ctx)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.readFailed(err)
		if errors.Is(err, core.ErrExpired) && w.loaded {
			// The newest records of all keys can still be read.
			w.loaded = false
			continue
		}
		w.sleep(ctx, max(jitter(backoff)-time.Since(begun), jitter(minBackoff)))
		backoff = min(w.maxBackoff(), 2*backoff)
	}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()/2))
}

// sleep waits for a time, which an interruption ends early.
func (w *topicWatcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-w.interrupt:
	case <-ctx.Done():
	}
}

// sleepUntilDue waits until this gateway has to read the servers itself. refresh and
// an interruption end it early.
func (w *topicWatcher) sleepUntilDue(ctx context.Context) {
	for d := w.serversDue(time.Now()); d > 0; d = w.serversDue(time.Now()) {
		select {
		case <-time.After(d):
			continue
		case <-w.refresh:
		case <-w.interrupt:
		case <-ctx.Done():
		}
		return
	}
}

// refreshServers requests an early read of the list of backend servers, after a
// server was not found at its listed address. It does not block.
func (g *Gateway) refreshServers() { signal(g.refreshServersSignal) }

// signal sends to a channel with a buffer of one, unless it is full.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// noEra is the era before the first answer of the store.
const noEra = -1

// seeEra records an era of the store. A new one makes all watchers read their topics
// anew.
func (g *Gateway) seeEra(era int64, source string) {
	for known := g.era.Load(); era > known; known = g.era.Load() {
		if !g.era.CompareAndSwap(known, era) {
			continue
		}
		if known == noEra {
			return
		}
		g.log.Warn("the store has come back from a copy; reading it anew", zap.Int64("era", era), zap.Int64("before", known),
			zap.String("source", source))
		g.interruptReads()
		return
	}
}

// interruptReads makes all watchers read their topics now.
func (g *Gateway) interruptReads() {
	for _, w := range g.watchers {
		w.interruptRead()
	}
}

// interruptRead ends the read in progress, or the wait for the next one.
func (w *topicWatcher) interruptRead() {
	if cancel := w.cancelRead.Load(); cancel != nil {
		(*cancel)()
	}
	signal(w.interrupt)
}

func (w *topicWatcher) readFailed(err error) {
	if !w.failed {
		w.gateway.log.Warn("store lost", zap.Int("topic", int(w.topic)), zap.Error(err))
	}
	w.failed = true
	g := w.gateway
	if w.topic == core.TopicOperator {
		// An outage must be known before the removals of lapsed servers are, which other
		// gateways may send.
		g.refreshServers()
	}
	g.task.Do(func() {
		if w.topic == core.TopicServers && !errors.Is(err, core.ErrExpired) {
			g.state.directory.StoreFailed(time.Now())
		}
	})
}

// readSucceeded records that the store has answered. After an outage, reads that other
// watchers have begun before may never be answered.
func (w *topicWatcher) readSucceeded() {
	if !w.failed {
		return
	}
	w.failed = false
	w.gateway.log.Info("store regained", zap.Int("topic", int(w.topic)), zap.Int64("next_offset", w.next.Offset))
	for _, other := range w.gateway.watchers {
		if other != w && (other.topic == core.TopicOperator || other.topic == core.TopicServers) {
			other.interruptRead()
		}
	}
}

// newWatchers returns the watchers of all topics.
func (g *Gateway) newWatchers() []*topicWatcher {
	list := []*topicWatcher{
		{gateway: g, topic: core.TopicOperator, apply: g.applyFunc(core.TopicOperator)},
		{gateway: g, topic: core.TopicServers, interval: g.cfg.ServersInterval, refresh: g.refreshServersSignal, apply: g.applyFunc(core.TopicServers)},
		{gateway: g, topic: core.TopicMembers, wait: membersReadWait, spacing: membersReadSpacing, apply: g.applyMembers},
		{gateway: g, topic: core.TopicCrashes, wait: crashesReadWait, spacing: crashesReadSpacing, apply: g.applyCrashes},
	}
	for _, w := range list {
		w.interrupt = make(chan struct{}, 1)
	}
	return list
}

// applyFunc returns the function that applies the records of a topic that were
// read from the store.
func (g *Gateway) applyFunc(t core.Topic) func(topicRead) {
	return func(r topicRead) {
		now := time.Now()
		err := g.task.Try(func() {
			if t == core.TopicServers && (r.full || r.AtEnd) {
				g.state.directory.StoreAnswered(now)
			}
			g.applyRecords(t, r.KeyedBatch, r.full, sourceStore, now)
			if r.AtEnd && g.state.directory.Settle(t, r.begun, now) == directory.ChangeServers {
				g.logServers(sourceStore)
				g.serversChanged(now)
			}
		})
		if err != nil {
			failures.Add("store_records", 1)
			g.log.Error("applying records of the store failed", zap.Int("topic", int(t)), zap.Int64("next_offset", r.Next.Offset), zap.Error(err))
		}
	}
}

// applyRecords applies records to the directory and propagates the changes. source
// is "store" or the id of a peer. It runs in the task.
func (g *Gateway) applyRecords(t core.Topic, b core.KeyedBatch, full bool, source string, now time.Time) {
	d := g.state.directory
	before, lateReports := d.Next(t), d.LateReports()
	var changes []directory.Change
	var err error
	if full {
		changes, err = d.Replace(t, b, now)
	} else {
		changes, err = d.Append(t, b, now)
	}
	if err != nil {
		g.log.Warn("invalid record", zap.String("source", source), zap.Error(err))
	}
	if n := d.LateReports() - lateReports; n > 0 {
		g.log.Info("reports of ended server processes not heeded", zap.Int("reports", n), zap.String("source", source))
	}
	if t == core.TopicServers && (source == sourceStore || before.Before(d.Next(t))) {
		g.state.serversLearnedAt = now
	}
	var deployment, servers bool
	for _, c := range changes {
		deployment = deployment || c == directory.ChangeDeployment
		servers = servers || c == directory.ChangeServers || c == directory.ChangeDrained
	}
	if deployment {
		dep := d.Deployment()
		g.setConfig(dep)
		g.callerServer.setLimits(dep.Limits)
		g.log.Info("configuration changed", zap.Int64("version", dep.Version), zap.String("source", source),
			zap.Int("routes", len(dep.Routes)), zap.Int("keys", len(dep.Keys)), zap.Duration("idle_timeout", dep.Limits.IdleTimeout),
			zap.Duration("header_timeout", dep.Limits.HeaderTimeout), zap.Int64("max_header_bytes", dep.Limits.MaxHeaderBytes))
	}
	if servers {
		g.logServers(source)
	}
	if deployment || servers {
		g.serversChanged(now)
	}
}

// logServers logs the number of known and usable backend servers.
func (g *Gateway) logServers(source string) {
	usable := 0
	list := g.state.directory.Servers()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		if s.Usable {
			usable++
		}
	}
	for id, left := range g.state.dispatcher.Paused(time.Now()) {
		if !listed[id] {
			g.log.Info("server has left the list during its pause", zap.String("server", id), zap.Duration("left", left))
		}
	}
	g.log.Info("backend servers changed", zap.String("source", source), zap.Int("known", len(list)),
		zap.Int("usable", usable), zap.Int64("next_offset", g.state.directory.Next(core.TopicServers).Offset))
}

// serversChanged passes the current servers to the dispatcher and to rank agents.
// It runs in the task.
func (g *Gateway) serversChanged(now time.Time) {
	d := g.state.directory
	list := d.Servers()
	g.updateSharers(now)
	g.state.dispatcher.SetServers(d.Deployment(), list, now)
	g.deliver(g.state.dispatcher.DispatchWaiting(now))
	g.checkReady(now)
	g.checkRegistered(now)
	g.state.groupViewDue = true
	g.broadcastGroupView(now)
}

// checkReady makes the gateway ready once it knows the configuration and the servers. It
// runs in the task.
func (g *Gateway) checkReady(now time.Time) {
	if g.ready.Load() {
		return
	}
	dep, servers := g.state.directory.Deployment(), g.state.directory.Servers()
	if dep == nil || len(servers) == 0 || !g.state.members.knowsServers(now, g.startedAt) {
		return
	}
	g.ready.Store(true)
	g.log.Info("gateway is ready", zap.Int64("version", dep.Version), zap.Int("servers", len(servers)))
}
