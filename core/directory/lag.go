package directory

import (
	"time"

	"nutmegnotch/core"
)

// Lag tells for how long a process has not read records of a topic that others have. The
// zero value knows of none.
type Lag struct {
	// target is a position that others have reached, known since a time; it is zero
	// while there is none.
	target core.Position
	since  time.Time
}

// Observe records the position of another process, and returns for how long this one, at
// its own position, has been behind one that it was told of before. Others that are
// behind too do not end a lag.
func (l *Lag) Observe(own, other core.Position, now time.Time) time.Duration {
	if !l.since.IsZero() && !own.Before(l.target) {
		*l = Lag{}
	}
	if l.since.IsZero() {
		if !own.Before(other) {
			return 0
		}
		l.target, l.since = other, now
	}
	return now.Sub(l.since)
}
