package core

// Reservation is reply memory set aside for one reply. It must be released
// exactly once.
type Reservation struct {
	ID           uint64
	Organisation string
	Bytes        int64
	// Window reports that the reservation holds only a part of the reply, so
	// that a slow caller slows the agent down.
	Window bool
}

// ReplyBudget accounts the memory that an entry holds for callers. One task
// owns it; it is not safe for concurrent use.
type ReplyBudget interface {
	// Reserve sets memory aside for a reply of at most want bytes. It returns
	// false when the organisation or the process has no room.
	Reserve(organisation string, want, organisationLimit int64) (Reservation, bool)
	Release(r Reservation)
	// Held returns the bytes reserved by an organisation, and by all.
	Held(organisation string) (int64, int64)
}
