package ratelimit

import (
	"math"
	"time"

	"nutmegnotch/core"
)

// Settings of the token bucket of a limit.
const (
	// minRate is the rate at which a server that takes no requests is still asked whether
	// that holds, in requests a second.
	minRate = 0.1
	// burstTime is the time for which unused tokens are kept. minBurst tokens are kept at
	// any rate: those that fall due while a gateway is late for its turn belong to the next.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// minWait and maxWait bound the time after which a gateway that got too few permits
	// asks again. A rate below one token in maxWait lengthens it.
	minWait = 50 * time.Millisecond
	maxWait = 4 * time.Second
	// tolerance absorbs rounding errors of tokens.
	tolerance = 1e-6
)

// bucket is the token bucket of a process at its home. It starts empty, since an earlier
// home may have granted permits just before.
type bucket struct {
	level    float64
	filledAt time.Time
	// lastTurn is when the last of the gateways that got too few permits asks again. Each
	// of them has a turn of its own.
	lastTurn time.Time
}

// grant takes up to want tokens at a rate. wait is how long a gateway that gets fewer is to
// wait before it asks again.
func (b *bucket) grant(want int, rate float64, now time.Time) (granted int, wait time.Duration) {
	rate = max(rate, minRate)
	b.level = min(max(minBurst, rate*burstTime.Seconds()), b.level+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
	granted = int(min(float64(want), math.Floor(b.level+tolerance)))
	b.level -= float64(granted)
	if granted >= want {
		return granted, 0
	}
	interval := core.Seconds(1 / rate)
	next := now.Add(core.Seconds((1 - b.level) / rate))
	if b.lastTurn.After(now) {
		next = b.lastTurn.Add(interval)
	}
	if latest := now.Add(max(maxWait, interval)); next.After(latest) {
		next = latest
	}
	b.lastTurn = next
	return granted, max(minWait, next.Sub(now))
}
