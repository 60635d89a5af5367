package systemtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// Imported so that a change of the program invalidates cached test results.
	_ "nutmegnotch/io/cli"
)

// program is the path of the built program.
var program string

// TestMain builds the program once. Each test stops the processes it started.
func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "nutmegnotch-systemtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "nutmegnotch")
	build := exec.Command("go", "build", "-o", program, "nutmegnotch")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
