// Command nutmegnotch-emulator runs the stand-ins for the platform and for
// backend servers, and the load tool.
package main

import (
	"os"

	"nutmegnotch/emulator/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
