package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core/dispatch"
)

// coldFleet is a number of gateways that share one cold server.
type coldFleet struct {
	gateways int
	rate     float64
	// clockError is the largest difference between the time of day at a gateway and the
	// true one.
	clockError time.Duration
	// servesFrom is when the group of the server begins to serve.
	servesFrom time.Duration
	// unknownUntil is when the gateways learn how many they are.
	unknownUntil time.Duration
}

// play offers each gateway a request every 10 ms while the server is cold. It returns when
// requests were sent to the server.
func (f coldFleet) play(seed uint64) []time.Duration {
	const step = 10 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 1))
	var list []*dispatch.Dispatcher
	var clocks []time.Time
	for i := range f.gateways {
		d := dispatch.New("z0", 1000*seed+uint64(i))
		d.SetSharers(dispatch.Sharers{})
		clock := start.Add(time.Duration((2*rnd.Float64() - 1) * float64(f.clockError)))
		dep, servers := servers(1, 1000, false)
		cfg := dep.Services["s"]
		cfg.ColdRequestsPerSecond = f.rate
		dep.Services["s"] = cfg
		servers[0].ColdUntil = clock.Add(coldTime)
		d.SetServers(dep, servers, clock)
		list, clocks = append(list, d), append(clocks, clock)
	}
	var sent []time.Duration
	for at := time.Duration(0); at < coldTime; at += step {
		for i, d := range list {
			if at >= f.unknownUntil {
				d.SetSharers(dispatch.Sharers{Gateways: f.gateways, Index: i})
			}
			if at < f.servesFrom {
				continue
			}
			r := request(uint64(at), at)
			r.Objective, r.QueueDeadline = clocks[i].Add(at+time.Second), clocks[i].Add(at+2*time.Second)
			if v, ok := d.Offer(r, clocks[i].Add(at)); ok && v.Rejected == "" {
				sent = append(sent, at)
			}
			d.RemoveWaiting("s", r.ID)
		}
	}
	return sent
}

const coldTime = 8 * time.Second

// BenchmarkOfferToColdServers measures a choice among servers of which few may get a request
// now.
func BenchmarkOfferToColdServers(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%dservers-%dgateways", n.servers, n.gateways), func(b *testing.B) {
			d := dispatch.New("z0", 1)
			d.SetSharers(dispatch.Sharers{Gateways: n.gateways})
			dep, list := servers(n.servers, 1000, false)
			cfg := dep.Services["s"]
			cfg.ColdRequestsPerSecond = 14
			dep.Services["s"] = cfg
			for i := range list {
				list[i].ColdUntil = start.Add(time.Hour)
			}
			d.SetServers(dep, list, start)
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				d.Offer(request(uint64(i), time.Duration(i)*time.Millisecond), now)
				d.RemoveWaiting("s", uint64(i))
			}
		})
	}
}

// Guards against gateways that together send a cold server more in a second than it bears,
// or much less.
func TestManyGatewaysShareAColdServer(t *testing.T) {
	cases := []struct {
		name  string
		fleet coldFleet
	}{
		{"one gateway", coldFleet{gateways: 1, rate: 14}},
		{"few gateways", coldFleet{gateways: 5, rate: 14}},
		{"12 gateways", coldFleet{gateways: 12, rate: 14}},
		{"54 gateways", coldFleet{gateways: 54, rate: 14}},
		{"54 gateways, the group serves late", coldFleet{gateways: 54, rate: 14, servesFrom: 3 * time.Second}},
		{"54 gateways, learned late", coldFleet{gateways: 54, rate: 14, unknownUntil: 3 * time.Second}},
		{"54 gateways, clocks 50 ms off", coldFleet{gateways: 54, rate: 14, clockError: 50 * time.Millisecond}},
		{"216 gateways, low rate, the group serves late", coldFleet{gateways: 216, rate: 4, servesFrom: 3 * time.Second}},
	}
	for _, c := range cases {
		// The platform allows 1.5 times the rate and 5 more in any second.
		allowed := int(1.5*c.fleet.rate + 5)
		for seed := range uint64(20) {
			sent := c.fleet.play(seed)
			for i := range sent {
				if i >= allowed && sent[i]-sent[i-allowed] < time.Second {
					t.Fatalf("%s, seed %d: requests in the second before %v: got more than %d", c.name, seed, sent[i], allowed)
				}
			}
			from := max(c.fleet.servesFrom, c.fleet.unknownUntil)
			if got := float64(len(sent)) / (coldTime - from).Seconds(); got < c.fleet.rate/2 {
				t.Errorf("%s, seed %d: requests a second: got %.1f, want at least %.1f", c.name, seed, got, c.fleet.rate/2)
			}
		}
	}
}
