package routing

import "nutmegnotch/core/rendezvous"

// DefaultSubsetSize is the number of agents per service that an entry keeps
// sessions with.
const DefaultSubsetSize = 16

// Subset returns the n ids that come first by rendezvous hashing with the key,
// best first. An id that joins or leaves changes at most one member. With at
// most n ids it returns all of them.
func Subset(key string, ids []string, n int) []string { return rendezvous.IDs(key, ids, n) }
