package agent

import (
	"testing"
	"time"

	"nutmegnotch/io/peer/peerpb"
)

// Guards against stored replies that grow without bound, against claims that
// can be used twice, and against a finished claim that changes its outcome.
func TestRunTable(t *testing.T) {
	tasks := newRunTask(1000, time.Hour)
	tasks.Start(t.Context())
	now := time.Unix(1000, 0)
	reply := storedReply{status: 201, body: make([]byte, 400)}
	for _, id := range []string{"a", "b", "c"} {
		tasks.won(id)
		if !tasks.use(id) || tasks.use(id) {
			t.Fatalf("use of %q: want true once", id)
		}
		tasks.store(id, reply, now)
		tasks.abandon(id, now)
	}
	want := []struct {
		id    string
		state peerpb.LookupResult_State
		at    time.Time
	}{
		{"a", peerpb.LookupResult_STATE_UNKNOWN, now},
		{"b", peerpb.LookupResult_STATE_STORED, now},
		{"c", peerpb.LookupResult_STATE_STORED, now.Add(time.Hour)},
		{"c", peerpb.LookupResult_STATE_UNKNOWN, now.Add(time.Hour + 1)},
	}
	for _, w := range want {
		if got := tasks.lookup(w.id, w.at).State; got != w.state {
			t.Errorf("lookup of %q at %v: got %v, want %v", w.id, w.at, got, w.state)
		}
	}
	tasks.abandon("d", now)
	if tasks.use("d") {
		t.Error("an abandoned claim was used")
	}
}
