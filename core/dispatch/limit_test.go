package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core/dispatch"
	"nutmegnotch/core/ratelimit"
)

// limitFleet is a number of gateways before servers of which the first names a limit.
type limitFleet struct {
	gateways, servers int
	limit             float64
	// demand is the requests a second of all gateways together; uneven gives one gateway
	// 9 of 10.
	demand float64
	uneven bool
	// lost is the share of messages between gateways that are lost.
	lost float64
	// homeEndsAt is when the first home falls silent; the others take the next one a second
	// later. bothUntil is until when two gateways take themselves for the home.
	homeEndsAt, bothUntil time.Duration
	// frozen is when a gateway that is not the home stands still for 3 s.
	frozen time.Duration
}

// limitMail is a message that is delivered at a time.
type limitMail struct {
	at      time.Duration
	deliver func(now time.Time)
}

const (
	limitPlayTime = 24 * time.Second
	limitFrom     = 4 * time.Second
	limitMailTime = 3 * time.Millisecond
	limitTick     = 20 * time.Millisecond
	limitedServer = "s0"
	freezeTime    = 3 * time.Second
)

// limitCourse is the course of a play.
type limitCourse struct {
	limitFleet
	rnd     *rand.Rand
	list    []*dispatch.Dispatcher
	mail    []limitMail
	waiting map[uint64]bool
	// sent is when requests went to the server with the limit, rejected counts requests
	// that were turned away, and late those of them that had waited.
	sent           []time.Duration
	rejected, late int
	after          []time.Duration
	arrived        map[uint64]time.Duration
}

func (f limitFleet) play(seed uint64) *limitCourse {
	c := &limitCourse{limitFleet: f, rnd: rand.New(rand.NewPCG(seed, 2)), waiting: map[uint64]bool{}, arrived: map[uint64]time.Duration{}}
	for i := range f.gateways {
		d := dispatch.New("z0", 1000*seed+uint64(i))
		d.SetSharers(dispatch.Sharers{Gateways: f.gateways, Index: i})
		dep, list := servers(f.servers, 1000, false)
		d.SetServers(dep, list, start)
		d.Limits().State(ratelimit.Statement{Process: ratelimit.Process{ServerID: limitedServer}, Rate: f.limit, Named: true, Sent: start}, start)
		c.list = append(c.list, d)
		c.setHome(i, 0)
	}
	c.run()
	return c
}

func (c *limitCourse) setHome(gateway, home int) {
	c.list[gateway].Limits().SetHome(ratelimit.Process{ServerID: limitedServer}, ratelimit.Home{Address: fmt.Sprint(home), Self: gateway == home, Part: 1})
}

func (c *limitCourse) run() {
	id := uint64(0)
	for at := time.Duration(0); at < limitPlayTime; at += time.Millisecond {
		now := start.Add(at)
		c.changeHomes(at)
		for len(c.mail) > 0 && c.mail[0].at <= at {
			m := c.mail[0]
			c.mail = c.mail[1:]
			m.deliver(now)
		}
		for i, d := range c.list {
			if at%limitTick == time.Duration(i)*time.Millisecond%limitTick && !c.stands(i, at) && d.Waiting() > 0 {
				c.decided(i, at, d.DispatchWaiting(now)...)
			}
		}
		if c.rnd.Float64() < c.demand/1000 {
			i := c.rnd.IntN(c.gateways)
			if c.uneven && c.rnd.Float64() < 0.9 {
				i = c.gateways - 1
			}
			if c.stands(i, at) {
				continue
			}
			id++
			c.arrived[id] = at
			r := request(id, at)
			if v, ok := c.list[i].Offer(r, now); ok {
				c.decided(i, at, v)
			}
			c.ask(i, at)
		}
	}
}

// stands reports whether a gateway does not run.
func (c *limitCourse) stands(i int, at time.Duration) bool {
	return c.homeEndsAt > 0 && i == 0 && at >= c.homeEndsAt || c.frozen > 0 && i == 1 && at >= c.frozen && at < c.frozen+freezeTime
}

func (c *limitCourse) changeHomes(at time.Duration) {
	switch {
	case c.homeEndsAt > 0 && at == c.homeEndsAt+time.Second, c.bothUntil > 0 && at == c.bothUntil-2*time.Second:
		for i := 1; i < c.gateways; i++ {
			if c.homeEndsAt > 0 || i%2 == 1 {
				c.setHome(i, 1)
			}
		}
	case c.bothUntil > 0 && at == c.bothUntil:
		for i := range c.gateways {
			c.setHome(i, 1)
		}
	}
}

// decided records decisions, and ends the requests at once.
func (c *limitCourse) decided(i int, at time.Duration, list ...dispatch.Decision) {
	for _, v := range list {
		if v.Rejected != "" {
			c.rejected++
			c.after = append(c.after, v.RetryAfter)
			if at-c.arrived[v.RequestID] > 100*time.Millisecond {
				c.late++
			}
			continue
		}
		if v.Server.ID == limitedServer {
			c.sent = append(c.sent, at)
		}
		c.list[i].Finished("s", v.Server, 0, dispatch.OutcomeServed, start.Add(at))
	}
	c.ask(i, at)
}

func (c *limitCourse) send(at time.Duration, to int, deliver func(now time.Time)) {
	if c.rnd.Float64() < c.lost {
		return
	}
	at += limitMailTime
	if c.frozen > 0 && c.stands(to, at) {
		// It reads what has come in when it runs again, after the rest of the mail.
		at = c.frozen + freezeTime
		c.mail = append(c.mail, limitMail{at, deliver})
		return
	}
	if c.stands(to, at) {
		return
	}
	i := len(c.mail)
	for i > 0 && c.mail[i-1].at > at {
		i--
	}
	c.mail = append(c.mail[:i], append([]limitMail{{at, deliver}}, c.mail[i:]...)...)
}

// ask sends the questions of a gateway, and the answers back.
func (c *limitCourse) ask(i int, at time.Duration) {
	d := c.list[i]
	for _, a := range d.Limits().Asks(start.Add(at)) {
		home := 0
		if a.Home != "0" {
			home = 1
		}
		c.send(at, home, func(now time.Time) {
			n, wait := c.list[home].Limits().Lend(a.Process, a.Count, now)
			c.send(now.Sub(start), i, func(now time.Time) {
				d.Limits().Granted(a.Process, a.Seq, n, wait, now)
				c.decided(i, now.Sub(start), d.DispatchWaiting(now)...)
			})
		})
	}
}

// Guards against gateways that together send a server more than the rate limit that it has
// named, or much less, however many they are, and whatever happens to its home.
func TestManyGatewaysShareALimit(t *testing.T) {
	cases := []struct {
		name  string
		fleet limitFleet
		// used is the least part of the limit that is used.
		used float64
	}{
		{"one gateway", limitFleet{gateways: 1, servers: 3, limit: 10, demand: 120}, 0.5},
		{"4 gateways", limitFleet{gateways: 4, servers: 3, limit: 10, demand: 120}, 0.5},
		{"4 gateways, nearly all callers at one", limitFleet{gateways: 4, servers: 3, limit: 10, demand: 120, uneven: true}, 0.5},
		{"12 gateways", limitFleet{gateways: 12, servers: 3, limit: 10, demand: 120}, 0.5},
		{"54 gateways", limitFleet{gateways: 54, servers: 3, limit: 10, demand: 200}, 0.5},
		{"216 gateways", limitFleet{gateways: 216, servers: 3, limit: 10, demand: 200}, 0.5},
		{"54 gateways, low limit", limitFleet{gateways: 54, servers: 3, limit: 1, demand: 120}, 0.5},
		{"216 gateways, low limit", limitFleet{gateways: 216, servers: 3, limit: 1, demand: 120}, 0.5},
		{"54 gateways, 40 servers", limitFleet{gateways: 54, servers: 40, limit: 2, demand: 400}, 0.5},
		{"only server", limitFleet{gateways: 4, servers: 1, limit: 20, demand: 120}, 0.5},
		{"only server, 54 gateways", limitFleet{gateways: 54, servers: 1, limit: 20, demand: 120}, 0.5},
		{"only server, low limit", limitFleet{gateways: 54, servers: 1, limit: 1, demand: 60}, 0.5},
		{"only server, nearly all callers at one", limitFleet{gateways: 12, servers: 1, limit: 20, demand: 120, uneven: true}, 0.5},
		{"no requests", limitFleet{gateways: 4, servers: 3, limit: 0, demand: 120}, 0},
		{"messages are lost", limitFleet{gateways: 12, servers: 3, limit: 10, demand: 120, lost: 0.3}, 0.5},
		{"home falls silent", limitFleet{gateways: 12, servers: 3, limit: 10, demand: 120, homeEndsAt: 10 * time.Second}, 0.5},
		{"two homes for two seconds", limitFleet{gateways: 12, servers: 3, limit: 10, demand: 120, bothUntil: 12 * time.Second}, 0.5},
		{"a gateway stands still", limitFleet{gateways: 4, servers: 1, limit: 20, demand: 120, frozen: 10 * time.Second}, 0.5},
	}
	for _, c := range cases {
		for seed := range uint64(5) {
			got := c.fleet.play(seed)
			allowed, n := int(6*c.fleet.limit+5), 0
			for i, at := range got.sent {
				if i >= allowed && at > limitFrom && at-got.sent[i-allowed] < 4*time.Second {
					t.Fatalf("%s, seed %d: requests in the 4 s before %v: got more than %d", c.name, seed, at, allowed)
				}
				if at >= limitFrom {
					n++
				}
			}
			if got, want := float64(n)/(limitPlayTime-limitFrom).Seconds(), c.used*c.fleet.limit; got < want {
				t.Errorf("%s, seed %d: requests a second: got %.1f, want at least %.1f", c.name, seed, got, want)
			}
			if c.fleet.servers > 1 && got.rejected > 0 {
				t.Errorf("%s, seed %d: rejected requests: got %d, want none, since other servers are free", c.name, seed, got.rejected)
			}
			if got.late > got.rejected/10 {
				t.Errorf("%s, seed %d: rejected after more than 100 ms: got %d of %d, want at most a tenth", c.name, seed, got.late, got.rejected)
			}
		}
	}
}

// Guards against callers of the only server that come back all at once.
func TestCallersOfALimitedServerReturnOneByOne(t *testing.T) {
	got := limitFleet{gateways: 4, servers: 1, limit: 20, demand: 120}.play(1)
	const window = 100 * time.Millisecond
	bins := map[time.Duration]int{}
	for _, after := range got.after {
		if after < window || after > 2500*time.Millisecond {
			t.Fatalf("Retry-After: got %v, want 100ms to 2.5s", after)
		}
		bins[after/window]++
	}
	for bin, n := range bins {
		if n > len(got.after)/4 {
			t.Errorf("Retry-After of %v: got %d of %d, want at most a quarter in %v", bin*window, n, len(got.after), window)
		}
	}
}

// BenchmarkOfferToLimitedServers measures a choice among servers that all name limits, of
// which few may get a request now.
func BenchmarkOfferToLimitedServers(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("%dservers-%dgateways", n.servers, n.gateways), func(b *testing.B) {
			d := dispatch.New("z0", 1)
			d.SetSharers(dispatch.Sharers{Gateways: n.gateways})
			dep, list := servers(n.servers, 1000, false)
			d.SetServers(dep, list, start)
			for _, sv := range list {
				p := ratelimit.Process{ServerID: sv.ID}
				d.Limits().State(ratelimit.Statement{Process: p, Rate: 2, Named: true, Sent: start}, start)
				d.Limits().SetHome(p, ratelimit.Home{Address: "other", Part: 1})
			}
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				d.Offer(request(uint64(i), time.Duration(i)*time.Millisecond), now)
				d.RemoveWaiting("s", uint64(i))
				d.Limits().Asks(now)
			}
		})
	}
}

// Guards against requests that reach a server with a rate limit on a way that needs no
// permit.
func TestEverySendNeedsAPermit(t *testing.T) {
	process := ratelimit.Process{ServerID: limitedServer}
	cases := []struct {
		name   string
		change func(d *dispatch.Dispatcher, r *dispatch.Request)
	}{
		{"first try", func(*dispatch.Dispatcher, *dispatch.Request) {}},
		{"try after a failure", func(_ *dispatch.Dispatcher, r *dispatch.Request) { r.Tried = []string{"s1"} }},
		{"retry of a caller", func(_ *dispatch.Dispatcher, r *dispatch.Request) { r.CallerRetry = true }},
		{"resumed stream", func(_ *dispatch.Dispatcher, r *dispatch.Request) { r.Resumed, r.Priority = true, -1 }},
		{"probe of a group", func(d *dispatch.Dispatcher, r *dispatch.Request) {
			for range 3 {
				d.Finished("s", backend(limitedServer), 0, dispatch.OutcomeShed, start)
			}
			r.Arrived = start.Add(time.Second)
		}},
		{"queued", func(d *dispatch.Dispatcher, _ *dispatch.Request) { d.Offer(request(1, 0), start) }},
	}
	for _, c := range cases {
		for _, held := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, %d permits", c.name, held), func(t *testing.T) {
				d := newDispatcher(1, 12, true)
				d.Limits().State(ratelimit.Statement{Process: process, Rate: 1, Named: true, Sent: start}, start)
				d.Limits().SetHome(process, ratelimit.Home{Address: "other", Part: 1})
				r := request(2, time.Second)
				c.change(d, &r)
				now := start.Add(time.Second)
				if held > 0 {
					d.Limits().Admits(process, 3, now)
					a := d.Limits().Asks(now)
					if len(a) != 1 {
						t.Fatalf("questions: got %v, want one", a)
					}
					d.Limits().Granted(process, a[0].Seq, held, time.Minute, now)
				}
				got := 0
				for id := range uint64(3) {
					r.ID = 10 + id
					if v, ok := d.Offer(r, now); ok && v.Rejected == "" {
						got++
					}
				}
				for _, v := range d.DispatchWaiting(now.Add(10 * time.Millisecond)) {
					if v.Rejected == "" {
						got++
					}
				}
				if got != held {
					t.Errorf("requests sent with %d permits: got %d", held, got)
				}
			})
		}
	}
}
