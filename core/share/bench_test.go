package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/share"
)

// spender is an entry of a simulation.
type spender interface {
	Spend(organisation string, a core.Amount, now time.Time) (time.Duration, bool)
}

// simulate offers load times the contract to n entries for a minute, with
// exponential gaps. The i-th entry gets a part in proportion to 1/i. Requests
// that are refused don't come again. It returns the admitted part of what the
// contract and the offer permit, and the credit messages per second.
func simulate(n int, load float64, lending bool) (admitted, messages float64) {
	const rate, length, warm = 200.0, time.Minute, 10 * time.Second
	ids := make([]int, n)
	for i := range ids {
		ids[i] = i
	}
	contracts := contract(rate, 10)
	pools, entries := map[string]*share.Pool{}, make([]spender, n)
	weights, sum := make([]float64, n), 0.0
	for i := range n {
		entries[i] = share.NewStatic(contracts, n)
		if lending {
			p := share.New(fmt.Sprint(i), 0, epoch)
			p.Update(contracts, entrySet(ids...), epoch)
			pools[fmt.Sprint(i)], entries[i] = p, p
		}
		sum += 1 / float64(i+1)
		weights[i] = sum
	}
	rng := rand.New(rand.NewPCG(1, 2))
	one := core.Amount{Requests: 1, Tokens: 50}
	var offered, got, sent float64
	ask := func(p *share.Pool, q share.Ask, now time.Time) {
		sent += 2
		p.Granted(org, q.Home, q.Seq, pools[q.Home].Lend(org, q.Amount, now), now)
	}
	spend := func(i int, now time.Time) bool {
		_, ok := entries[i].Spend(org, one, now)
		if ok || !lending {
			return ok
		}
		p := pools[fmt.Sprint(i)]
		homes := p.Shortfall(org, now)
		for _, home := range homes {
			q, _ := p.AskCredit(org, home, one, now)
			ask(p, q, now)
			if _, ok := p.Spend(org, one, now); ok {
				return true
			}
		}
		if len(homes) > 0 {
			p.Dry(org, now)
		}
		return false
	}
	tick := epoch
	for now := epoch; now.Before(epoch.Add(warm + length)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / (rate * load) * float64(time.Second)))
		for lending && tick.Before(now) {
			for i := range n {
				p := pools[fmt.Sprint(i)]
				for _, q := range p.Tick(tick) {
					ask(p, q, tick)
				}
			}
			tick = tick.Add(100 * time.Millisecond)
		}
		if now.Before(epoch.Add(warm)) {
			sent = 0
		}
		at, i := rng.Float64()*sum, 0
		for weights[i] < at {
			i++
		}
		ok := spend(i, now)
		if now.After(epoch.Add(warm)) {
			offered++
			if ok {
				got++
			}
		}
	}
	return got / math.Min(offered, rate*length.Seconds()), sent / length.Seconds()
}

func BenchmarkAdmitted(b *testing.B) {
	for _, n := range []int{3, 16, 64} {
		for _, load := range []float64{0.5, 0.9, 1.5} {
			for _, lending := range []bool{false, true} {
				b.Run(fmt.Sprintf("entries=%d/load=%v/lending=%v", n, load, lending), func(b *testing.B) {
					for b.Loop() {
						admitted, messages := simulate(n, load, lending)
						b.ReportMetric(100*admitted, "%admitted")
						b.ReportMetric(messages, "messages/s")
					}
				})
			}
		}
	}
}

// BenchmarkMemory measures an entry that is a home of every organisation and
// lends to three others.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{100, 400, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			contracts := map[string]core.Contract{}
			for i := range n {
				c := contract(100, 20)[org]
				contracts[fmt.Sprint("organisation ", i)] = c
			}
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := share.New("0", 0, epoch)
				p.Update(contracts, entrySet(0, 1, 2, 3), epoch)
				now := epoch.Add(20 * time.Second)
				for name := range contracts {
					p.Spend(name, core.Amount{Requests: 1}, now)
					for j := range 3 {
						p.LendSlots(name, fmt.Sprint(j), 1, 2, now)
						p.Borrowed(name, core.Amount{Requests: 1}, now, now)
					}
				}
				p.Tick(now)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/organisation")
				runtime.KeepAlive(p)
			}
		})
	}
}
