package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmegnotch/core"
	"nutmegnotch/core/admission"
)

var limits = admission.Limits{ColdTokens: 400, ColdConcurrency: 2, MemoryTokens: 6400, MaxConcurrency: 32}

var start = time.Unix(1_000_000, 0)

func request(id int, org string, tokens int64) core.Request {
	return core.Request{ID: fmt.Sprint(id), Organisation: org, PromptTokens: tokens / 2, OutputTokens: tokens - tokens/2, Weight: 1}
}

// good returns the outcome of a successful run with the given time per token.
func good(per time.Duration) core.Outcome {
	return core.Outcome{Succeeded: true, OutputTokens: 101, Elapsed: 100 * per}
}

// warm completes requests until the limits have reached their maximum, and
// returns the time then.
func warm(t *testing.T, a *admission.Admitter, now time.Time) time.Time {
	t.Helper()
	for i := range 10000 {
		if _, _, tokens, count := a.Load(); tokens == limits.MemoryTokens && count == limits.MaxConcurrency {
			return now
		}
		r := request(i, "org", 100)
		if refusal, ok := a.Admit(r, now); !ok {
			t.Fatalf("admit on an empty server: got %+v, want admitted", refusal)
		}
		now = now.Add(50 * time.Millisecond)
		a.Done(r, good(10*time.Millisecond), now)
	}
	t.Fatal("server did not become warm in 10000 good completions")
	return now
}

// Guards against admission above the limits, releases that differ from
// reservations, and exclusive requests that run next to others.
func TestHeldStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := admission.New(limits, start)
		now := start
		held := map[string]core.Request{}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				a.Restarted(now)
			case 1, 2, 3, 4:
				for id, r := range held {
					o := good(time.Duration(rapid.IntRange(5, 60).Draw(t, "per")) * time.Millisecond)
					o.Succeeded = rapid.IntRange(0, 9).Draw(t, "good") > 0
					a.Done(r, o, now)
					delete(held, id)
					break
				}
			default:
				r := request(i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"), int64(rapid.IntRange(1, 900).Draw(t, "tokens")))
				r.Exclusive = rapid.IntRange(0, 9).Draw(t, "exclusive") == 0
				refusal, ok := a.Admit(r, now)
				if !ok {
					if !refusal.NotRun || refusal.Code == "" {
						t.Fatalf("refusal: got %+v, want not run with a code", refusal)
					}
					break
				}
				held[r.ID] = r
				tokens, count, limitTokens, limitCount := a.Load()
				if tokens > limitTokens || count > limitCount {
					t.Fatalf("held after admission: got %d tokens and %d requests, want at most %d and %d", tokens, count, limitTokens, limitCount)
				}
			}
			check(t, a, held)
		}
	})
}

func check(t *rapid.T, a *admission.Admitter, held map[string]core.Request) {
	tokens, count, limitTokens, limitCount := a.Load()
	var want int64
	exclusive := false
	for _, r := range held {
		want += r.Cost()
		exclusive = exclusive || r.Exclusive
	}
	if tokens != want || count != len(held) {
		t.Fatalf("held: got %d tokens and %d requests, want %d and %d", tokens, count, want, len(held))
	}
	if exclusive && len(held) > 1 {
		t.Fatalf("requests next to an exclusive one: got %d, want 0", len(held)-1)
	}
	if limitTokens > limits.MemoryTokens || limitCount > limits.MaxConcurrency {
		t.Fatalf("limit: got %d tokens and %d requests, want at most %+v", limitTokens, limitCount, limits)
	}
}

// Guards against a server that gets its full load immediately after a restart.
func TestColdAfterRestart(t *testing.T) {
	a := admission.New(limits, start)
	now := warm(t, a, start)
	a.Restarted(now)
	admitted := 0
	for i := range 100 {
		if _, ok := a.Admit(request(10000+i, fmt.Sprint("org", i%5), 100), now); ok {
			admitted++
		}
	}
	if admitted != limits.ColdConcurrency {
		t.Errorf("admitted after a restart: got %d, want %d", admitted, limits.ColdConcurrency)
	}
}

// Guards against limits that double more than once per window.
func TestDoublesOncePerWindow(t *testing.T) {
	a := admission.New(limits, start)
	for i := range 50 {
		r := request(i, "org", 100)
		if _, ok := a.Admit(r, start); !ok {
			t.Fatal("an empty server refused")
		}
		a.Done(r, good(10*time.Millisecond), start.Add(499*time.Millisecond))
	}
	if _, _, tokens, count := a.Load(); tokens != limits.ColdTokens || count != limits.ColdConcurrency {
		t.Errorf("limit after 499 ms: got %d tokens and %d requests, want cold", tokens, count)
	}
	r := request(99, "org", 100)
	a.Admit(r, start)
	a.Done(r, good(10*time.Millisecond), start.Add(500*time.Millisecond))
	if _, _, tokens, count := a.Load(); tokens != 2*limits.ColdTokens || count != 2*limits.ColdConcurrency {
		t.Errorf("limit after 500 ms: got %d tokens and %d requests, want doubled once", tokens, count)
	}
}

// Guards against full load on a server that was warm and has become cold, and
// against limits that are reset without a sign of it.
func TestColdServerDetection(t *testing.T) {
	tests := []struct {
		name    string
		outcome core.Outcome
		cold    bool
	}{
		{"as fast as before", good(10 * time.Millisecond), false},
		{"twice as slow", good(20 * time.Millisecond), false},
		{"over three times as slow", good(31 * time.Millisecond), true},
		{"crash", core.Outcome{Crashed: true}, true},
		{"too short for a time per token", core.Outcome{Succeeded: true, OutputTokens: 2, Elapsed: time.Second}, false},
		{"cancelled", core.Outcome{Cancelled: true, OutputTokens: 101, Elapsed: time.Minute}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := admission.New(limits, start)
			now := warm(t, a, start)
			r := request(20000, "org", 100)
			a.Admit(r, now)
			a.Done(r, tt.outcome, now)
			if _, _, tokens, _ := a.Load(); (tokens == limits.ColdTokens) != tt.cold {
				t.Errorf("limit: got %d tokens, want cold %v", tokens, tt.cold)
			}
		})
	}
}

// Guards against one organisation that fills a server while others have demand.
func TestFairShare(t *testing.T) {
	a := admission.New(limits, start)
	now := warm(t, a, start)
	big := 0
	for i := range 200 {
		if _, ok := a.Admit(request(30000+i, "big", 200), now); ok {
			big++
		}
	}
	if big != limits.MaxConcurrency {
		t.Errorf("admitted of one organisation alone: got %d, want %d", big, limits.MaxConcurrency)
	}
	if _, ok := a.Admit(request(40000, "small", 200), now); ok {
		t.Error("admitted on a full server")
	}
	small := 0
	for i := range big {
		a.Done(request(30000+i, "big", 200), good(10*time.Millisecond), now)
		if _, ok := a.Admit(request(50000+i, "big", 200), now); ok {
			continue
		}
		if _, ok := a.Admit(request(60000+i, "small", 200), now); ok {
			small++
		}
	}
	if want := limits.MaxConcurrency / 2; small != want {
		t.Errorf("held by the small organisation: got %d, want %d", small, want)
	}
}

// Guards against a Retry-After that does not reflect the rate at which the server
// releases memory.
func TestRetryAfter(t *testing.T) {
	a := admission.New(limits, start)
	now := warm(t, a, start)
	// 40 requests of 100 tokens complete per second, for 4 s.
	for i := range 160 {
		r := request(70000+i, "org", 100)
		a.Admit(r, now)
		now = now.Add(25 * time.Millisecond)
		a.Done(r, good(10*time.Millisecond), now)
	}
	for i := range 32 {
		a.Admit(request(80000+i, "org", 200), now)
	}
	refusal, ok := a.Admit(request(90000, "org", 400), now)
	want := 100 * time.Millisecond
	if ok || refusal.RetryAfter < want/2 || refusal.RetryAfter > 2*want {
		t.Errorf("retry after: got %v, want about %v", refusal.RetryAfter, want)
	}
}

// Guards against an exclusive request that never gets an empty server, and
// against drains that refuse new requests without limit.
func TestDrainForExclusiveRequest(t *testing.T) {
	a := admission.New(limits, start)
	held, suspect, other := request(1, "org", 100), request(2, "org", 100), request(3, "org", 100)
	suspect.Exclusive, suspect.Fingerprint, other.Fingerprint = true, 7, 8
	a.Admit(held, start)
	if _, ok := a.Admit(suspect, start); ok || !a.Drain(suspect, start) {
		t.Fatal("exclusive request on a busy server: got admitted or no drain, want a drain")
	}
	if refusal, ok := a.Admit(other, start); ok || !refusal.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("new work during a drain: got %+v, want not run with a Retry-After", refusal)
	}
	second := other
	second.Exclusive = true
	if a.Drain(second, start) {
		t.Error("second drain at once: got true, want false")
	}
	a.Done(held, good(time.Millisecond), start)
	if _, ok := a.Admit(suspect, start.Add(time.Second)); !ok {
		t.Error("exclusive request on the drained server: got refused, want admitted")
	}
	now := start.Add(time.Second)
	a.Done(suspect, good(time.Millisecond), now)
	if _, ok := a.Admit(other, now); !ok || a.Drain(second, now) {
		t.Error("after a drain of 1 s: want new work admitted and no other drain yet")
	}
	now = now.Add(time.Second)
	if !a.Drain(second, now) {
		t.Error("drain after an equally long pause: got false, want true")
	}
	for end := now.Add(time.Minute); a.Drain(second, now) && now.Before(end); {
		now = now.Add(time.Second)
	}
	if waited := now.Sub(start.Add(2 * time.Second)); waited > 10*time.Second || a.Draining(now) {
		t.Errorf("drain that is renewed again and again: got %v, want at most 10 s", waited)
	}
}
