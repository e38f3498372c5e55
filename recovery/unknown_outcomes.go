package recovery

import "time"

const (
	// Rate of the queries: about three hundred keys per second, in parallel with the node's other work.
	outcomeQueryInterval = 50 * time.Millisecond
	outcomeBatchSize     = 16 // keys

	// Queries about one key: the interval doubles from the minimum to the maximum, so that the last query follows about three
	// minutes after the first.
	maxOutcomeQueries   = 8
	minOutcomeRetryWait = 2 * time.Second
	maxOutcomeRetryWait = time.Minute
)

// UnknownOutcomes schedules the queries to other nodes about keys whose runs have started and have no known outcome. It stops querying
// about a key that no node has the outcome of; the outcome stays unknown. Create one with NewUnknownOutcomes. It is not safe for concurrent
// use.
type UnknownOutcomes struct {
	queries     map[[16]byte]*outcomeQueries
	order       [][16]byte
	nextBatchAt time.Duration
}

// outcomeQueries counts the queries about one key.
type outcomeQueries struct {
	count  int           // queries sent
	nextAt time.Duration // when the next query is due
}

// NewUnknownOutcomes returns an UnknownOutcomes for the keys whose outcomes are unknown when the node starts, in the order in which to
// query them. It retains the slice.
func NewUnknownOutcomes(keys [][16]byte) *UnknownOutcomes {
	o := &UnknownOutcomes{queries: map[[16]byte]*outcomeQueries{}, order: keys}
	for _, key := range keys {
		o.queries[key] = &outcomeQueries{}
	}
	return o
}

// Remaining returns the number of keys that still have queries to send.
func (o *UnknownOutcomes) Remaining() int { return len(o.queries) }

// Tick returns the keys to query now. unknown reports whether the outcome of a key is still unknown.
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
