package conffile

import (
	"errors"
	"fmt"
	"time"

	"frosthub/internal/statsfile"
)

// Bounds of the accounting directives.
const (
	maxTrailEntries = 1 << 20
	maxPeriods      = 10080 // one week of periods of a minute
	maxCustomers    = 1024
)

var accountingDirectives = []directive{
	// The file in which the accounting is recorded, so that it outlives the process.
	{
		name: "figures file",
		args: []argument{
			absolutePath(func(c *Config) *string { return &c.Accounting.File }),
		},
	},
	// How many of the most recent ledger entries the file holds.
	{
		name:     "figures trail",
		requires: "figures file",
		args: []argument{{
			name: "number",
			kind: fmt.Sprintf("a number from %d to %d, a power of two", statsfile.MinEntries, maxTrailEntries),
			set:  (*Config).setTrailEntries,
		}},
	},
	// How many past periods the accounting keeps, and how long a period is.
	{
		name: "figures periods",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxPeriods }, 1, maxPeriods),
			keyword("every"),
			duration(func(c *Config) *time.Duration { return &c.Accounting.PeriodLength }, time.Second, time.Hour).withExample("1m"),
		},
	},
	// How many customers are counted separately; all others are counted as one.
	{
		name: "figures customers",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxCustomers }, 1, maxCustomers),
		},
	},
	// The header that names the customer. Without this directive the edge node that
	// sends a request is its customer.
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
		return errors.New("not a power of two")
	}
	c.Accounting.Entries = n
	return nil
}
