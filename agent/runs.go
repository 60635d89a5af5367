package agent

import (
	"time"

	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// maxStoredReplyBytes bounds one stored reply, which must fit into one frame
// with its headers.
const maxStoredReplyBytes = 960 << 10

// maxRememberedClaims bounds the finished claims that an agent remembers.
const maxRememberedClaims = 100_000

// runState is the state of a claim at this agent. A won claim becomes running or
// abandoned. A running claim becomes stored, outcome unknown or, if it is certain
// that nothing was sent, abandoned.
type runState int

const (
	runWon runState = iota
	runRunning
	runStored
	runOutcomeUnknown
	runAbandoned
)

// storedReply is the reply to a request that must not run twice. It is complete, unless
// closeDelimited is set: then nobody can tell.
type storedReply struct {
	status         int32
	headers        []*peerpb.Header
	body           []byte
	closeDelimited bool
}

func (r storedReply) size() int64 {
	n := len(r.body)
	for _, h := range r.headers {
		n += len(h.Name)
		for _, v := range h.Values {
			n += len(v)
		}
	}
	return int64(n)
}

type runEntry struct {
	state   runState
	reply   storedReply
	changed time.Time
}

// runTask serializes access to the claims of this incarnation and their stored
// replies.
type runTask struct {
	*task.Task
	maxBytes int64
	maxAge   time.Duration
	table    *runTable
}

// runTable holds the entries by claim id, and the ids of finished entries from
// oldest to newest. Lookups of an expired entry return STATE_UNKNOWN, which
// promises nothing.
type runTable struct {
	entries  map[string]*runEntry
	finished []string
	bytes    int64
}

func newRunTask(maxBytes int64, maxAge time.Duration) *runTask {
	return &runTask{Task: task.New(), maxBytes: maxBytes, maxAge: maxAge, table: &runTable{entries: map[string]*runEntry{}}}
}

// do runs op in the task. It returns false if the task is not running.
func (t *runTask) do(op func(*runTable)) bool {
	return t.Do(func() { op(t.table) })
}

// recordWon adds a claim that may run.
func (t *runTask) recordWon(id string) {
	t.do(func(r *runTable) { r.entries[id] = &runEntry{state: runWon} })
}

// tryStart marks a won claim as running. It returns true at most once per claim.
func (t *runTask) tryStart(id string) bool {
	started := false
	t.do(func(r *runTable) {
		e := r.entries[id]
		if e != nil && e.state == runWon {
			e.state = runRunning
			started = true
		}
	})
	return started
}

// recordAbandoned records that a claim will never run.
func (t *runTask) recordAbandoned(id string, now time.Time) {
	t.finish(id, runAbandoned, storedReply{}, now)
}

// recordOutcomeUnknown records a run whose outcome is not known.
func (t *runTask) recordOutcomeUnknown(id string, now time.Time) {
	t.finish(id, runOutcomeUnknown, storedReply{}, now)
}

// recordReply stores the reply of a run. A reply that exceeds
// maxStoredReplyBytes is not stored; the outcome counts as unknown.
func (t *runTask) recordReply(id string, reply storedReply, now time.Time) {
	if reply.size() > maxStoredReplyBytes {
		t.recordOutcomeUnknown(id, now)
		return
	}
	t.finish(id, runStored, reply, now)
}

func (t *runTask) finish(id string, state runState, reply storedReply, now time.Time) {
	t.do(func(r *runTable) {
		if e := r.entries[id]; e != nil && e.state != runWon && e.state != runRunning {
			return
		}
		r.entries[id] = &runEntry{state: state, reply: reply, changed: now}
		r.finished = append(r.finished, id)
		r.bytes += reply.size()
		r.expire(t.maxBytes, now.Add(-t.maxAge))
	})
}

// expire removes the oldest finished entries while a bound is exceeded.
func (r *runTable) expire(maxBytes int64, before time.Time) {
	for len(r.finished) > 0 {
		id := r.finished[0]
		e := r.entries[id]
		if r.bytes <= maxBytes && len(r.finished) <= maxRememberedClaims && !e.changed.Before(before) {
			return
		}
		r.bytes -= e.reply.size()
		delete(r.entries, id)
		r.finished = r.finished[1:]
	}
}

// lookup returns the state of a claim, with the reply if it is stored.
func (t *runTask) lookup(id string, now time.Time) *peerpb.LookupResult {
	result := &peerpb.LookupResult{State: peerpb.LookupResult_STATE_UNKNOWN}
	t.do(func(r *runTable) {
		r.expire(t.maxBytes, now.Add(-t.maxAge))
		e := r.entries[id]
		if e == nil {
			return
		}
		switch e.state {
		case runWon, runRunning:
			result.State = peerpb.LookupResult_STATE_RUNNING
		case runAbandoned:
			result.State = peerpb.LookupResult_STATE_ABANDONED
		case runStored:
			result.State = peerpb.LookupResult_STATE_STORED
			result.Status, result.Headers, result.Body = e.reply.status, e.reply.headers, e.reply.body
			result.CloseDelimited = e.reply.closeDelimited
		}
	})
	return result
}
