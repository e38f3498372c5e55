package idempotency

import "time"

// Stats are counts and sizes of the data in a store.
type Stats struct {
	// Incarnation is the number of the incarnation that uses the store.
	Incarnation uint64 `json:"life"`
	// Keys is the number of keys with a record, that is, with more than a fingerprint.
	Keys int `json:"keys"`
	// OutcomeUnknown is the number of those keys whose outcome is unknown.
	OutcomeUnknown int `json:"in_doubt"`
	// InFlight is the number of those keys that run or wait for the disk.
	InFlight int `json:"in_hand"`
	// ResultBytes is the total size of all results, in bytes.
	ResultBytes int `json:"bytes"`
	// Fingerprints is the number of keys in retired segments, which have only a fingerprint.
	Fingerprints int `json:"prints"`
	// Segments is the number of segments.
	Segments int `json:"segments"`
	// Since is the time at which the oldest segment was opened, since the Unix epoch.
	Since time.Duration `json:"since"`
	// LostBefore is the time before which a request without a record may have run. It is 0 if no
	// history is lost.
	LostBefore time.Duration `json:"blind"`
	// Failed is set if the disk has failed.
	Failed bool `json:"failed"`
}

// Stats returns the current counts and sizes.
func (s *Store) Stats() Stats {
	stats := Stats{
		Incarnation:    s.incarnation,
		Keys:           len(s.records),
		OutcomeUnknown: s.unknownOutcomes,
		InFlight:       s.inFlight,
		ResultBytes:    s.resultBytes,
		Segments:       len(s.segments),
		LostBefore:     s.lostBefore,
		Failed:         s.failed,
	}
	if len(s.segments) > 0 {
		stats.Since = s.segments[0].From
	}
	for _, seg := range s.segments {
		if seg.retired {
			stats.Fingerprints += seg.Keys
		}
	}
	return stats
}

// ForEachKey calls f for each key with a record, in no particular order. at is the time of the
// completion; if the key has not completed, at is the time of the intent or the later time at which
// the outcome became unknown. state is the name of the key's state in the output of the operators'
// commands; bytes is the size of its result.
func (s *Store) ForEachKey(f func(key Key, at time.Duration, state string, bytes int)) {
	for key, rec := range s.records {
		f(key, rec.at, rec.stateName(), len(rec.result))
	}
}

// KeysWithUnknownOutcome returns at most limit keys whose outcome is unknown, in the order in which
// they expire.
func (s *Store) KeysWithUnknownOutcome(limit int) []Key {
	var keys []Key
	for _, key := range s.expiryQueue {
		if len(keys) >= min(limit, s.unknownOutcomes) {
			break
		}
		if rec := s.records[key]; rec != nil && rec.state == stateUnknown {
			keys = append(keys, key)
		}
	}
	return keys
}

// UnknownOutcomesByHandler returns the number of keys with an unknown outcome by handler. The key
// "" has those whose handler is not known.
func (s *Store) UnknownOutcomesByHandler() map[string]int {
	counts := map[string]int{}
	for _, handler := range s.unknownHandlers {
		counts[handler]++
	}
	if n := s.unknownOutcomes - len(s.unknownHandlers); n > 0 {
		counts[""] = n
	}
	return counts
}
