// Package load generates open-loop load: it sends requests to entries at a rate that
// does not depend on the replies, and measures the results.
package load

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// Options configures a run.
type Options struct {
	// Entries are the base URLs of the entries, used in round-robin order.
	Entries []string
	// Organisations are the callers. Each request is from one of them, chosen at random
	// with equal probability.
	Organisations []Organisation
	// Rate is the number of arrivals per second. The run ends after Count arrivals or
	// after Duration, whichever comes first. A Count of 0 means no limit.
	Rate     float64
	Count    int
	Duration time.Duration
	Seed     uint64
	// DeskPart is the fraction of requests that go to the plain service, and
	// BookingPart the fraction of these that are bookings. The others are lookups.
	DeskPart    float64
	BookingPart float64
	Model       string
	// PromptBytes is the mean length of a prompt, and MaxTokens that of a reply.
	PromptBytes int
	MaxTokens   int
	DeskPath    string
	// SlowPart is the fraction of requests whose replies are read at
	// ReadBytesPerSecond. A ReadBytesPerSecond of 0 means no limit.
	SlowPart           float64
	ReadBytesPerSecond int
	// Timeout limits the time of one request. A complete reply within GoodTime counts
	// as good.
	Timeout  time.Duration
	GoodTime time.Duration
	// MaxRunning limits the requests in flight. An arrival above the limit is counted as
	// skipped.
	MaxRunning int
}

// Organisation is a caller with its bearer key.
type Organisation struct {
	Name string
	Key  string
}

// Kinds of requests.
const (
	kindModel   = "model"
	kindBooking = "booking"
	kindLookup  = "lookup"
)

// job holds the random choices for one request, which are made before it is sent.
type job struct {
	number             int
	kind               string
	entry              string
	organisation       Organisation
	idempotencyKey     string
	prompt             string
	maxTokens          int
	bookingID          string
	readBytesPerSecond int
}

// outcome is the result of one request.
type outcome struct {
	job            job
	status         int
	code           string
	notRun         bool
	outcomeUnknown bool
	bytes          int64
	firstToken     time.Duration
	wholeReply     time.Duration
	// fault is "truncated" for an incomplete reply, "crossed" for a reply to another
	// request, and empty otherwise.
	fault string
}

// Run sends the requests and returns the results after the last reply.
func Run(ctx context.Context, o Options) (Results, error) {
	if err := o.validate(); err != nil {
		return Results{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	outcomes := make(chan outcome, o.MaxRunning)
	c := newCollector(o)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for out := range outcomes {
			c.add(out)
		}
	}()
	start := time.Now()
	skipped := sendRequests(ctx, o, outcomes)
	close(outcomes)
	<-collected
	return c.results(time.Since(start), skipped), nil
}

// sendRequests sends requests at exponentially distributed intervals until the run
// ends, and waits for their replies. It returns the number of skipped arrivals.
func sendRequests(ctx context.Context, o Options, outcomes chan<- outcome) int {
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxRunning, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s := sender{opts: o, client: &http.Client{Transport: transport}}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	inFlight := make(chan struct{}, o.MaxRunning)
	skipped := 0
	var wg conc.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for i := 0; o.Count <= 0 || i < o.Count; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		j := newJob(rng, o, i)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return skipped
		}
		select {
		case inFlight <- struct{}{}:
		default:
			skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			outcomes <- s.send(j)
		})
	}
	return skipped
}

// newJob returns the n-th job. Jobs are deterministic for a seed.
func newJob(rng *rand.Rand, o Options, n int) job {
	j := job{
		number:         n,
		kind:           kindModel,
		entry:          o.Entries[n%len(o.Entries)],
		organisation:   o.Organisations[rng.IntN(len(o.Organisations))],
		maxTokens:      1 + rng.IntN(2*o.MaxTokens),
		prompt:         randomPrompt(rng, o, n),
		idempotencyKey: fmt.Sprintf("load-%d-%d-%d", o.Seed, n, rng.Uint64()),
		bookingID:      fmt.Sprintf("b-%d", 1+rng.IntN(100)),
	}
	if rng.Float64() < o.DeskPart {
		j.kind = kindLookup
		if rng.Float64() < o.BookingPart {
			j.kind = kindBooking
		}
	}
	if rng.Float64() < o.SlowPart {
		j.readBytesPerSecond = o.ReadBytesPerSecond
	}
	return j
}

// randomPrompt returns the prompt of the n-th request. It starts with the number, so
// that no two prompts are equal.
func randomPrompt(rng *rand.Rand, o Options, n int) string {
	b := make([]byte, 1+rng.IntN(2*o.PromptBytes))
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return fmt.Sprintf("%d %s", n, b)
}

func (o Options) validate() error {
	switch {
	case len(o.Entries) == 0:
		return fmt.Errorf("no entries are given")
	case len(o.Organisations) == 0:
		return fmt.Errorf("no organisations are given")
	case o.Rate <= 0:
		return fmt.Errorf("rate is %v, want more than 0", o.Rate)
	case o.Duration <= 0:
		return fmt.Errorf("duration is %v, want more than 0", o.Duration)
	case o.MaxTokens <= 0 || o.PromptBytes <= 0 || o.MaxRunning <= 0 || o.Timeout <= 0 || o.GoodTime <= 0:
		return fmt.Errorf("max_tokens, prompt_bytes, max_running, timeout and good_time must be more than 0")
	case o.DeskPart < 0 || o.DeskPart > 1 || o.BookingPart < 0 || o.BookingPart > 1 || o.SlowPart < 0 || o.SlowPart > 1:
		return fmt.Errorf("desk_part, booking_part and slow_part must be from 0 to 1")
	}
	return nil
}

// SortedOrganisations returns the organisations sorted by name, so that a seed always
// selects the same callers. keys holds the bearer key of each organisation.
func SortedOrganisations(keys map[string]string) []Organisation {
	var list []Organisation
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		list = append(list, Organisation{Name: name, Key: keys[name]})
	}
	return list
}
