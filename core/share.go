package core

import "time"

// CreditAmount is a quantity of contract credit.
type CreditAmount struct {
	Requests float64
	Tokens   float64
}

// Covers reports whether a holds at least b.
func (a CreditAmount) Covers(b CreditAmount) bool {
	return a.Requests >= b.Requests && a.Tokens >= b.Tokens
}

// Credits decides how an entry spends and lends the credit and the concurrency
// slots of organisations. One task owns it; it is not safe for concurrent use.
// Times must come from a monotonic clock, as those of time.Now do.
type Credits interface {
	// Spend takes the amount from what this entry holds. When it does not
	// suffice it returns false and how long to wait before asking again; zero
	// means that the contract never covers the amount.
	Spend(organisation string, a CreditAmount, now time.Time) (time.Duration, bool)
	// Lend debits up to the amount from this entry's home bucket for a borrower.
	Lend(organisation string, a CreditAmount, now time.Time) CreditAmount
	// AddBorrowed adds credit that a home has lent. asked is when this entry asked
	// for it, from which its life is counted.
	AddBorrowed(organisation string, a CreditAmount, asked, now time.Time)
	// Homes returns the ids of the home entries of an organisation in order.
	Homes(organisation string) []string
	// TakeSlot takes a concurrency slot for one request, or reports false.
	TakeSlot(organisation string, now time.Time) bool
	// FreeSlot gives back what TakeSlot took.
	FreeSlot(organisation string, now time.Time)
	// LendSlots sets the number of slots lent to a borrower to at most slots
	// and renews their lease. It reports false for a request that a later one,
	// by sequence number, has overtaken.
	LendSlots(organisation, borrower string, seq uint64, slots int, now time.Time) (int, bool)
}
