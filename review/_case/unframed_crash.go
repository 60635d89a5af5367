package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Course of unframedCrash. The service has as many runners as on the site, of which one
// crashes, and the streams have the mean number of events.
const (
	unframedRunners  = 12
	unframedEvents   = 24
	unframedInterval = 80 * time.Millisecond
	unframedClients  = 72
	unframedSpacing  = 16 * time.Millisecond
	// crashAfter is when the runner crashes, after the first request.
	crashAfter = 1200 * time.Millisecond
)

// unframedCrash kills a runner that is in the middle of streams without a length and without
// chunks. The kernel closes its connections, as for each process that ends.
func unframedCrash(r *run) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runners []*unframedRunner
	defer func() {
		for _, x := range runners {
			x.kill()
			<-x.exited
		}
	}()
	d, err := startDeployment(ctx, r, deploymentConfig{startOthers: func(d *deployment) error {
		for i := range unframedRunners {
			x, err := startUnframedRunner(engineID(i))
			if err != nil {
				return err
			}
			runners = append(runners, x)
			d.store.keepListed(ctx, x.id, entry("model", x.address, engineSlots))
		}
		return nil
	}})
	defer d.close()
	if err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	answers := make([]answer, unframedClients)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * unframedSpacing)
			answers[i] = streamOnce(d.gateway, draftID(i))
		})
	}
	time.Sleep(crashAfter)
	if r.trouble {
		runners[0].kill()
		r.record.add("SIGKILL sent to runner %s", runners[0].id)
	}
	wg.Wait()
	at := map[string][]string{}
	for _, x := range runners {
		for _, id := range x.requests() {
			at[id] = append(at[id], x.id)
		}
	}
	recordEvidence(r, d.gateway)
	return countShortStreams(r, answers, at) > 0, nil
}

func streamOnce(g *gateway, id string) answer {
	c, err := dialClient(g.caller)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	return c.do(clientRequest{id: id, method: http.MethodPost, path: draftPath, deadline: draftTimeout, body: []byte(id),
		headers: "Nutmegnotch-Model: m\r\nNutmegnotch-Token-Counts: 674,96\r\n"})
}

// countShortStreams returns the number of streams that ended as complete before their last
// event: with an orderly end of the connection, not with a reset.
func countShortStreams(r *run, answers []answer, at map[string][]string) int {
	short := 0
	for i, a := range answers {
		n := bytes.Count(a.body, []byte("\n\n"))
		whole := n == unframedEvents && strings.HasSuffix(string(a.body), fmt.Sprintf("%s %d\n\n", draftID(i), unframedEvents))
		r.record.add("%s: %v; %d of %d events; run by %v", draftID(i), a, n, unframedEvents, at[draftID(i)])
		if a.status == http.StatusOK && a.complete && !whole {
			short++
		}
	}
	r.record.add("streams that ended as complete before their last event: got %d, want 0", short)
	return short
}

// recordEvidence records how often the gateway itself found, after a run, that the process of
// the runner had ended. It decides nothing.
func recordEvidence(r *run, g *gateway) {
	log, err := os.ReadFile(g.log.Name())
	if err != nil {
		r.record.add("the log of the gateway could not be read: %v", err)
		return
	}
	lines := strings.Split(string(log), "\n")
	refused := slices.IndexFunc(lines, func(l string) bool { return strings.Contains(l, `"result":"refuses"`) }) >= 0
	counted := strings.Count(string(log), `"evidence":"connection_refused"`)
	r.record.add("log of the gateway: a connection to the runner was refused after a run: %t; runs that it counts as ended by the crash: %d", refused, counted)
}
