package entry

import (
	"context"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
	"nutmegnotch/task"
)

// minReplyBytes is the smallest reservation for a reply, so that headers and
// short replies need no flow control.
const minReplyBytes = 4 << 10

// replyMemory is the task that owns the reply budget.
type replyMemory struct {
	*task.Task
	budget  core.ReplyBudget
	metrics *metrics
}

func startReplyMemory(ctx context.Context, b core.ReplyBudget, m *metrics) *replyMemory {
	return &replyMemory{Task: startTask(ctx), budget: b, metrics: m}
}

// reserve reserves want bytes for a reply, or a smaller window if memory is short.
// limit is the limit of the organisation.
func (m *replyMemory) reserve(organisation string, want, limit int64) (core.Reservation, bool) {
	var r core.Reservation
	var ok bool
	m.Do(func() {
		r, ok = m.budget.Reserve(organisation, max(want, minReplyBytes), limit)
		if ok && r.Window {
			m.metrics.replyWindows.Add(1)
		}
		m.updateMetrics()
	})
	return r, ok
}

func (m *replyMemory) release(r core.Reservation) {
	m.Do(func() {
		m.budget.Release(r)
		m.updateMetrics()
	})
}

// reserveUpload reserves memory for a whole upload. It reserves the upload in
// pieces of at most reply.WindowBytes: for a larger piece the budget may grant a
// window only, and an upload needs all of its memory.
func (m *replyMemory) reserveUpload(_ context.Context, organisation string, bytes, limit int64) (func(), bool) {
	var reservations []core.Reservation
	complete := false
	m.Do(func() {
		for bytes > 0 {
			piece := min(bytes, reply.WindowBytes)
			r, ok := m.budget.Reserve(organisation, piece, limit)
			if !ok {
				break
			}
			reservations = append(reservations, r)
			bytes -= piece
		}
		complete = bytes <= 0
		if !complete {
			m.releaseAll(reservations)
		}
		m.updateMetrics()
	})
	if !complete {
		return nil, false
	}
	return func() { m.Do(func() { m.releaseAll(reservations); m.updateMetrics() }) }, true
}

func (m *replyMemory) releaseAll(reservations []core.Reservation) {
	for _, r := range reservations {
		m.budget.Release(r)
	}
}

func (m *replyMemory) updateMetrics() {
	_, all := m.budget.Held("")
	m.metrics.replyBytesReserved.Set(all)
}

func (m *replyMemory) reservedBytes() int64 { return m.metrics.replyBytesReserved.Value() }

// expectedReplyBytes estimates the size of a reply.
func expectedReplyBytes(s core.Service, r core.Request) int64 {
	const defaultPlainReplyBytes, defaultBytesPerToken = 256 << 10, 8
	if s.Kind == core.ServicePlain {
		if s.MaxReplyBytes > 0 {
			return s.MaxReplyBytes
		}
		return defaultPlainReplyBytes
	}
	perToken := s.BytesPerToken
	if perToken <= 0 {
		perToken = defaultBytesPerToken
	}
	want := max(1, r.OutputTokens) * perToken
	if s.MaxReplyBytes > 0 {
		want = min(want, s.MaxReplyBytes)
	}
	return want
}

// startTask returns a task that runs until ctx is done.
func startTask(ctx context.Context) *task.Task {
	t := task.New()
	t.Start(ctx)
	return t
}
