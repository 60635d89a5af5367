package core

// Reservation is memory reserved for one reply. It must be released exactly
// once.
type Reservation struct {
	ID           uint64
	Organisation string
	Bytes        int64
	// Window reports that the reservation covers only a part of the reply, so
	// that a slow caller causes backpressure on the agent.
	Window bool
}

// ReplyBudget accounts for the memory in which an entry buffers replies. It is
// not safe for concurrent use: one task owns it.
type ReplyBudget interface {
	// Reserve reserves memory for a reply of at most want bytes. It returns false
	// when the organisation or the process has no memory left.
	Reserve(organisation string, want, organisationLimit int64) (Reservation, bool)
	Release(r Reservation)
	// Held returns the bytes reserved by an organisation and by all
	// organisations.
	Held(organisation string) (int64, int64)
}
