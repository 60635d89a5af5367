package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// The course of the experiment: entries join, one dies, one is cut off, and at
// last all load comes to one entry.
const (
	courseRate  = 200.0
	courseLoad  = 1.5
	joinAt      = 20 * time.Second
	killAt      = 40 * time.Second
	cutAt       = 60 * time.Second
	healAt      = 80 * time.Second
	busyAt      = 100 * time.Second
	courseEnd   = 130 * time.Second
	courseTick  = 100 * time.Millisecond
	noticeAfter = 2 * time.Second
	// staleAfter is when an entry that is cut off stops admitting.
	staleAfter = 3 * time.Second
)

var courseEnds = []time.Duration{joinAt, killAt, cutAt, healAt, busyAt, courseEnd}

// course is the state of one run. An entry with index i joins, dies or is cut
// off as alive and reachable tell.
type course struct {
	kind    string
	now     time.Duration
	pools   []*share.Pool
	statics []*share.Static
	starts  []float64 // admissions in each tenth of a second
}

func (c *course) alive(i int) bool {
	return (i < 3 || c.now >= joinAt) && (i != 0 || c.now < killAt)
}

func (c *course) cut(i int) bool { return i == 1 && c.now >= cutAt && c.now < healAt }

// set is the entry set in force at a time.
func courseSet(at time.Duration) []int {
	switch {
	case at < joinAt+noticeAfter:
		return []int{0, 1, 2}
	case at < killAt+noticeAfter:
		return []int{0, 1, 2, 3, 4}
	}
	return []int{1, 2, 3, 4}
}

// update tells entries of changed sets, each at a time of its own within 3 s.
func (c *course) update(contracts map[string]core.Contract, delays []time.Duration) {
	for i := range c.pools {
		was, is := courseSet(c.now-delays[i]-courseTick), courseSet(c.now-delays[i])
		if c.now == 0 || c.alive(i) && len(was) != len(is) {
			c.pools[i].Update(contracts, entrySet(is...), epoch.Add(c.now))
			c.statics[i] = share.NewStatic(contracts, len(is))
			if c.kind == "local" {
				c.statics[i] = share.NewStatic(contracts, 1)
			}
		}
	}
}

// ask carries one message and its answer, unless one of the two is unreachable.
func (c *course) ask(i int, q share.Ask, now time.Time) {
	var home int
	fmt.Sscan(q.Home, &home)
	if !c.alive(home) || c.cut(home) != c.cut(i) || c.cut(i) && home != i {
		return
	}
	c.pools[i].Granted(org, q.Home, q.Seq, c.pools[home].Lend(org, q.Amount, now), now)
}

func (c *course) spend(i int, now time.Time) bool {
	one := core.Amount{Requests: 1, Tokens: 50}
	if c.kind != "lending" {
		_, ok := c.statics[i].Spend(org, one, now)
		return ok
	}
	p := c.pools[i]
	if _, ok := p.Spend(org, one, now); ok {
		return true
	}
	homes := p.Shortfall(org, now)
	for _, home := range homes {
		if q, ok := p.AskCredit(org, home, one, now); ok {
			c.ask(i, q, now)
		}
		if _, ok := p.Spend(org, one, now); ok {
			return true
		}
	}
	if len(homes) > 0 {
		p.Dry(org, now)
	}
	return false
}

func runCourse(kind string, seed uint64) *course {
	rng := rand.New(rand.NewPCG(seed, 1))
	contracts := contract(courseRate, 1000)
	c := &course{kind: kind, starts: make([]float64, courseEnd/courseTick)}
	var delays []time.Duration
	for i := range 5 {
		c.pools = append(c.pools, share.New(fmt.Sprint(i), 0, epoch))
		c.statics = append(c.statics, nil)
		delays = append(delays, time.Duration(rng.Int64N(30))*courseTick)
	}
	next := time.Duration(0)
	for ; c.now < courseEnd; c.now += courseTick {
		c.update(contracts, delays)
		for i, p := range c.pools {
			if kind != "lending" || !c.alive(i) {
				continue
			}
			for _, q := range p.Tick(epoch.Add(c.now)) {
				c.ask(i, q, epoch.Add(c.now))
			}
		}
		for ; next < c.now+courseTick; next += time.Duration(rng.ExpFloat64() / (courseRate * courseLoad) * float64(time.Second)) {
			i := rng.IntN(5)
			for !c.alive(i) {
				i = rng.IntN(5)
			}
			if c.now >= busyAt {
				i = 3
			}
			// The offer of an entry that has stopped admitting is lost.
			if c.cut(i) && c.now >= cutAt+staleAfter {
				continue
			}
			if c.spend(i, epoch.Add(next)) {
				c.starts[c.now/courseTick]++
			}
		}
	}
	return c
}

// most returns the highest sum of admissions in a window, as a part of what the
// contract permits in it.
func (c *course) most(window time.Duration) float64 {
	n, sum, most := int(window/courseTick), 0.0, 0.0
	for i, v := range c.starts {
		sum += v
		if i >= n {
			sum -= c.starts[i-n]
		}
		most = max(most, sum)
	}
	return most / (courseRate*window.Seconds() + share.Burst(contract(courseRate, 1000)[org]).Requests)
}

// soon returns the time from busyAt until the busy entry gets nine tenths of
// the rate for a second.
func (c *course) soon() float64 {
	from := int(busyAt / courseTick)
	for i := from + 10; i < len(c.starts); i++ {
		sum := 0.0
		for _, v := range c.starts[i-10 : i] {
			sum += v
		}
		if sum >= 0.9*courseRate {
			return float64(i-from-10) * courseTick.Seconds()
		}
	}
	return math.Inf(1)
}

// Guards against more admissions than the contract permits while entries join,
// die or are cut off.
func TestContractOverCourse(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		c := runCourse("lending", seed)
		for _, w := range []time.Duration{time.Second, 10 * time.Second} {
			if got := c.most(w); got > 1 {
				t.Errorf("seed %d: admitted in %v: got %.3f of the contract, want at most 1", seed, w, got)
			}
		}
	}
}

// BenchmarkContractCourse prints the admitted part of the contract in each
// phase over 5 seeds.
func BenchmarkContractCourse(b *testing.B) {
	for _, kind := range []string{"lending", "static", "local"} {
		for range b.N {
			columns := make([][]float64, len(courseEnds)+3)
			for seed := uint64(1); seed <= 5; seed++ {
				c := runCourse(kind, seed)
				from := time.Duration(0)
				for i, end := range courseEnds {
					sum := 0.0
					for _, v := range c.starts[from/courseTick : end/courseTick] {
						sum += v
					}
					columns[i] = append(columns[i], 100*sum/(courseRate*(end-from).Seconds()))
					from = end
				}
				columns[6] = append(columns[6], 100*c.most(time.Second))
				columns[7] = append(columns[7], 100*c.most(10*time.Second))
				columns[8] = append(columns[8], c.soon())
			}
			fmt.Printf("| %s", kind)
			for _, x := range columns {
				mean, square := 0.0, 0.0
				for _, v := range x {
					mean += v / float64(len(x))
				}
				for _, v := range x {
					square += (v - mean) * (v - mean) / float64(len(x))
				}
				fmt.Printf(" | %.1f ± %.1f", mean, math.Sqrt(square))
			}
			fmt.Println(" |")
		}
	}
}
