package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"nutmegnotch/emulator/metastore"
)

// Settings of the case of a server that starts again while the store is down.
const (
	coldPerSecond = 14
	coldExcess    = 1.5
	coldSlack     = 5
	coldStart     = 3 * time.Second
	coldRate      = 160
	coldOutage    = 8 * time.Second
	coldDown      = 2 * time.Second
	// coldCollapse times what the rule allows ends a cold server.
	coldCollapse = 1.25
)

// coldRestart lets a server crash and start again under its id.
func coldRestart(r *record, trouble bool) (bool, error) {
	d, servers, err := newDeskDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	down := &atomic.Bool{}
	for _, s := range servers {
		s.setStoreDown(down.Load)
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 24*time.Second)
	defer cancel()
	l := newLoad(d, "c", lookupPath, reservePath, 4*time.Second)
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx, coldRate) }()
	time.Sleep(8 * time.Second)
	if trouble {
		down.Store(true)
		d.store.SetFault(metastore.FaultUnavailable)
		r.add("the store is down")
	}
	time.Sleep(time.Second)
	servers[1].crash()
	r.add("server %s has crashed", servers[1].id)
	time.Sleep(coldDown)
	if err := servers[1].start(true); err != nil {
		return false, err
	}
	r.add("server %s runs again, cold for %v", servers[1].id, coldStart)
	time.Sleep(coldOutage - coldDown - time.Second)
	if trouble {
		d.store.SetFault(metastore.FaultNone)
		down.Store(false)
		r.add("the store is up")
	}
	<-done
	return judgeCold(r, servers, servers[1], l), nil
}

// Paths of the routes of newDesks.
const (
	lookupPath  = "/lookup/"
	reservePath = "/reserve/"
)

// newDeskDeployment prepares two gateways and starts three servers of a plain service.
func newDeskDeployment(r *record) (*deployment, []*backendServer, error) {
	return newDesks(r, []string{"z1", "z2"}, 3)
}

// newDesks prepares gateways in zones and starts servers of a plain service.
func newDesks(r *record, zones []string, count int) (*deployment, []*backendServer, error) {
	d, err := newDeployment(r, zones)
	if err != nil {
		return nil, nil, err
	}
	d.store.PutJSON("keyed.op", "config", map[string]any{
		"version":  1,
		"services": []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 200, "cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerSecond}},
		"routes": []map[string]any{
			{"name": "lookup", "host": host, "path_prefix": lookupPath, "kind": "idempotent", "service": "desk", "max_attempts": 2,
				"timeout_ms": 4000, "slo_ms": 300, "priority": 1, "public": true},
			{"name": "reserve", "host": host, "path_prefix": reservePath, "kind": "non_idempotent", "service": "desk", "max_attempts": 2,
				"timeout_ms": 4000, "slo_ms": 300, "priority": 1, "public": true},
		},
	})
	var servers []*backendServer
	for i := range count {
		s, err := newBackendServer(d, "i-"+string(rune('a'+i)), "desk", fmt.Sprintf("z%d", i%3+1), 12, 60*time.Millisecond, coldStart)
		if err == nil {
			s.collapseAt = coldCollapse * (coldPerSecond*coldExcess + coldSlack)
			err = s.start(false)
		}
		if err != nil {
			d.close()
			return nil, nil, err
		}
		servers = append(servers, s)
	}
	return d, servers, nil
}

// judgeCold reports whether a cold server got more requests within a second than the rule
// allows.
func judgeCold(r *record, servers []*backendServer, s *backendServer, l *load) bool {
	l.log.addTo(r, reachedServers(servers))
	r.add("answers: %v", l.log.counts())
	s.mu.Lock()
	r.add("the cold server collapsed %d times under its requests", s.collapses)
	s.mu.Unlock()
	most, at := s.mostInASecond()
	bound := coldPerSecond*coldExcess + coldSlack
	if most == 0 {
		r.add("no request reached a cold server")
		return false
	}
	r.add("cold server: at most %d requests in a second (from %.3f s on), the bound is %.0f", most, r.since(at), bound)
	return float64(most) > bound
}
