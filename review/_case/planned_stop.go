package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Course of plannedStop. The longest streams of the site have 60 events, and pauses of up to
// 120 ms are on time.
const (
	stopClients       = 8
	stopEvents        = 60
	stopEventInterval = 85 * time.Millisecond
	firstSend         = 3100 * time.Millisecond
	sendSpacing       = 40 * time.Millisecond
	// excusedUntil is the time after SIGTERM until which a request may be cut off with its
	// runner at work in the last sixth of grace_s.
	excusedUntil = 3 * time.Second
	// deadlineMargin keeps requests that end near their deadline from being counted.
	deadlineMargin = time.Second
)

// plannedStop sends SIGTERM to a gateway and, 3.1 to 3.4 s later, requests for streams over
// connections that clients have kept.
func plannedStop(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := startDeployment(ctx, r, deploymentConfig{engines: 1, events: stopEvents, eventInterval: stopEventInterval, desks: 1})
	defer d.close()
	if err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	conns, err := keptConnections(d.gateway, stopClients)
	if err != nil {
		return false, err
	}
	r.record.add("%d clients have a connection that has served a request", len(conns))
	term := time.Now()
	if r.trouble {
		if err := d.gateway.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, fmt.Errorf("send SIGTERM: %w", err)
		}
		r.record.add("SIGTERM sent; grace_s is %v", graceTime)
	}
	answers := make([]answer, len(conns))
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			time.Sleep(time.Until(term.Add(firstSend + time.Duration(i)*sendSpacing)))
			answers[i] = c.do(clientRequest{id: draftID(i), method: http.MethodPost, path: draftPath, deadline: draftTimeout,
				body: []byte("draft a care label"), headers: "Nutmegnotch-Model: m\r\nNutmegnotch-Token-Counts: 674,240\r\n"})
		})
	}
	wg.Wait()
	return countCut(r, d, answers, term) > 0, nil
}

func draftID(i int) string { return fmt.Sprintf("draft-%d", i) }

// keptConnections returns connections over each of which a request was served.
func keptConnections(g *gateway, n int) ([]*client, error) {
	var conns []*client
	for i := range n {
		c, err := dialClient(g.caller)
		if err != nil {
			return nil, err
		}
		a := c.do(clientRequest{id: fmt.Sprintf("lookup-%d", i), method: http.MethodGet, path: lookupPath, deadline: deskTimeout})
		if a.status != http.StatusOK || !a.complete {
			return nil, fmt.Errorf("first request of client %d: %v", i, a)
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// countCut returns the number of streams that the rule LOST counts: sent later than
// excusedUntil, passed on to a runner, and ended without a complete answer well before the
// deadline and the route's timeout.
func countCut(r *run, d *deployment, answers []answer, term time.Time) int {
	ran := runs(d.engines)
	cut := 0
	for i, a := range answers {
		_, passedOn := ran[draftID(i)]
		r.record.add("%s: sent %.3f s after SIGTERM; %v, %.3f s after SIGTERM and %.3f s after it was sent; passed on to a runner: %t",
			draftID(i), a.sentAt.Sub(term).Seconds(), a, a.endedAt.Sub(term).Seconds(), a.endedAt.Sub(a.sentAt).Seconds(), passedOn)
		if !a.complete && passedOn && a.sentAt.Sub(term) > excusedUntil && a.endedAt.Sub(a.sentAt) < draftTimeout-deadlineMargin {
			cut++
		}
	}
	r.record.add("streams that were passed on to a runner and cut off: got %d, want 0", cut)
	return cut
}
