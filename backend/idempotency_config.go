package backend

import (
	"cmp"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// KeyPart is a property of a request that its idempotency key can include. Its number is hashed into the key and
// therefore part of the stored format.
type KeyPart uint8

// The parts of an idempotency key.
const (
	KeyPartID       KeyPart = 1 // the id as received: a retry under another id is another request
	KeyPartCustomer KeyPart = 2 // the customer's name
	KeyPartField    KeyPart = 3 // the header IdempotencyConfig.KeyField, which the request must have
	KeyPartBody     KeyPart = 4 // the request body
)

// keyPartNames holds the names of the parts in the operator's configuration file.
var keyPartNames = [...]string{
	KeyPartID:       "id",
	KeyPartCustomer: "customer",
	KeyPartField:    "field",
	KeyPartBody:     "body",
}

// String returns the part's name in the operator's configuration file.
func (p KeyPart) String() string { return keyPartNames[p] }

// IdempotencyConfig configures which requests must not run twice, also across restarts. The zero value guards none.
type IdempotencyConfig struct {
	Dir            string               // directory of the store; empty for none
	Handlers       map[string][]KeyPart // guarded handlers and the key parts of their requests
	KeyField       string               // header for KeyPartField
	CreatedField   string               // header with the creation time of a request, in Unix milliseconds
	Store          idempotency.Config   // zero fields are replaced by SetDefaults
	CommitInterval time.Duration        // time between commits unless many records wait; SetDefaults replaces 0

	// Disk replaces Dir for everything but the lock. Tests use it to simulate disks that fail.
	Disk wal.Disk
}

// Memory limits of the store.
const (
	// entryBytes is the estimated memory of a key and its entry, without the result.
	entryBytes = 200
	// entryMemoryShare is the part of the memory limit for all entries.
	entryMemoryShare = 0.1
	// resultMemoryShare is the part of the memory limit for all results.
	resultMemoryShare = 0.08
	// assumedMemoryBytes is the memory limit that is assumed where none is set.
	assumedMemoryBytes = 512 << 20
	// defaultMaxResultBytes is the size of the largest result that the store keeps.
	defaultMaxResultBytes = 64 << 10
)

// Defaults and limits of write-ahead log segments.
const (
	// defaultMaxSegments is eight times the number of segments that the keys with results fill.
	defaultMaxSegments = 64
	// resultSegments is the number of segments that the keys with results fill.
	resultSegments = 8
	// minKeysPerSegment and minSegmentBytes prevent segments of small stores from being too small to justify a file.
	minKeysPerSegment = 16
	minSegmentBytes   = 4096
	// recordBytes is the size of a key's record in a segment, without its result.
	recordBytes = 64
)

// Default durations of the store.
const (
	// defaultResultTTL is how long the store keeps a result.
	defaultResultTTL = time.Hour
	// defaultRetryHorizon is how long after its creation a request may be retried.
	defaultRetryHorizon = 24 * time.Hour
	// defaultCommitInterval is the time from one commit to the next, a quarter of the duration of an ordinary run.
	defaultCommitInterval = 3 * time.Millisecond
)

// SetDefaults replaces zero fields by defaults for a node with a memory limit of memoryMB megabytes; 0 means unlimited.
func (c *IdempotencyConfig) SetDefaults(memoryMB float64) {
	memory := memoryMB * (1 << 20)
	if memory <= 0 {
		memory = assumedMemoryBytes
	}
	store := &c.Store
	setDefault(&store.MaxEntries, entryMemoryShare*memory/entryBytes)
	setDefault(&store.MaxBytes, resultMemoryShare*memory)
	setDefault(&store.MaxResultBytes, float64(min(defaultMaxResultBytes, store.MaxBytes)))
	setDefault(&store.MaxSegments, defaultMaxSegments)
	setDefault(&store.KeysPerSegment, max(minKeysPerSegment, float64(store.MaxEntries)/resultSegments))
	setDefault(&store.SegmentBytes, max(minSegmentBytes, float64(store.MaxBytes+store.MaxEntries*recordBytes)/resultSegments))
	if store.ResultTTL == 0 {
		store.ResultTTL = min(defaultResultTTL, cmp.Or(store.RetryHorizon, defaultRetryHorizon))
	}
	if store.RetryHorizon == 0 {
		store.RetryHorizon = max(defaultRetryHorizon, store.ResultTTL)
	}
	if c.CommitInterval == 0 {
		c.CommitInterval = defaultCommitInterval
	}
}

// setDefault sets a setting that is zero to the given value.
func setDefault(setting *int, value float64) {
	if *setting == 0 {
		*setting = int(value)
	}
}
