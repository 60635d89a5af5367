package claim

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Result is the verdict of a claim.
type Result uint8

// Results. A won claim becomes void when its agent releases it; no other
// verdict changes.
const (
	Unknown Result = iota
	Won
	Lost
	Void
)

// Holder names a claim and its agent.
type Holder struct {
	ClaimID          ID
	RequestHash      Hash
	AgentID          string
	AgentIncarnation string
	AgentAddress     string
	Offset           int64
}

// Verdict is the verdict of one claim. Holder is the claim itself when it won,
// the claim it lost to when it lost, and empty otherwise.
type Verdict struct {
	Result Result
	Holder Holder
	Offset int64
}

// StateMachine is the state of one partition after its records up to an offset. It is
// not safe for concurrent use.
//
// A key is held by every claim of it that is neither released nor older than
// the window, lost claims included. A new claim wins when the key is not held
// by another claim, and loses to the oldest holder otherwise. Its verdict thus
// depends only on the records of the window before it, and on the releases of
// a quarter of the window before those: every fold that starts Lookback back
// agrees on new claims and on those of the last quarter of the window.
//
// If lost claims did not hold the key, a verdict would depend on whether each
// earlier claim had won, without limit, and a batcher that starts later would
// decide otherwise than one that has run on. A lost claim therefore stays lost
// when the holder is released, and the next new claim wins once the lost claim
// is released too, which the batcher that reads the loss takes care of.
//
// A second copy of a claim ends in the verdict of the first, and extends the
// time for which the claim is remembered, since a fold that starts between the
// two sees only the second.
//
// A release makes later copies of its claim void for a quarter of the window.
// A copy that comes later still holds the key, but its agent never runs it.
type StateMachine struct {
	hold   time.Duration
	tomb   time.Duration
	sureMS int64
	next   int64
	nowMS  int64
	slab   slab
	claims map[ID]uint32
	keys   map[Hash]uint32
	lost   map[uint32]Holder
	agents agents
	peak   int
}

// NewStateMachine returns the empty state of a partition that begins at an offset.
// since is a time from which on all records will be folded; it is zero for a
// fold of the whole stream. Claims are remembered for the window and a margin
// for clock differences.
func NewStateMachine(from int64, since time.Time, window time.Duration) *StateMachine {
	hold, tomb := window+clockMargin(window), window/tombPart
	sure := int64(math.MinInt64)
	if !since.IsZero() {
		sure = since.Add(hold + tomb).UnixMilli()
	}
	return &StateMachine{
		hold:   hold,
		tomb:   tomb,
		sureMS: sure,
		next:   from,
		claims: map[ID]uint32{},
		keys:   map[Hash]uint32{},
		lost:   map[uint32]Holder{},
		agents: agents{index: map[agent]uint32{}},
	}
}

// Lookback returns how far before the last record a fold has to start, so that
// it agrees with all others. It is less than two windows, the least retention of
// the log.
func Lookback(window time.Duration) time.Duration {
	return window + clockMargin(window) + 2*window/tombPart
}

// tombPart is the part of the window for which a release is remembered, and for
// which a claim that was read can be asked for.
const tombPart = 4

// NextOffset returns the first offset that is not folded.
func (f *StateMachine) NextOffset() int64 { return f.next }

// Time returns the latest record time.
func (f *StateMachine) Time() time.Time { return time.UnixMilli(f.nowMS) }

// Len returns the number of claims and releases held.
func (f *StateMachine) Len() int { return len(f.claims) }

// Apply folds the record at the next offset, or a later one if the log skips
// offsets. A record that was folded before has no effect. A malformed record
// is skipped, by every reader alike, and reported.
func (f *StateMachine) Apply(r core.Record) ([]Op, error) {
	if r.Offset < f.next {
		return nil, nil
	}
	f.next = r.Offset + 1
	f.nowMS = max(f.nowMS, r.Time.UnixMilli())
	f.expire()
	ops, err := Decode(r.Data)
	if err != nil {
		return nil, err
	}
	for _, op := range ops {
		if op.Op == OpClaim {
			f.applyClaim(op, r.Offset)
		} else {
			f.applyRelease(op.ClaimID)
		}
	}
	return ops, nil
}

func (f *StateMachine) applyClaim(op Op, offset int64) {
	if i, ok := f.claims[op.ClaimID]; ok {
		if e := f.slab.at(i); !e.released {
			f.touch(i)
		}
		return
	}
	i := f.insert(op.ClaimID)
	e := f.slab.at(i)
	e.unsure = f.nowMS < f.sureMS
	e.key, e.request, e.offset = op.KeyHash, op.RequestHash, offset
	e.agent = f.agents.add(agent{op.AgentID, op.AgentIncarnation, op.AgentAddress})
	head, held := f.keys[op.KeyHash]
	if !held {
		e.result = Won
		f.keys[op.KeyHash] = i
		return
	}
	e.result = Lost
	f.lost[i] = f.holderAt(head)
	for f.slab.at(head).nextOfKey != none {
		head = f.slab.at(head).nextOfKey
	}
	f.slab.at(head).nextOfKey = i
}

// applyRelease frees the key, or leaves a tombstone for a claim that comes later.
func (f *StateMachine) applyRelease(id ID) {
	i, ok := f.claims[id]
	if !ok {
		i = f.insert(id)
		f.slab.at(i).result = Void
		f.slab.setReleased(i)
		return
	}
	e := f.slab.at(i)
	if e.released {
		f.touch(i)
		return
	}
	f.unhold(i)
	f.slab.setReleased(i)
	e.timeMS = f.nowMS
	if e.result == Won {
		e.result = Void
	}
}

// unhold takes a claim out of the list of its key.
func (f *StateMachine) unhold(i uint32) {
	e := f.slab.at(i)
	head := f.keys[e.key]
	switch {
	case head == i && e.nextOfKey == none:
		delete(f.keys, e.key)
	case head == i:
		f.keys[e.key] = e.nextOfKey
	default:
		for f.slab.at(head).nextOfKey != i {
			head = f.slab.at(head).nextOfKey
		}
		f.slab.at(head).nextOfKey = e.nextOfKey
	}
	e.nextOfKey = none
}

func (f *StateMachine) insert(id ID) uint32 {
	i := f.slab.add()
	e := f.slab.at(i)
	e.id, e.timeMS, e.agent = id, f.nowMS, none
	f.claims[id] = i
	f.peak = max(f.peak, len(f.claims))
	return i
}

func (f *StateMachine) touch(i uint32) {
	f.slab.at(i).timeMS = f.nowMS
	f.slab.moveToBack(i)
}

// expire forgets what is older than the window by record time.
func (f *StateMachine) expire() {
	f.expireList(false, f.nowMS-f.hold.Milliseconds())
	f.expireList(true, f.nowMS-f.tomb.Milliseconds())
	f.shrink()
}

func (f *StateMachine) expireList(released bool, limit int64) {
	for i := f.slab.front(released); i != none && f.slab.at(i).timeMS < limit; i = f.slab.front(released) {
		e := f.slab.at(i)
		if !e.released {
			f.unhold(i)
		}
		if e.agent != none {
			f.agents.remove(e.agent)
		}
		delete(f.lost, i)
		delete(f.claims, e.id)
		f.slab.remove(i)
	}
}

// minShrink keeps small maps from being rebuilt.
const minShrink = 4096

// shrink rebuilds the maps after a peak, since maps never give memory back.
func (f *StateMachine) shrink() {
	if f.peak < minShrink || len(f.claims) > f.peak/4 {
		return
	}
	claims, keys := make(map[ID]uint32, len(f.claims)), make(map[Hash]uint32, len(f.keys))
	for id, i := range f.claims {
		claims[id] = i
	}
	for k, i := range f.keys {
		keys[k] = i
	}
	f.claims, f.keys, f.peak = claims, keys, len(claims)
}

func (f *StateMachine) holderAt(i uint32) Holder {
	e := f.slab.at(i)
	a := f.agents.list[e.agent].agent
	return Holder{
		ClaimID:          e.id,
		RequestHash:      e.request,
		AgentID:          a.id,
		AgentIncarnation: a.incarnation,
		AgentAddress:     a.address,
		Offset:           e.offset,
	}
}

// Verdict returns the verdict of a claim that was read. It is Unknown for a
// claim that was not, or that is too old for this fold to be sure.
func (f *StateMachine) Verdict(id ID) Verdict {
	i, ok := f.claims[id]
	if !ok || f.slab.at(i).unsure {
		return Verdict{}
	}
	e := f.slab.at(i)
	v := Verdict{Result: e.result, Offset: e.offset}
	switch e.result {
	case Won:
		v.Holder = f.holderAt(i)
	case Lost:
		v.Holder = f.lost[i]
	}
	return v
}

// Claim returns the agent of a claim that was read.
func (f *StateMachine) Claim(id ID) (Holder, bool) {
	i, ok := f.claims[id]
	if !ok || f.slab.at(i).agent == none {
		return Holder{}, false
	}
	return f.holderAt(i), true
}

// Released reports whether a release of the claim was read.
func (f *StateMachine) Released(id ID) bool {
	i, ok := f.claims[id]
	return ok && f.slab.at(i).released
}

// Holder returns the oldest holder of a key that is younger than the window at
// the log time now.
func (f *StateMachine) Holder(key Hash, now time.Time) (Holder, bool) {
	i, ok := f.keys[key]
	if !ok || f.slab.at(i).timeMS < now.UnixMilli()-f.hold.Milliseconds() {
		return Holder{}, false
	}
	return f.holderAt(i), true
}
