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
	// operatorWait is how long one read of the operators' topic waits for a
	// record. A connection that has gone silent is noticed after it.
	operatorWait = 2 * time.Second
	membersWait  = 20 * time.Second
	// leastInterval is the least time between two reads of the servers' topic.
	leastInterval = 150 * time.Millisecond
	firstBackoff  = 100 * time.Millisecond
	maxBackoff    = 800 * time.Millisecond
)

// follower reads one topic of the store.
type follower struct {
	gateway  *Gateway
	topic    core.Topic
	wait     time.Duration
	interval time.Duration
	apply    func(b core.KeyedBatch, full bool)
	// wake ends the pause between two reads; it may be nil.
	wake   <-chan struct{}
	next   int64
	known  bool
	failed bool
}

// run reads until ctx ends. Failed reads are repeated with a growing delay and
// jitter.
func (f *follower) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			backoff = firstBackoff
			f.pause(ctx, min(f.interval, leastInterval))
			f.pauseUntilWoken(ctx, f.interval-leastInterval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.lost(err)
		if errors.Is(err, core.ErrExpired) {
			f.known = false
		}
		f.pause(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
		backoff = min(maxBackoff, 2*backoff)
	}
}

func (f *follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pauseUntilWoken is pause, which wake ends too.
func (f *follower) pauseUntilWoken(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-f.wake:
	case <-ctx.Done():
	}
}

// readServersSoon has the list of backend servers read before its time: a server
// was not where the list says. It does not block.
func (g *Gateway) readServersSoon() {
	select {
	case g.wakeServers <- struct{}{}:
	default:
	}
}

// read takes the newest records of all keys once, and then what follows.
func (f *follower) read(ctx context.Context) error {
	if !f.known {
		b, err := f.gateway.cfg.Store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.known, f.next = true, b.NextOffset
		f.answered()
		f.apply(b, true)
		return nil
	}
	b, err := f.gateway.cfg.Store.Read(ctx, f.topic, f.next, f.wait)
	if err != nil {
		return err
	}
	f.answered()
	f.next = b.NextOffset
	f.apply(b, false)
	return nil
}

func (f *follower) lost(err error) {
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

func (f *follower) answered() {
	if f.failed {
		f.gateway.log.Info("store regained", zap.Int("topic", int(f.topic)), zap.Int64("next_offset", f.next))
	}
	f.failed = false
}

func (g *Gateway) followOperator(ctx context.Context) {
	f := &follower{gateway: g, topic: core.TopicOperator, wait: operatorWait, apply: g.applyFrom(core.TopicOperator)}
	f.run(ctx)
}

func (g *Gateway) followServers(ctx context.Context) {
	f := &follower{gateway: g, topic: core.TopicServers, interval: g.cfg.ServersInterval, wake: g.wakeServers,
		apply: g.applyFrom(core.TopicServers)}
	f.run(ctx)
}

// applyFrom returns the function that folds what the store says of a topic.
func (g *Gateway) applyFrom(t core.Topic) func(core.KeyedBatch, bool) {
	return func(b core.KeyedBatch, full bool) {
		now := time.Now()
		g.task.Do(func() {
			if t == core.TopicServers {
				g.state.directory.StoreAnswered(now)
			}
			g.fold(t, b, full, "store", now)
		})
	}
}

// fold applies records and makes known what they change. It runs in the task.
func (g *Gateway) fold(t core.Topic, b core.KeyedBatch, full bool, source string, now time.Time) {
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
		g.snap.Store(&snapshot{deployment: dep, routes: directory.NewRoutes(dep)})
		g.callers.setLimits(dep.Limits)
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
	g.deliver(g.state.dispatcher.Next(now))
	if d.Deployment() != nil && len(list) > 0 && !g.ready.Swap(true) {
		g.log.Info("gateway is ready", zap.Int64("version", d.Deployment().Version), zap.Int("servers", len(list)))
	}
	g.pushView()
}
