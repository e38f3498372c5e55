package idempotency

import "time"

// Store records keys and the outcomes of their requests. New creates an empty store. Load and the
// other loading methods restore the state that is on the disk, FinishLoading ends loading, and from
// then on the store accepts requests.
//
// Times are durations since the Unix epoch. A Store is not safe for concurrent use.
type Store struct {
	cfg    Config
	now    time.Duration
	failed bool // a write to the disk failed, and no further entries can be written

	// Keys with a record.
	records         map[Key]*record
	resultBytes     int
	inFlight        int            // number of records with a flight
	unknownOutcomes int            // number of records in stateUnknown
	unknownHandlers map[Key]string // handlers of the records in stateUnknown, where they are known

	// expiryQueue has the keys that completed or whose outcome is unknown, in the order in which
	// they expire. It may still have keys whose record was removed or is in flight again, and may
	// have a key twice whose outcome was unknown before it completed.
	expiryQueue []Key
	// queueStart is the position of the first key in expiryQueue, counted from the creation of the
	// store.
	queueStart uint64
	// uncompletedIntents has, during loading, the keys of the current incarnation that have an
	// intent and no completion record so far.
	uncompletedIntents map[Key]struct{}

	// The log. The segments are in ascending order, and records are appended to the last one unless
	// it is retired.
	segments    []*segment
	incarnation uint64
	lastSeq     uint64 // of the last log record that was created or loaded
	durableSeq  uint64 // of the last durable log record
	unwritten   []LogEntry
	// awaitingDisk has the keys that wait for a log record to become durable, in the order of those
	// log records.
	awaitingDisk []Key

	// Lost history. A request made before lostBefore and without a record may have run. It is 0 if
	// no history is lost.
	lostBefore       time.Duration
	peerFingerprints []ExpiredKeys // fingerprints from other stores, which replace lost ones
	// refillCovers reports whether other nodes have supplied everything that this store may have
	// lost about a key. It may be nil.
	refillCovers func(Key) bool
	refilled     bool // other nodes have supplied everything that was lost
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

// advanceClock moves the time forward, never back: after the system clock was set back, no record
// must appear younger.
func (s *Store) advanceClock(now time.Duration) {
	s.now = max(s.now, now)
}

// TakeEntries returns the log entries that were created since the last call, in the order in which
// they are to be written.
func (s *Store) TakeEntries() []LogEntry {
	entries := s.unwritten
	s.unwritten = nil
	return entries
}

// DurableSeq returns the sequence number of the last durable log record.
func (s *Store) DurableSeq() uint64 { return s.durableSeq }
