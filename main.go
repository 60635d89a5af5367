// Command nutmegnotch runs an entry, an agent or an operator command.
package main

import (
	"os"

	"nutmegnotch/io/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:]))
}
