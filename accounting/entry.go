package accounting

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// EntryKind tells what an entry changes. The numbers are stored.
type EntryKind uint8

// The kinds of entries.
const (
	EntryOpen            EntryKind = iota + 1 // a request was received
	EntryResponseWritten                      // its final response is written, and still to be handed to the operating system
	EntryResponseSent                         // the last byte of the response was handed over: the request is closed
	EntryClose                                // the request is closed otherwise
	EntryFlush                                // handing over responses that were left begins (Slot is flushBegins) or ends (0)
	EntryMismatch                             // counts were found that do not add up
)

// flushBegins is the Slot of an EntryFlush that begins.
const flushBegins = 1

// entryKindNames are the words of the kinds in trails.
var entryKindNames = [...]string{
	"none",
	EntryOpen:            "open",
	EntryResponseWritten: "answer",
	EntryResponseSent:    "sent",
	EntryClose:           "close",
	EntryFlush:           "flush",
	EntryMismatch:        "differ",
}

// String returns the kind's word.
func (k EntryKind) String() string {
	if int(k) < len(entryKindNames) {
		return entryKindNames[k]
	}
	return entryKindNames[0]
}

// Entry is one change of a ledger. Fields that its kind does not use are zero.
type Entry struct {
	Seq      uint64        // 1 for the first entry of a ledger, one more for each
	At       time.Duration // when it happened
	ID       uint64        // of the request; EntryOpen
	Slot     uint32        // where the ledger keeps the request while it is open; reused after its end
	Kind     EntryKind
	Reason   Reason       // EntryAnswer, EntryClose
	Frontend Frontend     // EntryOpen
	Handler  uint16       // EntryOpen
	Customer CustomerName // EntryOpen
}

// String returns the entry as it is shown in a trail.
func (e *Entry) String() string {
	switch e.Kind {
	case EntryOpen:
		return fmt.Sprintf("%d:open(%d,%016x)", e.Seq, e.Slot, e.ID)
	case EntryResponseWritten, EntryClose:
		return fmt.Sprintf("%d:%s(%d,%s)", e.Seq, e.Kind, e.Slot, e.Reason)
	}
	return fmt.Sprintf("%d:%s(%d)", e.Seq, e.Kind, e.Slot)
}

// EntrySize is the length of an encoded entry, in bytes.
const EntrySize = 64

// Offsets of the fields of an encoded entry. Numbers are little endian.
const (
	offsetSeq        = 0
	offsetAt         = 8
	offsetID         = 16
	offsetSlot       = 24
	offsetKind       = 28
	offsetReason     = 29
	offsetFrontend   = 30
	offsetNameLength = 31
	offsetHandler    = 32
	offsetName       = 34
	offsetPadding    = offsetName + maxNameLength
	offsetChecksum   = EntrySize - 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C that guards all parts of a stored ledger.
func Checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// Encode encodes the entry into the first EntrySize bytes of b.
func (e *Entry) Encode(b []byte) {
	b = b[:EntrySize]
	le := binary.LittleEndian
	le.PutUint64(b[offsetSeq:], e.Seq)
	le.PutUint64(b[offsetAt:], uint64(e.At))
	le.PutUint64(b[offsetID:], e.ID)
	le.PutUint32(b[offsetSlot:], e.Slot)
	b[offsetKind] = byte(e.Kind)
	b[offsetReason] = byte(e.Reason)
	b[offsetFrontend] = byte(e.Frontend)
	b[offsetNameLength] = e.Customer.length
	le.PutUint16(b[offsetHandler:], e.Handler)
	copy(b[offsetName:offsetPadding], e.Customer.bytes[:])
	clear(b[offsetPadding:offsetChecksum])
	le.PutUint32(b[offsetChecksum:], Checksum(b[:offsetChecksum]))
}

// Decode decodes an entry and reports whether b begins with a complete one. Otherwise it leaves the entry alone, except that
// an entry without a sequence number is decoded and not complete.
func (e *Entry) Decode(b []byte) bool {
	if len(b) < EntrySize {
		return false
	}
	le := binary.LittleEndian
	if le.Uint32(b[offsetChecksum:]) != Checksum(b[:offsetChecksum]) {
		return false
	}
	*e = Entry{
		Seq:      le.Uint64(b[offsetSeq:]),
		At:       time.Duration(le.Uint64(b[offsetAt:])),
		ID:       le.Uint64(b[offsetID:]),
		Slot:     le.Uint32(b[offsetSlot:]),
		Kind:     EntryKind(b[offsetKind]),
		Reason:   Reason(b[offsetReason]),
		Frontend: Frontend(b[offsetFrontend]),
		Handler:  le.Uint16(b[offsetHandler:]),
	}
	e.Customer.length = min(b[offsetNameLength], maxNameLength)
	copy(e.Customer.bytes[:], b[offsetName:offsetPadding])
	return e.Seq > 0
}
