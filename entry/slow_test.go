//go:build measure

package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"nutmegnotch/core"
	"nutmegnotch/core/reply"
	"nutmegnotch/entry"
	"nutmegnotch/io/caller"
	"nutmegnotch/io/peer/peerpb"
)

// Parameters of the measurement.
const (
	slowOrganisations  = 10
	slowCallers        = 120
	fastCallers        = 18
	slowReplyBytes     = 100 << 10
	slowChunkBytes     = 4 << 10
	slowMemoryBytes    = 16 << 20
	slowOrgMemoryBytes = 4 << 20
	slowSlots          = 48
	slowDuration       = 6 * time.Second
	// slowChunkTime is the time that the backend server takes per chunk.
	slowChunkTime = 8 * time.Millisecond
)

// slowAgent is an agent whose backend server has a limited number of slots. A reply
// holds its slot until its last byte is sent.
type slowAgent struct {
	slots   chan struct{}
	mu      sync.Mutex
	started map[string]bool
}

func (a *slowAgent) serve(c requestStream) {
	c.readBody()
	select {
	case a.slots <- struct{}{}:
	default:
		c.verdict(&peerpb.Verdict{Code: string(core.CodeOverloaded), NotRun: true, RetryAfterMs: 200})
		return
	}
	defer func() { <-a.slots }()
	a.mu.Lock()
	a.started[c.head.RequestId] = true
	a.mu.Unlock()
	c.verdict(&peerpb.Verdict{Admitted: true})
	c.replyHead(c.head.RequestId)
	credit, sent, data := int64(0), 0, make([]byte, slowChunkBytes)
	for sent < slowReplyBytes {
		for credit < slowChunkBytes {
			f, err := c.s.Receive()
			if err != nil || f.GetCancel() != nil {
				return
			}
			credit += f.GetReplyCredit().GetBytes()
		}
		time.Sleep(slowChunkTime)
		c.chunk(c.head.RequestId, data)
		credit, sent = credit-slowChunkBytes, sent+slowChunkBytes
	}
	c.end(&peerpb.ReplyEnd{RequestId: c.head.RequestId, Complete: true, TotalBytes: slowReplyBytes})
}

// slowResults are the results of the callers. Times are in milliseconds.
type slowResults struct {
	mu                       sync.Mutex
	firstByteMS, totalMS     []float64
	fastRefused, slowRefused int
	fastServed, falseNotRun  int
	codes                    map[string]int
}

// call sends a request and reads the reply at a rate in bytes per second; 0 means
// as fast as possible.
func (f *slowResults) call(a *slowAgent, url, key string, rate int, stop time.Time) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(stop.Add(time.Second))
	body := `{"model":"m","prompt":"mules","stream":true,"max_tokens":100}`
	start := time.Now()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	r := bufio.NewReaderSize(conn, 16)
	if rate == 0 {
		r = bufio.NewReaderSize(conn, 4<<10)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	first := time.Since(start)
	if resp.StatusCode != http.StatusOK {
		f.countRefusal(a, resp, rate)
		time.Sleep(500 * time.Millisecond)
		return
	}
	if rate > 0 {
		piece := make([]byte, max(rate/10, 1))
		for time.Now().Before(stop) {
			if _, err := resp.Body.Read(piece); err != nil {
				return
			}
			time.Sleep(time.Duration(len(piece)) * time.Second / time.Duration(rate))
		}
		return
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil && n == slowReplyBytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fastServed++
		f.firstByteMS, f.totalMS = append(f.firstByteMS, first.Seconds()*1000), append(f.totalMS, time.Since(start).Seconds()*1000)
	}
}

func (f *slowResults) countRefusal(a *slowAgent, resp *http.Response, rate int) {
	var body struct {
		Error struct {
			Code      string `json:"code"`
			NotRun    bool   `json:"not_run"`
			RequestID string `json:"request_id"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&body)
	a.mu.Lock()
	ran := a.started[body.Error.RequestID]
	a.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.codes[body.Error.Code]++; body.Error.NotRun && ran {
		f.falseNotRun++
	}
	if rate == 0 {
		f.fastRefused++
	} else {
		f.slowRefused++
	}
}

func slowSource() *fakeSource {
	s := newFakeSource()
	cfg := s.Current()
	cfg.Contracts, cfg.KeyOrganisations = map[string]core.Contract{}, map[string]string{}
	for i := range slowOrganisations {
		name := fmt.Sprint("org-", i)
		cfg.Contracts[name] = core.Contract{Organisation: name, Services: []string{"text"}, ReplyTimeMS: 60_000, ReplyMemoryBytes: slowOrgMemoryBytes, Weight: 1}
		cfg.KeyOrganisations[caller.KeyHash(name)] = name
	}
	service := cfg.Services["text"]
	service.MaxReplyBytes, service.BytesPerToken, service.MaxOutputTokens = 1<<20, 1024, 100
	cfg.Services = map[string]core.Service{"text": service}
	s.cfg.Store(&cfg)
	return s
}

// TestMeasureSlowReaders prints, for the policy and two baselines, the memory that
// an entry uses for slow callers over loopback, and the latencies and refusals of
// fast callers at the same time.
func TestMeasureSlowReaders(t *testing.T) {
	budgets := []struct {
		name string
		make func() core.ReplyBudget
	}{
		{"policy", func() core.ReplyBudget { return reply.NewBudget(slowMemoryBytes) }},
		{"unbounded", func() core.ReplyBudget { return reply.NewUnbounded() }},
		{"backpressure", func() core.ReplyBudget { return reply.NewBackpressure(slowMemoryBytes) }},
	}
	for _, slow := range []int{1, slowOrganisations} {
		for _, b := range budgets {
			for round := range 3 {
				t.Run(fmt.Sprintf("slow=%d/%s/%d", slow, b.name, round), func(t *testing.T) { measureSlow(t, b.name, b.make(), slow) })
			}
		}
	}
}

func measureSlow(t *testing.T, name string, budget core.ReplyBudget, slow int) {
	a := &slowAgent{slots: make(chan struct{}, slowSlots), started: map[string]bool{}}
	g := newHarness(t, func(c *entry.Config) { c.Budget, c.Source = budget, slowSource() }, newFakeAgent("a1", "text", "d1", a.serve))
	f := &slowResults{codes: map[string]int{}}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	base, heap, held, busy, samples := m.HeapAlloc, 0.0, 0.0, 0.0, 0.0
	stop := time.Now().Add(slowDuration)
	var wg conc.WaitGroup
	caller := func(org, rate int) {
		wg.Go(func() {
			for time.Now().Before(stop) {
				f.call(a, g.url, fmt.Sprint("org-", org), rate, stop)
			}
		})
	}
	for i := range slowCallers {
		caller(i%slow, []int{10, 100, 1000}[i%3])
	}
	for i := range fastCallers {
		org := i % slowOrganisations
		if slow == 1 {
			org = 1 + i%(slowOrganisations-1)
		}
		caller(org, 0)
	}
	for time.Now().Before(stop) {
		time.Sleep(100 * time.Millisecond)
		busy, samples = busy+float64(len(a.slots)), samples+1
		runtime.GC()
		runtime.ReadMemStats(&m)
		heap, held = max(heap, float64(m.HeapAlloc)-float64(base)), max(held, float64(g.e.Status().ReplyBytesHeld))
	}
	wg.Wait()
	t.Logf("| %s, %d of %d slow | %.1f | %.1f | %.2f | %.0f | %.0f | %.0f | %d | %d | %d | %d | %v |", name, slow, slowOrganisations, held/(1<<20), heap/(1<<20),
		busy/samples/slowSlots, quantile(f.firstByteMS, 0.95), quantile(f.totalMS, 0.5), quantile(f.totalMS, 0.95),
		f.fastServed, f.fastRefused, f.slowRefused, f.falseNotRun, f.codes)
}

func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	slices.Sort(x)
	return x[int(q*float64(len(x)-1))]
}
