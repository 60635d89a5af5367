package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the case of a part of a prompt that crashes engines, which comes in two bursts.
const (
	partGateways   = 5
	partEngines    = 12
	firstBurst     = 15
	secondBurst    = 5
	burstGap       = 9 * time.Second
	soundRate      = 5
	maxLateRuns    = 3
	crashesToCount = 5
	badPart        = "bad0bad0"
)

// Kinds of requests.
const (
	soundKind = "sound"
	badKind   = "bad"
)

// partBursts sends two bursts of requests that share a part which crashes engines.
func partBursts(r *record, trouble bool) (bool, error) {
	d, engines, err := newDraftDeployment(r, []string{"z1", "z2", "z3", "z1", "z2"}[:partGateways], partEngines, shortAnswers, trouble)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, e := range engines {
		defer e.close()
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	c := &draftCallers{d: d, log: newRequestLog()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.sound(ctx, soundRate) }()
	time.Sleep(6 * time.Second)
	c.burst(firstBurst)
	time.Sleep(burstGap)
	c.burst(secondBurst)
	time.Sleep(4 * time.Second)
	cancel()
	<-done
	return judgePart(r, engines, c), nil
}

// newDraftDeployment prepares gateways and starts engines, which badPart crashes if trouble
// is set.
func newDraftDeployment(r *record, zones []string, count int, cfg engineConfig, trouble bool) (*deployment, []*engineServer, error) {
	d, err := newDeployment(r, zones)
	if err != nil {
		return nil, nil, err
	}
	d.store.PutJSON("keyed.op", "config", map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": "model", "health_path": "/health", "max_conns": 400, "cold_start_s": 0, "cold_per_s": 0}},
		"routes": []map[string]any{{"name": "draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "resumable": false, "service": "model", "max_attempts": 2,
			"timeout_ms": 8000, "slo_ms": 500, "gap_target_ms": 120, "priority": 1, "sticky": true}},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{"key-1"}}},
	})
	if trouble {
		cfg.crashPart = badPart
	}
	var engines []*engineServer
	for i := range count {
		e, err := newEngineServer(d, fmt.Sprintf("e%02d", i), fmt.Sprintf("z%d", i%3+1), 24, cfg)
		if err != nil {
			d.close()
			return nil, nil, err
		}
		engines = append(engines, e)
	}
	return d, engines, nil
}

// judgePart reports whether more than maxLateRuns requests with the part reached engines
// later than the stable window after the fifth crash.
func judgePart(r *record, engines []*engineServer, c *draftCallers) bool {
	var crashes []time.Time
	var runs []engineRun
	for _, e := range engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		for _, run := range e.runs {
			if run.hasPart {
				runs = append(runs, run)
			}
		}
		e.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	for _, at := range crashes {
		r.add("an engine crashed at %.3f s", r.since(at))
	}
	c.log.addTo(r, reachedEngines(engines))
	r.add("answers: %v", c.log.counts())
	if len(crashes) < crashesToCount {
		r.add("%d crashes, so that nothing is counted", len(crashes))
		return false
	}
	from := crashes[crashesToCount-1].Add(stableWindow)
	late := 0
	for _, run := range runs {
		if run.at.After(from) {
			late++
		}
	}
	r.add("%d requests with the part reached engines later than %.3f s; allowed are %d", late, r.since(from), maxLateRuns)
	return late > maxLateRuns
}

// reachedEngines returns the engines that each request has reached.
func reachedEngines(engines []*engineServer) map[string][]reached {
	out := map[string][]reached{}
	for _, e := range engines {
		e.mu.Lock()
		for _, run := range e.runs {
			out[run.id] = append(out[run.id], reached{e.name, run.at})
		}
		e.mu.Unlock()
	}
	return out
}

// draftCallers send requests for drafts.
type draftCallers struct {
	d   *deployment
	n   atomic.Int64
	log *requestLog
}

// sound sends requests without the part at a steady rate.
func (c *draftCallers) sound(ctx context.Context, perSecond int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := c.n.Add(1)
			c.send(soundKind, n, "5eed0001:40")
		}()
	}
}

// burst sends requests with the part at the same time, to the gateways in turn.
func (c *draftCallers) burst(count int) {
	c.d.record.add("%d callers send requests with the part at the same time", count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.send(badKind, int64(i), "5eed0001:40,"+badPart+":200")
		}()
	}
	wg.Wait()
}

func (c *draftCallers) send(kind string, n int64, shared string) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	g := c.d.gateways[int(n)%len(c.d.gateways)]
	id := fmt.Sprintf("%s-%d-%d", kind, n, time.Now().UnixMilli()%100000)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller+"/draft/"+id, bytes.NewReader([]byte(id)))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Nutmegnotch-Request-Id", id)
	r.Header.Set("Nutmegnotch-Key", "key-1")
	r.Header.Set("Nutmegnotch-Model", "m")
	r.Header.Set("Nutmegnotch-Token-Counts", "714,96")
	r.Header.Set("Nutmegnotch-Prompt-Prefix", fmt.Sprintf("%s,%08x:474", shared, time.Now().UnixNano()&0xffffffff))
	r.Header.Set("Nutmegnotch-Deadline-Ms", "8000")
	c.log.sent(id, g.id, kind)
	c.log.answered(id, exchange(http.DefaultClient, r))
}
