package admission

import "time"

// fairShareThreshold is the utilisation above which organisations are limited to
// their fair share.
const fairShareThreshold = 0.7

// headroomRequests is the number of requests for which organisations above their
// share must leave room. With 1, a small organisation next to a large one at 1.5
// times the capacity had 4.3 % of its requests refused; with 2 it had 1.6 %.
const headroomRequests = 2

// maxDemandAge is how long after a refusal an organisation counts as one with
// demand.
const maxDemandAge = time.Second

// organisationUsage is the reserved capacity and the demand of one organisation.
type organisationUsage struct {
	weight      int
	tokens      int64
	count       int
	lastRefused time.Time
	// starvedAt is the time of the last refusal below the fair share. It is zero
	// after a request has been admitted.
	starvedAt time.Time
}

// shares tracks the usage of each organisation.
type shares struct {
	orgs map[string]*organisationUsage
}

func newShares() shares { return shares{orgs: map[string]*organisationUsage{}} }

func (s shares) get(organisation string, weight int) *organisationUsage {
	h := s.orgs[organisation]
	if h == nil {
		h = &organisationUsage{}
		s.orgs[organisation] = h
	}
	h.weight = weight
	return h
}

func (s shares) add(organisation string, weight int, cost int64) {
	h := s.get(organisation, weight)
	h.tokens += cost
	h.count++
	h.starvedAt = time.Time{}
}

func (s shares) remove(organisation string, cost int64) {
	h := s.orgs[organisation]
	h.tokens -= cost
	h.count--
	if h.count == 0 && h.lastRefused.IsZero() {
		delete(s.orgs, organisation)
	}
}

func (s shares) refused(organisation string, weight int, withinShare bool, now time.Time) {
	h := s.get(organisation, weight)
	h.lastRefused = now
	if withinShare {
		h.starvedAt = now
	}
}

// otherStarved reports whether another organisation was refused below its share
// within maxDemandAge and has had no request admitted since.
func (s shares) otherStarved(organisation string, now time.Time) bool {
	for name, h := range s.orgs {
		if name != organisation && !h.starvedAt.IsZero() && now.Sub(h.starvedAt) <= maxDemandAge {
			return true
		}
	}
	return false
}

func (s shares) held(organisation string) organisationUsage {
	if h := s.orgs[organisation]; h != nil {
		return *h
	}
	return organisationUsage{}
}

// fraction returns the fair share of an organisation as a fraction of the server:
// its weight divided by the weights of all organisations with running requests or
// recent demand.
func (s shares) fraction(organisation string, weight int, now time.Time) float64 {
	total := weight
	for name, h := range s.orgs {
		if h.count == 0 && now.Sub(h.lastRefused) > maxDemandAge {
			delete(s.orgs, name)
			continue
		}
		if name != organisation {
			total += h.weight
		}
	}
	return float64(weight) / float64(total)
}
