package configlog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

const (
	checkpointTimeout       = 10 * time.Second
	checkpointDelayPerEntry = time.Second
)

// checkpointTracker tracks the age of the oldest record that a new process must
// read: the newest checkpoint, or the first record that it does not cover if
// that is older.
type checkpointTracker struct {
	oldestNeeded  time.Time
	coveredOffset int64
	// notBefore is when the random delay before the next checkpoint ends.
	notBefore time.Time
	writing   bool
}

// observe updates the tracker for a record that was applied.
func (c *checkpointTracker) observe(r core.Record, recent recentRecords) {
	if c.oldestNeeded.IsZero() {
		c.oldestNeeded = r.Time
	}
	offset, ok := config.CheckpointOffset(r.Data)
	if !ok || offset < c.coveredOffset || offset > r.Offset {
		return
	}
	c.coveredOffset, c.oldestNeeded, c.notBefore = offset, r.Time, time.Time{}
	if tail, ok := recent.from(offset); ok && len(tail) > 0 {
		c.oldestNeeded = tail[0].Time
	}
}

// assumeAge is called after a snapshot was loaded, which does not contain the age
// of the newest checkpoint. A quarter of the retention is assumed.
func (c *checkpointTracker) assumeAge(now time.Time, retention time.Duration) {
	c.oldestNeeded, c.notBefore = now.Add(-retention/4), time.Time{}
}

// checkpointDelay returns the upper bound of the random delay.
func (t *task) checkpointDelay() time.Duration {
	return checkpointDelayBound(len(t.state.Configuration().EntrySet.Entries), t.f.cfg.CheckpointDelay, t.f.cfg.Retention)
}

// checkpointDelayBound grows with the number of entries, so that about one entry
// a second is due to write and the others read its checkpoint before they are
// due. The growth stops at a tenth of the retention, far below the half that is
// left when a checkpoint becomes necessary.
func checkpointDelayBound(entries int, least, retention time.Duration) time.Duration {
	return max(least, min(time.Duration(entries)*checkpointDelayPerEntry, retention/10))
}

// writeCheckpoint appends a checkpoint if the oldest needed record is older than
// half of the retention and no other process has written one during a random
// delay.
func (t *task) writeCheckpoint(now time.Time) {
	c := &t.checkpoints
	if t.f.cfg.Role != core.RoleEntry || c.writing || c.oldestNeeded.IsZero() || now.Sub(c.oldestNeeded) < t.f.cfg.Retention/2 {
		return
	}
	// Only a process that has recently read to the end of the log writes, so that
	// few records follow the state in the checkpoint.
	if !config.Fresh(t.logReadAt, now) {
		return
	}
	if c.notBefore.IsZero() {
		c.notBefore = now.Add(jitter(t.checkpointDelay()))
	}
	if now.Before(c.notBefore) {
		return
	}
	data, err := t.state.EncodeCheckpoint()
	if err != nil {
		t.log.Error("encoding a checkpoint failed", zap.Error(err))
		return
	}
	c.writing = true
	t.wg.Go(func() { t.appendCheckpoint(data) })
}

// appendCheckpoint appends a checkpoint in the background. The next attempt
// waits for a random delay again.
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
		t.checkpoints.writing = false
		t.checkpoints.notBefore = time.Now().Add(retryDelay + jitter(t.checkpointDelay()))
	})
}
