package load_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"nutmegnotch/emulator/desk"
	"nutmegnotch/emulator/engine"
	"nutmegnotch/emulator/load"
)

// backend serves the emulated model engine, the emulated plain service and, at
// /refuse/, refusals. If cut is set, it closes the connection before the end of each
// completion.
func backend(t *testing.T, cut bool) string {
	e := engine.New(engine.Options{TokensPerSecond: 2000, MemoryTokens: 100000, ColdTokens: 50000, ColdFactor: 1})
	d := desk.New()
	t.Cleanup(e.Close)
	t.Cleanup(d.Close)
	mux := http.NewServeMux()
	mux.Handle("/v1/", e)
	mux.Handle("/bookings", d)
	mux.Handle("/bookings/", d)
	mux.HandleFunc("/refuse/", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"code":"overloaded","not_run":true}}`))
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(w, r)
		if cut && r.URL.Path == "/v1/completions" {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func options(url string) load.Options {
	return load.Options{
		Entries: []string{url}, Organisations: load.SortedOrganisations(map[string]string{"a": "ka", "b": "kb"}),
		Rate: 400, Count: 100, Duration: 10 * time.Second, Seed: 1, DeskPart: 0.5, BookingPart: 0.5,
		Model: "m", PromptBytes: 50, MaxTokens: 10, DeskPath: "/bookings",
		SlowPart: 0.1, ReadBytesPerSecond: 10000, Timeout: 5 * time.Second, GoodTime: 5 * time.Second, MaxRunning: 200,
	}
}

// Guards against complete replies that are counted as faults.
func TestGoodReplies(t *testing.T) {
	r, err := load.Run(t.Context(), options(backend(t, false)))
	if err != nil {
		t.Fatal(err)
	}
	if r.Sent != 100 || r.Good != 100 || r.FirstToken.P50 <= 0 || len(r.Organisations) != 2 {
		t.Errorf("results: got %+v, want 100 good replies for 2 organisations", r)
	}
}

// Guards against truncated replies that are counted as good.
func TestTruncatedReplies(t *testing.T) {
	o := options(backend(t, true))
	o.DeskPart = 0
	r, err := load.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Truncated != 100 {
		t.Errorf("results: got %+v, want 100 truncated replies", r)
	}
}

// Guards against refusals that are not counted by code or as not run, and against a
// rate of 0, which Run must reject.
func TestRefusals(t *testing.T) {
	o := options(backend(t, false) + "/refuse")
	r, err := load.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Refusals["overloaded"] != 100 || r.NotRun != 100 {
		t.Errorf("results: got %+v, want 100 refusals as not run", r)
	}
	o.Rate = 0
	if _, err := load.Run(t.Context(), o); err == nil {
		t.Error("a rate of 0 was accepted")
	}
}
