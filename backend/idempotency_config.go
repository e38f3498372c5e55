package backend

import (
	"cmp"
	"time"

	"frosthub/idempotency"
	"frosthub/internal/wal"
)

// KeyPart is one of the things that the idempotency key of a request is made of. Its number is part of the key, and so
// of what stands on disk.
type KeyPart uint8

// The parts of an idempotency key.
const (
	KeyPartID       KeyPart = 1 // the id as it came: a retry under another id is another request
	KeyPartCustomer KeyPart = 2 // the name of the customer
	KeyPartField    KeyPart = 3 // the header IdempotencyConfig.KeyField, which must be there
	KeyPartBody     KeyPart = 4 // the body
)

// keyPartNames are the names in the operator's file.
var keyPartNames = [...]string{
	KeyPartID:       "id",
	KeyPartCustomer: "customer",
	KeyPartField:    "field",
	KeyPartBody:     "body",
}

// String returns the part's name in the operator's file.
func (p KeyPart) String() string { return keyPartNames[p] }

// IdempotencyConfig says which requests must not run twice, also across restarts. The zero value guards none.
type IdempotencyConfig struct {
	Dir            string               // directory of the store; empty: none
	Handlers       map[string][]KeyPart // the guarded handlers, and what the keys of their requests are made of
	KeyField       string               // header for KeyPartField
	CreatedField   string               // header with the time at which a request was first made, in Unix milliseconds
	Store          idempotency.Config   // zero fields are set by SetDefaults
	CommitInterval time.Duration        // between commits, unless many records wait; 0 is set by SetDefaults

	// Disk replaces Dir for everything but the lock. Tests use it for disks that fail.
	Disk wal.Disk
}

// Memory of the store.
const (
	// entryBytes is what a key with its result takes, without the result itself.
	entryBytes = 200
	// entryShare is the part of the memory limit for all entries.
	entryShare = 0.1
	// resultShare is the part of the memory limit for all results.
	resultShare = 0.08
	// assumedMemoryBytes is taken for the memory limit, in bytes, where there is none.
	assumedMemoryBytes = 512 << 20
	// defaultMaxResultBytes is the size of the largest result that is kept.
	defaultMaxResultBytes = 64 << 10
)

// Segments of the write-ahead log.
const (
	// defaultMaxSegments is eight times what the keys with results fill.
	defaultMaxSegments = 64
	// resultSegments is how many segments the keys with results fill.
	resultSegments = 8
	// minKeysPerSegment and minSegmentBytes keep segments of tiny stores from being too small to be worth a file.
	minKeysPerSegment = 16
	minSegmentBytes   = 4096
	// recordBytes is what the record of a key takes in a segment, without its result.
	recordBytes = 64
)

// Times of the store.
const (
	// defaultResultTTL is how long a result is kept.
	defaultResultTTL = time.Hour
	// defaultRetryHorizon is how long after its creation a request may be retried.
	defaultRetryHorizon = 24 * time.Hour
	// defaultCommitInterval is the time from one commit to the next: a quarter of an ordinary run.
	defaultCommitInterval = 3 * time.Millisecond
)

// SetDefaults sets the fields of the store that are zero to defaults for a node with so many megabytes of memory; 0
// means unlimited.
func (c *IdempotencyConfig) SetDefaults(memoryMB float64) {
	memory := memoryMB * (1 << 20)
	if memory <= 0 {
		memory = assumedMemoryBytes
	}
	store := &c.Store
	setDefault(&store.MaxEntries, entryShare*memory/entryBytes)
	setDefault(&store.MaxBytes, resultShare*memory)
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

func setDefault(setting *int, value float64) {
	if *setting == 0 {
		*setting = int(value)
	}
}
