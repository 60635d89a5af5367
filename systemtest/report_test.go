package systemtest

import (
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
)

// reportInterval is short, so that each test covers several intervals.
const reportInterval = time.Second

// report reads the report of an organisation from an entry, for a period that
// every entry has reported on.
func (c *cluster) report(e *proc, organisation string, from, to time.Time) report.Result {
	c.t.Helper()
	q := url.Values{"organisation": {organisation}, "from": {from.Format(time.RFC3339Nano)}, "to": {to.Format(time.RFC3339Nano)}}
	var r report.Result
	if code := c.call(e, http.MethodGet, "/reports?"+q.Encode(), nil, &r); code != http.StatusOK {
		c.t.Fatalf("report of %s: got status %d, want 200", organisation, code)
	}
	return r
}

// waitReported returns the time of the call, after every entry has reported on
// the time before it.
func waitReported() time.Time {
	to := time.Now()
	time.Sleep(3 * reportInterval)
	return to
}

// callerCounts counts the responses to the callers of one organisation.
type callerCounts struct {
	mu       sync.Mutex
	requests int64
	results  map[result]int64
	refused  map[string]int64
}

func (s *callerCounts) add(a response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.results[a.result]++
	if a.result == resultNotRun {
		s.refused[a.code]++
	}
}

// sendUntil sends requests of an organisation from several callers until stop is
// closed.
func (c *cluster) sendUntil(org string, workers int, stop <-chan struct{}, entries []*proc) *callerCounts {
	s := &callerCounts{results: map[result]int64{}, refused: map[string]int64{}}
	var wg sync.WaitGroup
	for n := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l := c.client(org)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				e := entries[(n+i)%len(entries)]
				s.add(l.complete(e, fmt.Sprintf("prompt %d %d", n, i), 20))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	return s
}

// closeAfter returns a channel that is closed after d.
func closeAfter(d time.Duration) <-chan struct{} {
	stop := make(chan struct{})
	time.AfterFunc(d, func() { close(stop) })
	return stop
}

// newReportCluster starts a cluster with an organisation "small", whose request
// rate exceeds its limit in the tests. Its contract is published with the others,
// so that all come into force together.
func newReportCluster(t *testing.T) *cluster {
	small := core.Contract{Organisation: "small", CallerKeyHashes: []string{hash("small-key")},
		Services: []string{modelService}, RequestsPerSecond: 5, TokensPerSecond: 1e6, Concurrency: 100,
		ReplyTimeMS: 20000, ReplyMemoryBytes: 64 << 20, MaxPriority: 3, Weight: 1}
	c := newCluster(t, clusterConfig{entries: 3, engines: 3, desks: 1, reportsInterval: reportInterval.String(), contracts: []core.Contract{small}})
	c.waitReady()
	eventually(t, "the contract of small is in force", func() bool {
		return c.client("small").complete(c.entries[0], "first", 1).result == resultOK
	})
	return c
}

// Guards against a report that differs from the responses that callers got, in a
// run without faults and with refusals by the organisation's rate limit.
func TestReportEqualsCallersHistory(t *testing.T) {
	t.Parallel()
	c := newReportCluster(t)
	time.Sleep(2 * reportInterval)
	from := time.Now()
	time.Sleep(reportInterval)
	stop := closeAfter(5 * time.Second)
	histories := map[string]*callerCounts{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, org := range []string{"farm", "small"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := c.sendUntil(org, 4, stop, c.entries)
			mu.Lock()
			defer mu.Unlock()
			histories[org] = s
		}()
	}
	wg.Wait()
	to := waitReported()
	for org, s := range histories {
		r := c.report(c.entries[0], org, from, to)
		n := r.Organisations[0].Total
		t.Logf("%s: callers saw %d requests, %v, refused %v; report %s with %d requests", org, s.requests, s.results, s.refused, r.Verdict, n.Requests)
		if n.Requests != s.requests || n.Whole != s.results[resultOK] {
			t.Errorf("%s: report has %d requests and %d whole replies, callers saw %d and %d", org, n.Requests, n.Whole, s.requests, s.results[resultOK])
		}
		if fmt.Sprint(n.NotRun) != fmt.Sprint(s.refused) {
			t.Errorf("%s: report has refusals %v, callers saw %v", org, n.NotRun, s.refused)
		}
		if r.Verdict != report.Kept {
			t.Errorf("%s: got verdict %s, gaps %+v, promises %+v, want kept", org, r.Verdict, r.Gaps, r.Organisations[0].Promises)
		}
	}
	if s := histories["small"]; s.refused[string(core.CodeRateLimit)] == 0 || s.results[resultOK] == 0 {
		t.Errorf("callers of \"small\" saw %v with refusals %v, want replies and refusals by the rate limit", s.results, s.refused)
	}
}

// Guards against a report that shows a contract as kept although an entry was
// killed under load and its last interval is missing, and against the loss of
// the other entries' counts.
func TestReportOfKilledEntryAndAgent(t *testing.T) {
	t.Parallel()
	c := newReportCluster(t)
	time.Sleep(reportInterval)
	from := time.Now()
	stop := make(chan struct{})
	var survivors, victim *callerCounts
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); survivors = c.sendUntil("farm", 4, stop, c.entries[:2]) }()
	go func() { defer wg.Done(); victim = c.sendUntil("trails", 4, stop, c.entries[2:]) }()
	time.Sleep(3 * time.Second)
	c.models[0].agent.kill()
	time.Sleep(2 * time.Second)
	c.entries[2].kill()
	killed := time.Now()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	to := waitReported()
	farm, trails := c.report(c.entries[0], "farm", from, to), c.report(c.entries[0], "trails", from, to)
	n, m := farm.Organisations[0].Total, trails.Organisations[0].Total
	t.Logf("farm: callers saw %d, %v; report %d requests, %d whole, %d cut; verdict %s", survivors.requests, survivors.results, n.Requests, n.Whole, n.Cut, farm.Verdict)
	t.Logf("trails: callers saw %d, %v; report %d requests, %d whole, %d cut; gaps %+v", victim.requests, victim.results, m.Requests, m.Whole, m.Cut, trails.Gaps)
	if n.Requests != survivors.requests || n.Whole != survivors.results[resultOK] {
		t.Errorf("farm: report has %d requests and %d whole, callers saw %d and %d", n.Requests, n.Whole, survivors.requests, survivors.results[resultOK])
	}
	if n.Cut != survivors.results[resultCut] {
		t.Errorf("farm: report has %d cut replies, callers saw %d", n.Cut, survivors.results[resultCut])
	}
	for org, r := range map[string]report.Result{"farm": farm, "trails": trails} {
		if r.Verdict == report.Kept {
			t.Errorf("%s: got verdict kept although records of the killed entry are missing", org)
		}
		found := false
		for _, g := range r.Gaps {
			missing := killed.Sub(g.From)
			found = found || g.EntryID == c.entries[2].id && g.Reason == report.GapNoEnd && missing <= reportInterval+maxRecordTimeError && missing > -maxRecordTimeError
		}
		if !found {
			t.Errorf("%s: gaps are %+v, want one of %s from at most one interval before %v", org, r.Gaps, c.entries[2].id, killed)
		}
	}
	if m.Whole > victim.results[resultOK]+victim.results[resultCut]+victim.results[resultUnknown] {
		t.Errorf("trails: report has %d whole replies, callers saw %v", m.Whole, victim.results)
	}
}

// maxRecordTimeError is the default timeout of an append. The log's time of a
// record is uncertain by as much.
const maxRecordTimeError = 2 * time.Second
