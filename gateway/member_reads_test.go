package gateway_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/runner"
)

// countingStore counts the reads of the members' topic.
type countingStore struct {
	core.KeyedStore
	reads atomic.Int64
}

func (s *countingStore) Read(ctx context.Context, t core.Topic, from core.Position, wait time.Duration) (core.KeyedBatch, error) {
	if t == core.TopicMembers {
		s.reads.Add(1)
	}
	return s.KeyedStore.Read(ctx, t, from, wait)
}

// Guards against reads by all gateways for the registration of each one, which grow with
// the square of their number while they start.
func TestRegistrationsAreReadTogether(t *testing.T) {
	t.Parallel()
	const registrations, most = 30, 3
	d := newDeployment(t)
	d.publish()
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	counting := &countingStore{}
	d.links = func(s core.KeyedStore) core.KeyedStore {
		counting.KeyedStore = s
		return counting
	}
	d.startReady()
	for i := range registrations {
		d.store.Put("keyed.nutmegnotch-members", fmt.Sprintf("g%d", i), fmt.Appendf(nil, "127.0.0.9:%d", 1+i))
		time.Sleep(50 * time.Millisecond)
	}
	if got := counting.reads.Load(); got > most {
		t.Errorf("reads during %d registrations: got %d, want at most %d", registrations, got, most)
	}
}
