// Command frosthub runs one backend, and the commands with which operators inspect
// and change it.
package main

import (
	"os"

	"frosthub/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
