package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
)

// Timing of reads from the store.
const (
	// operatorReadWait is the long-poll timeout of reads of the operators' topic. It
	// is short because a dead connection is not detected before it ends.
	operatorReadWait = 2 * time.Second
	membersReadWait  = 20 * time.Second
	// minServersInterval is the minimum interval between reads of the servers'
	// topic, also when a refresh is requested.
	minServersInterval = 150 * time.Millisecond
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 800 * time.Millisecond
)

// topicWatcher reads one topic of the store and passes its records to apply. full
// is set for the newest records of all keys, which the first read returns.
type topicWatcher struct {
	gateway  *Gateway
	topic    core.Topic
	wait     time.Duration
	interval time.Duration
	apply    func(b core.KeyedBatch, full bool)
	// refresh ends the wait between two reads early; it may be nil.
	refresh    <-chan struct{}
	nextOffset int64
	loaded     bool
	failed     bool
}

// run reads until ctx is done. It retries failed reads with exponential backoff and
// jitter.
func (w *topicWatcher) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := w.read(ctx)
		if err == nil {
			backoff = minBackoff
			w.sleep(ctx, min(w.interval, minServersInterval))
			w.sleepUntilRefresh(ctx, w.interval-minServersInterval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.readFailed(err)
		if errors.Is(err, core.ErrExpired) {
			w.loaded = false
		}
		w.sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
		backoff = min(maxBackoff, 2*backoff)
	}
}

func (w *topicWatcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sleepUntilRefresh is like sleep, but refresh ends it early.
func (w *topicWatcher) sleepUntilRefresh(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-w.refresh:
	case <-ctx.Done():
	}
}

// refreshServers requests an early read of the list of backend servers, after a
// server was not found at its listed address. It does not block.
func (g *Gateway) refreshServers() {
	select {
	case g.refreshServersSignal <- struct{}{}:
	default:
	}
}

// read reads the newest records of all keys at first, and after that the records
// that follow.
func (w *topicWatcher) read(ctx context.Context) error {
	if !w.loaded {
		b, err := w.gateway.cfg.Store.Newest(ctx, w.topic)
		if err != nil {
			return err
		}
		w.loaded, w.nextOffset = true, b.NextOffset
		w.readSucceeded()
		w.apply(b, true)
		return nil
	}
	b, err := w.gateway.cfg.Store.Read(ctx, w.topic, w.nextOffset, w.wait)
	if err != nil {
		return err
	}
	w.readSucceeded()
	w.nextOffset = b.NextOffset
	w.apply(b, false)
	return nil
}

func (w *topicWatcher) readFailed(err error) {
	if !w.failed {
		w.gateway.log.Warn("store lost", zap.Int("topic", int(w.topic)), zap.Error(err))
	}
	w.failed = true
	g := w.gateway
	g.task.Do(func() {
		if w.topic == core.TopicServers && !errors.Is(err, core.ErrExpired) {
			g.state.directory.StoreFailed()
		}
	})
}

func (w *topicWatcher) readSucceeded() {
	if w.failed {
		w.gateway.log.Info("store regained", zap.Int("topic", int(w.topic)), zap.Int64("next_offset", w.nextOffset))
	}
	w.failed = false
}

func (g *Gateway) watchOperator(ctx context.Context) {
	w := &topicWatcher{gateway: g, topic: core.TopicOperator, wait: operatorReadWait, apply: g.applyFunc(core.TopicOperator)}
	w.run(ctx)
}

func (g *Gateway) watchServers(ctx context.Context) {
	w := &topicWatcher{gateway: g, topic: core.TopicServers, interval: g.cfg.ServersInterval, refresh: g.refreshServersSignal,
		apply: g.applyFunc(core.TopicServers)}
	w.run(ctx)
}

// applyFunc returns the function that applies the records of a topic that were
// read from the store.
func (g *Gateway) applyFunc(t core.Topic) func(core.KeyedBatch, bool) {
	return func(b core.KeyedBatch, full bool) {
		now := time.Now()
		g.task.Do(func() {
			if t == core.TopicServers {
				g.state.directory.StoreAnswered(now)
			}
			g.applyRecords(t, b, full, "store", now)
		})
	}
}

// applyRecords applies records to the directory and propagates the changes. source
// is "store" or the id of a peer. It runs in the task.
func (g *Gateway) applyRecords(t core.Topic, b core.KeyedBatch, full bool, source string, now time.Time) {
	d := g.state.directory
	var changes []directory.Change
	var err error
	if full {
		changes, err = d.Replace(t, b, now)
	} else {
		for _, r := range b.Records {
			c, e := d.Apply(t, r, now)
			if e != nil {
				err = e
			}
			changes = append(changes, c)
		}
		d.Advance(t, b.NextOffset)
	}
	if err != nil {
		g.log.Warn("invalid record", zap.String("source", source), zap.Error(err))
	}
	var deployment, servers bool
	for _, c := range changes {
		deployment = deployment || c == directory.ChangeDeployment
		servers = servers || c == directory.ChangeServers || c == directory.ChangeDrained
	}
	if deployment {
		dep := d.Deployment()
		g.currentConfig.Store(&configSnapshot{deployment: dep, routes: directory.NewRoutes(dep)})
		g.callerServer.setLimits(dep.Limits)
		g.log.Info("configuration changed", zap.Int64("version", dep.Version), zap.String("source", source),
			zap.Int("routes", len(dep.Routes)), zap.Int("keys", len(dep.Keys)))
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
	for _, s := range list {
		if s.Usable {
			usable++
		}
	}
	g.log.Info("backend servers changed", zap.String("source", source), zap.Int("known", len(list)),
		zap.Int("usable", usable), zap.Int64("next_offset", g.state.directory.NextOffset(core.TopicServers)))
}

// serversChanged passes the current servers to the dispatcher and to rank agents.
// It runs in the task.
func (g *Gateway) serversChanged(now time.Time) {
	d := g.state.directory
	list := d.Servers()
	g.state.dispatcher.SetServers(d.Deployment(), list, now)
	g.deliver(g.state.dispatcher.DispatchWaiting(now))
	if d.Deployment() != nil && len(list) > 0 && !g.ready.Swap(true) {
		g.log.Info("gateway is ready", zap.Int64("version", d.Deployment().Version), zap.Int("servers", len(list)))
	}
	g.checkRegistered(now)
	g.broadcastGroupView()
}
