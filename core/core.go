// Package core defines the types and interfaces that the packages of
// nutmegnotch share. It does no I/O. Its interfaces are implemented by the
// packages below core (decisions) and below io (peers and protocols).
//
// Values are immutable: a changed copy comes from a With method or from a new
// literal. Times are passed as arguments, so that every decision can be tested
// and benchmarked without a clock.
package core
