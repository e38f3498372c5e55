// Command simhost runs the overload controllers of the servers in a simulation. It reads the simulator's events from
// standard input and writes the controllers' actions to standard output until the input ends. It exits with status 1 if
// it can't parse the input.
package main

import (
	"fmt"
	"os"

	"frosthub/internal/simproto"
)

func main() {
	if err := simproto.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
