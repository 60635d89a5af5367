package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Times of publishing.
const (
	// DefaultPublishTimeout holds when the context of Publish has none.
	DefaultPublishTimeout = 5 * time.Second
	appendRetry           = 250 * time.Millisecond
)

// waiter waits for the final outcome of a change.
type waiter struct {
	changeID string
	outcome  chan config.Outcome
}

// Publish appends a change and waits for its outcome. The result is Accepted
// only when a majority of the entry set holds the change, Lost with the winner,
// Rejected with a reason, or Unknown when the deadline came first. A repeat with
// the same change id ends in the outcome of the first. An error means that the
// change was not published: ErrInvalid, ErrRateLimited or ErrNotAppended.
func (f *Follower) Publish(ctx context.Context, c config.Change) (config.Outcome, error) {
	if err := c.Check(); err != nil {
		return config.Outcome{}, fmt.Errorf("publish change %q: %w", c.ChangeID, err)
	}
	data, err := c.Encode()
	if err != nil {
		return config.Outcome{}, fmt.Errorf("publish: %w", err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultPublishTimeout)
		defer cancel()
	}
	w := &waiter{changeID: c.ChangeID, outcome: make(chan config.Outcome, 1)}
	folded := false
	if !f.do(ctx, func(t *task) { t.waiters[w] = true; _, folded = t.fold.Outcome(c.ChangeID) }) {
		return config.Outcome{}, fmt.Errorf("publish change %q: follower does not run: %w", c.ChangeID, core.ErrNotAppended)
	}
	defer f.do(context.Background(), func(t *task) { delete(t.waiters, w) })
	sent, err := folded, error(nil)
	if !folded {
		sent, err = f.appendChange(ctx, w, data)
	}
	if !sent {
		return config.Outcome{}, fmt.Errorf("publish change %q: %w", c.ChangeID, err)
	}
	return f.await(ctx, w, c)
}

// await waits for the outcome of a change that may be in the log.
func (f *Follower) await(ctx context.Context, w *waiter, c config.Change) (config.Outcome, error) {
	select {
	case o := <-w.outcome:
		if o.Digest != c.Digest() {
			return config.Outcome{}, fmt.Errorf("change id %q was used for another change: %w", c.ChangeID, core.ErrInvalid)
		}
		return o, nil
	case <-ctx.Done():
	case <-f.ended:
	}
	return config.Outcome{ChangeID: c.ChangeID, Object: c.Object, Result: config.Unknown,
		Reason: "no confirmed outcome before the deadline", Digest: c.Digest()}, nil
}

// appendChange appends until an append is answered or the change is folded. It
// reports whether the change may be in the log.
func (f *Follower) appendChange(ctx context.Context, w *waiter, data []byte) (bool, error) {
	sent := false
	for {
		err := f.occupyFirstOffset(ctx)
		if err == nil {
			_, err = f.cfg.Log.Append(ctx, core.StreamConfig, data)
		}
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, core.ErrInvalid):
			return sent, err
		case !errors.Is(err, core.ErrRateLimited) && !errors.Is(err, core.ErrNotAppended):
			sent = true
		}
		metrics.Add("append_retries", 1)
		select {
		case <-time.After(appendRetry/2 + jitter(appendRetry)):
		case <-ctx.Done():
			return sent, err
		case <-f.ended:
			return sent, err
		}
		if f.folded(ctx, w.changeID) {
			return true, nil
		}
	}
}

// occupyFirstOffset puts an empty checkpoint in front of the first change,
// since version 0 means absence and a change at offset 0 would have it.
func (f *Follower) occupyFirstOffset(ctx context.Context) error {
	if f.Current().NextOffset > 0 {
		return nil
	}
	data, err := config.New().EncodeCheckpoint()
	if err != nil {
		return err
	}
	if _, err := f.cfg.Log.Append(ctx, core.StreamConfig, data); err != nil {
		// Nothing of the change itself was sent yet.
		return fmt.Errorf("append first checkpoint: %w: %w", err, core.ErrNotAppended)
	}
	return nil
}

func (f *Follower) folded(ctx context.Context, changeID string) bool {
	ok := false
	f.do(ctx, func(t *task) { _, ok = t.fold.Outcome(changeID) })
	return ok
}

// answerWaiters answers those whose change is decided and, when accepted, held
// by a majority.
func (t *task) answerWaiters(fresh config.Freshness, now time.Time) {
	for w := range t.waiters {
		o, ok := t.fold.Outcome(w.changeID)
		if !ok || o.Result == config.Accepted && !t.held(o.Offset, fresh, now) {
			continue
		}
		w.outcome <- o
		delete(t.waiters, w)
	}
}

// held reports whether the record at an offset is, or was, held by a majority.
func (t *task) held(offset int64, fresh config.Freshness, now time.Time) bool {
	if offset >= t.heldUpTo && fresh.AppliedByMajority(offset, now) {
		t.heldUpTo = offset + 1
	}
	return offset < t.heldUpTo
}

// Outcome returns the outcome of a change id. An accepted change that is not
// yet held by a majority is Unknown. It reports false for an id that is not
// remembered.
func (f *Follower) Outcome(ctx context.Context, changeID string) (config.Outcome, bool) {
	var o config.Outcome
	found := false
	f.do(ctx, func(t *task) {
		o, found = t.fold.Outcome(changeID)
		if found && o.Result == config.Accepted && !t.held(o.Offset, t.freshness(), time.Now()) {
			o.Result, o.Reason = config.Unknown, "not yet held by a majority of the entries"
		}
	})
	return o, found
}

// Object returns an object by its name.
func (f *Follower) Object(ctx context.Context, name string) (config.Object, bool) {
	var o config.Object
	found := false
	f.do(ctx, func(t *task) { o, found = t.fold.Object(name) })
	return o, found
}

// Objects returns the objects of a kind; an empty kind stands for all.
func (f *Follower) Objects(ctx context.Context, kind string) []config.Object {
	var list []config.Object
	f.do(ctx, func(t *task) { list = t.fold.Objects(kind) })
	return list
}
