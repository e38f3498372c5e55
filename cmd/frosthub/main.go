// Command frosthub is one backend; its configuration is named by the environment.
package main

import (
	"fmt"
	"os"

	"frosthub/backend"
)

func main() {
	if err := backend.Main(); err != nil {
		fmt.Fprintln(os.Stderr, "frosthub:", err)
		os.Exit(1)
	}
}
