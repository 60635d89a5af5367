package rank

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Barrier makes the ranks of a group enter each step together.
type Barrier interface {
	// Arrive returns when all ranks have arrived at the step, or with an error
	// when ctx ends first.
	Arrive(ctx context.Context, a Arrival) error
}

// Arrival is the body of POST /arrive.
type Arrival struct {
	Generation int64 `json:"generation"`
	Step       int64 `json:"step"`
	Rank       int   `json:"rank"`
}

// barrierWait bounds one wait of an HTTP arrival; the rank then asks again.
const barrierWait = 500 * time.Millisecond

// LocalBarrier is the barrier of one group. It is an http.Handler for ranks in
// other processes. Its task ends with Close.
type LocalBarrier struct {
	ranks    int
	arrivals chan waiting
	stop     chan struct{}
	done     chan struct{}
}

type waiting struct {
	Arrival
	passed chan struct{}
}

// NewBarrier starts the barrier of a group with this number of ranks.
func NewBarrier(ranks int) *LocalBarrier {
	b := &LocalBarrier{ranks: ranks, arrivals: make(chan waiting), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Close ends the barrier.
func (b *LocalBarrier) Close() {
	close(b.stop)
	<-b.done
}

// Done is closed when the barrier has ended.
func (b *LocalBarrier) Done() <-chan struct{} { return b.done }

// run owns the ranks that wait for the newest step.
func (b *LocalBarrier) run() {
	defer close(b.done)
	var generation, step int64
	here := map[int]bool{}
	var waiters []chan struct{}
	for {
		select {
		case <-b.stop:
			return
		case w := <-b.arrivals:
			if w.Generation < generation {
				continue
			}
			if w.Generation == generation && w.Step < step {
				close(w.passed)
				continue
			}
			if w.Generation > generation || w.Step > step {
				generation, step, waiters = w.Generation, w.Step, nil
				here = map[int]bool{}
			}
			here[w.Rank] = true
			waiters = append(waiters, w.passed)
			if len(here) == b.ranks {
				for _, c := range waiters {
					close(c)
				}
				step, waiters, here = step+1, nil, map[int]bool{}
			}
		}
	}
}

// Arrive waits for the other ranks.
func (b *LocalBarrier) Arrive(ctx context.Context, a Arrival) error {
	w := waiting{Arrival: a, passed: make(chan struct{})}
	select {
	case b.arrivals <- w:
	case <-b.done:
		return fmt.Errorf("barrier is closed")
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-w.passed:
		return nil
	case <-b.done:
		return fmt.Errorf("barrier is closed")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP serves POST /arrive: 200 when all ranks have arrived, 202 when the
// rank must ask again.
func (b *LocalBarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a Arrival
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), barrierWait)
	defer cancel()
	if b.Arrive(ctx, a) != nil {
		w.WriteHeader(http.StatusAccepted)
	}
}

// RemoteBarrier is the barrier of another process.
type RemoteBarrier struct {
	URL  string
	HTTP *http.Client
}

// Arrive asks until all ranks have arrived.
func (b *RemoteBarrier) Arrive(ctx context.Context, a Arrival) error {
	for {
		var code int
		err := post(ctx, b.HTTP, b.URL+"/arrive", a, &code)
		if err == nil && code == http.StatusOK {
			return nil
		}
		if err != nil {
			select {
			case <-time.After(barrierWait / 10):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func post(ctx context.Context, c *http.Client, url string, in any, code *int) error {
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("post %s: %w", url, err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	*code = resp.StatusCode
	return err
}
