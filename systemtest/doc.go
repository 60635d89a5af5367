// Package systemtest runs the built program as separate processes and tests it
// under injected faults. It holds test code only.
package systemtest
