package routing

// MaxPrefixesPerAgent bounds the prompt prefixes remembered for one agent, since
// engines cache prefixes in limited memory too.
const MaxPrefixesPerAgent = 256

// prefixes remembers which agents got a prompt prefix lately. Each agent has a
// ring of hashes; the oldest one gives way.
type prefixes struct {
	perAgent int
	rings    map[string]*ring
	byHash   map[uint64][]string
}

type ring struct {
	hashes []uint64
	next   int
}

func newPrefixes(perAgent int) *prefixes {
	return &prefixes{perAgent: perAgent, rings: map[string]*ring{}, byHash: map[uint64][]string{}}
}

func (p *prefixes) agents(hash uint64) []string {
	if hash == 0 {
		return nil
	}
	return p.byHash[hash]
}

func (p *prefixes) holds(hash uint64, agentID string) bool {
	return contains(p.agents(hash), agentID)
}

func (p *prefixes) add(hash uint64, agentID string) {
	if p.holds(hash, agentID) {
		return
	}
	r := p.rings[agentID]
	if r == nil {
		r = &ring{}
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

func (p *prefixes) remove(hash uint64, agentID string) {
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

func (p *prefixes) forget(agentID string) {
	r := p.rings[agentID]
	if r == nil {
		return
	}
	for _, hash := range r.hashes {
		p.remove(hash, agentID)
	}
	delete(p.rings, agentID)
}
