package idempotency

import (
	"fmt"
	"time"
)

// Key identifies a request. It is a hash of whatever the operator configures: handler and customer,
// a field, the body.
type Key [16]byte

// LogEntry is one thing to be written to the log, in the order in which it was handed over. All but
// [EntrySegmentRetired] are records of the log, whose sequence numbers follow each other without a
// gap.
type LogEntry struct {
	// Seq is the sequence number of a record.
	Seq uint64
	// Kind says what the entry is about and which of the other fields it uses.
	Kind EntryKind
	// Segment is the number of the segment that the record belongs to; of EntrySegmentRetired, the
	// segment that is retired.
	Segment uint64
	// Subject is the oldest segment that still exists for EntrySegmentOpened, and the segment in
	// question for EntrySegmentDropped.
	Subject uint64
	// Key is the key that an intent or an end is about.
	Key Key
	// At is when the entry was made, since 1970 began. It never decreases from one entry to the
	// next.
	At time.Duration
	// Data is the result for EntryResult, and the handler's name for EntryIntent.
	Data []byte
	// Fingerprints is what remains of the segment for EntrySegmentRetired.
	Fingerprints *Fingerprints
}

// EntryKind says what a [LogEntry] is about. The numbers are part of the format of the log on disk.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryIntent says that the request may run from now on.
	EntryIntent EntryKind = 1
	// EntryResult says that the request ran, and has its result.
	EntryResult EntryKind = 2
	// EntryFailed says that the request ran, or may have, and failed.
	EntryFailed EntryKind = 3
	// EntryNeverRan says that the request is proved not to have run: a retry is fresh.
	EntryNeverRan EntryKind = 4
	// EntryResultTooLong says that the request ran, and that its result is too long to be kept.
	EntryResultTooLong EntryKind = 5
	// EntrySegmentOpened is the first record of each segment.
	EntrySegmentOpened EntryKind = 6
	// EntryIncarnation says that a process began to use the store.
	EntryIncarnation EntryKind = 7
	// EntryHistoryAccepted says that an operator vouches for all history that had been lost.
	EntryHistoryAccepted EntryKind = 8
	// EntrySegmentDropped says that the fingerprints of a segment may be deleted.
	EntrySegmentDropped EntryKind = 9
	// EntrySegmentRetired says that all keys of a segment have expired, and that its fingerprints
	// replace its records. It is no record itself.
	EntrySegmentRetired EntryKind = 10
	// EntryHistoryLost says that the store was found to lack earlier history: no request made
	// before can be proved fresh.
	EntryHistoryLost EntryKind = 11
)

// entryKindNames are printed by the operators' commands and compared by their scripts.
var entryKindNames = [...]string{
	EntryIntent:          "intent",
	EntryResult:          "result",
	EntryFailed:          "failed",
	EntryNeverRan:        "never",
	EntryResultTooLong:   "too long",
	EntrySegmentOpened:   "open",
	EntryIncarnation:     "life",
	EntryHistoryAccepted: "accepted",
	EntrySegmentDropped:  "drop",
	EntrySegmentRetired:  "retire",
	EntryHistoryLost:     "gap",
}

// String returns the name of the kind.
func (k EntryKind) String() string {
	if int(k) >= len(entryKindNames) || entryKindNames[k] == "" {
		return "unknown"
	}
	return entryKindNames[k]
}

// Decision is what becomes of a request, either on arrival or after it has waited. Other packages
// may define further ones, from 100 on.
type Decision uint8

// The decisions.
const (
	// Fresh means that the request has not run: it may be reserved, or, if it waited, its caller
	// may retry.
	Fresh Decision = iota + 1
	// Duplicate means that a request with the same key is remembered. [Store.Reserve] and
	// [Store.PeekOutcome] tell more.
	Duplicate
	// Wait means that the request waits for its intent to be durable, or for the original request
	// to end.
	Wait
	// Start means that the request may run: its intent is durable.
	Start
	// Completed means that the request's own result is durable, and is its answer.
	Completed
	// Replay means that the request is answered with the result of the original request.
	Replay
	// OriginalFailed means that the request is answered as failed: the original request failed.
	OriginalFailed
	// OutcomeUnknown means that the request is answered as failed: the original request may have
	// run.
	OutcomeUnknown
	// ResultExpired means that the request is answered as failed: the original request's result has
	// expired or was too long to be kept.
	ResultExpired
	// HistoryLost means that the request is answered as failed: history was lost, so it may have
	// run.
	HistoryLost
	// StoreFull means that the request is rejected and may be retried later: there is no room for
	// what must be remembered.
	StoreFull
	// StoreFailed means that the request is rejected: the disk has failed, so nothing can be
	// remembered.
	StoreFailed
)

var decisionNames = [...]string{
	Fresh:          "fresh",
	Duplicate:      "duplicate",
	Wait:           "wait",
	Start:          "start",
	Completed:      "completed",
	Replay:         "replay",
	OriginalFailed: "original failed",
	OutcomeUnknown: "outcome unknown",
	ResultExpired:  "result expired",
	HistoryLost:    "history lost",
	StoreFull:      "store full",
	StoreFailed:    "store failed",
}

// String returns the name of the decision.
func (d Decision) String() string {
	if int(d) >= len(decisionNames) || decisionNames[d] == "" {
		return fmt.Sprintf("decision %d", uint8(d))
	}
	return decisionNames[d]
}

// Outcome is a decision on one request.
type Outcome struct {
	// ID is the request, as its caller numbered it.
	ID uint64
	// Decision is what becomes of it.
	Decision Decision
	// Result is the answer, for Completed and Replay.
	Result []byte
}
