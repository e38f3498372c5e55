// Package wal is the write-ahead log of package idempotency: it writes the log entries of a
// [idempotency.Store] to a disk, and reads them back after a restart. It decides nothing. Which
// segment an entry belongs to, and when a segment is retired or dropped, is the store's choice.
//
// # Files
//
// A store is one directory. Other files in it, such as those of a cluster's roster, are not
// touched.
//
//	store      who it belongs to: a text with the node's name, the time of creation, a random
//	           mark and a checksum. Only Init makes it, as an empty directory may be a disk that
//	           was lost or is not mounted.
//	N.log      the records of segment N, in 16 decimal digits, from 1 on.
//	N.prints   the fingerprints of segment N, which has been retired.
//	lock       locked while a process uses the store.
//	reading    how many starts in a row have not come to the end of reading the store. It is
//	           removed by one that does.
//	*.new      a file that was not completely written. It is removed by the next start.
//	*.aside    a quarantined file, which is never read.
//
// All integers are little endian. Times are nanoseconds since 1970 began. Checksums are xxHash64 of
// a salt and the bytes covered; the salt is the store's mark and the segment's number, so that
// bytes of another store or segment are never taken for this one's.
//
// # Log files
//
// A log file is a sequence of frames. A frame has records of one segment that were committed
// together:
//
//	offset  size
//	0       4     magic, "FREK"
//	4       4     length of what follows the header
//	8       4     number of records
//	12      4     checksum of the bytes 0 to 11 and 16 to 23, with segment number 0 in the salt:
//	              its lower half
//	16      8     sequence number of the first record; that of the others follows from it
//	24      8     checksum of the bytes 0 to 23 and of all that follows the header
//	32            the records
//	              a byte 0xff
//
// A record is:
//
//	0       1     kind, an idempotency.EntryKind
//	1       8     time
//	9       16    key; of EntrySegmentOpened and EntrySegmentDropped, the number of the segment
//	              in question and 8 zeros
//	25      4     length of the data
//	29            the data
//
// # Fingerprint files
//
//	0       4     magic, "PREK"
//	4       4     length of the filter
//	8       8     segment
//	16      8     sequence number of its last record
//	24      8     time of its first record
//	32      8     time of its last record about a key
//	40      8     number of keys
//	48      8     time before which history was lost, 0 if none was
//	56      8     1 if an operator accepted the lost history, else 0
//	64      8     checksum of the bytes 0 to 63 and of the filter
//	72            the filter as package bloom marshals it, empty if no key has expired
//
// # Invariants
//
// Records are numbered without a gap over all segments, and each segment's first record names the
// oldest segment that still exists. So missing records and files are noticed, but for the newest.
//
// A frame is written only after the disk has confirmed the one before, so only the last frame of
// the last segment can be torn. A torn frame is cut short, or has a sector that was never written
// and reads as zeros; a complete frame has no such sector at its end, as its last byte is never
// zero. Whatever else can't be read is damage, which is reported to the store as lost history.
//
// A torn tail is cut off, and the cut is confirmed, before anything else is written. Otherwise
// another power failure could leave a mix of old and new bytes.
//
// The fingerprints of a segment are confirmed under their final name before its log file is
// removed. The record that drops a segment is confirmed before its files are removed. Where both
// files of a segment exist, the fingerprints count.
//
// A segment that can't be read keeps its number, and is never written to again. It is dropped like
// any other when the retry horizon has passed.
//
// # What is not noticed
//
// A store that is complete but older than what the node had, because an old copy was put back or
// the newest segments were removed, and a disk that confirms a frame and loses it, leaving zeros.
// Both take the memory of other nodes, which package failover has.
package wal
