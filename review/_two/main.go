// Command two runs the cases of the second review. It starts the project's own programs as
// separate processes, on loopback addresses, between stand-ins of the platform's store, of
// runners and of clients, and checks one rule.
//
// Usage: two CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruptions.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxCaseTime = 115 * time.Second
)

var cases = map[string]func(*scene) (bool, error){
	"map-takeover":  mapTakeover,
	"older-process": olderProcess,
	"stale-hold":    staleHold,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: two CASE RECORD")
		return exitNotRun
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			s.recordf("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			s.recordf("the rule was broken")
			return exitBroken
		}
		s.recordf("the rule held")
		return exitHeld
	case <-time.After(maxCaseTime):
		s.recordf("the case could not run: it took longer than %v", maxCaseTime)
		return exitNotRun
	}
}
