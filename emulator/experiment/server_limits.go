package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/ratelimit"
	"nutmegnotch/core/share"
)

// Settings of the simulated server with a rate limit.
const (
	limitStep = 10 * time.Millisecond
	// limitDelay is the time that a message takes from one gateway to another.
	limitDelay = 2 * time.Millisecond
	limitTime  = 30 * time.Second
	// limitCounted is when the first request counts.
	limitCounted = 6 * time.Second
	// limitWindow is that of the rule for servers with limits.
	limitWindow = 4 * time.Second
	limitHot    = 0.9
	// limitHold is how long a request waits that can go to another server.
	limitHold = 20 * time.Millisecond
)

// LimitPlan is a server with a rate limit and the requests that gateways have for it.
type LimitPlan struct {
	Gateways int
	// Limit and Demand are in requests a second from all gateways together.
	Limit, Demand float64
	// Uneven makes one gateway get 9 of 10 requests.
	Uneven bool
	// Patience is how long a request waits for the server.
	Patience time.Duration
}

// limitFleet is the state of all gateways.
type limitFleet interface {
	// take reports whether a gateway may send a request now.
	take(gateway int, request uint64, now time.Time) bool
	// step passes messages on. It is called once in limitStep.
	step(now time.Time)
	// messages returns the number of messages so far.
	messages() int
}

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

// LimitResult is what a server with a limit and the callers get.
type LimitResult struct {
	// Most is the largest number of requests in 4 s.
	Most int
	// Used is the share of the limit that is used.
	Used float64
	// Wait is the mean time that served requests have waited.
	Wait time.Duration
	// LeastShare is the share of its requests that the worst tenth of the gateways served,
	// relative to the share of all.
	LeastShare float64
	// Messages is the number of messages between gateways in a second.
	Messages float64
}

// waitingRequest is a request that waits at a gateway.
type waitingRequest struct {
	id uint64
	at time.Time
}

// PlayServerLimit plays gateways whose callers want more than a server with a limit takes.
func PlayServerLimit(p LimitPlan, newFleet func(p LimitPlan, rnd *rand.Rand) limitFleet, seed uint64) LimitResult {
	rnd := rand.New(rand.NewPCG(seed, uint64(p.Gateways)))
	fleet := newFleet(p, rnd)
	queues := make([][]waitingRequest, p.Gateways)
	asked, served := make([]float64, p.Gateways), make([]float64, p.Gateways)
	var sent []time.Duration
	var res LimitResult
	var waited time.Duration
	id := uint64(0)
	count := 0.0
	for at := time.Duration(0); at < limitTime; at += limitStep {
		now := Epoch.Add(at)
		fleet.step(now)
		for n := poisson(rnd, p.Demand*limitStep.Seconds()); n > 0; n-- {
			i := rnd.IntN(p.Gateways)
			if p.Uneven && rnd.Float64() < limitHot {
				i = 0
			}
			id++
			queues[i] = append(queues[i], waitingRequest{id, now})
			if at >= limitCounted {
				asked[i]++
			}
		}
		for _, i := range rnd.Perm(p.Gateways) {
			for len(queues[i]) > 0 {
				head := queues[i][0]
				ok := fleet.take(i, head.id, now)
				if !ok && now.Sub(head.at) < p.Patience {
					break
				}
				queues[i] = queues[i][1:]
				if !ok {
					continue
				}
				if at >= limitCounted {
					sent = append(sent, at)
					served[i]++
					waited += now.Sub(head.at)
					count++
				}
			}
		}
	}
	from := 0
	for k, at := range sent {
		for sent[from] <= at-limitWindow {
			from++
		}
		res.Most = max(res.Most, k-from+1)
	}
	res.Used = count / (min(p.Limit, p.Demand) * (limitTime - limitCounted).Seconds())
	if count > 0 {
		res.Wait = waited / time.Duration(count)
	}
	res.LeastShare = leastShare(asked, served)
	res.Messages = float64(fleet.messages()) / limitTime.Seconds()
	return res
}

// leastShare returns the share of requests that the worst tenth of the gateways served,
// relative to that of all.
func leastShare(asked, served []float64) float64 {
	order := make([]int, len(asked))
	sumAsked, sumServed := 0.0, 0.0
	for i := range order {
		order[i] = i
		sumAsked, sumServed = sumAsked+asked[i], sumServed+served[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(1e6 * (served[a]/max(1, asked[a]) - served[b]/max(1, asked[b])))
	})
	a, s := 0.0, 0.0
	for _, i := range order[:max(1, len(order)/10)] {
		a, s = a+asked[i], s+served[i]
	}
	if a == 0 || sumServed == 0 {
		return 0
	}
	return s / a / (sumServed / sumAsked)
}

// poisson returns a number of arrivals with a mean far below 1 or a little above.
func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for at := rnd.ExpFloat64(); at < mean; at += rnd.ExpFloat64() {
		n++
	}
	return n
}

func serverLimits() Experiment {
	return Experiment{
		Name: "server-limits",
		About: "Gateways that share a server which takes a limited rate, with 4 times as much demand. With little patience a request goes to " +
			"another server. The rule allows 6 times the limit + 5 requests in 4 s.",
		Columns: []string{"most requests in 4 s", "allowed", "used, % of the limit", "mean wait, ms", "worst tenth of gateways, share of the mean", "messages a second"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, policy := range LimitPolicies {
				for _, p := range LimitPlans {
					r := PlayServerLimit(p, policy.New, seed)
					rows = append(rows, Row{fmt.Sprintf("%s/gateways=%d/limit=%v/uneven=%t/patience=%v", policy.Name, p.Gateways, p.Limit, p.Uneven, p.Patience),
						[]float64{float64(r.Most), 6*p.Limit + 5, 100 * r.Used, float64(r.Wait.Milliseconds()), r.LeastShare, r.Messages}})
				}
			}
			return rows
		},
	}
}

// LimitPlans are the plans that are compared.
var LimitPlans = limitPlans()

func limitPlans() []LimitPlan {
	const excess = 4
	var out []LimitPlan
	for _, patience := range []time.Duration{limitHold, 1500 * time.Millisecond} {
		for _, uneven := range []bool{false, true} {
			for _, n := range []int{1, 4, 12, 54, 216} {
				for _, limit := range []float64{1, 10} {
					if uneven && (n == 1 || limit == 1) {
						continue
					}
					out = append(out, LimitPlan{Gateways: n, Limit: limit, Demand: excess * limit, Uneven: uneven, Patience: patience})
				}
			}
		}
	}
	return out
}
