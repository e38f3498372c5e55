package idempotency

import (
	"slices"
	"time"
)

// Sweep expires the records that are older than Config.ResultTTL, retires and drops segments, and
// removes fingerprints of other stores and history losses that are older than the retry horizon.
func (s *Store) Sweep(now time.Duration) {
	s.advanceClock(now)
	s.sweepSegments()
	horizon := s.now - s.cfg.RetryHorizon
	s.peerFingerprints = slices.DeleteFunc(s.peerFingerprints, func(peer ExpiredKeys) bool { return peer.Until < horizon })
	if s.lostBefore > 0 && horizon > s.lostBefore {
		s.lostBefore = 0
	}
}

// expireOverdue expires all records that are older than Config.ResultTTL.
func (s *Store) expireOverdue() {
	for {
		oldest := s.nextToExpire()
		if oldest == nil || s.now-oldest.at < s.cfg.ResultTTL {
			return
		}
		s.expireOldest()
	}
}

// addResult adds the size of a result to the total and expires the oldest records while the total
// is over its limit.
func (s *Store) addResult(rec *record) {
	s.resultBytes += len(rec.result)
	for s.resultBytes > s.cfg.MaxBytes && s.expireOldest() {
	}
}

// expireOldest expires the record that completed first, and reports whether there was one.
func (s *Store) expireOldest() bool {
	oldest := s.nextToExpire()
	if oldest == nil {
		return false
	}
	key := s.expiryQueue[0]
	s.popExpiryQueue()
	s.expire(key, oldest)
	return true
}

// nextToExpire returns the record that expires next, or nil if there is none. It removes keys from
// the front of the queue whose record was removed or is in flight again.
func (s *Store) nextToExpire() *record {
	for len(s.expiryQueue) > 0 {
		if rec := s.records[s.expiryQueue[0]]; rec != nil && rec.flight == nil {
			return rec
		}
		s.popExpiryQueue()
	}
	return nil
}

func (s *Store) popExpiryQueue() {
	s.expiryQueue = s.expiryQueue[1:]
	s.queueStart++
}
