// Command nutmegnotch runs an entry, an agent, a gateway, a rank agent or an operator
// command.
package main

import (
	"os"

	"nutmegnotch/io/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
