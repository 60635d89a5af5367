package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/ratelimit"
	"nutmegnotch/core/share"
)

// LimitPolicies are the ways in which gateways keep a server within its limit, baselines
// first.
var LimitPolicies = []struct {
	Name string
	New  func(p LimitPlan, rnd *rand.Rand) limitFleet
}{
	{"alone", func(p LimitPlan, _ *rand.Rand) limitFleet { return newBucketFleet(p, p.Limit) }},
	{"equal_parts", func(p LimitPlan, _ *rand.Rand) limitFleet { return newBucketFleet(p, p.Limit/float64(p.Gateways)) }},
	{"turns", newTurnFleet},
	{"credit", newCreditFleet},
	{"permits", newPermitFleet},
}

// bucketFleet gives each gateway a token bucket of its own.
type bucketFleet struct {
	rate     float64
	levels   []float64
	filledAt []time.Time
}

func newBucketFleet(p LimitPlan, rate float64) limitFleet {
	f := &bucketFleet{rate: rate}
	for range p.Gateways {
		f.levels, f.filledAt = append(f.levels, 0), append(f.filledAt, Epoch)
	}
	return f
}

func (f *bucketFleet) take(i int, _ uint64, now time.Time) bool {
	f.levels[i] = min(max(1, f.rate/2), f.levels[i]+f.rate*now.Sub(f.filledAt[i]).Seconds())
	f.filledAt[i] = now
	if f.levels[i] < 1 {
		return false
	}
	f.levels[i]--
	return true
}

func (f *bucketFleet) step(time.Time) {}

func (f *bucketFleet) messages() int { return 0 }

// turnFleet uses the turns of cold servers.
type turnFleet struct{ gateways []*dispatch.Dispatcher }

func newTurnFleet(p LimitPlan, rnd *rand.Rand) limitFleet {
	f := &turnFleet{}
	for i := range p.Gateways {
		d := dispatch.New("", rnd.Uint64())
		d.SetSharers(dispatch.Sharers{Gateways: p.Gateways, Index: i})
		d.SetServers(&core.Deployment{Services: map[string]core.ServiceConfig{"model": {Name: "model", ColdRequestsPerSecond: p.Limit}}},
			[]directory.Server{{Usable: true, ColdUntil: Epoch.Add(time.Hour), BackendServer: core.BackendServer{ID: "server", Service: "model", Slots: 1000}}}, Epoch)
		f.gateways = append(f.gateways, d)
	}
	return f
}

func (f *turnFleet) take(i int, id uint64, now time.Time) bool {
	v, ok := f.gateways[i].Offer(dispatch.Request{ID: id, Service: "model", Arrived: now, Objective: now.Add(time.Second), QueueDeadline: now.Add(time.Second)}, now)
	f.gateways[i].RemoveWaiting("model", id)
	return ok && v.Rejected == ""
}

func (f *turnFleet) step(time.Time) {}

func (f *turnFleet) messages() int { return 0 }

// limitMessage is a message between gateways that is delivered at a time.
type limitMessage struct {
	at      time.Time
	deliver func(now time.Time)
}

// limitMessages delivers messages in the order of their times.
type limitMessages struct {
	list []limitMessage
	sent int
}

func (m *limitMessages) messages() int { return m.sent }

func (m *limitMessages) send(now time.Time, deliver func(now time.Time)) {
	m.sent++
	m.list = append(m.list, limitMessage{now.Add(limitDelay), deliver})
}

func (m *limitMessages) deliver(now time.Time) {
	for len(m.list) > 0 && !m.list[0].at.After(now) {
		next := m.list[0]
		m.list = m.list[1:]
		next.deliver(next.at)
	}
}

// creditFleet lends credit as for the contracts of organisations.
type creditFleet struct {
	limitMessages
	pools  []*share.Pool
	ids    map[string]int
	nextAt time.Time
}

const (
	limitName       = "server"
	creditTickEvery = 100 * time.Millisecond
)

func newCreditFleet(p LimitPlan, _ *rand.Rand) limitFleet {
	f := &creditFleet{ids: map[string]int{}}
	contracts := map[string]core.Contract{limitName: {RequestsPerSecond: p.Limit}}
	set := core.EntrySet{}
	for i := range p.Gateways {
		id := fmt.Sprintf("gateway-%d", i)
		f.ids[id] = i
		set.Entries = append(set.Entries, core.EntryInfo{ID: id})
	}
	for _, e := range set.Entries {
		pool := share.New(e.ID, 0, Epoch.Add(-time.Minute))
		pool.Update(contracts, set, Epoch.Add(-time.Minute))
		f.pools = append(f.pools, pool)
	}
	return f
}

var oneRequest = core.CreditAmount{Requests: 1}

func (f *creditFleet) take(i int, _ uint64, now time.Time) bool {
	pool := f.pools[i]
	if _, ok := pool.Spend(limitName, oneRequest, now); ok {
		return true
	}
	homes := pool.CreditHomes(limitName, now)
	if len(homes) > 0 {
		if r, ok := pool.RequestCredit(limitName, homes[0], oneRequest, now); ok {
			f.request(i, r, now)
		}
	}
	return false
}

// request sends a request for credit to its home, and the answer back.
func (f *creditFleet) request(i int, r share.BorrowRequest, now time.Time) {
	f.send(now, func(now time.Time) {
		lent := f.pools[f.ids[r.Home]].Lend(r.Organisation, r.Amount, now)
		f.send(now, func(now time.Time) {
			f.pools[i].CreditGranted(r.Organisation, r.Home, r.Seq, lent, now)
			if lent.Requests == 0 {
				f.pools[i].CreditExhausted(r.Organisation, now)
			}
		})
	})
}

func (f *creditFleet) step(now time.Time) {
	f.deliver(now)
	if now.Before(f.nextAt) {
		return
	}
	f.nextAt = now.Add(creditTickEvery)
	for i, pool := range f.pools {
		for _, r := range pool.Tick(now) {
			if !r.ForSlots {
				f.request(i, r, now)
			}
		}
	}
}

// permitFleet is the product's way: a home grants permits.
type permitFleet struct {
	limitMessages
	tables []*ratelimit.Table
}

var limitProcess = ratelimit.Process{ServerID: "server"}

func newPermitFleet(p LimitPlan, _ *rand.Rand) limitFleet {
	f := &permitFleet{}
	for i := range p.Gateways {
		t := ratelimit.New()
		t.State(ratelimit.Statement{Process: limitProcess, Rate: p.Limit, Named: true, Sent: Epoch}, Epoch)
		t.SetHome(limitProcess, ratelimit.Home{Address: "gateway-0", Self: i == 0, Part: 1})
		f.tables = append(f.tables, t)
	}
	return f
}

func (f *permitFleet) take(i int, id uint64, now time.Time) bool {
	t := f.tables[i]
	if !t.Admits(limitProcess, id, now) {
		f.ask(i, now)
	}
	if !t.Admits(limitProcess, id, now) {
		return false
	}
	t.Take(limitProcess, now)
	return true
}

// ask sends the questions of a gateway to the home, and the answers back.
func (f *permitFleet) ask(i int, now time.Time) {
	t := f.tables[i]
	for _, a := range t.Asks(now) {
		f.send(now, func(now time.Time) {
			n, wait := f.tables[0].Lend(a.Process, a.Count, now)
			f.send(now, func(now time.Time) { t.Granted(a.Process, a.Seq, n, wait, now) })
		})
	}
}

func (f *permitFleet) step(now time.Time) {
	f.deliver(now)
	for i := range f.tables {
		f.ask(i, now)
	}
}
