package idempotency

import (
	"fmt"
	"time"
)

// Key identifies a request. It is a hash of the key parts that the operator configures: handler and
// customer, a field, the body.
type Key [16]byte

// LogEntry is one entry to be written to the log. Entries are written in the order in which they
// were returned. All kinds except [EntrySegmentRetired] are log records, whose sequence numbers
// have no gaps.
type LogEntry struct {
	// Seq is the sequence number of a log record.
	Seq uint64
	// Kind is the kind of the entry. It determines which of the other fields are used.
	Kind EntryKind
	// Segment is the number of the segment that the log record belongs to; for EntrySegmentRetired,
	// the segment that is retired.
	Segment uint64
	// Subject is the oldest segment that still exists for EntrySegmentOpened, and the dropped
	// segment for EntrySegmentDropped.
	Subject uint64
	// Key is the key of an intent, a completion record or an EntryNeverRan.
	Key Key
	// At is the time at which the entry was created, since the Unix epoch. It never decreases from
	// one entry to the next.
	At time.Duration
	// Data is the result for EntryResult, and the name of the handler for EntryIntent.
	Data []byte
	// Fingerprints replaces the log records of the segment for EntrySegmentRetired.
	Fingerprints *Fingerprints
}

// EntryKind is the kind of a [LogEntry]. The numbers are part of the format of the log on disk.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryIntent records that the request may run from now on.
	EntryIntent EntryKind = 1
	// EntryResult records that the request ran, with its result.
	EntryResult EntryKind = 2
	// EntryFailed records that the request failed, and that it ran or may have run.
	EntryFailed EntryKind = 3
	// EntryNeverRan records a proof that the request did not run: a retry of it is fresh.
	EntryNeverRan EntryKind = 4
	// EntryResultTooLong records that the request ran, and that its result is too long to be kept.
	EntryResultTooLong EntryKind = 5
	// EntrySegmentOpened is the first log record of each segment.
	EntrySegmentOpened EntryKind = 6
	// EntryIncarnation records that a process started to use the store.
	EntryIncarnation EntryKind = 7
	// EntryHistoryAccepted records that all history losses up to now are ended, because an operator
	// accepted them or other nodes supplied the history.
	EntryHistoryAccepted EntryKind = 8
	// EntrySegmentDropped records that the fingerprints of a segment may be deleted.
	EntrySegmentDropped EntryKind = 9
	// EntrySegmentRetired states that all keys of a segment have expired, and that its fingerprints
	// replace its log records. It is not a log record itself.
	EntrySegmentRetired EntryKind = 10
	// EntryHistoryLost records that the store lacks earlier history: a request made before this
	// entry and without a record may have run.
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

// Decision is the decision on a request, either on arrival or after a wait. Other packages may
// define further decisions, starting at 100.
type Decision uint8

// The decisions.
const (
	// Fresh means that the request has not run: it may be reserved; if it was waiting, its client
	// may retry it.
	Fresh Decision = iota + 1
	// Duplicate means that there is a record of the same key. [Store.Reserve] and
	// [Store.PeekOutcome] return a more specific decision.
	Duplicate
	// Wait means that the request waits until its intent is durable, or until the original request
	// has finished.
	Wait
	// Start means that the request may run, because its intent is durable.
	Start
	// Completed means that the request ran, that its result is durable or the disk has failed, and
	// that the request is answered with the result.
	Completed
	// Replay means that the request is answered with the result of the original request.
	Replay
	// OriginalFailed means that the request is answered as failed because the original request
	// failed.
	OriginalFailed
	// OutcomeUnknown means that the request is answered as failed because the original request may
	// have run.
	OutcomeUnknown
	// ResultExpired means that the request is answered as failed because the result of the original
	// request has expired or was too long to be kept.
	ResultExpired
	// HistoryLost means that the request is answered as failed because it may have run: the history
	// that would prove otherwise is lost.
	HistoryLost
	// StoreFull means that the request is rejected and may be retried later, because the store has
	// no room for its record.
	StoreFull
	// StoreFailed means that the request is rejected because the disk has failed and no intent can
	// be written.
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

// Outcome is the decision on one request, with the result if there is one.
type Outcome struct {
	// ID is the request ID that the caller assigned.
	ID uint64
	// Decision is the decision on the request.
	Decision Decision
	// Result is the result that the request is answered with, for Completed and Replay.
	Result []byte
}
