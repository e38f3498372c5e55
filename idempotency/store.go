package idempotency

import "time"

// Store remembers keys and what came of their requests. New makes one. Load and the other loading
// methods bring it to what the disk has, FinishLoading ends that, and from then on it takes
// requests.
//
// Times are durations since 1970 began. A Store is not safe for concurrent use.
type Store struct {
	cfg    Config
	now    time.Duration
	failed bool // the disk has failed: nothing can be written any more

	// Remembered keys.
	records         map[Key]*record
	resultBytes     int
	inFlight        int            // records with a flight
	unknownOutcomes int            // records in stateUnknown
	unknownHandlers map[Key]string // handlers of those, where they are known

	// expiryQueue has the keys that ended or whose outcome is unknown, the oldest first. Some may
	// be forgotten already.
	expiryQueue        []Key
	queueStart         uint64           // position of the first key in expiryQueue, counted since the store was made
	uncompletedIntents map[Key]struct{} // while loading: intents of the incarnation that is being loaded, without an end so far

	// The log.
	segments     []*segment // the oldest first; the last takes records unless it is retired
	incarnation  uint64
	lastSeq      uint64 // of the last record that was made or loaded
	durableSeq   uint64 // of the last record that is durable
	unwritten    []LogEntry
	awaitingDisk []Key // those with a record in the log that is waited for, in the order of their records

	// Lost history.
	lostBefore       time.Duration // requests made before can't be proved fresh; 0 if all can
	peerFingerprints []ExpiredKeys // of other stores, for what this one has lost
	refillCovers     func(Key) bool
	refilled         bool // other nodes have supplied all that was lost
}

// New returns an empty store.
func New(cfg Config) *Store {
	return &Store{
		cfg:                cfg.withMinimums(),
		records:            map[Key]*record{},
		unknownHandlers:    map[Key]string{},
		uncompletedIntents: map[Key]struct{}{},
	}
}

// advanceClock moves the time forward. It never goes back: a clock that was set back must not make
// anything younger.
func (s *Store) advanceClock(now time.Duration) {
	s.now = max(s.now, now)
}

// TakeEntries returns what is to be written to the log since the last call.
func (s *Store) TakeEntries() []LogEntry {
	entries := s.unwritten
	s.unwritten = nil
	return entries
}

// DurableSeq returns the sequence number of the last durable record.
func (s *Store) DurableSeq() uint64 { return s.durableSeq }
