package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/runner"
)

// isolation is a link of a gateway to the store that can be cut. While members is
// set, the gateway neither sees other gateways in the store nor shows itself there.
type isolation struct {
	core.KeyedStore
	cut, members atomic.Bool
}

func (s *isolation) Newest(ctx context.Context, t core.Topic) (core.KeyedBatch, error) {
	if s.cut.Load() {
		return core.KeyedBatch{}, core.ErrUnavailable
	}
	b, err := s.KeyedStore.Newest(ctx, t)
	if t == core.TopicMembers && s.members.Load() {
		b.Records = nil
	}
	return b, err
}

func (s *isolation) Read(ctx context.Context, t core.Topic, from core.Position, wait time.Duration) (core.KeyedBatch, error) {
	if s.cut.Load() {
		return core.KeyedBatch{}, core.ErrUnavailable
	}
	b, err := s.KeyedStore.Read(ctx, t, from, wait)
	if t == core.TopicMembers && s.members.Load() {
		b.Records = nil
	}
	if s.cut.Load() {
		return core.KeyedBatch{}, core.ErrUnavailable
	}
	return b, err
}

func (s *isolation) Put(ctx context.Context, t core.Topic, key string, value []byte) error {
	if s.cut.Load() {
		return core.ErrUnavailable
	}
	if t == core.TopicMembers && s.members.Load() {
		return nil
	}
	return s.KeyedStore.Put(ctx, t, key, value)
}

// Guards against gateways that send a request on because they have missed the
// reports of its crashes.
func TestGatewaysThatMissedCrashReports(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// prepare runs before the crashes and after runs after them. It returns the
		// gateways that must refuse the request.
		prepare func(d *deployment)
		after   func(d *deployment, first *process) []*process
	}{
		{"added after the crashes", func(*deployment) {}, func(d *deployment, _ *process) []*process {
			return []*process{d.startReady()}
		}},
		{"restarted in turn", func(d *deployment) { d.startReady() }, func(d *deployment, _ *process) []*process {
			return []*process{d.restart(0), d.restart(1)}
		}},
		{"restarted at the same moment", func(d *deployment) { d.startReady() }, func(d *deployment, _ *process) []*process {
			time.Sleep(crashSettleTime)
			return d.restartAll()
		}},
		{"cut off from the other gateways", func(d *deployment) {
			link := &isolation{}
			link.members.Store(true)
			d.startIsolated(link)
		}, func(d *deployment, _ *process) []*process { return []*process{d.gateways[1]} }},
		{"cut off from the other gateways and the store", func(d *deployment) {
			link := &isolation{}
			link.members.Store(true)
			d.startIsolated(link)
			link.cut.Store(true)
		}, func(d *deployment, _ *process) []*process {
			d.isolations[0].cut.Store(false)
			return []*process{d.gateways[1]}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.publish()
			d.addServers(6, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashBeforeReply}})
			first := d.startReady()
			c.prepare(d)
			d.sendUntilRefused(first)
			list := c.after(d, first)
			time.Sleep(2 * crashSettleTime)
			before, _ := d.crashRuns()
			for i, p := range list {
				for range 3 {
					if got := send(newRequest(p, http.MethodGet, crashTarget, "key-a", "")); !refusedAsCrashing(got) {
						t.Errorf("copy at gateway %d: got %d %q (%v), want a refusal as crashing", i, got.status, got.body, got.err)
					}
				}
				if got := send(newRequest(p, http.MethodGet, "/lookup/other", "key-a", "")); got.status != http.StatusOK {
					t.Errorf("another request at gateway %d: got %d %q (%v), want 200", i, got.status, got.body, got.err)
				}
			}
			if after, _ := d.crashRuns(); after != before {
				t.Errorf("further runs: got %d, want 0", after-before)
			}
		})
	}
}

// Guards against crashes that are forgotten when gateways restart between them.
func TestCrashCountsOutliveGateways(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		restart func(d *deployment, n int)
	}{
		{"in turn", func(d *deployment, n int) { d.restart(n % 2) }},
		{"all at once", func(d *deployment, _ int) { d.restartAll() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.routes[1]["max_attempts"] = 1
			d.publish()
			d.addServers(8, "desk", runner.ProcessConfig{Config: runner.Config{CrashPoint: runner.CrashBeforeReply}})
			d.startReady()
			d.startReady()
			for n := range 8 {
				for _, p := range d.gateways {
					send(newRequest(p, http.MethodPost, "/book/crash", "key-a", ""))
					time.Sleep(crashSettleTime)
				}
				c.restart(d, n)
			}
			if all, late := d.crashRuns(); late > crashRetries {
				t.Errorf("runs later than %v after the third crash: got %d (%d in all), want at most %d", crashSettleTime, late, all, crashRetries)
			}
		})
	}
}
