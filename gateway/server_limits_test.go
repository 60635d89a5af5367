package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"nutmegnotch/emulator/runner"
)

// Times of the rule for servers that name a limit.
const (
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
)

// limitPlay is load on servers of which the first one names a rate limit.
type limitPlay struct {
	// values are what it names, and limit is what that means; 0 means no limit.
	values []string
	limit  float64
	// gateways and servers are their numbers; uneven makes nearly all callers use the first
	// gateway.
	gateways, servers int
	uneven            bool
	method, path      string
	// events is the number of events of each stream.
	events int
	length time.Duration
	// meanwhile runs one second after the limit was named.
	meanwhile func(d *deployment, limited *runner.Runner)
}

// limitResult is what the callers and the server with the limit saw.
type limitResult struct {
	mu sync.Mutex
	// refused holds the ids of refused requests, slow counts those that took long.
	refused      map[string]bool
	slow, served int
	failed       []string
	retryAfter   map[string]int
	// asked is when requests were sent, and arrivals when they reached the server.
	asked, arrivals []time.Duration
	limited         *runner.Runner
}

// slowRefusal is how long a refusal takes at most if it comes at once.
const slowRefusal = 300 * time.Millisecond

func (p limitPlay) run(t *testing.T) *limitResult {
	t.Helper()
	d := newDeployment(t)
	d.publish()
	service := "desk"
	if p.events > 0 {
		service = "model"
	}
	var servers []*runner.Runner
	for i := range max(3, p.servers) {
		if p.servers > 0 && i >= p.servers {
			break
		}
		servers = append(servers, d.addRunner(runner.Config{ID: fmt.Sprintf("s%d", i), Body: "ok", Events: p.events, EventInterval: 5 * time.Millisecond}, service))
	}
	for range p.gateways {
		d.startReady()
	}
	eventually(t, "the gateways are connected", d.connected)
	res := &limitResult{refused: map[string]bool{}, retryAfter: map[string]int{}, limited: servers[0]}
	res.limited.NameLimit(p.values...)
	begun := time.Now()
	var wg sync.WaitGroup
	if p.meanwhile != nil {
		wg.Go(func() {
			time.Sleep(time.Second)
			p.meanwhile(d, res.limited)
		})
	}
	gateways := append([]*process(nil), d.gateways...)
	for i := 0; time.Since(begun) < p.length; i++ {
		gateway := gateways[i%len(gateways)]
		if p.uneven && i%30 != 0 {
			gateway = gateways[0]
		}
		res.asked = append(res.asked, time.Since(begun))
		wg.Go(func() { res.send(gateway, p) })
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	for _, at := range res.limited.Arrivals() {
		res.arrivals = append(res.arrivals, at.Sub(begun))
	}
	return res
}

// send sends one request and records its answer.
func (res *limitResult) send(gateway *process, p limitPlay) {
	r := newRequest(gateway, p.method, p.path, "key-a", "write")
	begun := time.Now()
	got := send(r)
	took := time.Since(begun)
	res.mu.Lock()
	defer res.mu.Unlock()
	switch got.status {
	case http.StatusOK:
		res.served++
	case http.StatusServiceUnavailable:
		res.refused[r.Header.Get("Nutmegnotch-Request-Id")] = true
		res.retryAfter[got.header.Get("Retry-After")]++
		if took > slowRefusal {
			res.slow++
		}
	default:
		res.failed = append(res.failed, fmt.Sprintf("%d %q %v", got.status, got.body, got.err))
	}
}

// most returns the largest number of arrivals in limitWindow from a time on.
func (res *limitResult) most(from time.Duration) int {
	most := 0
	for i := range res.arrivals {
		n := 0
		for _, at := range res.arrivals[i:] {
			if res.arrivals[i] >= from && at-res.arrivals[i] < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func countFrom(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from {
			n++
		}
	}
	return n
}

// check checks what the server with a limit got from a time on, and what the callers got.
func (res *limitResult) check(t *testing.T, limit float64, from, to time.Duration) {
	t.Helper()
	if got, want := res.most(from), int(1.5*limit*limitWindow.Seconds()+5); got > want {
		t.Errorf("requests in 4 s to the server with a limit of %v: got %d, want at most %d", limit, got, want)
	}
	n := 0
	for _, at := range res.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	if got, want := float64(n)/(to-from).Seconds(), limit/2; got < want {
		t.Errorf("requests a second to the server with a limit of %v: got %.1f, want at least %.1f", limit, got, want)
	}
	if len(res.failed) > 0 {
		t.Errorf("failed requests: got %d, the first %s, want none", len(res.failed), res.failed[0])
	}
	for _, run := range res.limited.Runs() {
		if res.refused[run.ID] {
			t.Errorf("request %s was answered 503 and has run", run.ID)
		}
	}
}

// Guards against gateways that together send a server more than the rate limit that it
// names, or far less.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) {
	const length = 8500 * time.Millisecond
	record := func(gap time.Duration) func(*deployment, *runner.Runner) {
		return func(d *deployment, _ *runner.Runner) {
			if gap > 0 {
				d.store.Put("keyed.servers", "s0", nil)
				time.Sleep(gap)
			}
			d.announce("s0", "desk", "ready")
		}
	}
	cases := []struct {
		name string
		play limitPlay
	}{
		{"one gateway", limitPlay{values: []string{"10"}, limit: 10, gateways: 1}},
		{"two gateways", limitPlay{values: []string{"10"}, limit: 10, gateways: 2}},
		{"four gateways", limitPlay{values: []string{"10"}, limit: 10, gateways: 4}},
		{"nearly all callers at one gateway", limitPlay{values: []string{"10"}, limit: 10, gateways: 4, uneven: true}},
		{"limit below the number of gateways", limitPlay{values: []string{"1.5"}, limit: 1.5, gateways: 4}},
		{"requests that may run once", limitPlay{values: []string{"8.25"}, limit: 8.25, gateways: 4, method: http.MethodPost, path: "/book/1"}},
		{"streams", limitPlay{values: []string{"10"}, limit: 10, gateways: 4, method: http.MethodPost, path: "/draft/1", events: 5}},
		{"several values", limitPlay{values: []string{"30", " 10 ", "soon"}, limit: 10, gateways: 2}},
		{"record written again", limitPlay{values: []string{"10"}, limit: 10, gateways: 4, meanwhile: record(0)}},
		{"record gone and back", limitPlay{values: []string{"10"}, limit: 10, gateways: 4, meanwhile: record(400 * time.Millisecond)}},
		{"new configuration", limitPlay{values: []string{"10"}, limit: 10, gateways: 4, meanwhile: func(d *deployment, _ *runner.Runner) { d.publish() }}},
		{"callers that leave", limitPlay{values: []string{"10"}, limit: 10, gateways: 2, meanwhile: func(d *deployment, _ *runner.Runner) {
			for range 600 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				_ = send(newRequest(d.gateways[0], http.MethodGet, "/lookup/1", "key-a", "").WithContext(ctx))
				cancel()
				time.Sleep(8 * time.Millisecond)
			}
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play.length = length
			if c.play.path == "" {
				c.play.method, c.play.path = http.MethodGet, "/lookup/1"
			}
			res := c.play.run(t)
			res.check(t, c.play.limit, limitSettles, length)
			if n := len(res.refused); n > 0 {
				t.Errorf("refused requests: got %d, want all served, since the other servers have no limit", n)
			}
		})
	}
}

// Guards against callers that wait, or that all come back at the same time, although no
// server may take their requests.
func TestOnlyServerNamesALimit(t *testing.T) {
	const length = 8500 * time.Millisecond
	cases := []struct {
		name      string
		gateways  int
		uneven    bool
		meanwhile func(d *deployment, limited *runner.Runner)
	}{
		{"four gateways", 4, false, nil},
		{"nearly all callers at one gateway", 4, true, nil},
		{"rejections", 2, false, func(_ *deployment, limited *runner.Runner) {
			for range 30 {
				limited.Fail(runner.FaultNotRun)
				time.Sleep(200 * time.Millisecond)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := limitPlay{values: []string{"20"}, limit: 20, gateways: c.gateways, uneven: c.uneven, servers: 1, method: http.MethodGet, path: "/lookup/1",
				length: length, meanwhile: c.meanwhile}
			res := p.run(t)
			res.check(t, p.limit, limitSettles, length)
			if res.slow > len(res.refused)/10 {
				t.Errorf("refusals after more than %v: got %d of %d, want at most a tenth", slowRefusal, res.slow, len(res.refused))
			}
			for v, n := range res.retryAfter {
				if s, err := strconv.ParseFloat(v, 64); err != nil || s <= 0 || n > len(res.refused)/4 {
					t.Errorf("Retry-After %q: got it in %d of %d refusals, want times above 0 that differ", v, n, len(res.refused))
				}
			}
		})
	}
}

// Guards against gateways that keep to the old limit after a server has named a lower one,
// or that keep to one that the server does not name any more.
func TestServerChangesItsLimit(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		// limit is the later one; 0 means none.
		limit float64
	}{
		{"lowered", []string{"5"}, 5},
		{"raised", []string{"30"}, 30},
		{"not named any more", nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const length = 9 * time.Second
			p := limitPlay{values: []string{"15"}, limit: 15, gateways: 4, method: http.MethodGet, path: "/lookup/1", length: length}
			p.meanwhile = func(_ *deployment, limited *runner.Runner) { limited.NameLimit(c.values...) }
			res := p.run(t)
			from := time.Second + limitSettles
			if c.limit > 0 {
				res.check(t, c.limit, from, length)
				return
			}
			if got, want := countFrom(res.arrivals, from), countFrom(res.asked, from)/4; got < want {
				t.Errorf("requests after the limit has ended: got %d, want a third of all, at least %d", got, want)
			}
		})
	}
}

// Guards against gateways that heed what is no limit, or that fail on it.
func TestValuesThatAreNoLimit(t *testing.T) {
	for _, v := range []string{"NaN", "-4", "1e309", "few", "", "Inf"} {
		t.Run(v, func(t *testing.T) {
			t.Parallel()
			p := limitPlay{values: []string{v}, gateways: 1, servers: 1, method: http.MethodGet, path: "/lookup/1", length: time.Second}
			if res := p.run(t); len(res.refused) > 0 || len(res.failed) > 0 {
				t.Errorf("requests that were not served: got %d refused and %d failed, want none", len(res.refused), len(res.failed))
			}
		})
	}
}

// Guards against a limit that is forgotten when gateways restart one after the other.
func TestLimitOutlivesRestartsOfGateways(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish()
	limited := d.addRunner(runner.Config{ID: "s0", Body: "ok"}, "desk")
	d.addRunner(runner.Config{ID: "s1", Body: "ok"}, "desk")
	limited.NameLimit("2")
	for range 3 {
		d.startReady()
	}
	eventually(t, "the gateways are connected", d.connected)
	ask := func(p *process) int { return send(newRequest(p, http.MethodGet, "/lookup/1", "key-a", "")).status }
	eventually(t, "the limit is known", func() bool {
		ask(d.gateways[0])
		return d.gateways[0].logs.FilterMessage("server named a rate limit").Len() > 0
	})
	time.Sleep(limitSettles)
	before := len(limited.Arrivals())
	begun := time.Now()
	for i := range d.gateways {
		p := d.restart(i)
		for range 60 {
			if got := ask(p); got != http.StatusOK {
				t.Errorf("request at gateway %d after its restart: got %d, want 200", i, got)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	allowed := int(1.5*2*time.Since(begun).Seconds() + 5)
	if got := len(limited.Arrivals()) - before; got > allowed {
		t.Errorf("requests to the server with a limit of 2 during the restarts: got %d in %v, want at most %d", got, time.Since(begun), allowed)
	}
}
