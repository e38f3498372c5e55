// Package idempotency remembers which requests must not run twice and what came of them, across
// restarts of the process.
//
// Each request is identified by a [Key]. Before a request runs, its intent is written to a
// write-ahead log; when it has run, its result or its failure is. A retry of the request then gets
// the first result instead of a second run. A request whose intent is in the log and whose end is
// not, because the process died between the two, has an unknown outcome: it is never run again.
//
// [Store] is a state machine without I/O, clock or goroutine. Its methods take the time, return
// what may happen now as [Outcome] values, and collect what is to be written as [LogEntry] values,
// which [Store.TakeEntries] hands over. Package wal writes them to the disk in order, and
// [Store.MarkDurable] reports back how far it got. Only what is durable lets a request start or be
// answered as completed.
//
// # Expiry
//
// Memory and disk are bounded by a [Config]. A record of a key expires when its result is older
// than a limit, or when there are too many. What remains of an expired key is its fingerprint in a
// Bloom filter: a later retry is recognized and rejected, but no longer answered with the result. A
// fingerprint is kept until nobody retries so old a request any more, which is the retry horizon.
//
// # Segments
//
// The log consists of numbered segments. The intent and the end of a key are log entries of
// whichever segment was open when they were written. Keys expire in the order in which they ended,
// so segments empty from the front. A segment of which all keys have expired is retired: its
// fingerprints take the place of its log entries. When the retry horizon has passed it is dropped
// with its fingerprints.
//
// # Lost history
//
// Log entries can be lost: files can be damaged or missing, and a whole store can be older than
// what other nodes know of it. A request that was made before the end of the loss and is not
// remembered may have run, so it is rejected with [HistoryLost], until the retry horizon has
// passed, an operator accepts the loss, or other nodes have supplied what was lost.
package idempotency
