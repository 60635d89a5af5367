package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

const (
	// DefaultPublishTimeout applies if the context of Publish has no deadline.
	DefaultPublishTimeout = 5 * time.Second
	appendRetryDelay      = 250 * time.Millisecond
)

// waiter receives the final outcome of a change.
type waiter struct {
	changeID string
	outcome  chan config.Outcome
}

// Publish appends a change and waits for its outcome. The result is Accepted once
// a majority of the entry set has applied the change, Lost with the winner,
// Rejected with a reason, or Unknown if the deadline passes first. A repeat with
// the same change id returns the outcome of the first one. An error means that
// the change was not published: ErrInvalid, ErrRateLimited or ErrNotAppended.
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
	applied := false
	if !f.do(ctx, func(t *task) { t.waiters[w] = true; _, applied = t.state.Outcome(c.ChangeID) }) {
		return config.Outcome{}, fmt.Errorf("publish change %q: follower does not run: %w", c.ChangeID, core.ErrNotAppended)
	}
	defer f.do(context.Background(), func(t *task) { delete(t.waiters, w) })
	sent, err := applied, error(nil)
	if !applied {
		sent, err = f.appendChange(ctx, w, data)
	}
	if !sent {
		return config.Outcome{}, fmt.Errorf("publish change %q: %w", c.ChangeID, err)
	}
	return f.awaitOutcome(ctx, w, c)
}

// awaitOutcome waits for the outcome of a change that may be in the log.
func (f *Follower) awaitOutcome(ctx context.Context, w *waiter, c config.Change) (config.Outcome, error) {
	select {
	case o := <-w.outcome:
		if o.Digest != c.Digest() {
			return config.Outcome{}, fmt.Errorf("change id %q was used for another change: %w", c.ChangeID, core.ErrInvalid)
		}
		return o, nil
	case <-ctx.Done():
	case <-f.loopDone:
	}
	return config.Outcome{ChangeID: c.ChangeID, Object: c.Object, Result: config.Unknown,
		Reason: "no confirmed outcome before the deadline", Digest: c.Digest()}, nil
}

// appendChange retries the append until the log confirms it or the change has
// been applied. It reports whether the change may be in the log.
func (f *Follower) appendChange(ctx context.Context, w *waiter, data []byte) (bool, error) {
	sent := false
	for {
		err := f.appendFirstCheckpoint(ctx)
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
		case <-time.After(appendRetryDelay/2 + jitter(appendRetryDelay)):
		case <-ctx.Done():
			return sent, err
		case <-f.loopDone:
			return sent, err
		}
		if f.applied(ctx, w.changeID) {
			return true, nil
		}
	}
}

// appendFirstCheckpoint appends an empty checkpoint before the first change of an
// empty log. Version 0 means that an object does not exist, and a change at
// offset 0 would get that version.
func (f *Follower) appendFirstCheckpoint(ctx context.Context) error {
	if f.Current().NextOffset > 0 {
		return nil
	}
	data, err := config.New().EncodeCheckpoint()
	if err != nil {
		return err
	}
	if _, err := f.cfg.Log.Append(ctx, core.StreamConfig, data); err != nil {
		// The change itself was not sent yet.
		return fmt.Errorf("append first checkpoint: %w: %w", err, core.ErrNotAppended)
	}
	return nil
}

// applied reports whether the outcome of a change is known.
func (f *Follower) applied(ctx context.Context, changeID string) bool {
	ok := false
	f.do(ctx, func(t *task) { _, ok = t.state.Outcome(changeID) })
	return ok
}

// notifyWaiters notifies the waiters whose change is decided and, if accepted,
// applied by a majority.
func (t *task) notifyWaiters(fresh config.Freshness, now time.Time) {
	for w := range t.waiters {
		o, ok := t.state.Outcome(w.changeID)
		if !ok || o.Result == config.Accepted && !t.appliedByMajority(o.Offset, fresh, now) {
			continue
		}
		w.outcome <- o
		delete(t.waiters, w)
	}
}

// appliedByMajority reports whether a majority is, or once was, known to have
// applied the record at an offset.
func (t *task) appliedByMajority(offset int64, fresh config.Freshness, now time.Time) bool {
	if offset >= t.majorityOffset && fresh.AppliedByMajority(offset, now) {
		t.majorityOffset = offset + 1
	}
	return offset < t.majorityOffset
}

// Outcome returns the outcome of a change. An accepted change that a majority has
// not applied yet is Unknown. It returns false if the state has no outcome for the
// id.
func (f *Follower) Outcome(ctx context.Context, changeID string) (config.Outcome, bool) {
	var o config.Outcome
	found := false
	f.do(ctx, func(t *task) {
		o, found = t.state.Outcome(changeID)
		if found && o.Result == config.Accepted && !t.appliedByMajority(o.Offset, t.freshness(), time.Now()) {
			o.Result, o.Reason = config.Unknown, "not yet held by a majority of the entries"
		}
	})
	return o, found
}

// Object returns the object with a name.
func (f *Follower) Object(ctx context.Context, name string) (config.Object, bool) {
	var o config.Object
	found := false
	f.do(ctx, func(t *task) { o, found = t.state.Object(name) })
	return o, found
}

// Objects returns the objects of a kind, or all objects if kind is empty.
func (f *Follower) Objects(ctx context.Context, kind string) []config.Object {
	var list []config.Object
	f.do(ctx, func(t *task) { list = t.state.Objects(kind) })
	return list
}
