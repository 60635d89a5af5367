package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"nutmegnotch/emulator/engine"
)

// Guards against an emulated engine that adds the delay of each of its timers to its
// tokens, so that agents take it for an engine that is not warm on a busy machine.
func TestRateOfGeneratedTokens(t *testing.T) {
	const (
		tokens = 10_000
		rate   = 10_000
		// maxSlowdown is that of a completion which agents take for a good one.
		maxSlowdown = 2
	)
	e := engine.New(engine.Options{TokensPerSecond: rate, MemoryTokens: 600_000, ColdTokens: 400_000, WarmTokens: 3000, ColdFactor: 1, Models: []string{"m"}})
	defer e.Close()
	s := httptest.NewServer(e)
	defer s.Close()
	begun := time.Now()
	resp, err := http.Post(s.URL+"/v1/completions", "application/json", strings.NewReader(fmt.Sprintf(`{"model":"m","prompt":"a b","max_tokens":%d}`, tokens)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if took, limit := time.Since(begun), maxSlowdown*tokens*time.Second/rate; took > limit {
		t.Errorf("%d tokens at %d a second: took %v, want at most %v", tokens, rate, took, limit)
	}
}
