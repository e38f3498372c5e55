package accounting

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// EntryKind is the kind of change that an entry describes. The numbers are stored.
type EntryKind uint8

// The kinds of entries.
const (
	EntryOpen            EntryKind = iota + 1 // the request was received
	EntryResponseWritten                      // the final response was written, but not yet handed to the operating system
	EntryResponseSent                         // the last byte of the response was handed over, which closes the request
	EntryClose                                // the request was closed without a response, or before the response was handed over
	EntryFlush                                // handing over the written responses begins (Slot is flushStart) or ends (Slot is 0)
	EntryMismatch                             // a mismatch was recorded
)

// flushStart is the Slot of an EntryFlush that marks the beginning.
const flushStart = 1

// entryKindNames are the names of the kinds in trails, the lists of recent entries.
var entryKindNames = [...]string{
	"none",
	EntryOpen:            "open",
	EntryResponseWritten: "answer",
	EntryResponseSent:    "sent",
	EntryClose:           "close",
	EntryFlush:           "flush",
	EntryMismatch:        "differ",
}

// String returns the name of the kind, or "none" if the kind is not valid.
func (k EntryKind) String() string {
	if int(k) < len(entryKindNames) {
		return entryKindNames[k]
	}
	return entryKindNames[0]
}

// Entry is one change of a ledger. Fields that its kind does not use are zero.
type Entry struct {
	Seq      uint64        // sequence number: 1 for the first entry of a ledger, increased by 1 for each
	At       time.Duration // time of the change
	ID       uint64        // id of the request; only in EntryOpen
	Slot     uint32        // slot of the request in the ledger while it is open; reused after the request is closed
	Kind     EntryKind
	Reason   Reason       // only in EntryResponseWritten and EntryClose
	Frontend Frontend     // only in EntryOpen
	Handler  uint16       // only in EntryOpen
	Customer CustomerName // only in EntryOpen
}

// String returns the entry in the format of trails.
func (e *Entry) String() string {
	switch e.Kind {
	case EntryOpen:
		return fmt.Sprintf("%d:open(%d,%016x)", e.Seq, e.Slot, e.ID)
	case EntryResponseWritten, EntryClose:
		return fmt.Sprintf("%d:%s(%d,%s)", e.Seq, e.Kind, e.Slot, e.Reason)
	}
	return fmt.Sprintf("%d:%s(%d)", e.Seq, e.Kind, e.Slot)
}

// EntrySize is the size of an encoded entry in bytes.
const EntrySize = 64

// Offsets of the fields of an encoded entry. Numbers are little-endian.
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

// Checksum returns the CRC-32C of b. It protects every part of a stored ledger.
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

// Decode decodes the entry at the start of b and reports whether b begins with a complete entry. If b is too short or
// the checksum does not match, Decode leaves e unchanged. An entry with the sequence number 0 is decoded, but not
// complete.
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
