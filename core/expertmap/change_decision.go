package expertmap

// Thresholds of the decisions about a change of map.
const (
	// minSkew is the skew below which no change starts: a change in progress when
	// demand shifts would delay the one that is needed then.
	minSkew = 1.25
	// minRunningRequests is the number of running requests per rank below which
	// passes are short with any map.
	minRunningRequests = 2.0
	// minSkewReduction is the least share of the skew above 1 that a change has to
	// remove.
	minSkewReduction = 0.2
	// maxStaleSkewRatio is the share of the current skew that a change planned
	// before a shift of demand may leave. If it leaves more, it is dropped for a
	// change that is planned for the new demand.
	maxStaleSkewRatio = 0.7
)

// ShouldStartChange reports whether to start a change that lowers the skew from
// before to after. running is the mean number of running requests per rank.
func ShouldStartChange(before, after, running float64) bool {
	return running >= minRunningRequests && before >= minSkew && before-after >= minSkewReduction*(before-1)
}

// ShouldContinueChange reports whether to continue a change that is being
// prepared. before and after are the skews under the current demand; stale is
// set when demand has shifted since the change was planned.
func ShouldContinueChange(before, after float64, stale bool) bool {
	if stale {
		return after < maxStaleSkewRatio*before
	}
	return after < before
}
