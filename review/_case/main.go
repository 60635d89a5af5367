// Command case runs the scripted cases of the review. Its argument names the case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// run holds what a case gets: a temporary folder, its record, and whether to make the
// disruption.
type run struct {
	dir     string
	record  *record
	trouble bool
}

func main() {
	cases := map[string]func(*run) (bool, error){"planned-stop": plannedStop, "upload-memory": uploadMemory, "silent-store": silentStore, "leave-after-cut": leaveAfterCut, "foreign-entry": foreignEntry}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "nutmegnotch-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &run{dir: dir, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		exit(dir, exitNotRun)
	case broken:
		exit(dir, exitBroken)
	}
	exit(dir, exitHeld)
}

func exit(dir string, code int) {
	os.RemoveAll(dir)
	os.Exit(code)
}
