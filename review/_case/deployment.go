package main

import (
	"context"
	"fmt"
	"time"

	"nutmegnotch/emulator/runner"
)

// Figures of the routes and services of all cases. A booking must not be repeated.
const (
	draftTimeout   = 8 * time.Second
	draftObjective = 500 * time.Millisecond
	deskTimeout    = 600 * time.Millisecond
	deskObjective  = 100 * time.Millisecond
	engineSlots    = 12
	deskSlots      = 6
)

// Paths of requests for streams, bookings and lookups.
const (
	draftPath  = "/draft/1"
	bookPath   = "/book/1"
	lookupPath = "/lookup/1"
)

// deploymentConfig holds the numbers of runners and how they answer.
type deploymentConfig struct {
	engines, events int
	eventInterval   time.Duration
	desks           int
	deskWork        time.Duration
	// startOthers starts further runners before the gateway. It may be nil.
	startOthers func(*deployment) error
}

// deployment is a gateway before the runners of a model service and of a plain service.
type deployment struct {
	store          *store
	gateway        *gateway
	engines, desks []*runner.Runner
}

// startDeployment starts the stand-ins and the gateway, and waits until the gateway is ready.
// Entries of runners are written until ctx is done. The caller must close the deployment,
// also after an error.
func startDeployment(ctx context.Context, r *run, cfg deploymentConfig) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	d.store.PutJSON("keyed.op", "config", config(
		route{name: "draft", prefix: "/draft/", kind: "streaming", service: "model", timeout: draftTimeout, objective: draftObjective, attempts: 2},
		route{name: "book", prefix: "/book/", kind: "non_idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 1},
		route{name: "lookup", prefix: "/lookup/", kind: "idempotent", service: "desk", timeout: deskTimeout, objective: deskObjective, attempts: 2},
	))
	for i := range cfg.engines {
		x, err := d.startRunner(ctx, "model", engineSlots, runner.Config{ID: fmt.Sprintf("i-engine-%d", i), Events: cfg.events, EventInterval: cfg.eventInterval})
		if err != nil {
			return d, err
		}
		d.engines = append(d.engines, x)
	}
	for i := range cfg.desks {
		x, err := d.startRunner(ctx, "desk", deskSlots, runner.Config{ID: fmt.Sprintf("i-desk-%d", i), Body: "booked", ProcessingTime: cfg.deskWork})
		if err != nil {
			return d, err
		}
		d.desks = append(d.desks, x)
	}
	if cfg.startOthers != nil {
		if err := cfg.startOthers(d); err != nil {
			return d, err
		}
	}
	if d.gateway, err = startGateway(r.dir, "front-"+zone+"-1", d.store.address); err != nil {
		return d, err
	}
	return d, d.gateway.waitReady()
}

func (d *deployment) startRunner(ctx context.Context, service string, slots int, cfg runner.Config) (*runner.Runner, error) {
	x, err := runner.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("start runner: %w", err)
	}
	d.store.keepListed(ctx, cfg.ID, entry(service, x.Address(), slots))
	return x, nil
}

// runs returns the runs of the given runners by the id of their request.
func runs(runners []*runner.Runner) map[string]runner.Run {
	out := map[string]runner.Run{}
	for _, r := range runners {
		for _, x := range r.Runs() {
			out[x.ID] = x
		}
	}
	return out
}

func (d *deployment) close() {
	if d.gateway != nil {
		d.gateway.kill()
	}
	for _, x := range append(d.engines, d.desks...) {
		x.Close()
	}
	if d.store != nil {
		d.store.close()
	}
}
