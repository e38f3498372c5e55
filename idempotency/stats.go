package idempotency

import "time"

// Stats describe what a store keeps.
type Stats struct {
	// Incarnation numbers the process that uses the store.
	Incarnation uint64 `json:"life"`
	// Keys is the number of keys that are remembered with more than a fingerprint.
	Keys int `json:"keys"`
	// OutcomeUnknown is how many of those have an unknown outcome.
	OutcomeUnknown int `json:"in_doubt"`
	// InFlight is how many of those run or wait for the disk.
	InFlight int `json:"in_hand"`
	// ResultBytes is the size of all results.
	ResultBytes int `json:"bytes"`
	// Fingerprints is the number of keys in retired segments, of which only a fingerprint is left.
	Fingerprints int `json:"prints"`
	// Segments is the number of segments.
	Segments int `json:"segments"`
	// Since is when the oldest segment began, since 1970.
	Since time.Duration `json:"since"`
	// LostBefore says that requests made before can't be proved fresh. It is 0 if all can.
	LostBefore time.Duration `json:"blind"`
	// Failed says that the disk has failed.
	Failed bool `json:"failed"`
}

// Stats returns what the store keeps.
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

// ForEachKey calls f for each key that is remembered with more than a fingerprint, in no order. at is
// when it ended, or when its intent was made; state is how the operators' commands name its state;
// bytes is the size of its result.
func (s *Store) ForEachKey(f func(key Key, at time.Duration, state string, bytes int)) {
	for key, rec := range s.records {
		f(key, rec.at, rec.stateName(), len(rec.result))
	}
}

// KeysWithUnknownOutcome returns the keys whose outcome is unknown, the oldest first, at most limit of them.
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

// UnknownOutcomesByHandler returns how many keys have an unknown outcome, by handler; "" stands for those
// whose handler is not known.
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
