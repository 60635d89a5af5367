package routing

// MaxPrefixesPerAgent bounds the prompt prefixes recorded for one agent, since
// the prefix caches of engines are limited too.
const MaxPrefixesPerAgent = 256

// prefixIndex records which agents recently got a prompt prefix. Each agent has a
// ring buffer of hashes in which a new hash replaces the oldest one.
type prefixIndex struct {
	perAgent int
	rings    map[string]*ringBuffer
	byHash   map[uint64][]string
}

type ringBuffer struct {
	hashes []uint64
	next   int
}

func newPrefixIndex(perAgent int) *prefixIndex {
	return &prefixIndex{perAgent: perAgent, rings: map[string]*ringBuffer{}, byHash: map[uint64][]string{}}
}

func (p *prefixIndex) agents(hash uint64) []string {
	if hash == 0 {
		return nil
	}
	return p.byHash[hash]
}

func (p *prefixIndex) cachedBy(hash uint64, agentID string) bool {
	return contains(p.agents(hash), agentID)
}

func (p *prefixIndex) add(hash uint64, agentID string) {
	if p.cachedBy(hash, agentID) {
		return
	}
	r := p.rings[agentID]
	if r == nil {
		r = &ringBuffer{}
		p.rings[agentID] = r
	}
	if len(r.hashes) < p.perAgent {
		r.hashes = append(r.hashes, hash)
	} else {
		p.remove(r.hashes[r.next], agentID)
		r.hashes[r.next] = hash
		r.next = (r.next + 1) % p.perAgent
	}
	p.byHash[hash] = append(p.byHash[hash], agentID)
}

func (p *prefixIndex) remove(hash uint64, agentID string) {
	ids := p.byHash[hash]
	for i, id := range ids {
		if id == agentID {
			ids = append(ids[:i], ids[i+1:]...)
			break
		}
	}
	if len(ids) == 0 {
		delete(p.byHash, hash)
		return
	}
	p.byHash[hash] = ids
}

func (p *prefixIndex) forget(agentID string) {
	r := p.rings[agentID]
	if r == nil {
		return
	}
	for _, hash := range r.hashes {
		p.remove(hash, agentID)
	}
	delete(p.rings, agentID)
}
