package rank_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/core"
	"nutmegnotch/emulator/rank"
	iorank "nutmegnotch/io/rank"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against ranks in different processes that do not run in lock-step, and
// against refused orders that the client reports as another error.
func TestRanksOverHTTP(t *testing.T) {
	ctx := context.Background()
	b := rank.NewBarrier(2)
	defer b.Close()
	barrier := httptest.NewServer(b)
	defer barrier.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	var ranks []*rank.Rank
	var clients []*iorank.Client
	for i := range 2 {
		r := rank.New(rank.Config{Rank: i, Fencing: true, Barrier: &rank.RemoteBarrier{URL: barrier.URL, HTTP: httpClient}})
		defer r.Close()
		srv := httptest.NewServer(r.Handler())
		defer srv.Close()
		c := &iorank.Client{URL: srv.URL, HTTP: httpClient}
		if err := errors.Join(c.Load(ctx, 3, core.ExpertMap{Version: 7}), c.Stop(ctx, 1, 3, 0), c.Start(ctx, 1, 3, 10)); err != nil {
			t.Fatal(err)
		}
		ranks, clients = append(ranks, r), append(clients, c)
	}
	run := core.Run{Generation: 1, Fence: 3, From: 10, To: 20, MapVersion: 7}
	if err := clients[0].Run(ctx, run); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if got := len(ranks[0].History()); got != 0 {
		t.Errorf("steps run without the other rank: got %d, want 0", got)
	}
	if err := clients[1].Run(ctx, run); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); len(ranks[0].History()) < 10 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if got, want := len(ranks[0].History()), 10; got != want {
		t.Errorf("steps run by both ranks: got %d, want %d", got, want)
	}
	if err := clients[0].Fence(ctx, 2); !errors.Is(err, core.ErrStaleFence) {
		t.Errorf("old fence: got %v, want %v", err, core.ErrStaleFence)
	}
	run.From, run.To = 30, 40
	if err := clients[0].Run(ctx, run); !errors.Is(err, core.ErrConflict) {
		t.Errorf("run beyond the horizon: got %v, want %v", err, core.ErrConflict)
	}
	if _, err := clients[0].Map(ctx, 8); !errors.Is(err, core.ErrNotFound) {
		t.Errorf("map that is not loaded: got %v, want %v", err, core.ErrNotFound)
	}
}
