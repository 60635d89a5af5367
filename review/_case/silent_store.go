package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"nutmegnotch/emulator/runner"
)

// Course of silentStore. The store falls silent silentAfter a change of the configuration, for
// silentFor. revokeAfter its return the operator takes a key away.
const (
	silentGateways = 3
	silentAfter    = 680 * time.Millisecond
	silentFor      = 5800 * time.Millisecond
	revokeAfter    = 100 * time.Millisecond
	// configTime is config_ms, and watchTime how long requests go on after the return.
	configTime = 2 * time.Second
	watchTime  = 5 * time.Second
	probeGap   = 10 * time.Millisecond
	takenKey   = "key-that-is-taken-away"
	tenantName = "tenant-a"
	lookupWork = 15 * time.Millisecond
)

// silencer is a store that can fall silent. What it has been asked until its return is never
// answered.
type silencer struct {
	store http.Handler
	mu    sync.Mutex
	// silent is set while the store is down, and fell counts how often it has fallen silent.
	silent bool
	fell   int
}

func (s *silencer) set(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.fell++
	}
}

// ServeHTTP implements http.Handler.
func (s *silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, fell := s.silent, s.fell
	s.mu.Unlock()
	answer := httptest.NewRecorder()
	if !silent {
		s.store.ServeHTTP(answer, r)
		s.mu.Lock()
		silent = s.fell != fell
		s.mu.Unlock()
	}
	if silent {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// probe is a lookup with the key that is taken away.
type probe struct {
	id, gateway string
	answer      answer
}

// silentStore takes a key away right after the store has been silent, and sends requests with
// that key to three gateways.
func silentStore(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{}
	defer d.close()
	s := &silencer{}
	if err := d.startSilentStore(ctx, s); err != nil {
		return false, err
	}
	gateways, err := startGateways(r.dir, silentGateways, d.store.address)
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	if err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	d.putConfig(2, true)
	r.record.add("version 2 of the configuration is acknowledged; the key is in it")
	time.Sleep(silentAfter)
	if r.trouble {
		s.set(true)
		r.record.add("the store is silent")
	}
	time.Sleep(silentFor)
	s.set(false)
	back := time.Now()
	r.record.add("the store is back")
	var probes []probe
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, g := range gateways {
		wg.Go(func() {
			list := sendProbes(g, back.Add(watchTime))
			mu.Lock()
			defer mu.Unlock()
			probes = append(probes, list...)
		})
	}
	time.Sleep(time.Until(back.Add(revokeAfter)))
	d.putConfig(3, false)
	revoked := time.Now()
	r.record.add("version 3 of the configuration is acknowledged; the key is no longer in it")
	wg.Wait()
	due := revoked.Add(configTime)
	if inTouch := back.Add(stableWindow); r.trouble && inTouch.After(due) {
		due = inTouch
	}
	return countStale(r, d, probes, due, back) > 0, nil
}

// startSilentStore starts the store behind a silencer, and runners.
func (d *deployment) startSilentStore(ctx context.Context, s *silencer) error {
	var err error
	if d.store, err = startStore(); err != nil {
		return err
	}
	s.store = d.store.Store
	d.store.server.Handler = s
	d.putConfig(1, true)
	for i := range deskRunners {
		x, err := d.startRunner(ctx, "desk", deskSlots, runner.Config{ID: fmt.Sprintf("i-desk-%d", i), Body: "in stock", ProcessingTime: lookupWork})
		if err != nil {
			return err
		}
		d.desks = append(d.desks, x)
	}
	return nil
}

// putConfig writes a version of the configuration, with or without the key that is taken away.
func (d *deployment) putConfig(version int, withKey bool) {
	c := config(route{name: "lookup", prefix: "/lookup/", kind: "idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 2})
	c["version"] = version
	for _, x := range c["routes"].([]map[string]any) {
		x["public"] = false
	}
	keys := []string{"key-that-stays"}
	if withKey {
		keys = append(keys, takenKey)
	}
	c["tenants"] = []map[string]any{{"name": tenantName, "api_keys": keys, "priority": 1}}
	d.store.PutJSON("keyed.op", "config", c)
}

// sendProbes sends lookups over one kept connection until a time.
func sendProbes(g *gateway, until time.Time) []probe {
	var out []probe
	var c *client
	for n := 0; time.Now().Before(until); n++ {
		if c == nil {
			var err error
			if c, err = dialClient(g.caller); err != nil {
				time.Sleep(probeGap)
				continue
			}
		}
		id := fmt.Sprintf("%s-lookup-%d", g.id, n)
		a := c.do(clientRequest{id: id, method: http.MethodGet, path: lookupPath, key: takenKey, deadline: deskTimeout})
		out = append(out, probe{id: id, gateway: g.id, answer: a})
		if !a.complete {
			c.conn.Close()
			c = nil
		}
		time.Sleep(probeGap)
	}
	if c != nil {
		c.conn.Close()
	}
	return out
}

// countStale returns the number of requests with the key that were sent after a time at which
// the gateways had to know that it was taken away, and that a runner ran.
func countStale(r *run, d *deployment, probes []probe, due, back time.Time) int {
	ran := runs(d.desks)
	slices.SortFunc(probes, func(a, b probe) int { return a.answer.sentAt.Compare(b.answer.sentAt) })
	r.record.add("the key had to be unknown from %.3f s after the store's return", due.Sub(back).Seconds())
	stale := 0
	last := map[string]float64{}
	for _, p := range probes {
		x, hasRun := ran[p.id]
		if !hasRun {
			continue
		}
		last[p.gateway] = p.answer.sentAt.Sub(back).Seconds()
		if p.answer.sentAt.After(due) {
			stale++
			r.record.add("%s: sent %.3f s after the store's return; %v; run for %q", p.id, last[p.gateway], p.answer, x.Header.Get("Nutmegnotch-Tenant"))
		}
	}
	r.record.add("requests sent: %d; the last one that ran was sent %v s after the store's return", len(probes), last)
	r.record.add("requests with the key that ran too late: got %d, want 0", stale)
	return stale
}
