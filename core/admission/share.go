package admission

import "time"

// fairShareLevel is the part of the limit above which organisations are held to
// their fair share.
const fairShareLevel = 0.7

// spareRequests is the room, in requests, that organisations above their share
// leave to the others. With 1, a small organisation beside a large one at 1.5
// times the capacity had 4.3 % of its requests refused; with 2 it had 1.6 %.
const spareRequests = 2

// demandAge is how long a refused organisation counts as one that wants room.
const demandAge = time.Second

// holder is what one organisation holds and wants.
type holder struct {
	weight  int
	tokens  int64
	count   int
	refused time.Time
	// starved is when a request below the fair share was refused, and zero once
	// one is admitted.
	starved time.Time
}

// shares accounts what organisations hold.
type shares struct {
	orgs map[string]*holder
}

func newShares() shares { return shares{orgs: map[string]*holder{}} }

func (s shares) get(organisation string, weight int) *holder {
	h := s.orgs[organisation]
	if h == nil {
		h = &holder{}
		s.orgs[organisation] = h
	}
	h.weight = weight
	return h
}

func (s shares) add(organisation string, weight int, cost int64) {
	h := s.get(organisation, weight)
	h.tokens += cost
	h.count++
	h.starved = time.Time{}
}

func (s shares) remove(organisation string, cost int64) {
	h := s.orgs[organisation]
	h.tokens -= cost
	h.count--
	if h.count == 0 && h.refused.IsZero() {
		delete(s.orgs, organisation)
	}
}

func (s shares) refused(organisation string, weight int, belowShare bool, now time.Time) {
	h := s.get(organisation, weight)
	h.refused = now
	if belowShare {
		h.starved = now
	}
}

// starved reports whether another organisation was lately refused below its
// share and has got nothing since.
func (s shares) starved(organisation string, now time.Time) bool {
	for name, h := range s.orgs {
		if name != organisation && !h.starved.IsZero() && now.Sub(h.starved) <= demandAge {
			return true
		}
	}
	return false
}

func (s shares) held(organisation string) holder {
	if h := s.orgs[organisation]; h != nil {
		return *h
	}
	return holder{}
}

// part returns the fraction of the server that belongs to an organisation: its
// weight among the organisations that hold or have lately wanted room.
func (s shares) part(organisation string, weight int, now time.Time) float64 {
	total := weight
	for name, h := range s.orgs {
		if h.count == 0 && now.Sub(h.refused) > demandAge {
			delete(s.orgs, name)
			continue
		}
		if name != organisation {
			total += h.weight
		}
	}
	return float64(weight) / float64(total)
}
