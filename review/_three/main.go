// Command review-three plays the cases of the third review: it starts gateways as
// processes before stand-ins and judges what clients, servers and the platform saw.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"cold-back":      coldBack,
	"cold-restart":   coldRestart,
	"part-bursts":    partBursts,
	"silent-store":   silentStore,
	"sound-requests": soundRequests,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-three CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	r := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with its disruption: %t", name, trouble)
	broken, err := cases[name](r, trouble)
	code := exitHeld
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		r.add("the rule was broken")
		code = exitBroken
	default:
		r.add("the rule held")
	}
	if err := r.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}
