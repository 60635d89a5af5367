// Package core holds the values and the interfaces that the parts of
// nutmegnotch share. It does no I/O. Implementations of its interfaces live in
// the packages below core (decisions) and below io (peers and protocols).
//
// Values are immutable: a changed copy comes from a With method or from a new
// literal. Times are passed in as arguments, so that every decision can be
// tested and measured without a clock.
package core
