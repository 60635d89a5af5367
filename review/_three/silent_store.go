package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Settings of the case of connections to the store that go silent for good.
const (
	silentServers = 7
	silentRounds  = 5
	silentRate    = 300
	silentPause   = 9 * time.Second
	// maxSilentLater is added to silentPause at most.
	maxSilentLater = 2 * time.Second
	// leavesAfter is when a server's entry is removed after the connections have gone silent,
	// and servesOn how much longer than drainTime the server serves.
	leavesAfter = time.Second
	servesOn    = 400 * time.Millisecond
	// silentWork is the work of a request.
	silentWork = 120 * time.Millisecond
	// inTouchMargin is added to the time from which the gateways are in touch.
	inTouchMargin = 50 * time.Millisecond
)

// proxy passes on connections, until it makes those that are open silent for good.
type proxy struct {
	to    string
	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is a connection through the proxy.
type pair struct {
	mu     sync.Mutex
	silent bool
}

// newProxy starts a proxy to an address and returns its own.
func newProxy(to string) (*proxy, net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("listen for the proxy: %w", err)
	}
	p := &proxy{to: to, pairs: map[*pair]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, l, nil
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	pr := &pair{}
	p.mu.Lock()
	p.pairs[pr] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pairs, pr)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		pr.pass(s, c)
	}()
	go pr.pass(c, s)
	<-done
}

// pass passes on what comes from one end, and drops it once the connection is silent.
func (pr *pair) pass(to io.Writer, from io.Reader) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		pr.mu.Lock()
		silent := pr.silent
		pr.mu.Unlock()
		if err != nil {
			return
		}
		if silent {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for pr := range p.pairs {
		pr.mu.Lock()
		if !pr.silent {
			n++
		}
		pr.silent = true
		pr.mu.Unlock()
	}
	return n
}

// leaving is a server that has left, and from when on a request to it breaks the rule.
type leaving struct {
	server *backendServer
	from   time.Time
}

// silentStore lets servers leave, each one second after the connections to the store have gone
// silent.
func silentStore(r *record, trouble bool) (bool, error) {
	d, servers, err := newDesks(r, []string{"z1", "z2", "z3"}, silentServers)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, s := range servers {
		s.work = silentWork
	}
	if err := d.startGateways(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := newLoad(d, "s", lookupPath, reservePath, 4*time.Second)
	done := make(chan struct{})
	go func() { defer close(done); l.run(ctx, silentRate) }()
	var left []leaving
	for i := range silentRounds {
		// The moments are drawn at random, since the reads of the gateways come at intervals.
		time.Sleep(silentPause - leavesAfter - drainTime - servesOn + rand.N(maxSilentLater))
		silentAt := time.Now()
		if trouble {
			r.add("%d connections to the store go silent", d.proxy.silence())
		}
		time.Sleep(leavesAfter)
		s := servers[i]
		s.leave()
		at := time.Now()
		from := at.Add(drainTime)
		if touch := silentAt.Add(stableWindow + inTouchMargin); touch.After(from) {
			from = touch
		}
		left = append(left, leaving{s, from})
		r.add("the store has acknowledged that %s is gone; it serves on until %.3f s", s.id, r.since(at.Add(drainTime+servesOn)))
		time.Sleep(drainTime + servesOn)
		s.crash()
	}
	time.Sleep(time.Second)
	cancel()
	<-done
	l.log.addTo(r, reachedServers(servers))
	r.add("answers: %v", l.log.counts())
	late := 0
	for _, x := range left {
		n := 0
		x.server.mu.Lock()
		for _, a := range x.server.arrivals {
			if a.at.After(x.from) && l.log.sentAfter(a.id, x.from.Add(-inTouchMargin)) {
				n++
			}
		}
		x.server.mu.Unlock()
		r.add("%s got %d requests later than %.3f s", x.server.id, n, r.since(x.from))
		late += n
	}
	return late > 0, nil
}
