package idempotency

import "time"

// Config bounds the memory and the disk space that a [Store] uses.
type Config struct {
	// MaxEntries is the number of keys with a record. When it is reached, the keys that completed
	// first expire.
	MaxEntries int
	// MaxBytes is the total size of all results, in bytes.
	MaxBytes int
	// MaxResultBytes is the maximum size of one result, in bytes. A longer result is not kept.
	MaxResultBytes int
	// ResultTTL is how long a result is kept after its request completed.
	ResultTTL time.Duration
	// RetryHorizon is how long after a request was first made its client may retry it.
	RetryHorizon time.Duration
	// MaxSegments is the maximum number of segments that exist at the same time, at least 2. When
	// all are in use and none is past the retry horizon, no request starts.
	MaxSegments int
	// KeysPerSegment is the maximum number of intents in one segment, at least 1.
	KeysPerSegment int
	// SegmentBytes is the size of the log records in one segment, in bytes, from which on the
	// segment takes no further intent.
	SegmentBytes int
}

// withMinimums returns the configuration with the bounds raised to the smallest values that a store
// works with.
func (c Config) withMinimums() Config {
	c.KeysPerSegment = max(1, c.KeysPerSegment)
	c.MaxSegments = max(2, c.MaxSegments)
	return c
}

// Parameters of segments.
const (
	// falsePositiveRate is the share of fresh keys that the fingerprints of each segment report as
	// expired. Such a request is rejected.
	falsePositiveRate = 1e-5
	// segmentsPerHorizon is the minimum number of segments that a retry horizon is spread over. A
	// segment is dropped as a whole, so its oldest keys are kept longer than needed by at most
	// 1/segmentsPerHorizon of the horizon.
	segmentsPerHorizon = 8
	// entryOverhead is the size of a log entry without its data, in bytes, as counted against
	// Config.SegmentBytes.
	entryOverhead = 40
)

// maxIncarnationStep is the most by which RaiseIncarnation raises an incarnation number in one
// call. A number that is further ahead cannot be a valid incarnation number.
const maxIncarnationStep = 10_000
