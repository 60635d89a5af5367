package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a client attempt and what came of it.
type attempt struct {
	id      string
	gateway string
	sent    time.Time
	ended   time.Time
	// status is 0 if the connection ended without an answer.
	status  int
	seal    string
	leaving bool
}

// clients sends requests to gateways until it is stopped.
type clients struct {
	scene    *scene
	gateways []*gateway
	host     string
	path     string
	method   string
	deadline time.Duration
	next     atomic.Int64
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	attempts []attempt
}

func (s *scene) newClients(gateways []*gateway, method, host, path string, deadline time.Duration) *clients {
	return &clients{scene: s, gateways: gateways, host: host, path: path, method: method, deadline: deadline, stop: make(chan struct{})}
}

// run sends requests at a rate to each gateway, from a few clients that keep their
// connections.
func (c *clients) run(perGateway float64) {
	for _, g := range c.gateways {
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
		client := &http.Client{Transport: transport, Timeout: c.deadline}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			defer transport.CloseIdleConnections()
			for {
				wait := time.Duration((0.5 + rand.Float64()) / perGateway * float64(time.Second))
				select {
				case <-time.After(wait):
				case <-c.stop:
					return
				}
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.send(client, g)
				}()
			}
		}()
	}
}

func (c *clients) send(client *http.Client, g *gateway) {
	a := attempt{id: fmt.Sprintf("%08x%06x", rand.Uint32(), c.next.Add(1)), gateway: g.id, sent: time.Now()}
	q, err := http.NewRequest(c.method, "http://"+g.caller+c.path, http.NoBody)
	if err != nil {
		panic(err)
	}
	q.Host = c.host
	q.Header.Set("Nutmegnotch-Request-Id", a.id)
	q.Header.Set("Nutmegnotch-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	resp, err := client.Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	a.ended = time.Now()
	if err == nil {
		a.status, a.seal = resp.StatusCode, resp.Header.Get("Nutmegnotch-Response-Seal")
		a.leaving = resp.Header.Get("Server-Leaving") == "1"
	}
	c.scene.recordAt(a.sent, "request %s is sent to %s", a.id, a.gateway)
	c.scene.recordAt(a.ended, "request %s is answered %d by %s, %s, leaving %t", a.id, a.status, a.gateway, a.seal, a.leaving)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// end stops the clients and returns all attempts.
func (c *clients) end() []attempt {
	close(c.stop)
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts
}

// served returns how many attempts were answered 200.
func served(list []attempt) int {
	n := 0
	for _, a := range list {
		if a.status == http.StatusOK {
			n++
		}
	}
	return n
}
