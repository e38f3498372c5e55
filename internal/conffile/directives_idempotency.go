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
	maxStoreEntries = 100_000_000 // keys: some 20 GB of memory
	minStoreBytes   = 1 << 10
	maxStoreBytes   = 1 << 34
	minResultBytes  = 16
	maxResultBytes  = 16 << 20
)

var idempotencyDirectives = []directive{
	// The idempotency store, created by frosthub keep init.
	{
		name: "keep dir",
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
	// A guarded handler: its requests must not run twice. The parts identify a
	// request.
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
	// The header that identifies a request, for handlers guarded by field.
	{
		name:     "keep key-field",
		requires: "keep handler",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.KeyField }, "X-Claim"),
		},
	},
	// The header with the time at which a request was first made, in Unix
	// milliseconds.
	{
		name:     "keep made-field",
		requires: "keep handler",
		args: []argument{
			headerName(func(c *Config) *string { return &c.Idempotency.CreatedField }, "X-First-Made"),
		},
	},
	// How many keys are kept with their results.
	{
		name:     "keep entries",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxEntries }, minStoreEntries, maxStoreEntries),
		},
	},
	// The size of all results kept, in bytes.
	{
		name:     "keep bytes",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxBytes }, minStoreBytes, maxStoreBytes),
		},
	},
	// The size of one result, in bytes; larger ones are not kept.
	{
		name:     "keep result",
		requires: "keep dir",
		args: []argument{
			integer(func(c *Config) *int { return &c.Idempotency.Store.MaxResultBytes }, minResultBytes, maxResultBytes),
		},
	},
	// How long a result is kept.
	{
		name:     "keep lifetime",
		requires: "keep dir",
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
	// How long after it was first made a request may be retried.
	{
		name:     "keep horizon",
		requires: "keep dir",
		args: []argument{
			duration(func(c *Config) *time.Duration { return &c.Idempotency.Store.RetryHorizon }, time.Second, 8760*time.Hour),
		},
	},
	// The least time from one commit to the next, so that one write of the disk
	// confirms more records.
	{
		name:     "keep gather",
		requires: "keep dir",
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
