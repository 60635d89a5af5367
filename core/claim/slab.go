package claim

import "math"

// none marks the end of a list.
const none = math.MaxUint32

// chunkLen is the number of entries in one allocation. A slab grows by chunks of
// about 100 KB, so that it never copies its entries.
const chunkLen = 1024

// entry is a claim or a tombstone.
type entry struct {
	id         ID
	key        Hash
	request    Hash
	timeMS     int64
	offset     int64
	agent      uint32
	nextOfKey  uint32
	prev, next uint32
	result     Result
	released   bool
	// unreliable marks a claim whose verdict may depend on records that were not
	// applied.
	unreliable bool
}

// slab stores entries by index. The active entries, which hold keys, and the
// released ones form two lists, each ordered by time.
type slab struct {
	chunks   []*[chunkLen]entry
	used     uint32
	live     int
	free     []uint32
	active   list
	released list
}

// list holds the index plus one of its first and last entry, so that its zero
// value is an empty list.
type list struct{ first, last uint32 }

func (s *slab) listOf(e *entry) *list {
	if e.released {
		return &s.released
	}
	return &s.active
}

// setReleased moves an entry to the back of the released list.
func (s *slab) setReleased(i uint32) {
	s.unlink(i)
	s.at(i).released = true
	s.pushBack(i)
}

func (s *slab) at(i uint32) *entry { return &s.chunks[i/chunkLen][i%chunkLen] }

// add allocates an entry at the back of the active list and returns its index.
func (s *slab) add() uint32 {
	s.live++
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = s.used
		s.used++
		if int(i/chunkLen) == len(s.chunks) {
			s.chunks = append(s.chunks, new([chunkLen]entry))
		}
	}
	*s.at(i) = entry{nextOfKey: none}
	s.pushBack(i)
	return i
}

func (s *slab) pushBack(i uint32) {
	e := s.at(i)
	l := s.listOf(e)
	e.prev, e.next = l.last-1, none
	if l.last == 0 {
		l.first = i + 1
	} else {
		s.at(l.last - 1).next = i
	}
	l.last = i + 1
}

func (s *slab) unlink(i uint32) {
	e := s.at(i)
	l := s.listOf(e)
	if e.prev == none {
		l.first = e.next + 1
	} else {
		s.at(e.prev).next = e.next
	}
	if e.next == none {
		l.last = e.prev + 1
	} else {
		s.at(e.next).prev = e.prev
	}
}

func (s *slab) moveToBack(i uint32) {
	s.unlink(i)
	s.pushBack(i)
}

// remove frees an entry. The chunks are released when the slab is empty.
func (s *slab) remove(i uint32) {
	s.unlink(i)
	s.free = append(s.free, i)
	s.live--
	if s.live == 0 {
		*s = slab{}
	}
}

// front returns the oldest entry of a list, or none.
func (s *slab) front(released bool) uint32 {
	if released {
		return s.released.first - 1
	}
	return s.active.first - 1
}

// agent identifies one incarnation of an agent.
type agent struct{ id, incarnation, address string }

// agentTable interns agents: claims of the same incarnation share one copy of
// its strings, which is freed with the last of them.
type agentTable struct {
	index map[agent]uint32
	list  []agentRefs
	free  []uint32
}

type agentRefs struct {
	agent
	refs int
}

func (a *agentTable) intern(x agent) uint32 {
	i, ok := a.index[x]
	switch {
	case ok:
	case len(a.free) > 0:
		i = a.free[len(a.free)-1]
		a.free = a.free[:len(a.free)-1]
	default:
		i = uint32(len(a.list))
		a.list = append(a.list, agentRefs{})
	}
	a.list[i].agent = x
	a.list[i].refs++
	a.index[x] = i
	return i
}

func (a *agentTable) unref(i uint32) {
	a.list[i].refs--
	if a.list[i].refs == 0 {
		delete(a.index, a.list[i].agent)
		a.list[i] = agentRefs{}
		a.free = append(a.free, i)
	}
}
