package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// load sends requests at a rate to gateways in turn.
type load struct {
	d      *deployment
	prefix string
	// path is that of requests that may be repeated, and postPath that of each second request,
	// which may run once at most.
	path, postPath string
	timeout        time.Duration
	client         *http.Client
	wg             sync.WaitGroup
	log            *requestLog
}

func newLoad(d *deployment, prefix, path, postPath string, timeout time.Duration) *load {
	return &load{d: d, prefix: prefix, path: path, postPath: postPath, timeout: timeout, log: newRequestLog(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// run sends perSecond requests a second until ctx is done, and waits for their answers.
func (l *load) run(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			continue
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.send(l.d.gateways[n%len(l.d.gateways)], n)
		}()
	}
	l.wg.Wait()
}

func (l *load) send(g *gatewayProcess, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	id, method, path, body := fmt.Sprintf("%s-%d", l.prefix, n), http.MethodGet, l.path, ""
	if n%2 == 1 {
		method, path, body = http.MethodPost, l.postPath, fmt.Sprintf("work %d", n)
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s%d", g.caller, path, n), strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Nutmegnotch-Request-Id", id)
	r.Header.Set("Nutmegnotch-Deadline-Ms", fmt.Sprint(l.timeout.Milliseconds()))
	l.log.sent(id, g.id, method)
	l.log.answered(id, exchange(l.client, r))
}

// exchange sends a request and reads its answer to the end. It returns the status, or how the
// answer has failed.
func exchange(c *http.Client, r *http.Request) string {
	resp, err := c.Do(r)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut short"
	}
	return fmt.Sprint(resp.StatusCode)
}
