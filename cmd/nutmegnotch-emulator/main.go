// Command nutmegnotch-emulator runs emulators of the platform's services and of backend
// servers, the load generator, and experiments in simulated time.
package main

import (
	"os"

	"nutmegnotch/emulator/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
