// Command simhost hosts instances of the decision module on the simulator's wire.
package main

import (
	"fmt"
	"frosthub/internal/simproto"
	"os"
)

func main() {
	if err := simproto.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
