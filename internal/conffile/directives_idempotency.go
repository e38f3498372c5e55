package conffile

import (
	"errors"
	"frosthub/backend"
	"slices"
	"strings"
	"time"
)

// Bounds of the idempotency store.
const (
	minStoreEntries = 16
	maxStoreEntries = 100_000_000 // keys: some 20 GB of memory
	minStoreBytes   = 1 << 10
	maxStoreBytes   = 1 << 34
	minResultBytes  = 16
	maxResultBytes  = 16 << 20
)

var idempotencyDirectives = []directive{
	{
		name: "keep dir",
		help: "keep there what must not run twice, and its results; made by frosthub keep init",
		args: []argument{
			absolutePath(func(c *Config) *string { return &c.Idempotency.Dir }),
		},
		check: func(c *Config) *conflict {
			if len(c.Idempotency.Handlers) == 0 {
				return &conflict{"says nothing alone", `also "keep handler"`}
			}
			return nil
		},
	},
	{
		name:       "keep handler",
		repeatable: true,
		requires:   "keep dir",
		help:       "this handler's reqs must not run twice, and what tells them apart",
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
	{
		name:     "keep key-field",
		requires: "keep handler",
		help:     "the header that names what must not run twice",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.KeyField }, "X-Claim"),
		},
	},
	{
		name:     "keep made-field",
		requires: "keep handler",
		help:     "the header with the time at which a req was first made, in Unix milliseconds",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.CreatedField }, "X-First-Made"),
		},
	},
	{
		name:     "keep entries",
		requires: "keep dir",
		help:     "keys kept with their results at most",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxEntries }, minStoreEntries, maxStoreEntries),
		},
	},
	{
		name:     "keep bytes",
		requires: "keep dir",
		help:     "bytes of all results kept at most",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxBytes }, minStoreBytes, maxStoreBytes),
		},
	},
	{
		name:     "keep result",
		requires: "keep dir",
		help:     "bytes of one result at most; longer ones are not kept",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxResultBytes }, minResultBytes, maxResultBytes),
		},
	},
	{
		name:     "keep lifetime",
		requires: "keep dir",
		help:     "how long a result is kept",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.Store.ResultTTL }, time.Second, 720*time.Hour),
		},
		check: func(c *Config) *conflict {
			horizon := c.Idempotency.Store.RetryHorizon
			if horizon > 0 && horizon < c.Idempotency.Store.ResultTTL {
				return &conflict{"is past the horizon", `a span not over that of "keep horizon"`}
			}
			return nil
		},
	},
	{
		name:     "keep horizon",
		requires: "keep dir",
		help:     "how long after a req was first made it may still be repeated",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.Store.RetryHorizon }, time.Second, 8760*time.Hour),
		},
	},
	{
		name:     "keep gather",
		requires: "keep dir",
		help:     "least time from one commit to the next, so that the disk confirms more at once",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.CommitInterval }, time.Microsecond, 100*time.Millisecond),
		},
	},
}

// handlerKeys are handlers by name, and what the keys of their requests are made of.
type handlerKeys = map[string][]backend.KeyPart

// keyParts are the parts of keys by their names in a file.
var keyParts = map[string]backend.KeyPart{
	"id":       backend.KeyPartID,
	"customer": backend.KeyPartCustomer,
	"field":    backend.KeyPartField,
	"body":     backend.KeyPartBody,
}

// handlerKey returns the arguments of a directive that names a handler and the
// parts of its keys.
func handlerKey(field func(*Config) *handlerKeys) []argument {
	return []argument{
		{
			name: "name",
			kind: "a handler's name",
			set:  func(c *Config, value string) error { return addHandler(field(c), value) },
		},
		keyword("by"),
		{
			name: "parts",
			kind: "id, customer, field or body, joined by +, as customer+body",
			set:  func(c *Config, value string) error { return setKeyParts(*field(c), value) },
		},
	}
}

// addHandler adds a handler without parts: they follow on the line.
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

// setKeyParts sets the parts of the handler that has none yet.
func setKeyParts(handlers handlerKeys, text string) error {
	var parts []backend.KeyPart
	for name := range strings.SplitSeq(text, "+") {
		part, ok := keyParts[name]
		if !ok || slices.Contains(parts, part) {
			return errors.New("not understood")
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

// checkKeyParts returns what the parts of a handler's keys need that is not there.
func (c *Config) checkKeyParts(handler string, parts []backend.KeyPart) *conflict {
	if slices.Contains(parts, backend.KeyPartField) && c.Idempotency.KeyField == "" {
		return &conflict{handler + " by field: no field is named", `also "keep key-field"`}
	}
	if slices.Contains(parts, backend.KeyPartCustomer) && c.Accounting.CustomerField == "" {
		return &conflict{handler + " by customer: only edge nodes are told apart", `also "figures customer-field"`}
	}
	return nil
}
