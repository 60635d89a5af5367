package configlog

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
)

// Limits of reading the log.
const (
	readLimit    = 1000
	retryDelay   = 200 * time.Millisecond
	feedTimeout  = 2 * time.Second
	minReadTime  = 50 * time.Millisecond
	noSeek       = -1
	maxRetryWait = time.Second
)

// reader is the state of reading the log. While seek is not noSeek, records
// before a usable checkpoint have expired: the reader looks for a checkpoint
// that covers at least all before first.
type reader struct {
	requests chan readRequest
	results  chan readResult
	busy     bool
	after    time.Time
	delay    time.Duration
	seek     int64
	first    int64
	fedAt    time.Time
	reached  bool
}

type readRequest struct {
	from int64
	wait time.Duration
}

type readResult struct {
	waited bool
	sentAt time.Time
	batch  core.Batch
	err    error
}

func newReader() reader {
	return reader{requests: make(chan readRequest, 1), results: make(chan readResult, 1), seek: noSeek}
}

// readLoop asks the log for one batch at a time.
func (t *task) readLoop() {
	for {
		select {
		case q := <-t.reader.requests:
			r := readResult{waited: q.wait > 0, sentAt: time.Now()}
			r.batch, r.err = t.f.cfg.Log.Read(t.ctx, core.StreamConfig, q.from, readLimit, q.wait)
			select {
			case t.reader.results <- r:
			case <-t.ctx.Done():
				return
			}
		case <-t.ctx.Done():
			return
		}
	}
}

// requestRead starts the next read. An agent leaves the log alone while an
// entry feeds it.
func (t *task) requestRead(now time.Time) {
	fed := t.f.cfg.Role == core.RoleAgent && now.Sub(t.reader.fedAt) < feedTimeout
	if t.reader.busy || fed || now.Before(t.reader.after) {
		return
	}
	from := t.fold.NextOffset()
	if t.reader.seek != noSeek {
		from = t.reader.seek
	}
	q := readRequest{from: from, wait: t.f.cfg.ReadWait}
	if !t.reader.reached {
		// The first read, and the first after a failure, must not wait to confirm.
		q.wait = 0
	}
	t.reader.busy = true
	t.reader.requests <- q
}

func (t *task) handleRead(r readResult) {
	t.reader.busy = false
	if t.reader.seek != noSeek && t.fold.NextOffset() >= t.reader.first {
		t.reader.seek = noSeek
	}
	switch {
	case errors.Is(r.err, core.ErrExpired):
		t.expired(r.batch)
		return
	case r.err != nil:
		t.readFailed(r.err)
		return
	}
	t.reader.delay = 0
	t.reader.reached = true
	if t.reader.seek != noSeek {
		t.seekCheckpoint(r)
	} else {
		t.apply(r.batch.Records)
	}
	if now := time.Now(); len(r.batch.Records) == 0 && r.waited && now.Sub(r.sentAt) < minReadTime {
		// The log did not wait. Asking again at once would only load it.
		t.reader.after = now.Add(retryDelay)
	}
	if t.reader.seek == noSeek && t.fold.NextOffset() >= r.batch.NextOffset {
		t.readAt = r.sentAt
	}
}

func (t *task) readFailed(err error) {
	t.reader.reached = false
	t.reader.delay = min(maxRetryWait, max(retryDelay, 2*t.reader.delay))
	t.reader.after = time.Now().Add(t.reader.delay/2 + jitter(t.reader.delay/2))
	metrics.Add("log_read_errors", 1)
	t.log.Warn("reading the config stream failed", zap.Error(err))
}

// expired starts the search for a checkpoint, unless a peer has moved the state
// past the lost records meanwhile.
func (t *task) expired(b core.Batch) {
	t.reader.reached = true
	if t.fold.NextOffset() >= b.FirstOffset {
		t.reader.seek = noSeek
		return
	}
	t.log.Warn("records have expired, looking for a checkpoint",
		zap.Int64("next_offset", t.fold.NextOffset()), zap.Int64("first_offset", b.FirstOffset))
	t.reader.seek, t.reader.first = b.FirstOffset, b.FirstOffset
}

// seekCheckpoint takes over the first checkpoint whose state starts at or after
// the first retained record.
func (t *task) seekCheckpoint(r readResult) {
	for _, rec := range r.batch.Records {
		if rec.Offset < t.reader.seek {
			continue
		}
		t.reader.seek = rec.Offset + 1
		offset, ok := config.CheckpointOffset(rec.Data)
		if !ok || offset < t.reader.first || offset > rec.Offset {
			continue
		}
		f, err := config.DecodeCheckpoint(rec.Data)
		if err != nil {
			t.log.Warn("checkpoint is invalid", zap.Int64("offset", rec.Offset), zap.Error(err))
			continue
		}
		if t.replace(f, time.Now()) {
			t.reader.seek = noSeek
			return
		}
	}
}
