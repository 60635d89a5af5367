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

// memory is the task that owns the reply budget.
type memory struct {
	*task.Task
	budget  core.ReplyBudget
	metrics *metrics
}

func startMemory(ctx context.Context, b core.ReplyBudget, m *metrics) *memory {
	return &memory{Task: startTask(ctx), budget: b, metrics: m}
}

// reserve sets memory aside for a reply.
func (m *memory) reserve(organisation string, want, limit int64) (core.Reservation, bool) {
	var r core.Reservation
	var ok bool
	m.Do(func() {
		r, ok = m.budget.Reserve(organisation, max(want, minReplyBytes), limit)
		if ok && r.Window {
			m.metrics.windows.Add(1)
		}
		m.publish()
	})
	return r, ok
}

func (m *memory) release(r core.Reservation) {
	m.Do(func() {
		m.budget.Release(r)
		m.publish()
	})
}

// reserveUpload sets memory aside for a whole upload. It takes pieces of a
// window each, since an upload cannot use a smaller window.
func (m *memory) reserveUpload(_ context.Context, organisation string, bytes, limit int64) (func(), bool) {
	var taken []core.Reservation
	whole := false
	m.Do(func() {
		for bytes > 0 {
			piece := min(bytes, reply.WindowBytes)
			r, ok := m.budget.Reserve(organisation, piece, limit)
			if !ok {
				break
			}
			taken = append(taken, r)
			bytes -= piece
		}
		whole = bytes <= 0
		if !whole {
			m.releaseAll(taken)
		}
		m.publish()
	})
	if !whole {
		return nil, false
	}
	return func() { m.Do(func() { m.releaseAll(taken); m.publish() }) }, true
}

func (m *memory) releaseAll(taken []core.Reservation) {
	for _, r := range taken {
		m.budget.Release(r)
	}
}

func (m *memory) publish() {
	_, all := m.budget.Held("")
	m.metrics.replyBytesHeld.Set(all)
}

func (m *memory) held() int64 { return m.metrics.replyBytesHeld.Value() }

// expectedReply estimates the bytes of a reply.
func expectedReply(s core.Service, r core.Request) int64 {
	const defaultPlainReply, defaultBytesPerToken = 256 << 10, 8
	if s.Kind == core.ServicePlain {
		if s.MaxReplyBytes > 0 {
			return s.MaxReplyBytes
		}
		return defaultPlainReply
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

// startTask starts a task that runs until ctx ends.
func startTask(ctx context.Context) *task.Task {
	t := task.New()
	t.Start(ctx)
	return t
}
