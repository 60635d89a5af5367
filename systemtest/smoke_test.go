package systemtest

import "testing"

// Guards the basic request path end to end: a streamed completion, a booking
// that is sent twice and runs once, and the refusal of an unknown caller.
func TestBasicRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, engines: 3, desks: 3})
	c.waitReady()
	l := c.client("trails")
	if got := l.complete(c.entries[0], "manifest for five mules", 20); got.result != resultOK || got.tokens != 20 {
		t.Errorf("completion: got %+v, want 20 tokens", got)
	}
	first := l.book(c.entries[0], "key-1")
	if first.result != resultOK {
		t.Fatalf("booking: got %+v, want a booking", first)
	}
	second := l.book(c.entries[1], "key-1")
	if second.booking != first.booking {
		t.Errorf("second booking: got %+v, want booking %s", second, first.booking)
	}
	if got := c.client("nobody").book(c.entries[2], "key-2"); got.status != 401 || got.result != resultNotRun {
		t.Errorf("unknown caller: got %+v, want 401 not run", got)
	}
	checkAll(t, c.collect())
}

// checkAll checks the invariants that hold in every test.
func checkAll(t *testing.T, events []event) {
	t.Helper()
	for _, check := range []func([]event) error{checkNotRun, checkAtMostOnce, checkNoOverloadCrash} {
		if err := check(events); err != nil {
			t.Error(err)
		}
	}
}
