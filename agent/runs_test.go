package agent

import (
	"testing"
	"time"

	"nutmegnotch/io/peer/peerpb"
)

// Guards against stored replies that exceed their bounds, claims that can be
// started twice, and finished claims that change their outcome.
func TestRunTable(t *testing.T) {
	runs := newRunTask(1000, time.Hour)
	runs.Start(t.Context())
	now := time.Unix(1000, 0)
	reply := storedReply{status: 201, body: make([]byte, 400)}
	for _, id := range []string{"a", "b", "c"} {
		runs.recordWon(id)
		if !runs.tryStart(id) || runs.tryStart(id) {
			t.Fatalf("tryStart of %q: want true once", id)
		}
		runs.recordReply(id, reply, now)
		runs.recordAbandoned(id, now)
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
		if got := runs.lookup(w.id, w.at).State; got != w.state {
			t.Errorf("lookup of %q at %v: got %v, want %v", w.id, w.at, got, w.state)
		}
	}
	runs.recordAbandoned("d", now)
	if runs.tryStart("d") {
		t.Error("an abandoned claim was started")
	}
}
