package systemtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/engine"
)

// smallWindowOrg is an organisation whose replies get windows of 16 KiB.
const smallWindowOrg = "narrow"

// publishSmallWindowOrg publishes a contract with little reply memory.
func (c *cluster) publishSmallWindowOrg() {
	c.t.Helper()
	c.mustPublish("contract/"+smallWindowOrg, core.Contract{Organisation: smallWindowOrg, CallerKeyHashes: []string{hash(smallWindowOrg + "-key")},
		Services: []string{modelService}, RequestsPerSecond: 1000, TokensPerSecond: 1e6, Concurrency: 100, ReplyTimeMS: 30000,
		ReplyMemoryBytes: 64 << 10, Weight: 1})
	// The home entries of a new contract grant no credit for 5 s.
	eventually(c.t, "every entry admits the organisation", func() bool {
		for _, e := range c.entries {
			if c.client(smallWindowOrg).complete(e, "admits", 1).result != resultOK {
				return false
			}
		}
		return true
	})
}

// Guards against replies to other requests, and against mixed or truncated
// replies that look whole, while messages are late, split and lost, processes are
// killed in the middle of replies, and readers are slow.
func TestRepliesAreWhole(t *testing.T) {
	t.Parallel()
	o := engine.Options{TokensPerSecond: 400, Slowdown: 0.01, MemoryTokens: 100000, ColdTokens: 4000, Models: []string{modelName}}
	c := newCluster(t, clusterConfig{entries: 3, engines: 3, engine: o})
	c.waitReady()
	c.publishSmallWindowOrg()
	eachPhase(t, func(seed uint64, r *rand.Rand) {
		var ended atomic.Bool
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Add(1)
			lr := rand.New(rand.NewPCG(r.Uint64(), uint64(n)))
			go func() { defer wg.Done(); c.readReplies(seed, n, lr, &ended) }()
		}
		stop, injected := make(chan struct{}), make(chan struct{})
		go func() { defer close(injected); injectFaults(t, c, r, commonFaults(), stop) }()
		time.Sleep(phaseFaultDuration)
		close(stop)
		<-injected
		whole := c.countResponses(resultOK)
		eventually(t, "replies are whole again", func() bool { return c.countResponses(resultOK) > whole+20 })
		ended.Store(true)
		wg.Wait()
		events := c.collect()
		checkAll(t, events)
		if err := checkReplyIntegrity(events); err != nil {
			t.Error(err)
		}
		t.Logf("in total: %d whole replies, %d cut, %d not run, %d unknown", c.countResponses(resultOK), c.countResponses(resultCut),
			c.countResponses(resultNotRun), c.countResponses(resultUnknown))
	})
}

// readReplies requests replies of random sizes until ended is set. The first 4
// callers read slowly.
func (c *cluster) readReplies(seed uint64, n int, r *rand.Rand, ended *atomic.Bool) {
	l := c.client([]string{"trails", "farm", smallWindowOrg}[n%3])
	for i := 0; !ended.Load(); i++ {
		pause := time.Duration(0)
		if n < 4 {
			pause = randomDuration(r, time.Millisecond, 20*time.Millisecond)
		}
		a := l.completeSlowly(c.entries[r.IntN(len(c.entries))], fmt.Sprintf("whole %d %d %d", seed, n, i), 5+r.IntN(200), pause)
		if a.result != resultOK {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// countResponses returns the number of responses with a result.
func (c *cluster) countResponses(want result) int {
	n := 0
	for _, e := range c.history.snapshot() {
		if e.kind == eventResponse && e.result == want {
			n++
		}
	}
	return n
}

// Guards against a truncated reply that looks whole when the agent, the entry,
// their session or the backend server fails in the middle of a reply.
func TestCutReplyIsVisible(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1})
	c.waitReady()
	tests := []struct {
		name string
		end  func(t *testing.T)
	}{
		{"agent killed", func(*testing.T) { c.models[0].agent.kill(); c.models[0].agent.start() }},
		{"entry killed", func(*testing.T) { c.entries[1].kill(); c.entries[1].start() }},
		{"session broken", func(*testing.T) { c.links["entry-2>model-1"].closeAll() }},
		{"backend server crashed", func(*testing.T) { c.models[0].engine.Inject(engine.Faults{Crash: true}) }},
		{"agent paused for longer than every time-out", func(t *testing.T) {
			c.models[0].agent.signal(syscall.SIGSTOP)
			t.Cleanup(func() { c.models[0].agent.signal(syscall.SIGCONT) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			eventually(t, "a reply is whole", func() bool {
				return c.client("trails").complete(c.entries[1], "warm "+tt.name, 2).result == resultOK
			})
			l := c.client("trails")
			resp, err := l.send(c.entries[1], http.MethodPost, "/v1/completions", "",
				engine.CompletionRequest{Model: modelName, Prompt: "cut " + tt.name, MaxTokens: 1000, Stream: true})
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("completion: got %v and error %v, want status 200", resp, err)
			}
			defer resp.Body.Close()
			lines := bufio.NewReader(resp.Body)
			if _, err := lines.ReadString('\n'); err != nil {
				t.Fatalf("read first event: %v", err)
			}
			tt.end(t)
			rest, err := io.ReadAll(lines)
			if whole := strings.Contains(string(rest), "data: [DONE]"); err == nil || whole {
				t.Errorf("truncated reply: got error %v and last event %v, want an error and no last event", err, whole)
			}
		})
	}
}

// Guards against a reply that is truncated or altered because it is far larger
// than the memory reserved for it and its reader reads a few bytes per second.
func TestVerySlowReaderGetsTheWholeReply(t *testing.T) {
	t.Parallel()
	const tokens = 1900
	o := engine.Options{TokensPerSecond: 2000, MemoryTokens: 100000, ColdTokens: 4000, Models: []string{modelName}}
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, engine: o})
	c.waitReady()
	c.publishSmallWindowOrg()
	l := c.client(smallWindowOrg)
	// With a large receive buffer the kernel would read the reply for the caller.
	l.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial entry: %w", err)
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	}
	resp, err := l.send(c.entries[0], http.MethodPost, "/v1/completions", "",
		engine.CompletionRequest{Model: modelName, Prompt: "slow", MaxTokens: tokens, Stream: true})
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("completion: got %v and error %v, want status 200", resp, err)
	}
	defer resp.Body.Close()
	var got strings.Builder
	for range 40 {
		if _, err := io.CopyN(&got, resp.Body, 2); err != nil {
			t.Fatalf("read slowly: %v", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if c.heldRequests(c.models[0].agent) != 1 {
		t.Error("the agent has no request any more: the buffers on the path hold the whole reply")
	}
	if _, err := io.Copy(&got, resp.Body); err != nil {
		t.Fatalf("read the rest: %v", err)
	}
	id := resp.Header.Get("X-Request-Id")
	for i := range tokens {
		if want := fmt.Sprintf(`data: {"id":%q,"index":%d,"prompt_hash":%q`, id, i, engine.PromptHash("slow")); !strings.Contains(got.String(), want) {
			t.Fatalf("event %d is missing in a reply of %d bytes", i, got.Len())
		}
	}
	if n := strings.Count(got.String(), "data: "); n != tokens+1 || !strings.HasSuffix(got.String(), "data: [DONE]\n\n") {
		t.Errorf("events: got %d, want %d with the last event at the end", n, tokens+1)
	}
}
