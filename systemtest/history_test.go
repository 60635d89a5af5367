package systemtest

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// eventKind names what an event of a history tells.
type eventKind string

const (
	eventInvoke   eventKind = "invoke"
	eventAnswer   eventKind = "answer"
	eventRunStart eventKind = "run_start"
	eventRunEnd   eventKind = "run_end"
	eventDrained  eventKind = "drained"
	eventRestored eventKind = "restored"
	eventLeaving  eventKind = "leaving"
	eventStarted  eventKind = "server_started"
	eventCollapse eventKind = "server_collapsed"
)

// result is what a caller learnt from an answer.
type result string

const (
	resultOK      result = "ok"
	resultNotRun  result = "not_run"
	resultUnknown result = "unknown"
	resultCut     result = "cut"
)

// event is one row of a history. Seq orders all events of a test.
type event struct {
	seq       int64
	at        time.Time
	kind      eventKind
	requestID string
	key       string
	server    string
	domain    string
	result    result
	value     string
}

// history records the events of callers and stand-ins, which all run in the
// test process, in one order.
type history struct {
	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.seq = int64(len(h.events))
	e.at = time.Now()
	h.events = append(h.events, e)
}

func (h *history) snapshot() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]event(nil), h.events...)
}

// checkNotRun reports every request that was answered "not run" and ran.
func checkNotRun(events []event) error {
	ran := map[string]bool{}
	for _, e := range events {
		if e.kind == eventRunStart {
			ran[e.requestID] = true
		}
	}
	for _, e := range events {
		if e.kind == eventAnswer && e.result == resultNotRun && ran[e.requestID] {
			return fmt.Errorf("request %s was answered \"not run\" and ran", e.requestID)
		}
	}
	return nil
}

// checkAtMostOnce reports every key that ran twice and every reply that names a
// run which never was.
func checkAtMostOnce(events []event) error {
	runs := map[string]string{}
	for _, e := range events {
		if e.kind != eventRunStart || e.key == "" {
			continue
		}
		if first, ok := runs[e.key]; ok {
			return fmt.Errorf("key %s ran twice, for requests %s and %s", e.key, first, e.requestID)
		}
		runs[e.key] = e.requestID
	}
	for _, e := range events {
		if e.kind != eventAnswer || e.result != resultOK || e.key == "" {
			continue
		}
		if _, ok := runs[e.key]; !ok {
			return fmt.Errorf("key %s was answered with a reply and never ran", e.key)
		}
	}
	return nil
}

// checkNoNewWork reports runs that started in a failure domain between bound
// after it was drained and its return.
func checkNoNewWork(events []event, bound time.Duration) error {
	drained := map[string]time.Time{}
	for _, e := range events {
		switch e.kind {
		case eventDrained:
			drained[e.domain] = e.at
		case eventRestored:
			delete(drained, e.domain)
		case eventRunStart:
			if at, ok := drained[e.domain]; ok && e.at.Sub(at) > bound {
				return fmt.Errorf("request %s started in failure domain %s %v after it was drained",
					e.requestID, e.domain, e.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return nil
}

// checkNotLeaving reports runs that started at a backend server more than bound
// after it started to leave.
func checkNotLeaving(events []event, bound time.Duration) error {
	leaving := map[string]time.Time{}
	for _, e := range events {
		switch e.kind {
		case eventLeaving:
			leaving[e.server] = e.at
		case eventStarted:
			delete(leaving, e.server)
		case eventRunStart:
			if at, ok := leaving[e.server]; ok && e.at.Sub(at) > bound {
				return fmt.Errorf("request %s started at %s %v after it started to leave",
					e.requestID, e.server, e.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return nil
}

// checkWhole reports answers that do not belong to their request. The value of
// an answer is the id that the backend server wrote into the reply.
func checkWhole(events []event) error {
	for _, e := range events {
		if e.kind == eventAnswer && e.result == resultOK && e.value != e.requestID {
			return fmt.Errorf("request %s was answered with the reply of %q", e.requestID, e.value)
		}
	}
	return nil
}

// checkNoCollapse reports backend servers that got more than they bear.
func checkNoCollapse(events []event) error {
	for _, e := range events {
		if e.kind == eventCollapse {
			return fmt.Errorf("backend server %s collapsed under %s", e.server, e.value)
		}
	}
	return nil
}

// sortEvents orders events by time.
func sortEvents(events []event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].at.Before(events[j].at) })
}
