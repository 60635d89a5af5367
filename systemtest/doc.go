// Package systemtest tests the built program as real processes under faults.
// All of it is test code.
package systemtest
