package configlog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Times of writing checkpoints.
const (
	checkpointTimeout = 10 * time.Second
	checkpointPause   = time.Second
)

// checkpoints tracks the age of the oldest record that a new process needs:
// the first one that the newest checkpoint does not cover, or that checkpoint.
type checkpoints struct {
	oldest time.Time
	offset int64
	// due is when the random delay before the next checkpoint ends.
	due  time.Time
	busy bool
}

// seen takes note of a folded record.
func (c *checkpoints) seen(r core.Record, rc recent) {
	if c.oldest.IsZero() {
		c.oldest = r.Time
	}
	offset, ok := config.CheckpointOffset(r.Data)
	if !ok || offset < c.offset || offset > r.Offset {
		return
	}
	c.offset, c.oldest, c.due = offset, r.Time, time.Time{}
	if tail, ok := rc.from(offset); ok && len(tail) > 0 {
		c.oldest = tail[0].Time
	}
}

// unknown is used after a snapshot, which does not tell the age of the newest
// checkpoint. It is then taken for a quarter of the retention.
func (c *checkpoints) unknown(now time.Time, retention time.Duration) {
	c.oldest, c.due = now.Add(-retention/4), time.Time{}
}

// checkpointDelay returns the bound of the random delay.
func (t *task) checkpointDelay() time.Duration {
	return spread(len(t.fold.Configuration().EntrySet.Entries), t.f.cfg.CheckpointDelay, t.f.cfg.Retention)
}

// spread lets about one entry a second write, so that the others read the first
// checkpoint before their turn. It stays far below the half of the retention
// that is left.
func spread(entries int, least, retention time.Duration) time.Duration {
	return max(least, min(time.Duration(entries)*checkpointPause, retention/10))
}

// writeCheckpoint appends a checkpoint when the oldest needed record is older
// than half of the retention and a random delay has passed without one.
func (t *task) writeCheckpoint(now time.Time) {
	c := &t.checkpoints
	if t.f.cfg.Role != core.RoleEntry || c.busy || c.oldest.IsZero() || now.Sub(c.oldest) < t.f.cfg.Retention/2 {
		return
	}
	// Only a process at the end of the log writes, so that the tail is short.
	if !config.Fresh(t.readAt, now) {
		return
	}
	if c.due.IsZero() {
		c.due = now.Add(jitter(t.checkpointDelay()))
	}
	if now.Before(c.due) {
		return
	}
	data, err := t.fold.EncodeCheckpoint()
	if err != nil {
		t.log.Error("encoding a checkpoint failed", zap.Error(err))
		return
	}
	c.busy = true
	t.wg.Go(func() { t.appendCheckpoint(data) })
}

// appendCheckpoint appends in the background. The wait before a retry is again
// a random delay.
func (t *task) appendCheckpoint(data []byte) {
	ctx, cancel := context.WithTimeout(t.ctx, checkpointTimeout)
	defer cancel()
	offset, err := t.f.cfg.Log.Append(ctx, core.StreamConfig, data)
	if err != nil {
		t.log.Warn("writing a checkpoint failed", zap.Error(err))
	} else {
		metrics.Add("checkpoints_written", 1)
		t.log.Info("checkpoint written", zap.Int64("offset", offset), zap.Int("bytes", len(data)))
	}
	t.f.do(t.ctx, func(t *task) {
		t.checkpoints.busy = false
		t.checkpoints.due = time.Now().Add(retryDelay + jitter(t.checkpointDelay()))
	})
}
