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
	windowLength  = time.Minute
	windowsPerDay = 24 * 60
	// tokensPerWindow is the number of tokens that a layer processes in one window.
	tokensPerWindow = 2e6
)

// popularity generates the load of the experts through a day. The logarithm of the
// popularity of an expert is its base level and a sine with a period of one day.
type popularity struct {
	rng         *rand.Rand
	baseLevels  [][]float64
	amplitudes  [][]float64
	phaseAngles [][]float64
	jumps       []int
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
		d.baseLevels, d.amplitudes, d.phaseAngles = append(d.baseLevels, base), append(d.amplitudes, swing), append(d.phaseAngles, phase)
	}
	for range 3 {
		d.jumps = append(d.jumps, 60+d.rng.IntN(windowsPerDay-120))
	}
	return d
}

// windowLoad returns the load of window n, with sampling noise. In the windows listed
// in jumps, up to an eighth of the experts of each layer get a new base level. It
// must be called for each window in order.
func (d *popularity) windowLoad(n int) core.ExpertLoad {
	load := make(core.ExpertLoad, len(d.baseLevels))
	for l := range load {
		if slices.Contains(d.jumps, n) {
			for range len(d.baseLevels[l]) / 8 {
				d.baseLevels[l][d.rng.IntN(len(d.baseLevels[l]))] = d.rng.NormFloat64()*0.7 + 1
			}
		}
		for e := range d.baseLevels[l] {
			angle := 2*math.Pi*float64(n)/windowsPerDay + d.phaseAngles[l][e]
			load[l] = append(load[l], math.Exp(d.baseLevels[l][e]+d.amplitudes[l][e]*math.Sin(angle)))
		}
		scale := tokensPerWindow / total(load[l])
		for e, x := range load[l] {
			x *= scale
			load[l][e] = max(0, x+math.Sqrt(x)*d.rng.NormFloat64())
		}
	}
	return load
}
