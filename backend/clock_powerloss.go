//go:build powerloss

package backend

import (
	"os"
	"time"
)

// clockWrong is by how much the time of day is wrong, as FROSTHUB_CLOCK says.
var clockWrong = func() time.Duration {
	d, _ := time.ParseDuration(os.Getenv("FROSTHUB_CLOCK")) // none: 0
	return d
}()
