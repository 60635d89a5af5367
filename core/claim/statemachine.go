package claim

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Result is the result of a claim.
type Result uint8

// Results of claims. A won claim becomes void when its agent releases it; no
// other result changes.
const (
	Unknown Result = iota
	Won
	Lost
	Void
)

// Holder is a claim that holds a key, and its agent.
type Holder struct {
	ClaimID          ID
	RequestHash      Hash
	AgentID          string
	AgentIncarnation string
	AgentAddress     string
	Offset           int64
}

// Verdict is the decision on one claim. Holder is the claim itself if it won,
// the claim it lost to if it lost, and empty otherwise.
type Verdict struct {
	Result Result
	Holder Holder
	Offset int64
}

// StateMachine is the state of one partition after its records up to an offset.
// It is not safe for concurrent use.
//
// Every claim of a key, won or lost, holds the key until it is released or older
// than the window. A new claim wins if no other claim holds its key, and loses
// to the oldest holder otherwise. Its verdict thus depends only on the records
// of the window before it and on the releases of a quarter of the window before
// those. All state machines that start Lookback before the last record therefore
// agree on new claims and on the claims of the last quarter of the window.
//
// If lost claims did not hold the key, a verdict would depend on the verdicts of
// all earlier claims without bound, and a batcher that starts late could decide
// differently from one that has been running. For the same reason a lost claim
// stays lost when the holder is released. The next new claim wins once the lost
// claim is released too, which the batcher that reads the lost claim does.
//
// A duplicate of a claim has the verdict of the first copy and extends the time
// for which the claim is kept, since a state machine that starts between the
// two reads only the duplicate.
//
// A copy of a claim that is read within a quarter of the window after the
// release is void. A copy that is read later holds the key, but its agent never
// runs it.
type StateMachine struct {
	claimRetention   time.Duration
	releaseRetention time.Duration
	reliableFromMS   int64
	nextOffset       int64
	nowMS            int64
	slab             slab
	claims           map[ID]uint32
	oldestHolders    map[Hash]uint32
	lostTo           map[uint32]Holder
	agents           agentTable
	peakLen          int
}

// NewStateMachine returns an empty state machine whose first record is at the
// offset from. since is a time from which on every record will be applied; it is
// zero if the whole stream will be. Claims are kept for the window plus a margin
// for clock differences.
func NewStateMachine(from int64, since time.Time, window time.Duration) *StateMachine {
	claimRetention, releaseRetention := window+clockMargin(window), window/releaseRetentionDivisor
	reliableFromMS := int64(math.MinInt64)
	if !since.IsZero() {
		reliableFromMS = since.Add(claimRetention + releaseRetention).UnixMilli()
	}
	return &StateMachine{
		claimRetention:   claimRetention,
		releaseRetention: releaseRetention,
		reliableFromMS:   reliableFromMS,
		nextOffset:       from,
		claims:           map[ID]uint32{},
		oldestHolders:    map[Hash]uint32{},
		lostTo:           map[uint32]Holder{},
		agents:           agentTable{index: map[agent]uint32{}},
	}
}

// Lookback returns how long before the last record a state machine has to start
// to agree with all others. It is less than two windows, the minimum retention
// of the log.
func Lookback(window time.Duration) time.Duration {
	return window + clockMargin(window) + 2*window/releaseRetentionDivisor
}

// releaseRetentionDivisor divides the window into the time for which a release
// is kept. Callers may ask for the verdict of a claim for the same time after it
// was read.
const releaseRetentionDivisor = 4

// NextOffset returns the first offset that is not applied.
func (m *StateMachine) NextOffset() int64 { return m.nextOffset }

// Time returns the latest record time.
func (m *StateMachine) Time() time.Time { return time.UnixMilli(m.nowMS) }

// Len returns the number of claims and releases that are kept.
func (m *StateMachine) Len() int { return len(m.claims) }

// Apply applies the record at the next offset, or a later one if the log skips
// offsets, and returns its operations. A record that was applied before has no
// effect. Apply skips a malformed record, as every reader does, and returns an
// error.
func (m *StateMachine) Apply(r core.Record) ([]Op, error) {
	if r.Offset < m.nextOffset {
		return nil, nil
	}
	m.nextOffset = r.Offset + 1
	m.nowMS = max(m.nowMS, r.Time.UnixMilli())
	m.expire()
	ops, err := Decode(r.Data)
	if err != nil {
		return nil, err
	}
	for _, op := range ops {
		if op.Op == OpClaim {
			m.applyClaim(op, r.Offset)
		} else {
			m.applyRelease(op.ClaimID)
		}
	}
	return ops, nil
}

func (m *StateMachine) applyClaim(op Op, offset int64) {
	if i, ok := m.claims[op.ClaimID]; ok {
		if e := m.slab.at(i); !e.released {
			m.touch(i)
		}
		return
	}
	i := m.insert(op.ClaimID)
	e := m.slab.at(i)
	e.unreliable = m.nowMS < m.reliableFromMS
	e.key, e.request, e.offset = op.KeyHash, op.RequestHash, offset
	e.agent = m.agents.intern(agent{op.AgentID, op.AgentIncarnation, op.AgentAddress})
	head, held := m.oldestHolders[op.KeyHash]
	if !held {
		e.result = Won
		m.oldestHolders[op.KeyHash] = i
		return
	}
	e.result = Lost
	m.lostTo[i] = m.holderAt(head)
	for m.slab.at(head).nextOfKey != none {
		head = m.slab.at(head).nextOfKey
	}
	m.slab.at(head).nextOfKey = i
}

// applyRelease releases a claim, or keeps a tombstone if the claim has not been
// read yet.
func (m *StateMachine) applyRelease(id ID) {
	i, ok := m.claims[id]
	if !ok {
		i = m.insert(id)
		m.slab.at(i).result = Void
		m.slab.setReleased(i)
		return
	}
	e := m.slab.at(i)
	if e.released {
		m.touch(i)
		return
	}
	m.removeFromKey(i)
	m.slab.setReleased(i)
	e.timeMS = m.nowMS
	if e.result == Won {
		e.result = Void
	}
}

// removeFromKey removes a claim from the list of the holders of its key.
func (m *StateMachine) removeFromKey(i uint32) {
	e := m.slab.at(i)
	head := m.oldestHolders[e.key]
	switch {
	case head == i && e.nextOfKey == none:
		delete(m.oldestHolders, e.key)
	case head == i:
		m.oldestHolders[e.key] = e.nextOfKey
	default:
		for m.slab.at(head).nextOfKey != i {
			head = m.slab.at(head).nextOfKey
		}
		m.slab.at(head).nextOfKey = e.nextOfKey
	}
	e.nextOfKey = none
}

func (m *StateMachine) insert(id ID) uint32 {
	i := m.slab.add()
	e := m.slab.at(i)
	e.id, e.timeMS, e.agent = id, m.nowMS, none
	m.claims[id] = i
	m.peakLen = max(m.peakLen, len(m.claims))
	return i
}

func (m *StateMachine) touch(i uint32) {
	m.slab.at(i).timeMS = m.nowMS
	m.slab.moveToBack(i)
}

// expire removes the claims and releases whose retention has ended by record
// time.
func (m *StateMachine) expire() {
	m.expireList(false, m.nowMS-m.claimRetention.Milliseconds())
	m.expireList(true, m.nowMS-m.releaseRetention.Milliseconds())
	m.shrink()
}

func (m *StateMachine) expireList(released bool, limit int64) {
	for i := m.slab.front(released); i != none && m.slab.at(i).timeMS < limit; i = m.slab.front(released) {
		e := m.slab.at(i)
		if !e.released {
			m.removeFromKey(i)
		}
		if e.agent != none {
			m.agents.unref(e.agent)
		}
		delete(m.lostTo, i)
		delete(m.claims, e.id)
		m.slab.remove(i)
	}
}

// minShrinkLen is the peak length below which the maps are not rebuilt.
const minShrinkLen = 4096

// shrink rebuilds the maps when they hold a quarter of their peak length or
// less, since Go maps do not release memory.
func (m *StateMachine) shrink() {
	if m.peakLen < minShrinkLen || len(m.claims) > m.peakLen/4 {
		return
	}
	claims, oldestHolders := make(map[ID]uint32, len(m.claims)), make(map[Hash]uint32, len(m.oldestHolders))
	for id, i := range m.claims {
		claims[id] = i
	}
	for k, i := range m.oldestHolders {
		oldestHolders[k] = i
	}
	m.claims, m.oldestHolders, m.peakLen = claims, oldestHolders, len(claims)
}

func (m *StateMachine) holderAt(i uint32) Holder {
	e := m.slab.at(i)
	a := m.agents.list[e.agent].agent
	return Holder{
		ClaimID:          e.id,
		RequestHash:      e.request,
		AgentID:          a.id,
		AgentIncarnation: a.incarnation,
		AgentAddress:     a.address,
		Offset:           e.offset,
	}
}

// Verdict returns the verdict of a claim. Its Result is Unknown if the claim has
// not been read, or was read so early that the verdict may depend on records
// before the first one of this state machine.
func (m *StateMachine) Verdict(id ID) Verdict {
	i, ok := m.claims[id]
	if !ok || m.slab.at(i).unreliable {
		return Verdict{}
	}
	e := m.slab.at(i)
	v := Verdict{Result: e.result, Offset: e.offset}
	switch e.result {
	case Won:
		v.Holder = m.holderAt(i)
	case Lost:
		v.Holder = m.lostTo[i]
	}
	return v
}

// Claim returns a claim that was read and its agent.
func (m *StateMachine) Claim(id ID) (Holder, bool) {
	i, ok := m.claims[id]
	if !ok || m.slab.at(i).agent == none {
		return Holder{}, false
	}
	return m.holderAt(i), true
}

// Released reports whether a release of the claim has been read.
func (m *StateMachine) Released(id ID) bool {
	i, ok := m.claims[id]
	return ok && m.slab.at(i).released
}

// HolderOf returns the oldest holder of a key, unless that claim is older than
// the window at the log time now.
func (m *StateMachine) HolderOf(key Hash, now time.Time) (Holder, bool) {
	i, ok := m.oldestHolders[key]
	if !ok || m.slab.at(i).timeMS < now.UnixMilli()-m.claimRetention.Milliseconds() {
		return Holder{}, false
	}
	return m.holderAt(i), true
}
