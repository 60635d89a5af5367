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

// Times of the readers of the store.
const (
	// operatorReadWait is how long one read of the operators' topic waits for a
	// record. A connection that has gone silent is noticed after it.
	operatorReadWait = 2 * time.Second
	membersReadWait  = 20 * time.Second
	// minServersInterval is the least time between two reads of the servers' topic.
	minServersInterval = 150 * time.Millisecond
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 800 * time.Millisecond
)

// topicWatcher reads one topic of the store.
type topicWatcher struct {
	gateway  *Gateway
	topic    core.Topic
	wait     time.Duration
	interval time.Duration
	apply    func(b core.KeyedBatch, full bool)
	// refresh ends the pause between two reads; it may be nil.
	refresh    <-chan struct{}
	nextOffset int64
	loaded     bool
	failed     bool
}

// run reads until ctx ends. Failed reads are repeated with a growing delay and
// jitter.
func (f *topicWatcher) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			backoff = minBackoff
			f.sleep(ctx, min(f.interval, minServersInterval))
			f.sleepUntilRefresh(ctx, f.interval-minServersInterval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.readFailed(err)
		if errors.Is(err, core.ErrExpired) {
			f.loaded = false
		}
		f.sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
		backoff = min(maxBackoff, 2*backoff)
	}
}

func (f *topicWatcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sleepUntilRefresh is pause, which wake ends too.
func (f *topicWatcher) sleepUntilRefresh(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-f.refresh:
	case <-ctx.Done():
	}
}

// refreshServers has the list of backend servers read before its time: a server
// was not where the list says. It does not block.
func (g *Gateway) refreshServers() {
	select {
	case g.refreshServersSignal <- struct{}{}:
	default:
	}
}

// read takes the newest records of all keys once, and then what follows.
func (f *topicWatcher) read(ctx context.Context) error {
	if !f.loaded {
		b, err := f.gateway.cfg.Store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.loaded, f.nextOffset = true, b.NextOffset
		f.readSucceeded()
		f.apply(b, true)
		return nil
	}
	b, err := f.gateway.cfg.Store.Read(ctx, f.topic, f.nextOffset, f.wait)
	if err != nil {
		return err
	}
	f.readSucceeded()
	f.nextOffset = b.NextOffset
	f.apply(b, false)
	return nil
}

func (f *topicWatcher) readFailed(err error) {
	if !f.failed {
		f.gateway.log.Warn("store lost", zap.Int("topic", int(f.topic)), zap.Error(err))
	}
	f.failed = true
	g := f.gateway
	g.task.Do(func() {
		if f.topic == core.TopicServers && !errors.Is(err, core.ErrExpired) {
			g.state.directory.StoreFailed()
		}
	})
}

func (f *topicWatcher) readSucceeded() {
	if f.failed {
		f.gateway.log.Info("store regained", zap.Int("topic", int(f.topic)), zap.Int64("next_offset", f.nextOffset))
	}
	f.failed = false
}

func (g *Gateway) watchOperator(ctx context.Context) {
	f := &topicWatcher{gateway: g, topic: core.TopicOperator, wait: operatorReadWait, apply: g.applyFunc(core.TopicOperator)}
	f.run(ctx)
}

func (g *Gateway) watchServers(ctx context.Context) {
	f := &topicWatcher{gateway: g, topic: core.TopicServers, interval: g.cfg.ServersInterval, refresh: g.refreshServersSignal,
		apply: g.applyFunc(core.TopicServers)}
	f.run(ctx)
}

// applyFunc returns the function that folds what the store says of a topic.
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

// applyRecords applies records and makes known what they change. It runs in the task.
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
		g.log.Warn("record cannot be read", zap.String("source", source), zap.Error(err))
	}
	var deployment, servers bool
	for _, c := range changes {
		deployment = deployment || c == directory.ChangeDeployment
		servers = servers || c == directory.ChangeServers || c == directory.ChangeDrained
	}
	if deployment {
		dep := d.Deployment()
		g.snapshot.Store(&configSnapshot{deployment: dep, routes: directory.NewRoutes(dep)})
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

// logServers writes what is believed of the backend servers.
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

// serversChanged hands the servers to the dispatcher and to agents. It runs in
// the task.
func (g *Gateway) serversChanged(now time.Time) {
	d := g.state.directory
	list := d.Servers()
	g.state.dispatcher.SetServers(d.Deployment(), list, now)
	g.deliver(g.state.dispatcher.DispatchWaiting(now))
	if d.Deployment() != nil && len(list) > 0 && !g.ready.Swap(true) {
		g.log.Info("gateway is ready", zap.Int64("version", d.Deployment().Version), zap.Int("servers", len(list)))
	}
	g.broadcastGroupView()
}
