package conffile

import (
	"errors"
	"fmt"
	"time"

	"frosthub/internal/statsfile"
)

// Bounds of the accounting.
const (
	maxTrailEntries = 1 << 20
	maxPeriods      = 10080 // a week of minutes
	maxCustomers    = 1024
)

var accountingDirectives = []directive{
	// Records the accounting on disk, so that it outlives the process.
	{
		name: "figures file",
		args: []argument{
			absolutePath(func(c *Config) *string { return &c.Accounting.File }),
		},
	},
	// How many of the last changes the file holds one by one.
	{
		name:     "figures trail",
		requires: "figures file",
		args: []argument{{
			name: "number",
			kind: fmt.Sprintf("a number from %d to %d, a power of two", statsfile.MinEntries, maxTrailEntries),
			set:  (*Config).setTrailEntries,
		}},
	},
	// Keeps the accounting of past periods as well.
	{
		name: "figures periods",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxPeriods }, 1, maxPeriods),
			keyword("every"),
			duration(func(c *Config) *time.Duration { return &c.Accounting.PeriodLength }, time.Second, time.Hour).withExample("1m"),
		},
	},
	// How many customers are told apart; all others are counted as one.
	{
		name: "figures customers",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxCustomers }, 1, maxCustomers),
		},
	},
	// The header that names the customer; without it the front end does.
	{
		name:     "figures customer-field",
		requires: "figures customers",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Accounting.CustomerField }, "X-Customer"),
		},
	},
}

func (c *Config) setTrailEntries(value string) error {
	n, err := parseInteger(value, statsfile.MinEntries, maxTrailEntries)
	if err != nil {
		return err
	}
	if powerOfTwo := n&(n-1) == 0; !powerOfTwo {
		return errors.New("no power of two")
	}
	c.Accounting.Entries = n
	return nil
}
