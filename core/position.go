package core

import "cmp"

// Position is a place in a topic of the platform's store. A store that comes back from
// an older copy begins a new era, in which it gives out offsets again, so positions are
// ordered by era and then by offset. Era is 0 for a store that states none.
type Position struct {
	Era, Offset int64
}

// Compare returns -1, 0 or 1 if p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// WithOffset returns the position with another offset in the same era.
func (p Position) WithOffset(offset int64) Position {
	p.Offset = offset
	return p
}
