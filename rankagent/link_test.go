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

// Guards against ranks that all send their counts at the same poll, and against counts of
// a time that is longer than it takes demand to shift.
func TestRanksTakeTurnsWithTheirCounts(t *testing.T) {
	for _, c := range []struct{ counts, ranks, every, window int }{
		{288, 12, 1, 1},
		{1536, 24, 3, 2},
		{3072, 64, 14, 2},
	} {
		const rate = 0.75e6
		if got := pollsPerCounts(c.counts, c.ranks, rate); got != c.every {
			t.Errorf("%d ranks: counts every %d polls, want %d", c.ranks, got, c.every)
		}
		lastRead := make([]int, c.ranks)
		for n := range 3 * c.every {
			sent := 0
			for rank := range c.ranks {
				read, send := countsPoll(n, rank, c.every)
				if send {
					sent++
					if got := n - lastRead[rank]; n >= c.every && got != c.window {
						t.Errorf("%d ranks: counts of %d polls, want %d", c.ranks, got, c.window)
					}
				}
				if read {
					lastRead[rank] = n
				}
			}
			if got, most := sent, (c.ranks+c.every-1)/c.every; got > most {
				t.Errorf("%d ranks, poll %d: got counts of %d ranks, want at most %d", c.ranks, n, got, most)
			}
		}
	}
}
