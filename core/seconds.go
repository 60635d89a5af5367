package core

import "time"

// Seconds returns a number of seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
