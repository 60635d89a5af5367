package core

import "time"

// Amount is a quantity of contract credit.
type Amount struct {
	Requests float64
	Tokens   float64
}

// Covers reports whether a holds at least b.
func (a Amount) Covers(b Amount) bool { return a.Requests >= b.Requests && a.Tokens >= b.Tokens }

// Credits decides how an entry spends and lends the credit of organisations.
// One task owns it; it is not safe for concurrent use.
type Credits interface {
	// Spend takes the amount from what this entry holds. When it does not
	// suffice it returns false and how long to wait before asking again.
	Spend(organisation string, a Amount, now time.Time) (time.Duration, bool)
	// Lend debits up to the amount from this entry's home bucket for a borrower.
	Lend(organisation string, a Amount, now time.Time) Amount
	// Borrowed adds credit that a home has lent.
	Borrowed(organisation string, a Amount, now time.Time)
	// Homes returns the ids of the home entries of an organisation in order.
	Homes(organisation string) []string
}
