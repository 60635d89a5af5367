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

// Barrier synchronizes the ranks of a group at the start of each step.
type Barrier interface {
	// Arrive returns nil once all ranks have arrived at the step, or an error if ctx
	// ends first.
	Arrive(ctx context.Context, a Arrival) error
}

// Arrival is the body of POST /arrive.
type Arrival struct {
	Generation int64 `json:"generation"`
	Step       int64 `json:"step"`
	Rank       int   `json:"rank"`
}

// arriveTimeout limits how long a POST /arrive waits. The rank then repeats the call.
const arriveTimeout = 500 * time.Millisecond

// LocalBarrier is the barrier of one group. It implements http.Handler for ranks in
// other processes. Callers must call Close to stop it.
type LocalBarrier struct {
	ranks    int
	arrivals chan waiter
	stop     chan struct{}
	done     chan struct{}
}

type waiter struct {
	Arrival
	passed chan struct{}
}

// NewBarrier starts the barrier of a group with the given number of ranks.
func NewBarrier(ranks int) *LocalBarrier {
	b := &LocalBarrier{ranks: ranks, arrivals: make(chan waiter), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Close stops the barrier.
func (b *LocalBarrier) Close() {
	close(b.stop)
	<-b.done
}

// Done returns a channel that is closed when the barrier has stopped.
func (b *LocalBarrier) Done() <-chan struct{} { return b.done }

// run is the barrier's task. It owns the list of ranks that wait for the newest step.
// Arrivals of an earlier generation wait until their context ends, and those at a step
// that all ranks have entered return at once.
func (b *LocalBarrier) run() {
	defer close(b.done)
	var generation, step int64
	arrived := map[int]bool{}
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
				arrived = map[int]bool{}
			}
			arrived[w.Rank] = true
			waiters = append(waiters, w.passed)
			if len(arrived) == b.ranks {
				for _, c := range waiters {
					close(c)
				}
				step, waiters, arrived = step+1, nil, map[int]bool{}
			}
		}
	}
}

// Arrive implements Barrier.
func (b *LocalBarrier) Arrive(ctx context.Context, a Arrival) error {
	w := waiter{Arrival: a, passed: make(chan struct{})}
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

// ServeHTTP serves POST /arrive. The status is 200 if all ranks have arrived, and 202
// if the rank must repeat the call.
func (b *LocalBarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a Arrival
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), arriveTimeout)
	defer cancel()
	if b.Arrive(ctx, a) != nil {
		w.WriteHeader(http.StatusAccepted)
	}
}

// RemoteBarrier is the client of a LocalBarrier in another process.
type RemoteBarrier struct {
	URL  string
	HTTP *http.Client
}

// Arrive implements Barrier. It repeats the call until all ranks have arrived.
func (b *RemoteBarrier) Arrive(ctx context.Context, a Arrival) error {
	for {
		var status int
		err := postJSON(ctx, b.HTTP, b.URL+"/arrive", a, &status)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err != nil {
			select {
			case <-time.After(arriveTimeout / 10):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func postJSON(ctx context.Context, c *http.Client, url string, in any, status *int) error {
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
	*status = resp.StatusCode
	return err
}
