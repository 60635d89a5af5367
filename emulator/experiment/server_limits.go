package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
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
