package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"nutmegnotch/core"
)

// topicRead is the result of a read of the store. full is set for the newest records of
// all keys, which the first read of an era returns. begun is when the read began.
type topicRead struct {
	core.KeyedBatch
	full  bool
	begun time.Time
}

// errReadAnew ends a read that was interrupted, when the store has begun a new era, which
// has to be read from its beginning, and after a pause of this process.
const errReadAnew = errors.ConstError("topic has to be read anew")

// readOnce makes one read, which an interruption ends early.
func (w *topicWatcher) readOnce(parent context.Context) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	w.cancelRead.Store(&cancel)
	era, begun := w.gateway.era.Load(), time.Now()
	r, err := w.fetch(ctx)
	if err == nil {
		err = w.accept(r)
	}
	interrupted := ctx.Err() != nil && parent.Err() == nil
	if err != nil && (interrupted || w.gateway.era.Load() > era || w.gateway.ownPauses.wokenSince(begun)) {
		return errReadAnew
	}
	return err
}

// fetch makes the next read. While the store is lost, a read that it has not answered is
// joined by further ones.
func (w *topicWatcher) fetch(ctx context.Context) (topicRead, error) {
	n := nextRead{topic: w.topic, from: w.next, full: !w.loaded || w.next.Era < w.gateway.era.Load(), wait: w.readWait()}
	if !w.failed {
		return w.gateway.read(ctx, n)
	}
	return w.gateway.readRepeatedly(ctx, n)
}

// nextRead says what a read of a topic asks for: the newest records of all keys if full
// is set, as at first and after each new era, and those from a position on otherwise.
type nextRead struct {
	topic core.Topic
	from  core.Position
	full  bool
	wait  time.Duration
}

func (g *Gateway) read(ctx context.Context, n nextRead) (topicRead, error) {
	begun := time.Now()
	if !n.full {
		b, err := g.cfg.Store.Read(ctx, n.topic, n.from, n.wait)
		return topicRead{b, false, begun}, err
	}
	b, err := g.cfg.Store.Newest(ctx, n.topic)
	if known := g.era.Load(); err == nil && b.Next.Era < known {
		err = fmt.Errorf("store answers from era %d, a gateway has seen era %d: %w", b.Next.Era, known, core.ErrUnavailable)
	}
	return topicRead{b, true, begun}, err
}

// readRepeatedly begins another read at an interval until one of them ends. A store that
// falls silent never answers what it was asked before its return, and one that is slow
// answers the first read.
func (g *Gateway) readRepeatedly(ctx context.Context, n nextRead) (topicRead, error) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		topicRead
		err error
	}
	results := make(chan result)
	wg := conc.NewWaitGroup()
	defer wg.Wait()
	defer cancel()
	t := time.NewTicker(silentReadInterval(int(g.activeGateways.Load())))
	defer t.Stop()
	for {
		wg.Go(func() {
			r, err := g.read(ctx, n)
			select {
			case results <- result{r, err}:
			case <-ctx.Done():
			}
		})
		select {
		case r := <-results:
			return r.topicRead, r.err
		case <-t.C:
		case <-ctx.Done():
			return topicRead{}, fmt.Errorf("read topic %d: %w", n.topic, ctx.Err())
		}
	}
}

// accept applies what was read.
func (w *topicWatcher) accept(r topicRead) error {
	w.readSucceeded()
	if !r.full && r.Next.Era != w.next.Era {
		w.gateway.seeEra(r.Next.Era, sourceStore)
		return errReadAnew
	}
	w.loaded, w.next = true, r.Next
	if r.full {
		w.gateway.seeEra(r.Next.Era, sourceStore)
	}
	w.apply(r)
	if r.full || r.AtEnd {
		w.gateway.ownPauses.confirm(w.topic, r.begun)
	}
	return nil
}
