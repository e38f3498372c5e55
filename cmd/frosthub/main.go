// Command frosthub runs one node of a fleet, or a command with which operators
// inspect and control it.
package main

import (
	"os"

	"frosthub/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
