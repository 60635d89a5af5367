package systemtest

import (
	"fmt"
	"testing"

	emurank "nutmegnotch/emulator/rank"
)

// stepVersions are the generation and map version with which a rank ran a step.
type stepVersions struct{ generation, mapVersion int64 }

// checkGroup checks the histories of all ranks of a group and returns the
// violations. All ranks must use one generation and one map in a step. Each rank
// must run its steps in order and without a gap within a generation. All ranks
// must run the same steps of a generation that has ended, except for a last step
// that some had not finished.
func checkGroup(histories [][]emurank.StepRecord) []string {
	var violations []string
	used, usedBy := map[int64]stepVersions{}, map[int64]int{}
	for rank, h := range histories {
		violations = append(violations, checkStepOrder(rank, h)...)
		for _, e := range h {
			use := stepVersions{e.Generation, e.MapVersion}
			if other, ok := used[e.Step]; ok && other != use {
				violations = append(violations, fmt.Sprintf("step %d: rank %d ran generation %d with map %d, rank %d generation %d with map %d",
					e.Step, rank, e.Generation, e.MapVersion, usedBy[e.Step], other.generation, other.mapVersion))
				continue
			}
			used[e.Step], usedBy[e.Step] = use, rank
		}
	}
	return append(violations, checkStepRanges(histories)...)
}

// checkStepOrder checks that a rank ran its steps in order: consecutive steps
// within a generation, and higher steps in a later generation.
func checkStepOrder(rank int, h []emurank.StepRecord) []string {
	var violations []string
	for i := 1; i < len(h); i++ {
		last, e := h[i-1], h[i]
		inOrder := e.Step == last.Step+1 && e.Generation == last.Generation || e.Step > last.Step && e.Generation > last.Generation
		if !inOrder {
			violations = append(violations, fmt.Sprintf("rank %d ran step %d of generation %d after step %d of generation %d",
				rank, e.Step, e.Generation, last.Step, last.Generation))
		}
	}
	return violations
}

// stepRange is the first and last step of a generation.
type stepRange struct{ first, last int64 }

// checkStepRanges checks that all ranks ran the same steps of each generation as
// rank 0. A rank may lack the newest generation, and any generation of at most two
// steps. The last steps of a generation that has ended may differ by one.
func checkStepRanges(histories [][]emurank.StepRecord) []string {
	var violations []string
	newest := int64(0)
	spans := make([]map[int64]stepRange, len(histories))
	for rank, h := range histories {
		spans[rank] = map[int64]stepRange{}
		for _, e := range h {
			s, ok := spans[rank][e.Generation]
			if !ok {
				s.first = e.Step
			}
			s.last = e.Step
			spans[rank][e.Generation] = s
			newest = max(newest, e.Generation)
		}
	}
	for rank := range spans {
		for g, s := range spans[0] {
			o, ok := spans[rank][g]
			short := s.last-s.first <= 1
			switch {
			case !ok && short && g != newest, g == newest && !ok:
			case !ok || o.first != s.first:
				violations = append(violations, fmt.Sprintf("generation %d: rank %d began at step %d, rank 0 at %d", g, rank, o.first, s.first))
			case g != newest && (o.last > s.last+1 || o.last < s.last-1):
				violations = append(violations, fmt.Sprintf("generation %d: rank %d ended with step %d, rank 0 with %d", g, rank, o.last, s.last))
			}
		}
	}
	return violations
}

// Guards against a checker that accepts two maps in one step, a step that ran
// twice, a missing step or a rank that ran fewer steps than the others.
func TestGroupCheckerRejectsPlantedViolations(t *testing.T) {
	t.Parallel()
	good := func() [][]emurank.StepRecord {
		var all [][]emurank.StepRecord
		for range 3 {
			var h []emurank.StepRecord
			for s := range int64(20) {
				h = append(h, emurank.StepRecord{Generation: 1, Step: s, MapVersion: 1 + s/10})
			}
			for s := range int64(20) {
				h = append(h, emurank.StepRecord{Generation: 2, Step: 200 + s, MapVersion: 3})
			}
			all = append(all, h)
		}
		return all
	}
	if got := checkGroup(good()); len(got) != 0 {
		t.Fatalf("correct history: got %v, want no violation", got)
	}
	tests := []struct {
		name  string
		plant func(h [][]emurank.StepRecord)
	}{
		{"two maps in one step", func(h [][]emurank.StepRecord) { h[1][10].MapVersion = 1 }},
		{"two maps in the last step", func(h [][]emurank.StepRecord) { h[2][39].MapVersion = 4 }},
		{"two generations in one step", func(h [][]emurank.StepRecord) { h[1][39].Generation = 3 }},
		{"step run twice", func(h [][]emurank.StepRecord) { h[0][5] = h[0][4] }},
		{"step left out", func(h [][]emurank.StepRecord) { h[1] = append(h[1][:7], h[1][8:]...) }},
		{"steps of a new generation below old ones", func(h [][]emurank.StepRecord) {
			for r := range h {
				for i := 20; i < 40; i++ {
					h[r][i].Step -= 195
				}
			}
		}},
		{"rank that ended a generation early", func(h [][]emurank.StepRecord) { h[2] = append(h[2][:15], h[2][20:]...) }},
		{"rank that left out a generation", func(h [][]emurank.StepRecord) { h[2] = h[2][20:] }},
	}
	for _, tt := range tests {
		h := good()
		tt.plant(h)
		if len(checkGroup(h)) == 0 {
			t.Errorf("%s: got no violation, want one", tt.name)
		}
	}
}
