package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
)

// Settings of the simulated cold servers.
const (
	coldServerCount = 8
	// coldServerRate is the rate that a cold server bears, in requests a second.
	coldServerRate = 14.0
	coldServerTime = 4 * time.Second
	// coldDemand is the demand as a multiple of what the cold servers bear.
	coldDemand = 1.5
	coldStep   = 5 * time.Millisecond
)

// ColdPlan is a number of gateways that share cold servers from the start of a run on.
type ColdPlan struct {
	Gateways int
	// ServesFrom is when the servers begin to serve.
	ServesFrom time.Duration
	// ClockError is the largest difference of a gateway's time of day from the true one.
	ClockError time.Duration
}

// coldGateway decides which cold server gets a request, if any.
type coldGateway interface {
	offer(at time.Duration) (server int, ok bool)
}

// ColdPolicies are the ways in which gateways share cold servers, baselines first.
var ColdPolicies = []struct {
	Name string
	New  func(p ColdPlan, index int, rnd *rand.Rand) coldGateway
}{
	{"part_of_the_rate", func(p ColdPlan, _ int, rnd *rand.Rand) coldGateway { return newRateShare(p, rnd) }},
	{"turns", func(p ColdPlan, index int, rnd *rand.Rand) coldGateway { return newTurnTaker(p, index, rnd) }},
}

// rateShare gives each gateway an equal part of the rate of a server, from a random time
// within the first interval on.
type rateShare struct {
	interval time.Duration
	next     []time.Duration
	rnd      *rand.Rand
}

func newRateShare(p ColdPlan, rnd *rand.Rand) *rateShare {
	r := &rateShare{interval: time.Duration(float64(p.Gateways) / coldServerRate * float64(time.Second)), rnd: rnd}
	for range coldServerCount {
		r.next = append(r.next, time.Duration(rnd.Float64()*float64(r.interval)))
	}
	return r
}

func (r *rateShare) offer(at time.Duration) (int, bool) {
	for _, i := range r.rnd.Perm(coldServerCount) {
		if at >= r.next[i] {
			r.next[i] = at + r.interval
			return i, true
		}
	}
	return 0, false
}

// turnTaker is the product's dispatcher.
type turnTaker struct {
	d     *dispatch.Dispatcher
	clock time.Time
	byID  map[string]int
	n     uint64
}

func newTurnTaker(p ColdPlan, index int, rnd *rand.Rand) *turnTaker {
	t := &turnTaker{d: dispatch.New("", rnd.Uint64()), byID: map[string]int{},
		clock: Epoch.Add(time.Duration((2*rnd.Float64() - 1) * float64(p.ClockError)))}
	var list []directory.Server
	for i := range coldServerCount {
		id := fmt.Sprintf("server-%d", i)
		t.byID[id] = i
		list = append(list, directory.Server{Usable: true, ColdUntil: t.clock.Add(coldServerTime),
			BackendServer: core.BackendServer{ID: id, Service: "model", Slots: 1000}})
	}
	t.d.SetSharers(dispatch.Sharers{Gateways: p.Gateways, Index: index})
	t.d.SetServers(&core.Deployment{Services: map[string]core.ServiceConfig{
		"model": {Name: "model", ColdRequestsPerSecond: coldServerRate},
	}}, list, t.clock)
	return t
}

func (t *turnTaker) offer(at time.Duration) (int, bool) {
	t.n++
	now := t.clock.Add(at)
	v, ok := t.d.Offer(dispatch.Request{ID: t.n, Service: "model", Arrived: now, Objective: now.Add(time.Second), QueueDeadline: now.Add(time.Second)}, now)
	t.d.RemoveWaiting("model", t.n)
	return t.byID[v.Server.ID], ok && v.Rejected == ""
}

// ColdResult is what cold servers get.
type ColdResult struct {
	// MostInASecond is the largest number of requests that a server gets in a second.
	MostInASecond int
	// Used is the share of what the servers bear from the time on at which they serve.
	Used float64
}

// ColdServers plays gateways that get more requests than the cold servers bear.
func ColdServers(p ColdPlan, make func(p ColdPlan, index int, rnd *rand.Rand) coldGateway, seed uint64) ColdResult {
	rnd := rand.New(rand.NewPCG(seed, uint64(p.Gateways)))
	var gateways []coldGateway
	for i := range p.Gateways {
		gateways = append(gateways, make(p, i, rnd))
	}
	var res ColdResult
	var sent [coldServerCount][]time.Duration
	total, due := 0, 0.0
	for at := p.ServesFrom; at < coldServerTime; at += coldStep {
		for due += coldDemand * coldServerCount * coldServerRate * coldStep.Seconds(); due >= 1; due-- {
			i, ok := gateways[rnd.IntN(len(gateways))].offer(at)
			if !ok {
				continue
			}
			total++
			list := append(sent[i], at)
			for list[0] <= at-time.Second {
				list = list[1:]
			}
			sent[i] = list
			res.MostInASecond = max(res.MostInASecond, len(list))
		}
	}
	res.Used = float64(total) / (coldServerCount * coldServerRate * (coldServerTime - p.ServesFrom).Seconds())
	return res
}

func coldServers() Experiment {
	return Experiment{
		Name: "cold-servers",
		About: fmt.Sprintf("Gateways that share %d servers which are cold for %v and bear %v requests/s each, at %v times that demand. "+
			"A request that no server may get at once is dropped, though gateways queue it in the product.",
			coldServerCount, coldServerTime, coldServerRate, coldDemand),
		Columns: []string{"most requests of a server in a second", "used, % of what the servers bear"},
		Run: func(seed uint64) []Row {
			var rows []Row
			for _, policy := range ColdPolicies {
				for _, p := range []ColdPlan{
					{Gateways: 4}, {Gateways: 12}, {Gateways: 54}, {Gateways: 216},
					{Gateways: 54, ServesFrom: 2 * time.Second},
					{Gateways: 54, ServesFrom: 2 * time.Second, ClockError: time.Second},
				} {
					r := ColdServers(p, policy.New, seed)
					rows = append(rows, Row{fmt.Sprintf("%s/gateways=%d/serves_from=%v/clock_error=%v", policy.Name, p.Gateways, p.ServesFrom, p.ClockError),
						[]float64{float64(r.MostInASecond), 100 * r.Used}})
				}
			}
			return rows
		},
	}
}
