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
	maxReadRecords = 1000
	retryDelay     = 200 * time.Millisecond
	// entryConfirmationTTL is how long an agent does not read the log after an
	// entry has confirmed its position.
	entryConfirmationTTL = 2 * time.Second
	minLongPollTime      = 50 * time.Millisecond
	noSeek               = -1
	maxRetryDelay        = time.Second
)

// reader is the state of reading the log. While seekOffset is not noSeek, records
// that the state lacks have expired, and the reader searches from there for a
// checkpoint that covers at least all records before firstRetained.
type reader struct {
	requests         chan readRequest
	results          chan readResult
	inFlight         bool
	notBefore        time.Time
	backoff          time.Duration
	seekOffset       int64
	firstRetained    int64
	entryConfirmedAt time.Time
	readable         bool
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
	return reader{requests: make(chan readRequest, 1), results: make(chan readResult, 1), seekOffset: noSeek}
}

// readLoop reads one batch at a time from the log.
func (t *task) readLoop() {
	for {
		select {
		case q := <-t.reader.requests:
			r := readResult{waited: q.wait > 0, sentAt: time.Now()}
			r.batch, r.err = t.f.cfg.Log.Read(t.ctx, core.StreamConfig, q.from, maxReadRecords, q.wait)
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

// requestRead starts the next read. An agent does not read the log while an entry
// sends it confirmed positions.
func (t *task) requestRead(now time.Time) {
	confirmedByEntry := t.f.cfg.Role == core.RoleAgent && now.Sub(t.reader.entryConfirmedAt) < entryConfirmationTTL
	if t.reader.inFlight || confirmedByEntry || now.Before(t.reader.notBefore) {
		return
	}
	from := t.state.NextOffset()
	if t.reader.seekOffset != noSeek {
		from = t.reader.seekOffset
	}
	q := readRequest{from: from, wait: t.f.cfg.ReadWait}
	if !t.reader.readable {
		// The first read, and the first one after a failure, must not long-poll, since
		// its response confirms the configuration.
		q.wait = 0
	}
	t.reader.inFlight = true
	t.reader.requests <- q
}

func (t *task) handleRead(r readResult) {
	t.reader.inFlight = false
	if t.reader.seekOffset != noSeek && t.state.NextOffset() >= t.reader.firstRetained {
		t.reader.seekOffset = noSeek
	}
	switch {
	case errors.Is(r.err, core.ErrExpired):
		t.handleExpired(r.batch)
		return
	case r.err != nil:
		t.readFailed(r.err)
		return
	}
	t.reader.backoff = 0
	t.reader.readable = true
	if t.reader.seekOffset != noSeek {
		t.seekCheckpoint(r)
	} else {
		t.apply(r.batch.Records)
	}
	if now := time.Now(); len(r.batch.Records) == 0 && r.waited && now.Sub(r.sentAt) < minLongPollTime {
		// The log did not long-poll. An immediate retry would only load it.
		t.reader.notBefore = now.Add(retryDelay)
	}
	if t.reader.seekOffset == noSeek && t.state.NextOffset() >= r.batch.NextOffset {
		t.logReadAt = r.sentAt
	}
}

func (t *task) readFailed(err error) {
	t.reader.readable = false
	t.reader.backoff = min(maxRetryDelay, max(retryDelay, 2*t.reader.backoff))
	t.reader.notBefore = time.Now().Add(t.reader.backoff/2 + jitter(t.reader.backoff/2))
	metrics.Add("log_read_errors", 1)
	t.log.Warn("reading the config stream failed", zap.Error(err))
}

// handleExpired starts the search for a checkpoint, unless a peer has meanwhile
// advanced the state past the expired records.
func (t *task) handleExpired(b core.Batch) {
	t.reader.readable = true
	if t.state.NextOffset() >= b.FirstOffset {
		t.reader.seekOffset = noSeek
		return
	}
	t.log.Warn("records have expired; searching for a checkpoint",
		zap.Int64("next_offset", t.state.NextOffset()), zap.Int64("first_offset", b.FirstOffset))
	t.reader.seekOffset, t.reader.firstRetained = b.FirstOffset, b.FirstOffset
}

// seekCheckpoint loads the first valid checkpoint whose state is followed by
// retained records only.
func (t *task) seekCheckpoint(r readResult) {
	for _, rec := range r.batch.Records {
		if rec.Offset < t.reader.seekOffset {
			continue
		}
		t.reader.seekOffset = rec.Offset + 1
		offset, ok := config.CheckpointOffset(rec.Data)
		if !ok || offset < t.reader.firstRetained || offset > rec.Offset {
			continue
		}
		f, err := config.DecodeCheckpoint(rec.Data)
		if err != nil {
			t.log.Warn("checkpoint is invalid", zap.Int64("offset", rec.Offset), zap.Error(err))
			continue
		}
		if t.replaceState(f, time.Now()) {
			t.reader.seekOffset = noSeek
			return
		}
	}
}
