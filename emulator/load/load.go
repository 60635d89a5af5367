// Package load offers requests to entries at a rate that does not depend on the
// replies, and measures what becomes of them.
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

// Options describe a run.
type Options struct {
	// Entries are the base URLs of the entries, used in turn.
	Entries []string
	// Organisations are the callers; requests are drawn evenly.
	Organisations []Organisation
	// Rate is the arrivals per second. The run ends after Count arrivals or
	// after Duration, whichever comes first.
	Rate     float64
	Count    int
	Duration time.Duration
	Seed     uint64
	// DeskPart is the part of requests that go to the desk, and BookingPart the
	// part of these that are bookings.
	DeskPart    float64
	BookingPart float64
	Model       string
	PromptBytes int
	MaxTokens   int
	DeskPath    string
	// SlowPart of the callers read at ReadBytesPerSecond; 0 reads at full speed.
	SlowPart           float64
	ReadBytesPerSecond int
	// Timeout bounds one request. GoodTime is the time in which a whole reply
	// counts as good.
	Timeout  time.Duration
	GoodTime time.Duration
	// MaxRunning bounds the requests in flight; an arrival above it is counted
	// as skipped.
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

// job is one request, drawn before it is sent.
type job struct {
	number       int
	kind         string
	entry        string
	organisation Organisation
	key          string
	prompt       string
	tokens       int
	lookup       string
	bytesPerSec  int
}

// outcome is what became of one request.
type outcome struct {
	job        job
	status     int
	code       string
	notRun     bool
	unknown    bool
	bytes      int64
	firstToken time.Duration
	whole      time.Duration
	// fault names a reply that was cut or is not the reply to this request.
	fault string
}

// Run offers the load and returns its results after the last reply.
func Run(ctx context.Context, o Options) (Results, error) {
	if err := o.check(); err != nil {
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
	skipped := arrive(ctx, o, outcomes)
	close(outcomes)
	<-collected
	return c.results(time.Since(start), skipped), nil
}

// arrive sends requests at exponential intervals until the run ends, and waits
// for their replies. It returns the number of skipped arrivals.
func arrive(ctx context.Context, o Options, outcomes chan<- outcome) int {
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxRunning, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s := sender{opts: o, client: &http.Client{Transport: transport}}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	running := make(chan struct{}, o.MaxRunning)
	skipped := 0
	var wg conc.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for i := 0; o.Count <= 0 || i < o.Count; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second)))
		j := draw(rng, o, i)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return skipped
		}
		select {
		case running <- struct{}{}:
		default:
			skipped++
			continue
		}
		wg.Go(func() {
			defer func() { <-running }()
			outcomes <- s.send(j)
		})
	}
	return skipped
}

// draw makes the request with a number. Requests depend only on the seed.
func draw(rng *rand.Rand, o Options, n int) job {
	j := job{
		number:       n,
		kind:         kindModel,
		entry:        o.Entries[n%len(o.Entries)],
		organisation: o.Organisations[rng.IntN(len(o.Organisations))],
		tokens:       1 + rng.IntN(2*o.MaxTokens),
		prompt:       prompt(rng, o, n),
		key:          fmt.Sprintf("load-%d-%d-%d", o.Seed, n, rng.Uint64()),
		lookup:       fmt.Sprintf("b-%d", 1+rng.IntN(100)),
	}
	if rng.Float64() < o.DeskPart {
		j.kind = kindLookup
		if rng.Float64() < o.BookingPart {
			j.kind = kindBooking
		}
	}
	if rng.Float64() < o.SlowPart {
		j.bytesPerSec = o.ReadBytesPerSecond
	}
	return j
}

// prompt starts with its number, so that no two are equal.
func prompt(rng *rand.Rand, o Options, n int) string {
	b := make([]byte, 1+rng.IntN(2*o.PromptBytes))
	for i := range b {
		b[i] = byte('a' + rng.IntN(26))
	}
	return fmt.Sprintf("%d %s", n, b)
}

func (o Options) check() error {
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

// OrganisationsOf returns organisations from their keys, in the order of their
// names, so that a seed draws the same callers each time.
func OrganisationsOf(keys map[string]string) []Organisation {
	var list []Organisation
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		list = append(list, Organisation{Name: name, Key: keys[name]})
	}
	return list
}
