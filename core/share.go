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
// slots of organisations. It is not safe for concurrent use: one task owns it.
// Times must come from a monotonic clock, as those of time.Now do.
type Credits interface {
	// Spend takes the amount from the credit of this entry. If there is not
	// enough, it returns false and the time to wait before the next call; zero
	// means that the contract never covers the amount.
	Spend(organisation string, a CreditAmount, now time.Time) (time.Duration, bool)
	// Lend debits up to the amount from this entry's home bucket for a borrower.
	Lend(organisation string, a CreditAmount, now time.Time) CreditAmount
	// AddBorrowed adds credit that a home has lent. Its lifetime counts from
	// asked, the time at which this entry requested it.
	AddBorrowed(organisation string, a CreditAmount, asked, now time.Time)
	// Homes returns the ids of the home entries of an organisation in order.
	Homes(organisation string) []string
	// TakeSlot takes a concurrency slot for one request, or reports false.
	TakeSlot(organisation string, now time.Time) bool
	// FreeSlot releases a slot taken by TakeSlot.
	FreeSlot(organisation string, now time.Time)
	// LendSlots sets the number of slots lent to a borrower to at most slots
	// and renews their lease. It returns false unless seq is higher than in all
	// earlier calls for the borrower.
	LendSlots(organisation, borrower string, seq uint64, slots int, now time.Time) (int, bool)
}
