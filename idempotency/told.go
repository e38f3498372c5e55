package idempotency

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

// Record is what one store tells another of a key that has ended, or may have run.
type Record struct {
	Key    Key
	Kind   EntryKind // of its end: Result, Failed, Long; 0 its end is not known
	Result []byte
}

// ExpiredKeys are prints of keys of which nothing more is known.
type ExpiredKeys struct {
	Segment uint64 // of the segment that they stand for, in the store that tells
	Until   time.Duration
	Filter  *bloom.BloomFilter
}

// Export gives what is told of keys that have ended or are in doubt, in the order in which they did, from a place to another: results end the
// walk once they are so many bytes. next is the place to go on from; end is the one past the last there is. What ages meanwhile stands in
// Prints, if they are asked for after the walk.
func (s *Store) Export(from, to uint64, bytes int, of func(Key) bool) (told []Record, next, end uint64) {
	end = s.aged + uint64(len(s.order))
	for next = max(from, s.aged); next < min(to, end) && bytes > 0; next++ {
		key := s.order[next-s.aged]
		e := s.entries[key]
		if e == nil || e.hand != nil || !of(key) {
			continue
		}
		t := Record{Key: key, Kind: e.kind, Result: e.result}
		if e.state == doubted {
			t.Kind = 0
		}
		told = append(told, t)
		bytes -= recordBytes + len(t.Result)
	}
	return told, next, end
}

// NextExpired gives the first print of a segment after that number, of this store's own and then of those it was told; false when there is no more.
// Who asks for more says the place of the last: own ones are numbered from 1 on, those told from toldFrom on.
func (s *Store) NextExpired(after uint64) (a ExpiredKeys, place uint64, ok bool) {
	for _, g := range s.segments {
		if g.Filter != nil && g.Segment > after {
			return ExpiredKeys{g.Segment, g.Until, g.Filter}, g.Segment, true
		}
	}
	at := uint64(0)
	if after >= toldFrom {
		at = after - toldFrom + 1
	}
	if at < uint64(len(s.told)) {
		return s.told[at], toldFrom + at, true
	}
	return ExpiredKeys{}, 0, false
}

const toldFrom = 1 << 48

// Merge takes what another store tells of a key of which this one knows nothing, or not how it ended. It is put on the disk like what ran
// here, and ages from now on: later than where it ran, never earlier. It tells whether it was taken.
func (s *Store) Merge(now time.Duration, t Record) bool {
	s.clock(now)
	e := s.entries[t.Key]
	switch {
	case s.failed, e != nil && (t.Kind == 0 || e.hand != nil || e.state != doubted), e == nil && !s.room():
		return false
	case e == nil:
		g, _ := s.record(EntryIntent, t.Key, nil)
		g.live++
		e = &entry{state: doubted, at: s.now, began: g}
		s.entries[t.Key] = e
		s.doubts++
		s.order = append(s.order, t.Key)
	}
	if t.Kind == 0 {
		return true
	}
	if t.Kind == EntryResult && len(t.Result) > s.cfg.MaxResultBytes {
		t.Kind = EntryResultTooLong
	}
	if t.Kind != EntryResult {
		t.Result = nil
	}
	e.kind, e.result = t.Kind, slices.Clone(t.Result)
	e.over, _ = s.record(t.Kind, t.Key, e.result)
	e.over.live++
	e.state, e.at = ended, s.now
	s.doubts--
	delete(s.of, t.Key)
	s.hold(e)
	return true
}

// Resume has a key in doubt be in hand again, for the end that turns up; its Done is that req's. It tells whether it was in doubt.
func (s *Store) Resume(key Key, id uint64) bool {
	e := s.entries[key]
	if e == nil || e.state != doubted {
		return false
	}
	e.state, e.hand = begun, &hand{first: id, of: s.of[key]}
	delete(s.of, key)
	s.doubts--
	s.hands++
	return true
}

// MergeExpired takes another store's prints. They are not on this one's disk.
func (s *Store) MergeExpired(a ExpiredKeys) {
	if a.Filter != nil && s.now-a.Until <= s.cfg.RetryHorizon {
		s.told = append(s.told, a)
	}
}

// SetProver gives the store somebody who knows of which keys all that may be lost here has been told again.
func (s *Store) SetProver(f func(Key) bool) { s.proves = f }

// Complete tells whether the store can answer for all that it has ever had.
func (s *Store) Complete() bool { return (s.blind == 0 || s.refilled) && !s.failed }

// KnowsHistoryOf tells whether what the store has of a key is all that it ever had.
func (s *Store) KnowsHistoryOf(key Key) bool { return s.Complete() || s.proves != nil && s.proves(key) }

// MarkComplete says that all that was lost here has been told again, for all keys. It is as good as an operator's word, and stays so in later
// lives if all that was told is on the disk; prints are not, so with any of them the next life asks anew. It tells whether it stays so.
func (s *Store) MarkComplete(now time.Duration) bool {
	s.refilled = true
	if s.Sweep(now); len(s.told) > 0 || s.failed {
		return false
	}
	if s.blind > 0 {
		s.AcceptHistory(now)
	}
	return true
}

// UnknownKeys gives the keys whose end is not known, at most so many, the oldest first.
func (s *Store) UnknownKeys(most int) (keys []Key) {
	for _, key := range s.order {
		if e := s.entries[key]; e != nil && e.state == doubted && len(keys) < most && s.doubts > len(keys) {
			keys = append(keys, key)
		}
	}
	return keys
}

// UnknownByHandler are how many keys are in doubt, by handler; "" where that is not known.
func (s *Store) UnknownByHandler() map[string]int {
	out := map[string]int{}
	for _, of := range s.of {
		out[of]++
	}
	if n := s.doubts - len(s.of); n > 0 {
		out[""] = n
	}
	return out
}
