package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case.
const (
	// settleTime is how long all agents have run before the disruption.
	settleTime = 16 * time.Second
	// muteTime is how long a runner sends no answers.
	muteTime = 900 * time.Millisecond
	// wakeDelay is how long after the takeover the frozen agent goes on, and maxFreeze how long
	// it is frozen at most.
	wakeDelay = 100 * time.Millisecond
	maxFreeze = 4 * time.Second
	// recovery is recovery_s, and watched how long requests are counted after it.
	recovery, watched = 12 * time.Second, 40 * time.Second
	// streamPause is the gap after which clients leave a stream.
	streamPause    = 2 * time.Second
	streamDeadline = 8 * time.Second
	// streamsPerGateway is the number of streams a second at each gateway.
	streamsPerGateway = 6.0
)

// staleHold freezes the leader of a group while a pass is held for a change of the map, until
// another agent has taken over the hold. The runner of that agent says nothing for less than a
// second.
func staleHold(s *scene) (bool, error) {
	g, err := s.startGroup(groupHost, groupSize)
	if err != nil {
		return false, err
	}
	g.serving = true
	g.register()
	s.publish(map[string]any{"version": 1, "limits": limits, "services": []any{engineConfig()},
		"routes": []map[string]any{{"name": "manifest-draft", "host": "wuny96.example", "path_prefix": "/stream/", "kind": "streaming", "resumable": true,
			"timeout_ms": streamDeadline.Milliseconds(), "slo_ms": 500, "gap_target_ms": 120, "priority": 1, "service": "model", "max_attempts": 2, "public": true, "sticky": true}}})
	gateways, err := s.startGateways("tamarin", "chamarel", "case-noyale")
	if err != nil {
		return false, err
	}
	agents, err := s.startAgents(g, gateways[0])
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(gateways); err != nil {
		return false, err
	}
	c := &streamClients{scene: s, stop: make(chan struct{})}
	for _, gw := range gateways {
		c.run(gw)
	}
	if err := g.awaitMaps(2, roundLimit); err != nil {
		return false, fmt.Errorf("before the disruption: %w", err)
	}
	time.Sleep(settleTime)
	back := time.Now()
	if s.trouble {
		if back, err = g.freezeLeader(agents[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(recovery + watched)))
	list := c.end()
	before, after := c.share(list, s.begun, back.Add(-maxFreeze)), c.share(list, back.Add(recovery), back.Add(recovery+watched-streamDeadline))
	s.recordf("served before the fault: %.2f; of the requests sent later than %v after the machine was back: %.2f; of all: %.2f", before, recovery, after, c.share(list, s.begun, time.Now()))
	g.mu.Lock()
	s.recordf("the last pass is %d", g.pass)
	for i, r := range g.ranks {
		if r.held > g.pass {
			s.recordf("rank %d holds step %d", i, r.held)
		}
	}
	g.mu.Unlock()
	if before < 0.25 {
		return false, errors.New("less than a quarter was served before the fault")
	}
	return after < 0.25, nil
}

// freezeLeader freezes the leader when it arms a rank. It returns the time when the leader
// goes on.
func (g *group) freezeLeader(leader *process) (time.Time, error) {
	s := g.scene
	var step int64
	var frozen time.Time
	takenOver := make(chan struct{})
	g.mu.Lock()
	g.onOrder = func(i int, o order) bool {
		switch {
		case o.Op == "arm" && frozen.IsZero():
			frozen, step = time.Now(), o.Step
			leader.signal(syscall.SIGSTOP)
			s.recordf("the agent of rank 0 is frozen while step %d is held", step)
		case i == 1 && o.Op == "hold" && !frozen.IsZero() && o.Step == step && takenOver != nil:
			g.ranks[1].muteUntil = time.Now().Add(muteTime)
			s.recordf("the agent of rank 1 takes over step %d; the runner of rank 1 is silent for %v", step, muteTime)
			close(takenOver)
			takenOver = nil
		}
		return false
	}
	wait := takenOver
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.onOrder = nil
		g.mu.Unlock()
	}()
	for end := time.Now().Add(roundLimit); ; time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		at := frozen
		g.mu.Unlock()
		if !at.IsZero() {
			select {
			case <-wait:
				time.Sleep(wakeDelay)
			case <-time.After(time.Until(at.Add(maxFreeze))):
			}
			leader.signal(syscall.SIGCONT)
			s.recordf("the agent of rank 0 goes on after %.1f s", time.Since(at).Seconds())
			return time.Now(), nil
		}
		if time.Now().After(end) {
			return time.Time{}, errors.New("no change of the map came")
		}
	}
}

// streamClients are clients that read streams.
type streamClients struct {
	scene   *scene
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	streams []stream
}

// stream is a client attempt, and whether it was answered with the whole stream.
type stream struct {
	sent   time.Time
	served bool
}

func (c *streamClients) run(gw *gateway) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for {
			select {
			case <-time.After(time.Duration((0.5 + rand.Float64()) / streamsPerGateway * float64(time.Second))):
			case <-c.stop:
				return
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(client, gw)
			}()
		}
	}()
}

// send sends a request and reads the stream. It leaves when nothing has come for streamPause.
func (c *streamClients) send(client *http.Client, gw *gateway) {
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32())
	x := stream{sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	quiet := time.AfterFunc(streamPause, cancel)
	defer quiet.Stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gw.caller+"/stream/2f", strings.NewReader("prompt "+id))
	if err != nil {
		panic(err)
	}
	q.Host = "wuny96.example"
	q.Header.Set("Nutmegnotch-Request-Id", id)
	q.Header.Set("Nutmegnotch-Deadline-Ms", fmt.Sprint(streamDeadline.Milliseconds()))
	q.Header.Set("Nutmegnotch-Model", "m")
	q.Header.Set("Nutmegnotch-Token-Counts", "714,97")
	q.Header.Set("Nutmegnotch-Prompt-Prefix", "5c1e07a2:40,"+id+":674")
	resp, err := client.Do(q)
	status, events := 0, 0
	if err == nil {
		status = resp.StatusCode
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			quiet.Reset(streamPause)
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
			}
		}
		err = lines.Err()
		resp.Body.Close()
	}
	x.served = err == nil && status == http.StatusOK && events == streamEvents
	c.scene.recordAt(x.sent, "request %s is sent to %s", id, gw.id)
	c.scene.recordf("request %s ends with status %d and %d events, served %t", id, status, events, x.served)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams = append(c.streams, x)
}

func (c *streamClients) end() []stream {
	close(c.stop)
	c.wg.Wait()
	return c.streams
}

// share returns the share of the requests sent in a time that were served.
func (c *streamClients) share(list []stream, from, to time.Time) float64 {
	n, served := 0, 0
	for _, x := range list {
		if x.sent.Before(from) || x.sent.After(to) {
			continue
		}
		n++
		if x.served {
			served++
		}
	}
	return float64(served) / float64(max(1, n))
}
