package idempotency

import "time"

// Config bounds what a [Store] remembers.
type Config struct {
	// MaxEntries is the number of keys that are remembered with their results. When it is reached,
	// those that ended first expire.
	MaxEntries int
	// MaxBytes is the size of all results together, in bytes.
	MaxBytes int
	// MaxResultBytes is the size of one result, in bytes. A longer one is not kept.
	MaxResultBytes int
	// ResultTTL is how long a result is kept after its request ended.
	ResultTTL time.Duration
	// RetryHorizon is how long after a request was first made its caller may retry it.
	RetryHorizon time.Duration
	// MaxSegments is the number of segments at a time, at least 2. When all are in use and none is
	// past the horizon, no request starts.
	MaxSegments int
	// KeysPerSegment is the number of keys whose intents are in one segment, at least 1.
	KeysPerSegment int
	// SegmentBytes is the size of the log entries of one segment, in bytes.
	SegmentBytes int
}

// withMinimums returns the configuration with the bounds raised to the least that a store can work
// with.
func (c Config) withMinimums() Config {
	c.KeysPerSegment = max(1, c.KeysPerSegment)
	c.MaxSegments = max(2, c.MaxSegments)
	return c
}

// Limits of segments.
const (
	// falsePositiveRate is the share of fresh keys that each segment's fingerprints take for an
	// expired one. Such a request isn't run.
	falsePositiveRate = 1e-5
	// segmentsPerHorizon is the least number of segments that a retry horizon is spread over, so
	// that a segment which is dropped is late by at most that part of the horizon.
	segmentsPerHorizon = 8
	// entryOverhead is the size of a log entry beside its data, in bytes, as counted against
	// Config.SegmentBytes.
	entryOverhead = 40
)

// maxIncarnationStep is how far an incarnation number may be raised at once. A number further off
// can't be that of an incarnation.
const maxIncarnationStep = 10_000
