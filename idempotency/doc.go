// Package idempotency records which requests must not run twice and how each of them completed,
// across restarts of the process.
//
// Each request is identified by a [Key]. Before a request runs, its intent is written to a
// write-ahead log. After the run, a completion record is written that holds the result or marks the
// failure. A retry of the request then receives the first result instead of a second run. If the
// log has the intent of a request but no completion record, because the process died between the
// two writes, the outcome of the request is unknown and the request never runs again.
//
// [Store] is a state machine without I/O, clock or goroutines. Its methods take the current time,
// return decisions on requests as [Outcome] values, and collect the entries to be written as
// [LogEntry] values, which [Store.TakeEntries] returns. Package wal writes the entries to the disk
// in order, and [Store.MarkDurable] takes the sequence number that the disk has confirmed. A
// request starts only after its intent is durable, and is answered as completed only after its
// result is durable.
//
// # Expiry
//
// A [Config] bounds the memory and the disk space. The record of a key expires when its result is
// older than a limit, or when there are too many records or results. An expired key leaves its
// fingerprint in a Bloom filter: a later retry is recognized and rejected, but no longer answered
// with the result. A fingerprint is kept for the retry horizon, after which clients no longer retry
// the request.
//
// # Segments
//
// The log consists of numbered segments. The intent and the completion record of a key are written
// to the segment that is open at the time. Keys expire in the order in which they completed, so the
// oldest segments run out of live keys first. A segment whose keys have all expired is retired: its
// fingerprints replace its log records. When the retry horizon has passed, the segment is dropped
// together with its fingerprints.
//
// # Lost history
//
// Log records can be lost: files can be damaged or missing, and a whole store can be older than
// other nodes recorded. A request that was made before the end of the loss and has no record may
// have run, so it is rejected with [HistoryLost] until the retry horizon has passed, an operator
// accepts the loss, or other nodes have supplied the lost records.
package idempotency
