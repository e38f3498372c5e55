// Command frosthub is one backend, and what its operators ask of it.
package main

import (
	"frosthub/internal/cli"
	"os"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
