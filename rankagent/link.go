package rankagent

import "time"

// Limits of what the agents of a group send over their links. The leader's link is the
// narrow place: it carries the counts of all ranks and the maps to all ranks.
const (
	// defaultLinkRate is the rate of a link in bytes per second if the settings give
	// none: 8 Mbit/s.
	defaultLinkRate = 1e6
	// maxCountsPerPoll limits the expert counts that an agent reads and sends per poll.
	// Up to twice as many are read at every second poll, and so on. At one byte per
	// count, this keeps an agent's messages below 25 KB/s (docs/CAPACITY.md).
	maxCountsPerPoll = 1000
	// countsShare is the share of the leader's link that the counts of its group may
	// take. As much is left for orders and their results, and a fifth for reports.
	countsShare = 0.4
	// maxMapTransfer is how long the maps that are on their way at one time may take on
	// the leader's link. It is a sixth of remotePrepareTimeout.
	maxMapTransfer = 50 * time.Millisecond
)

// pollsPerCounts returns how many polls pass from one reading of the expert counts to
// the next.
func pollsPerCounts(counts, groupSize int, linkRate float64) int {
	forGroup := float64(counts*groupSize) / (countsShare * linkRate * pollInterval.Seconds())
	return max(1+counts/maxCountsPerPoll, 1+int(forGroup))
}

// countsWindow is the number of polls in which the counts are taken that are sent, where
// they are not sent at each poll. Older counts would hide a shift of demand.
const countsWindow = 2

// countsPoll reports whether the n-th poll of a rank reads the counts, and whether it sends
// those since it last read them. The ranks of a group take turns.
func countsPoll(n, rank, every int) (read, send bool) {
	turn := (n + rank) % every
	return turn == 0 || turn == every-countsWindow, turn == 0
}

// maxPrepareBytes returns how many bytes of maps may be on their way at one time.
func maxPrepareBytes(linkRate float64) int {
	return int(linkRate * maxMapTransfer.Seconds())
}
