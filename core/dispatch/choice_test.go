package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/directory"
	"nutmegnotch/core/dispatch"
)

// fleet is a load on gateways that know each other's requests from reports only.
type fleet struct {
	gateways, servers, slots int
	// perSecond is the rate of all requests, served how long one runs, and interval that
	// of the reports.
	perSecond        int
	served, interval time.Duration
	// weights is the part of the requests of each gateway, equal if it is nil.
	weights []float64
}

// fleetResult is what callers and servers of a fleet have seen.
type fleetResult struct {
	sends, rejections, onTime, late, refused int
}

// event is something that happens in a simulated fleet.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play plays a load for some seconds. A server rejects what exceeds its slots, and the
// gateway tries another one.
func (f fleet) play(seed uint64) fleetResult {
	const length, objective, maxSends = 6 * time.Second, 600 * time.Millisecond, 3
	rnd := rand.New(rand.NewPCG(seed, 1))
	var queue events
	var now time.Duration
	after := func(d time.Duration, run func()) { heap.Push(&queue, event{now + d, run}) }
	gateways := make([]*dispatch.Dispatcher, f.gateways)
	dep, list := servers(f.servers, f.slots, true)
	for i := range gateways {
		gateways[i] = dispatch.New(fmt.Sprintf("z%d", i%3), seed*1000+uint64(i))
		gateways[i].SetServers(dep, list, start)
		gateways[i].SetSharers(dispatch.Sharers{Gateways: f.gateways, Index: i})
		gateways[i].SetReportInterval(f.interval)
	}
	var res fleetResult
	running := map[string]int{}
	waiting := map[uint64]dispatch.Request{}
	var send func(g int, r dispatch.Request, v dispatch.Decision)
	decide := func(g int, decisions ...dispatch.Decision) {
		for _, v := range decisions {
			r := waiting[v.RequestID]
			delete(waiting, v.RequestID)
			send(g, r, v)
		}
	}
	offer := func(g int, r dispatch.Request) {
		waiting[r.ID] = r
		if v, ok := gateways[g].Offer(r, start.Add(now)); ok {
			decide(g, v)
		}
	}
	finish := func(g int, v dispatch.Decision, o dispatch.Outcome) {
		gateways[g].Finished("s", v.Server, 100, o, start.Add(now))
		decide(g, gateways[g].DispatchWaiting(start.Add(now))...)
	}
	send = func(g int, r dispatch.Request, v dispatch.Decision) {
		if v.Rejected != "" {
			res.refused++
			return
		}
		res.sends++
		r.Tried = append(r.Tried, v.Server.ID)
		if running[v.Server.ID] >= f.slots {
			res.rejections++
			after(2*time.Millisecond, func() {
				finish(g, v, dispatch.OutcomeShed)
				if len(r.Tried) == maxSends {
					res.refused++
					return
				}
				offer(g, r)
			})
			return
		}
		running[v.Server.ID]++
		if start.Add(now).After(r.Objective) {
			res.late++
		} else {
			res.onTime++
		}
		after(time.Duration((0.5+rnd.Float64())*float64(f.served)), func() {
			running[v.Server.ID]--
			finish(g, v, dispatch.OutcomeServed)
		})
	}
	for g := range gateways {
		var report func()
		report = func() {
			load := gateways[g].LocalLoad()
			after(2*time.Millisecond, func() {
				for other, d := range gateways {
					if other != g {
						d.SetPeerLoad(fmt.Sprint(g), load, start.Add(now))
					}
				}
			})
			after(f.interval, report)
		}
		after(time.Duration(rnd.Int64N(int64(f.interval))), report)
	}
	pick := f.gatewayOf(rnd)
	id := uint64(0)
	var arrive func()
	arrive = func() {
		id++
		at := start.Add(now)
		offer(pick(), dispatch.Request{ID: id, Service: "s", Arrived: at, Objective: at.Add(objective), QueueDeadline: at.Add(2 * time.Second), Tokens: 100})
		after(time.Duration(rnd.ExpFloat64()*float64(time.Second)/float64(f.perSecond)), arrive)
	}
	after(0, arrive)
	for now < length {
		e := heap.Pop(&queue).(event)
		now = e.at
		e.run()
	}
	return res
}

// gatewayOf returns a function that draws the gateway of a request.
func (f fleet) gatewayOf(rnd *rand.Rand) func() int {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	return func() int {
		if f.weights == nil {
			return rnd.IntN(f.gateways)
		}
		x := rnd.Float64() * total
		for i, w := range f.weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return f.gateways - 1
	}
}

// Guards against gateways that all send to the servers which were the least loaded at
// the time of the last reports, so that these reject requests while others are idle.
func TestFewRejectionsByServers(t *testing.T) {
	uneven := make([]float64, 54)
	for i := range uneven {
		uneven[i] = float64(1 + i%8)
	}
	// One in 30 sends may be rejected (issue 34: under 3 in 100 on a day without faults).
	const maxRejections = 0.03
	for _, c := range []struct {
		name string
		f    fleet
	}{
		{"4 gateways", fleet{4, 12, 12, 56, time.Second, 100 * time.Millisecond, nil}},
		{"12 gateways", fleet{12, 72, 10, 268, time.Second, 100 * time.Millisecond, nil}},
		{"54 gateways", fleet{54, 192, 6, 466, time.Second, 450 * time.Millisecond, nil}},
		{"54 gateways of unequal traffic", fleet{54, 192, 6, 466, time.Second, 450 * time.Millisecond, uneven}},
		{"216 gateways", fleet{216, 768, 6, 1864, time.Second, 1800 * time.Millisecond, nil}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum fleetResult
			for seed := range uint64(2) {
				r := c.f.play(seed + 1)
				sum.sends, sum.rejections = sum.sends+r.sends, sum.rejections+r.rejections
				sum.onTime, sum.late, sum.refused = sum.onTime+r.onTime, sum.late+r.late, sum.refused+r.refused
			}
			t.Logf("%d sends, %d rejected by servers, %d served in time, %d late, %d refused", sum.sends, sum.rejections, sum.onTime, sum.late, sum.refused)
			if got := float64(sum.rejections) / float64(sum.sends); got > maxRejections {
				t.Errorf("sends rejected by servers: got %.3f, want at most %.2f", got, maxRejections)
			}
		})
	}
}

// fullDispatcher returns a dispatcher of a fleet whose gateways have reported their load.
func fullDispatcher(servers, gateways int) *dispatch.Dispatcher {
	d := dispatch.New("z0", 1)
	var list []directory.Server
	for i := range servers {
		list = append(list, directory.Server{
			BackendServer: core.BackendServer{
				ID: fmt.Sprintf("i-%08x", i), Service: "s", Slots: 6, Domain: fmt.Sprintf("z%d", i%5), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
				Place: core.RankPlace{Group: fmt.Sprintf("g%d", i/64), Rank: i % 64, Size: 64},
			},
			Usable: true,
		})
	}
	dep := &core.Deployment{Services: map[string]core.ServiceConfig{"s": {Name: "s", Engine: &core.EngineSpec{Slots: 6, BasePassTime: 18 * time.Millisecond}}}}
	d.SetServers(dep, list, start)
	d.SetSharers(dispatch.Sharers{Gateways: gateways})
	for g := range gateways {
		d.SetPeerLoad(fmt.Sprint(g), peerReport(g, servers, gateways), start)
	}
	return d
}

// peerReport returns the load of one gateway of a fleet with two requests at each server.
func peerReport(g, servers, gateways int) map[string]int {
	out := map[string]int{}
	for i := g; i < 2*servers; i += gateways {
		out[fmt.Sprintf("i-%08x", i%servers)]++
	}
	return out
}

var fleetSizes = []struct{ servers, gateways int }{{16, 4}, {48, 12}, {192, 54}, {768, 216}, {10_000, 1_600}}

func BenchmarkOffer(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%dservers-%dgateways", n.servers, n.gateways), func(b *testing.B) {
			d := fullDispatcher(n.servers, n.gateways)
			for i := 0; b.Loop(); i++ {
				v, ok := d.Offer(request(uint64(i), 0), start)
				if !ok || v.Rejected != "" {
					b.Fatalf("got %+v %t, want a server", v, ok)
				}
				d.Finished("s", v.Server, 100, dispatch.OutcomeServed, start)
			}
		})
	}
}

func BenchmarkPeerLoad(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%dservers-%dgateways", n.servers, n.gateways), func(b *testing.B) {
			d := fullDispatcher(n.servers, n.gateways)
			reports := []map[string]int{peerReport(0, n.servers, n.gateways), peerReport(1, n.servers, n.gateways)}
			for i := 0; b.Loop(); i++ {
				d.SetPeerLoad("0", reports[i%2], start)
			}
		})
	}
}
