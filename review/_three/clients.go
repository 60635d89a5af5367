package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests at a rate to gateways in turn and counts their answers.
type load struct {
	d      *deployment
	prefix string
	path   string
	// postPath is the path of each second request, which may run once at most; empty for none.
	postPath string
	timeout  time.Duration
	client   *http.Client
	wg       sync.WaitGroup
	mu       sync.Mutex
	statuses map[string]int
	// sentAt is when each request was sent, by its id.
	sentAt map[string]time.Time
	sent   atomic.Int64
}

func newLoad(d *deployment, prefix, path string, timeout time.Duration) *load {
	return &load{d: d, prefix: prefix, path: path, timeout: timeout, statuses: map[string]int{}, sentAt: map[string]time.Time{},
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
	method, path, body := http.MethodGet, l.path, ""
	if n%2 == 1 && l.postPath != "" {
		method, path, body = http.MethodPost, l.postPath, fmt.Sprintf("work %d", n)
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s%d", g.caller, path, n), strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Nutmegnotch-Request-Id", fmt.Sprintf("%s-%d", l.prefix, n))
	r.Header.Set("Nutmegnotch-Deadline-Ms", fmt.Sprint(l.timeout.Milliseconds()))
	l.sent.Add(1)
	l.mu.Lock()
	l.sentAt[r.Header.Get("Nutmegnotch-Request-Id")] = time.Now()
	l.mu.Unlock()
	resp, err := l.client.Do(r)
	if err != nil {
		l.count(method + " no answer")
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		l.count(method + " cut short")
		return
	}
	l.count(fmt.Sprint(method, " ", resp.StatusCode))
}

// sentAfter reports whether a request was sent later than a time.
func (l *load) sentAfter(id string, t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentAt[id].After(t)
}

func (l *load) count(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[s]++
}

func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests, answers %v", l.sent.Load(), l.statuses)
}
