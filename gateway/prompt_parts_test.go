package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Bounds for a part of a prompt that crashes servers: at most partRuns requests with it
// begin later than crashSettleTime after the partCrashes-th crash. From twice that time
// on, sound requests are served at least half as often as before.
const (
	partRuns    = 3
	partCrashes = 5
	// soundTime is the time with sound requests only, and mixedTime the time after it.
	soundTime = 1500 * time.Millisecond
	mixedTime = 9 * time.Second
	// badPart is the part that crashes servers.
	badPart = "bad0"
)

// soundAnswer is the answer to a sound request, and when it was sent.
type soundAnswer struct {
	at     time.Time
	served bool
}

// partCourse sends sound requests and requests with badPart to the gateways.
type partCourse struct {
	*deployment
	mu    sync.Mutex
	sound []soundAnswer
	slots []*process
	n     atomic.Int64
	wg    sync.WaitGroup
	done  chan struct{}
}

func (c *partCourse) gateway(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slots[i%len(c.slots)]
}

// draft sends a request that no other one is alike, with shared parts.
func (c *partCourse) draft(gateway int, parts []string) answer {
	n := c.n.Add(1)
	r := newRequest(c.gateway(gateway), http.MethodPost, fmt.Sprintf("/draft/%d", n), "key-a", "")
	list := ""
	for _, p := range parts {
		list += p + ":40,"
	}
	r.Header.Set("Nutmegnotch-Prompt-Prefix", fmt.Sprintf("%sown%d:600", list, n))
	r.Header.Set("Nutmegnotch-Deadline-Ms", "2000")
	return send(r)
}

// repeat calls send until the course has ended.
func (c *partCourse) repeat(pause time.Duration, send func()) {
	c.wg.Go(func() {
		for {
			select {
			case <-c.done:
				return
			case <-time.After(pause):
			}
			send()
		}
	})
}

// sendSound starts callers of sound requests, each with its own list of parts.
func (c *partCourse) sendSound(lists [][]string) {
	for i := range 9 {
		c.repeat(20*time.Millisecond, func() {
			at := time.Now()
			got := c.draft(i, lists[i%len(lists)])
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sound = append(c.sound, soundAnswer{at, got.status == http.StatusOK && got.err == nil})
		})
	}
}

// servedShare returns the share of the sound requests sent in a time that were served.
func (c *partCourse) servedShare(from, to time.Time) (share float64, n int) {
	served := 0
	for _, s := range c.sound {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		n++
		if s.served {
			served++
		}
	}
	return float64(served) / float64(max(1, n)), n
}

// badRuns returns how many requests with badPart reached a server, and how many of them
// later than a time.
func (c *partCourse) badRuns(from time.Time) (all, late int) {
	for _, p := range c.servers {
		for _, r := range p.Runs() {
			if strings.Contains(r.Header.Get("Nutmegnotch-Prompt-Prefix"), badPart) {
				all++
				if r.At.After(from) {
					late++
				}
			}
		}
	}
	return all, late
}

// Guards against requests that share only a part that crashes servers and are sent on,
// and against sound requests that are refused with them.
func TestPromptPartThatCrashesServers(t *testing.T) {
	t.Parallel()
	first := []string{"a1"}
	popular := [][]string{first, {"a1", "b2"}, {"a1", "b2", "c3", "d4"}}
	cases := []struct {
		name   string
		sound  [][]string
		bad    []string
		point  runner.CrashPoint
		keepID bool
		group  bool
		// during runs while bad requests are sent.
		during func(c *partCourse)
	}{
		{"second of three, after the head", popular, []string{"a1", badPart}, runner.CrashAfterHead, false, false, nil},
		{"second of three, in the body, servers keep their ids", popular, []string{"a1", badPart}, runner.CrashInBody, true, false, nil},
		{"first of four, before the reply", popular, []string{badPart, "b2", "c3"}, runner.CrashBeforeReply, false, false, nil},
		{"fourth of five, without chunks", popular, []string{"a1", "b2", "c3", badPart}, runner.CrashInUnframedBody, false, false, nil},
		{"always with another part of its own", popular, []string{"a1", badPart, "bad-too"}, runner.CrashInBody, false, false, nil},
		{"silently", popular, []string{"a1", badPart}, runner.CrashSilently, false, false, nil},
		{"servers of one group", popular, []string{"a1", badPart}, runner.CrashInBody, false, true, nil},
		{"servers of one group, a gateway restarts", popular, []string{"a1", badPart}, runner.CrashInBody, false, true, restartOne},
		{"all gateways restart at the same moment", popular, []string{"a1", badPart}, runner.CrashInBody, false, false, restartAll},
		{"servers of one group, all gateways restart at the same moment", popular, []string{"a1", badPart}, runner.CrashInBody, false, true, restartAll},
		{"a gateway restarts", popular, []string{"a1", "b2", "c3", badPart}, runner.CrashInBody, false, false, restartOne},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := &partCourse{deployment: newDeployment(t), done: make(chan struct{})}
			defer c.logIfFailed()
			c.publish()
			cfg := runner.ProcessConfig{KeepID: tc.keepID, Slots: 4, ExpiryDelay: 700 * time.Millisecond, RestartDelay: 500 * time.Millisecond,
				Config: runner.Config{CrashMarker: badPart, CrashPoint: tc.point, Events: 6, EventInterval: 15 * time.Millisecond, ProcessingTime: 20 * time.Millisecond}}
			if tc.group {
				cfg.Group = &runner.Group{FormTime: 200 * time.Millisecond}
				cfg.EventInterval = 60 * time.Millisecond
			}
			c.addServers(16, "model", cfg)
			c.slots = []*process{c.startReady(), c.startReady(), c.startReady()}
			eventually(t, "the gateways are connected", c.connected)
			begun := time.Now()
			c.sendSound(tc.sound)
			time.Sleep(soundTime)
			mixed := time.Now()
			for i := range 2 {
				c.repeat(30*time.Millisecond, func() { c.draft(i, tc.bad) })
			}
			if tc.during != nil {
				tc.during(c)
			}
			time.Sleep(time.Until(mixed.Add(mixedTime)))
			end := time.Now()
			close(c.done)
			c.wg.Wait()
			c.check(begun, mixed, end)
		})
	}
}

// restartOne restarts a gateway some crashes after the first one.
func restartOne(c *partCourse) {
	eventually(c.t, "servers crash", func() bool { return len(c.crashes()) >= 2 })
	c.slots[0].stop()
	<-c.slots[0].done
	p := c.startReady()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots[0] = p
}

// restartAll restarts all gateways some crashes after the first one.
func restartAll(c *partCourse) {
	eventually(c.t, "servers crash", func() bool { return len(c.crashes()) >= 2 })
	list := c.restartAll()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots = list
}

// Guards against sound requests that are refused because the servers of their group end
// one after the other for another reason, before any request is served.
func TestPopularPartsOfAGroupThatKeepsFailing(t *testing.T) {
	t.Parallel()
	c := &partCourse{deployment: newDeployment(t), done: make(chan struct{})}
	defer c.logIfFailed()
	c.publish()
	c.addServers(12, "model", runner.ProcessConfig{Slots: 4, ExpiryDelay: 700 * time.Millisecond, RestartDelay: 300 * time.Millisecond,
		Config: runner.Config{Events: 6, EventInterval: 60 * time.Millisecond, ProcessingTime: 20 * time.Millisecond, Group: &runner.Group{FormTime: 100 * time.Millisecond}}})
	c.slots = []*process{c.startReady(), c.startReady(), c.startReady()}
	eventually(t, "the gateways are connected", c.connected)
	c.sendSound([][]string{{"a1"}, {"a1", "b2"}, {"a1", "b2", "c3", "d4"}})
	time.Sleep(soundTime)
	for i := range 12 {
		c.servers[i].Runner().Crash(false)
		time.Sleep(600 * time.Millisecond)
	}
	calm := time.Now().Add(2 * crashSettleTime)
	time.Sleep(time.Until(calm.Add(3 * time.Second)))
	close(c.done)
	c.wg.Wait()
	if got, n := c.servedShare(calm, calm.Add(2*time.Second)); got < 0.5 || n < 20 {
		t.Errorf("share of the sound requests served after the last end: got %.2f of %d, want at least 0.50 of 20 or more", got, n)
	}
	for i, p := range c.gateways {
		for _, l := range p.logs.FilterMessage("request refused").All() {
			if l.ContextMap()["reason"] == "crashes_backend_servers" {
				t.Fatalf("gateway %d refused a sound request as crashing: %v", i, l.ContextMap())
			}
		}
	}
}

// check checks both bounds.
func (c *partCourse) check(begun, mixed, end time.Time) {
	c.t.Helper()
	ends := c.crashes()
	if len(ends) < 3 {
		c.t.Fatalf("crashes: got %d, want at least 3", len(ends))
	}
	last := ends[min(len(ends), partCrashes)-1]
	if all, late := c.badRuns(last.Add(crashSettleTime)); len(ends) >= partCrashes && late > partRuns {
		c.t.Errorf("runs with the part later than %v after crash %d: got %d (%d in all, %d crashes), want at most %d",
			crashSettleTime, partCrashes, late, all, len(ends), partRuns)
	}
	before, n := c.servedShare(begun, mixed.Add(-200*time.Millisecond))
	after, m := c.servedShare(last.Add(2*crashSettleTime), end.Add(-time.Second))
	if n < 20 || m < 20 {
		c.t.Fatalf("sound requests: got %d before and %d after, want 20 or more", n, m)
	}
	if after < before/2 {
		c.t.Errorf("share of the sound requests served: got %.2f (%d requests) after the crashes, %.2f (%d) before, want at least half", after, m, before, n)
	}
	c.t.Logf("%d crashes, sound requests served: %.2f before, %.2f after", len(ends), before, after)
}

// logIfFailed logs what the gateways did about the crashes.
func (c *partCourse) logIfFailed() {
	if !c.t.Failed() {
		return
	}
	for i, p := range c.gateways {
		reasons := map[string]int{}
		for _, l := range p.logs.All() {
			switch l.Message {
			case "request refused":
				reasons[l.ContextMap()["reason"].(string)]++
			case "request is quarantined, since it crashes backend servers":
				c.t.Log(i, l.Time.Format("05.000"), l.Message, l.ContextMap())
			}
		}
		c.t.Log(i, "refused:", reasons)
	}
}
