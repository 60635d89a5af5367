package systemtest

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// eventKind is the type of an event.
type eventKind string

const (
	eventInvoke        eventKind = "invoke"
	eventResponse      eventKind = "answer"
	eventRunStart      eventKind = "run_start"
	eventRunEnd        eventKind = "run_end"
	eventDrained       eventKind = "drained"
	eventRestored      eventKind = "restored"
	eventLeaving       eventKind = "leaving"
	eventStarted       eventKind = "server_started"
	eventOverloadCrash eventKind = "server_collapsed"
)

// result is the outcome of a request as its caller sees it.
type result string

const (
	resultOK      result = "ok"
	resultNotRun  result = "not_run"
	resultUnknown result = "unknown"
	resultCut     result = "cut"
)

// event is one entry of a history; seq is the order in which callers recorded
// events.
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

// history records the events of callers and operators, which all run in the
// test process, in one total order.
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

// checkNotRun returns an error for a request that was refused as not run and
// ran.
func checkNotRun(events []event) error {
	ran := map[string]bool{}
	for _, e := range events {
		if e.kind == eventRunStart {
			ran[e.requestID] = true
		}
	}
	for _, e := range events {
		if e.kind == eventResponse && e.result == resultNotRun && ran[e.requestID] {
			return fmt.Errorf("request %s was refused as not run and ran", e.requestID)
		}
	}
	return nil
}

// checkAtMostOnce returns an error for an idempotency key that ran twice, or
// that got a reply and never ran.
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
		if e.kind != eventResponse || e.result != resultOK || e.key == "" {
			continue
		}
		if _, ok := runs[e.key]; !ok {
			return fmt.Errorf("key %s got a reply and never ran", e.key)
		}
	}
	return nil
}

// checkNoWorkAfterDrain returns an error for a run that started in a failure
// domain more than bound after its drain and before its return.
func checkNoWorkAfterDrain(events []event, bound time.Duration) error {
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

// checkNoWorkAfterLeaving returns an error for a run that started at a backend
// server more than bound after it started to leave.
func checkNoWorkAfterLeaving(events []event, bound time.Duration) error {
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

// checkReplyIntegrity returns an error for a reply that belongs to another
// request or is incomplete. The value of a response event is the request id that
// the backend server wrote into the reply, or a description of the defect.
func checkReplyIntegrity(events []event) error {
	for _, e := range events {
		if e.kind == eventResponse && e.result == resultOK && e.value != e.requestID {
			return fmt.Errorf("request %s got the reply of %q", e.requestID, e.value)
		}
	}
	return nil
}

// checkNoOverloadCrash returns an error for a backend server that crashed under
// overload.
func checkNoOverloadCrash(events []event) error {
	for _, e := range events {
		if e.kind == eventOverloadCrash {
			return fmt.Errorf("backend server %s crashed under overload: %s", e.server, e.value)
		}
	}
	return nil
}

// sortEvents sorts events by time.
func sortEvents(events []event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].at.Before(events[j].at) })
}
