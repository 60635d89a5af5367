// Command nutmegnotch-emulator runs the stand-ins for the platform and for
// backend servers, and the load tool.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct{}

func main() {
	var c commands
	p := kong.Must(&c, kong.Name("nutmegnotch-emulator"))
	if _, err := p.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
