package routing

import "nutmegnotch/core/rendezvous"

// DefaultSubsetSize is the number of agents per service that an entry keeps
// sessions with.
const DefaultSubsetSize = 16

// Subset returns the n ids with the highest rendezvous hash for the key, best
// first, or all ids when there are at most n. An id that joins or leaves changes
// at most one member.
func Subset(key string, ids []string, n int) []string { return rendezvous.TopIDs(key, ids, n) }
