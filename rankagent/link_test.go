package rankagent

import "testing"

// Guards against counts that fill the link of a large group's leader, so that its
// orders time out.
func TestCountsOfAGroupFitTheLinkOfItsLeader(t *testing.T) {
	cases := []struct {
		counts, size int
		linkRate     float64
		want         int
	}{
		{288, 12, 2.5e6, 1},
		{1536, 24, 1e6, 2},
		{2016, 63, 1e6, 7},
		{3072, 64, 0.75e6, 14},
		{3072, 256, 0.75e6, 53},
		{0, 0, 1e6, 1},
	}
	for _, tc := range cases {
		got := pollsPerCounts(tc.counts, tc.size, tc.linkRate)
		if got != tc.want {
			t.Errorf("%d counts of %d ranks at %v B/s: read at every poll number %d, want %d", tc.counts, tc.size, tc.linkRate, got, tc.want)
		}
		if rate := float64(tc.counts*tc.size) / (float64(got) * pollInterval.Seconds()); rate > countsShare*tc.linkRate {
			t.Errorf("%d counts of %d ranks: got %.0f B/s, want at most %.0f", tc.counts, tc.size, rate, countsShare*tc.linkRate)
		}
	}
}
