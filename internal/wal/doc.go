// Package wal is the write-ahead log of package idempotency: it writes the log entries of an
// [idempotency.Store] to a disk and reads them back after a restart. The store decides which
// segment an entry belongs to and when a segment is retired or dropped.
//
// # Files
//
// A store is one directory. Other files in it, such as those of a cluster's roster, are not
// touched.
//
//	store      identifies the store: a text with the name of the node, the time of creation, a
//	           random mark and a checksum. Only Init creates it, because an empty directory may be a
//	           disk that was lost or is not mounted.
//	N.log      the log records of segment N. N has 16 decimal digits and starts at 1.
//	N.prints   the fingerprints of segment N, which has been retired.
//	lock       locked while a process uses the store.
//	reading    the number of consecutive starts that did not finish reading the store. A start that
//	           finishes removes it.
//	*.new      a file that was not completely written. The next start removes it.
//	*.aside    a quarantined file, which is never read.
//
// All integers are little endian. Times are nanoseconds since the Unix epoch. Checksums are
// xxHash64 of a salt and the bytes covered. The salt is the mark of the store and the number of the
// segment, so that bytes of another store or segment are never accepted.
//
// # Log files
//
// A log file is a sequence of frames. A frame has log records of one segment that were committed
// together:
//
//	offset  size
//	0       4     magic, "FREK"
//	4       4     length of the payload, which is the data after the header
//	8       4     number of records
//	12      4     lower half of the checksum of the bytes 0 to 11 and 16 to 23, with segment number 0
//	              in the salt
//	16      8     sequence number of the first record; the following records have the next numbers
//	24      8     checksum of the bytes 0 to 23 and of the payload
//	32            the records
//	              a byte 0xff
//
// A record is:
//
//	0       1     kind, an idempotency.EntryKind
//	1       8     time
//	9       16    key; for EntrySegmentOpened and EntrySegmentDropped, the number of the segment that
//	              the record refers to and 8 zeros
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
//	56      8     1 if all history losses up to this segment were ended, because an operator accepted
//	              them or other nodes supplied the history, else 0
//	64      8     checksum of the bytes 0 to 63 and of the filter
//	72            the filter as package bloom marshals it, empty if no key has expired
//
// # Invariants
//
// Log records are numbered without gaps across all segments, and the first record of each segment
// has the number of the oldest segment that still exists. Missing records and files are detected by
// this, except for the newest.
//
// A frame is written only after the disk has confirmed the previous one, so only the last frame of
// the last segment can be torn. A torn frame is cut short, or has a sector that was never written
// and reads as zeros. A complete frame cannot end in such a sector, because its last byte is never
// zero. All other unreadable data is damage, which is reported to the store as lost history.
//
// A torn tail is truncated, and the truncation is synced, before any other write. Otherwise another
// power failure could leave a mixture of old and new bytes.
//
// The fingerprints of a segment are durable under their final name before its log file is removed.
// The record that drops a segment is durable before its files are removed. If both files of a
// segment exist, its fingerprints take precedence.
//
// A segment that cannot be read keeps its number and is never written to again. Like any other
// segment, it is dropped when the retry horizon has passed.
//
// # Undetected losses
//
// Two losses cannot be detected from the disk: a store that is complete but older than the last
// state of the node, because an old copy was restored or the newest segments were removed; and a
// frame that the disk confirmed and lost, leaving zeros. Only the records of other nodes reveal
// them, which package failover provides.
package wal
