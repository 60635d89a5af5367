package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

const (
	dayWindow  = time.Minute
	dayWindows = 24 * 60
	// dayTokens are the tokens of a layer in one window.
	dayTokens = 2e6
)

// popularity is that of experts through a day, from a seed.
type popularity struct {
	rng   *rand.Rand
	base  [][]float64
	swing [][]float64
	phase [][]float64
	jumps []int
}

func newPopularity(seed uint64, s expertmap.Shape) *popularity {
	d := &popularity{rng: rand.New(rand.NewPCG(seed, 7))}
	for range s.Layers {
		var base, swing, phase []float64
		for range s.Experts {
			base = append(base, d.rng.NormFloat64()*0.7)
			swing = append(swing, d.rng.Float64()*0.8)
			phase = append(phase, d.rng.Float64()*2*math.Pi)
		}
		d.base, d.swing, d.phase = append(d.base, base), append(d.swing, swing), append(d.phase, phase)
	}
	for range 3 {
		d.jumps = append(d.jumps, 60+d.rng.IntN(dayWindows-120))
	}
	return d
}

// window returns the load of one window: slow drift, sampling noise and, at a
// jump, a new popularity for an eighth of the experts.
func (d *popularity) window(n int) core.ExpertLoad {
	load := make(core.ExpertLoad, len(d.base))
	for l := range load {
		if slices.Contains(d.jumps, n) {
			for range len(d.base[l]) / 8 {
				d.base[l][d.rng.IntN(len(d.base[l]))] = d.rng.NormFloat64()*0.7 + 1
			}
		}
		for e := range d.base[l] {
			angle := 2*math.Pi*float64(n)/dayWindows + d.phase[l][e]
			load[l] = append(load[l], math.Exp(d.base[l][e]+d.swing[l][e]*math.Sin(angle)))
		}
		scale := dayTokens / total(load[l])
		for e, x := range load[l] {
			x *= scale
			load[l][e] = max(0, x+math.Sqrt(x)*d.rng.NormFloat64())
		}
	}
	return load
}
