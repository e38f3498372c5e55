// Command frosthub is one backend, and what its operators ask of it.
package main

import (
	"os"

	"frosthub/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
