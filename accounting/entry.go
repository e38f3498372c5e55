package accounting

import (
	"encoding/binary"
	"hash/crc32"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EntryKind tells what an Op changes.
type EntryKind uint8

// The ops.
const (
	EntryOpen     EntryKind = iota + 1 // a req was taken
	EntryAnswer                        // its final answer is written, and is still to be handed to the system
	EntrySent                          // the last byte of that was handed to the system: closed
	EntryClose                         // closed without that
	EntryFlush                         // answers that were left are being handed over anew (Slot 1), or no longer (Slot 0)
	EntryMismatch                      // figures were found that do not add up
)

// Entry is one change of a book. Fields that do not belong to its kind are zero.
type Entry struct {
	Seq      uint64        // 1 for the first of a book, one more for each
	At       time.Duration // since the start of 1970, by the box's clock
	ID       uint64        // OpOpen
	Slot     uint32        // the place of the req in the book; used again after its end
	Kind     EntryKind
	Reason   Reason       // OpAnswer, OpClose
	Front    Frontend     // OpOpen
	Handler  uint16       // OpOpen
	Customer CustomerName // OpOpen
}

// maxNameLength is the longest name kept as it is: with it an op has 64 bytes.
const maxNameLength = 24

// CustomerName is a customer's name, comparable and without a pointer. A longer one is cut, and told apart by a hash.
type CustomerName struct {
	length uint8
	bytes  [maxNameLength]byte
}

// NewCustomerName makes a name.
func NewCustomerName(b []byte) CustomerName {
	var n CustomerName
	if len(b) <= maxNameLength {
		n.length = uint8(copy(n.bytes[:], b))
		return n
	}
	const kept = maxNameLength - 9
	copy(n.bytes[:kept], b)
	n.bytes[kept] = '~'
	h := strconv.AppendUint(n.bytes[kept+1:kept+1:maxNameLength], xxhash.Sum64(b)>>32|1<<31, 16)
	n.length = uint8(kept + 1 + len(h))
	return n
}

// String is the name as text.
func (n CustomerName) String() string { return string(n.bytes[:n.length]) }

// EntrySize is the length of an encoded op, in bytes.
const EntrySize = 64

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the one of all parts of a figures file.
func Checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// Put writes the op into the first OpSize bytes.
func (o *Entry) Put(b []byte) {
	_ = b[EntrySize-1]
	le := binary.LittleEndian
	le.PutUint64(b, o.Seq)
	le.PutUint64(b[8:], uint64(o.At))
	le.PutUint64(b[16:], o.ID)
	le.PutUint32(b[24:], o.Slot)
	b[28], b[29], b[30], b[31] = byte(o.Kind), byte(o.Reason), byte(o.Front), o.Customer.length
	le.PutUint16(b[32:], o.Handler)
	copy(b[34:58], o.Customer.bytes[:])
	b[58], b[59] = 0, 0
	le.PutUint32(b[60:], Checksum(b[:60]))
}

// Get reads an op and tells whether there is a whole one.
func (o *Entry) Get(b []byte) bool {
	if len(b) < EntrySize {
		return false
	}
	le := binary.LittleEndian
	if le.Uint32(b[60:]) != Checksum(b[:60]) {
		return false
	}
	*o = Entry{
		Seq: le.Uint64(b), At: time.Duration(le.Uint64(b[8:])), ID: le.Uint64(b[16:]), Slot: le.Uint32(b[24:]),
		Kind: EntryKind(b[28]), Reason: Reason(b[29]), Front: Frontend(b[30]), Handler: le.Uint16(b[32:]),
	}
	o.Customer.length = min(b[31], maxNameLength)
	copy(o.Customer.bytes[:], b[34:58])
	return o.Seq > 0
}
