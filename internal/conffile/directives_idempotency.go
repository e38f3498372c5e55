package conffile

import (
	"errors"
	"slices"
	"strings"
	"time"

	"frosthub/backend"
)

// Bounds of the idempotency store.
const (
	minStoreEntries = 16
	maxStoreEntries = 100_000_000 // keys, which take about 20 GB of memory
	minStoreBytes   = 1 << 10
	maxStoreBytes   = 1 << 34
	minResultBytes  = 16
	maxResultBytes  = 16 << 20
)

var idempotencyDirectives = []directive{
	// The directory of the idempotency store, which frosthub keep init creates.
	{
		name: "keep dir",
		args: []argument{
			absolutePath(func(c *Config) *string { return &c.Idempotency.Dir }),
		},
		check: func(c *Config) *conflict {
			if len(c.Idempotency.Handlers) == 0 {
				return &conflict{"has no effect alone", `also "keep handler"`}
			}
			return nil
		},
	},
	// A guarded handler, whose requests must not run twice. The parts make up the key
	// that identifies a request.
	{
		name:       "keep handler",
		repeatable: true,
		requires:   "keep dir",
		args:       handlerKey(func(c *Config) *handlerKeys { return &c.Idempotency.Handlers }),
		check: func(c *Config) *conflict {
			for handler, parts := range c.Idempotency.Handlers {
				if conflict := c.checkKeyParts(handler, parts); conflict != nil {
					return conflict
				}
			}
			return nil
		},
	},
	// The header with the idempotency key, for handlers whose key parts include field.
	{
		name:     "keep key-field",
		requires: "keep handler",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.KeyField }, "X-Claim"),
		},
	},
	// The header with the time at which the client first made a request, in Unix
	// milliseconds.
	{
		name:     "keep made-field",
		requires: "keep handler",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.CreatedField }, "X-First-Made"),
		},
	},
	// The maximum number of keys that the store keeps with their results.
	{
		name:     "keep entries",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxEntries }, minStoreEntries, maxStoreEntries),
		},
	},
	// The maximum total size of the results in the store, in bytes.
	{
		name:     "keep bytes",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxBytes }, minStoreBytes, maxStoreBytes),
		},
	},
	// The maximum size of one result, in bytes. Larger results are not stored.
	{
		name:     "keep result",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxResultBytes }, minResultBytes, maxResultBytes),
		},
	},
	// How long the store keeps a result.
	{
		name:     "keep lifetime",
		requires: "keep dir",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.Store.ResultTTL }, time.Second, 720*time.Hour),
		},
		check: func(c *Config) *conflict {
			horizon := c.Idempotency.Store.RetryHorizon
			if horizon > 0 && horizon < c.Idempotency.Store.ResultTTL {
				return &conflict{"is longer than the retry horizon", `a duration of at most that of "keep horizon"`}
			}
			return nil
		},
	},
	// The retry horizon: how long after it was first made a request may be retried.
	{
		name:     "keep horizon",
		requires: "keep dir",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.Store.RetryHorizon }, time.Second, 8760*time.Hour),
		},
	},
	// The minimum time between two commits. A longer time lets one disk write confirm
	// more records.
	{
		name:     "keep gather",
		requires: "keep dir",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.CommitInterval }, time.Microsecond, 100*time.Millisecond),
		},
	},
}

// handlerKeys maps the names of handlers to the parts of the keys of their requests.
type handlerKeys = map[string][]backend.KeyPart

// keyParts maps the names of key parts in a file to key parts.
var keyParts = map[string]backend.KeyPart{
	"id":       backend.KeyPartID,
	"customer": backend.KeyPartCustomer,
	"field":    backend.KeyPartField,
	"body":     backend.KeyPartBody,
}

// handlerKey returns the arguments of a directive that names a handler and the parts
// of its keys.
func handlerKey(field func(*Config) *handlerKeys) []argument {
	return []argument{
		{
			name: "name",
			kind: "the name of a handler",
			set:  func(c *Config, value string) error { return addHandler(field(c), value) },
		},
		keyword("by"),
		{
			name: "parts",
			kind: "id, customer, field or body, joined by +, such as customer+body",
			set:  func(c *Config, value string) error { return setKeyParts(*field(c), value) },
		},
	}
}

// addHandler adds a handler without parts, which follow on the same line.
func addHandler(handlers *handlerKeys, name string) error {
	if _, ok := (*handlers)[name]; ok {
		return errDuplicate
	}
	if *handlers == nil {
		*handlers = handlerKeys{}
	}
	(*handlers)[name] = nil
	return nil
}

// setKeyParts sets the parts of the handler that has none yet, which is the one that
// the same line has added.
func setKeyParts(handlers handlerKeys, text string) error {
	var parts []backend.KeyPart
	for name := range strings.SplitSeq(text, "+") {
		part, ok := keyParts[name]
		if !ok || slices.Contains(parts, part) {
			return errors.New("unknown or duplicate part")
		}
		parts = append(parts, part)
	}
	for handler := range handlers {
		if handlers[handler] == nil {
			handlers[handler] = parts
		}
	}
	return nil
}

// checkKeyParts returns a conflict if a handler's key parts require a directive that
// the file lacks, or nil.
func (c *Config) checkKeyParts(handler string, parts []backend.KeyPart) *conflict {
	if slices.Contains(parts, backend.KeyPartField) && c.Idempotency.KeyField == "" {
		return &conflict{handler + " by field: no header is configured for the key", `also "keep key-field"`}
	}
	if slices.Contains(parts, backend.KeyPartCustomer) && c.Accounting.CustomerField == "" {
		return &conflict{handler + " by customer: no header is configured for the customer, only edge nodes are distinguished", `also "figures customer-field"`}
	}
	return nil
}
