package agent

import (
	"time"

	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// maxStoredReply bounds one stored reply, which must fit into one frame with
// its headers.
const maxStoredReply = 960 << 10

// maxRuns bounds the claims that an agent remembers.
const maxRuns = 100_000

// runState is the state of a claim at this agent. A claim goes from won to
// running or abandoned, and from running to stored, lost or, when it is proven
// that nothing was sent, abandoned.
type runState int

const (
	runWon runState = iota
	runRunning
	runStored
	runLost
	runAbandoned
)

// storedReply is the whole reply to a request that must not run twice.
type storedReply struct {
	status  int32
	headers []*peerpb.Header
	body    []byte
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

// runTask owns the claims of this incarnation and their stored replies.
type runTask struct {
	*task.Task
	maxBytes int64
	maxAge   time.Duration
	table    *runTable
}

// runTable holds the entries, and the ids of finished ones by age. A forgotten
// entry is answered as unknown, which is true.
type runTable struct {
	entries  map[string]*runEntry
	finished []string
	bytes    int64
}

func newRunTask(maxBytes int64, maxAge time.Duration) *runTask {
	return &runTask{Task: task.New(), maxBytes: maxBytes, maxAge: maxAge, table: &runTable{entries: map[string]*runEntry{}}}
}

// do runs op in the task. It reports false when the task does not run.
func (t *runTask) do(op func(*runTable)) bool {
	return t.Do(func() { op(t.table) })
}

// won remembers a claim that may be run.
func (t *runTask) won(id string) {
	t.do(func(r *runTable) { r.entries[id] = &runEntry{state: runWon} })
}

// use marks a won claim as used. It reports true at most once for a claim.
func (t *runTask) use(id string) bool {
	used := false
	t.do(func(r *runTable) {
		e := r.entries[id]
		if e != nil && e.state == runWon {
			e.state = runRunning
			used = true
		}
	})
	return used
}

// abandon marks a claim as never to run.
func (t *runTask) abandon(id string, now time.Time) { t.finish(id, runAbandoned, storedReply{}, now) }

// lose marks a run whose outcome is not known.
func (t *runTask) lose(id string, now time.Time) { t.finish(id, runLost, storedReply{}, now) }

// store keeps the reply of a run.
func (t *runTask) store(id string, reply storedReply, now time.Time) {
	if reply.size() > maxStoredReply {
		t.lose(id, now)
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

// expire forgets the oldest finished entries that exceed a bound.
func (r *runTable) expire(maxBytes int64, before time.Time) {
	for len(r.finished) > 0 {
		id := r.finished[0]
		e := r.entries[id]
		if r.bytes <= maxBytes && len(r.finished) <= maxRuns && !e.changed.Before(before) {
			return
		}
		r.bytes -= e.reply.size()
		delete(r.entries, id)
		r.finished = r.finished[1:]
	}
}

// lookup tells what became of a claim.
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
		}
	})
	return result
}
