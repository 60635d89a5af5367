package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"nutmegnotch/emulator/runner"
)

// Course of foreignEntry. Clients book for foreignBefore; then another writer puts an entry into
// the store and keeps it there for foreignFor.
const (
	foreignBefore  = 4 * time.Second
	foreignFor     = 10 * time.Second
	foreignClients = 12
	foreignWork    = 60 * time.Millisecond
	foreignID      = "i-trial-0"
	foreignBody    = "booked in the trial"
)

// foreignEntry lets another writer name a process as a runner, in an entry without some of its
// fields. The process is a runner of a service that no configuration names.
func foreignEntry(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{}
	defer d.close()
	var err error
	if d.store, err = startStore(); err != nil {
		return false, err
	}
	d.store.PutJSON("keyed.op", "config", config(route{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 1}))
	for i := range deskRunners {
		x, err := d.startRunner(ctx, "desk", deskSlots, runner.Config{ID: fmt.Sprintf("i-desk-%d", i), Body: "booked", ProcessingTime: foreignWork})
		if err != nil {
			return false, err
		}
		d.desks = append(d.desks, x)
	}
	trial, err := runner.New(runner.Config{ID: foreignID, Body: foreignBody, ProcessingTime: foreignWork})
	if err != nil {
		return false, fmt.Errorf("start runner of the trial: %w", err)
	}
	defer trial.Close()
	if d.gateway, err = startGateway(r.dir, "front-"+zone+"-1", d.store.address); err != nil {
		return false, err
	}
	if err := d.gateway.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	got := map[string]answer{}
	var wg sync.WaitGroup
	for i := range foreignClients {
		wg.Go(func() {
			list := d.bookOn(i, stop)
			mu.Lock()
			defer mu.Unlock()
			for id, a := range list {
				got[id] = a
			}
		})
	}
	time.Sleep(foreignBefore)
	written := time.Now()
	if r.trouble {
		r.record.add("another writer puts an entry under %s without version, cold_left_ms, seq and born", foreignID)
		d.store.keepListed(ctx, foreignID, func(int) map[string]any {
			return map[string]any{"service": "desk", "addr": trial.Address(), "zone": zone, "slots": deskSlots, "state": "ready"}
		})
	}
	time.Sleep(foreignFor)
	close(stop)
	wg.Wait()
	return countForeign(r, d, trial, got, written) > 0, nil
}

// countForeign returns the number of bookings that the runner of the trial has run.
func countForeign(r *run, d *deployment, trial *runner.Runner, got map[string]answer, written time.Time) int {
	ran, told, sound := 0, 0, 0
	for _, x := range trial.Runs() {
		a, ok := got[x.ID]
		if !ok {
			continue
		}
		ran++
		if a.status == http.StatusOK && a.sealed && a.complete && string(a.body) == foreignBody {
			told++
		}
		r.record.add("%s: run by %s %.3f s after the entry was written; %v %q", x.ID, foreignID, x.At.Sub(written).Seconds(), a, a.body)
	}
	for id := range runs(d.desks) {
		if a := got[id]; a.status == http.StatusOK && a.complete {
			sound++
		}
	}
	r.record.add("bookings sent: %d; run by runners of the service and answered with success: %d", len(got), sound)
	r.record.add("bookings run by a runner of another service: got %d, want 0; of them answered to their clients with its success: %d", ran, told)
	return ran
}
