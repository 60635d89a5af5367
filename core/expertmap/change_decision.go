package expertmap

// Settings of the decision whether a change of map pays.
const (
	// leastSkew is the skew below which the map is left as it is: a change that is
	// under way when demand shifts holds up the one that is needed then.
	leastSkew = 1.25
	// leastRunning is the number of requests for each rank below which passes are
	// short whatever the map.
	leastRunning = 2.0
	// leastCut is the part of the skew above 1 that a change has to take away.
	leastCut = 0.2
	// staleGain is the part of the skew that a change from before a shift of
	// demand may leave. A better one waits for it.
	staleGain = 0.7
)

// ShouldStartChange reports whether a change of map pays that takes the skew from
// before to after, with this many running requests for each rank.
func ShouldStartChange(before, after, running float64) bool {
	return running >= leastRunning && before >= leastSkew && before-after >= leastCut*(before-1)
}

// ShouldContinueChange reports whether a change that is prepared still pays. stale tells
// that demand has shifted since it was planned; the skews are those of now.
func ShouldContinueChange(before, after float64, stale bool) bool {
	if stale {
		return after < staleGain*before
	}
	return after < before
}
