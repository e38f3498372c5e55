package recovery

import "time"

const (
	// Pace of the queries: some three hundred keys a second, beside the other work.
	outcomeQueryInterval = 50 * time.Millisecond
	outcomeBatchSize     = 16 // keys

	// Queries about one key: the interval doubles from the minimum to the maximum, so that the last one comes after some minutes.
	maxOutcomeQueries   = 8
	minOutcomeRetryWait = 2 * time.Second
	maxOutcomeRetryWait = time.Minute
)

// UnknownOutcomes paces the queries to other nodes about keys whose run was begun and has no known outcome. It gives up on keys of which nobody
// can tell: their outcome stays unknown. Make it with NewUnknownOutcomes. It is not safe for concurrent use.
type UnknownOutcomes struct {
	queries     map[[16]byte]*outcomeQueries
	order       [][16]byte
	nextBatchAt time.Duration
}

// outcomeAttempts counts the queries about one key.
type outcomeQueries struct {
	count  int
	nextAt time.Duration
}

// NewUnknownOutcomes takes the keys whose outcome is unknown when the node starts, in the order in which they are asked about. It keeps the
// slice.
func NewUnknownOutcomes(keys [][16]byte) *UnknownOutcomes {
	o := &UnknownOutcomes{queries: map[[16]byte]*outcomeQueries{}, order: keys}
	for _, key := range keys {
		o.queries[key] = &outcomeQueries{}
	}
	return o
}

// Remaining returns the number of keys that are still asked about.
func (o *UnknownOutcomes) Remaining() int { return len(o.queries) }

// Tick returns the keys to be asked about now. unknown reports whether the outcome of a key is still unknown.
func (o *UnknownOutcomes) Tick(now time.Duration, unknown func([16]byte) bool) [][16]byte {
	if now < o.nextBatchAt {
		return nil
	}
	o.nextBatchAt = now + outcomeQueryInterval
	var batch [][16]byte
	remaining := o.order[:0]
	for _, key := range o.order {
		queries := o.queries[key]
		resolved := queries.count > 0 && !unknown(key)
		exhausted := queries.count >= maxOutcomeQueries && now >= queries.nextAt
		if resolved || exhausted {
			delete(o.queries, key)
			continue
		}
		remaining = append(remaining, key)
		if now >= queries.nextAt && len(batch) < outcomeBatchSize {
			queries.nextAt = now + min(minOutcomeRetryWait<<queries.count, maxOutcomeRetryWait)
			queries.count++
			batch = append(batch, key)
		}
	}
	o.order = remaining
	return batch
}
