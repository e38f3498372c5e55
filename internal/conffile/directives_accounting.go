package conffile

import (
	"errors"
	"fmt"
	"frosthub/internal/statsfile"
	"time"
)

// Bounds of the accounting.
const (
	maxTrailEntries = 1 << 20
	maxPeriods      = 10080 // a week of minutes
	maxCustomers    = 1024
)

var accountingDirectives = []directive{
	{
		name: "figures file",
		help: "record the figures there, so that they outlive the process",
		args: []argument{
			absolutePath(func(c *Config) *string { return &c.Accounting.File }),
		},
	},
	{
		name:     "figures trail",
		requires: "figures file",
		help:     "how many of the last changes the file holds one by one",
		args: []argument{{
			name: "number",
			kind: fmt.Sprintf("a number from %d to %d, a power of two", statsfile.MinEntries, maxTrailEntries),
			set:  (*Config).setTrailEntries,
		}},
	},
	{
		name: "figures periods",
		help: "keep the figures of so many past periods as well",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxPeriods }, 1, maxPeriods),
			keyword("every"),
			duration(func(c *Config) *time.Duration { return &c.Accounting.PeriodLength }, time.Second, time.Hour).withExample("1m"),
		},
	},
	{
		name: "figures customers",
		help: "tell so many customers apart, all others are one",
		args: []argument{
			integer(func(c *Config) *int { return &c.Accounting.MaxCustomers }, 1, maxCustomers),
		},
	},
	{
		name:     "figures customer-field",
		requires: "figures customers",
		help:     "the header that names the customer, instead of the edge node",
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
