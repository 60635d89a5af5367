package claim

import "math"

// none marks the end of a list.
const none = math.MaxUint32

// chunkLen is the number of entries in one allocation. A chunk of about 100 KB
// keeps a growing slab from copying its entries.
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
}

// slab holds entries by index in the order of their time.
type slab struct {
	chunks      []*[chunkLen]entry
	used        uint32
	free        []uint32
	first, last uint32
	started     bool
}

func (s *slab) at(i uint32) *entry { return &s.chunks[i/chunkLen][i%chunkLen] }

// add returns a new entry at the back.
func (s *slab) add() uint32 {
	if !s.started {
		s.first, s.last, s.started = none, none, true
	}
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
	e.prev, e.next = s.last, none
	if s.last == none {
		s.first = i
	} else {
		s.at(s.last).next = i
	}
	s.last = i
}

func (s *slab) unlink(i uint32) {
	e := s.at(i)
	if e.prev == none {
		s.first = e.next
	} else {
		s.at(e.prev).next = e.next
	}
	if e.next == none {
		s.last = e.prev
	} else {
		s.at(e.next).prev = e.prev
	}
}

func (s *slab) moveToBack(i uint32) {
	s.unlink(i)
	s.pushBack(i)
}

// remove frees an entry. The chunks go when the slab is empty.
func (s *slab) remove(i uint32) {
	s.unlink(i)
	s.free = append(s.free, i)
	if s.first == none {
		*s = slab{}
	}
}

func (s *slab) front() uint32 {
	if !s.started {
		return none
	}
	return s.first
}

// agent identifies one incarnation of an agent.
type agent struct{ id, incarnation, address string }

// agents shares the texts of agents between their claims.
type agents struct {
	index map[agent]uint32
	list  []countedAgent
	free  []uint32
}

type countedAgent struct {
	agent
	claims int
}

func (a *agents) add(x agent) uint32 {
	i, ok := a.index[x]
	switch {
	case ok:
	case len(a.free) > 0:
		i = a.free[len(a.free)-1]
		a.free = a.free[:len(a.free)-1]
	default:
		i = uint32(len(a.list))
		a.list = append(a.list, countedAgent{})
	}
	a.list[i].agent = x
	a.list[i].claims++
	a.index[x] = i
	return i
}

func (a *agents) remove(i uint32) {
	a.list[i].claims--
	if a.list[i].claims == 0 {
		delete(a.index, a.list[i].agent)
		a.list[i] = countedAgent{}
		a.free = append(a.free, i)
	}
}
