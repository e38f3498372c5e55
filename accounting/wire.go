package accounting

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// Snapshots and closed periods are stored as protocol buffer messages, which figures.proto documents. The code encodes
// and decodes them by hand, with the field numbers of that file, because a transition must not allocate and decoding
// must reject messages whose counts do not add up.

// ErrCorrupt is returned for stored bytes that are not a valid snapshot or period.
var ErrCorrupt = errors.New("corrupt record")

// Field numbers of message Cells.
const cellsPairs protowire.Number = 1

// Field numbers of message Figures.
const (
	countsReceived protowire.Number = 1
	countsServed   protowire.Number = 2
	countsRejected protowire.Number = 3
	countsFailed   protowire.Number = 4
	countsOpen     protowire.Number = 5
)

// Field numbers of message Customer.
const (
	customerNameField protowire.Number = 1
	customerWeight    protowire.Number = 2
	customerCounts    protowire.Number = 3
)

// Field numbers of message Life.
const (
	incarnationNumber       protowire.Number = 1
	incarnationBoot         protowire.Number = 2
	incarnationStarted      protowire.Number = 3
	incarnationLastEntry    protowire.Number = 4
	incarnationStateField   protowire.Number = 5
	incarnationUncertain    protowire.Number = 6
	incarnationUncertainIDs protowire.Number = 7
	incarnationCounts       protowire.Number = 8
)

// Field numbers of message Open.
const (
	requestSlot        protowire.Number = 1
	requestID          protowire.Number = 2
	requestOpenedAt    protowire.Number = 3
	requestHandler     protowire.Number = 4
	requestFrontend    protowire.Number = 5
	requestCustomer    protowire.Number = 6
	requestStateField  protowire.Number = 7
	requestReasonField protowire.Number = 8
)

// Field numbers of message Book.
const (
	ledgerSeq          protowire.Number = 1
	ledgerHandlers     protowire.Number = 2
	ledgerCells        protowire.Number = 3
	ledgerTotal        protowire.Number = 4
	ledgerMismatches   protowire.Number = 5
	ledgerFlushing     protowire.Number = 6
	ledgerRequests     protowire.Number = 7
	ledgerMaxCustomers protowire.Number = 8
	ledgerCustomers    protowire.Number = 9
	ledgerMaxPeriods   protowire.Number = 10
	ledgerPeriodLength protowire.Number = 11
	ledgerFirstPeriod  protowire.Number = 12
	ledgerNextPeriod   protowire.Number = 13
	ledgerCurrentStart protowire.Number = 14
	ledgerCurrentCells protowire.Number = 15
	ledgerExpiredCells protowire.Number = 16
	ledgerIncarnations protowire.Number = 17
	ledgerEarlier      protowire.Number = 18
	ledgerEarlierCount protowire.Number = 19
)

// appendUint appends a varint field, unless the value is 0.
func appendUint(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), value)
}

// appendInt appends a varint field, unless the value is 0.
func appendInt[T ~int64](b []byte, number protowire.Number, value T) []byte {
	return appendUint(b, number, uint64(value))
}

// appendFixed appends a fixed-size field of eight bytes.
func appendFixed(b []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), value)
}

// appendBytes appends a field of type bytes or string.
func appendBytes[T ~string | ~[]byte](b []byte, number protowire.Number, value T) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(value)))
	return append(b, value...)
}

// appendMessage appends a field with a message. The function content appends the content of the message. The length of
// the message is known only afterwards, so it is written as a varint that is padded to lengthSize bytes.
func appendMessage(b []byte, number protowire.Number, content func(b []byte) []byte) []byte {
	const (
		lengthSize   = 4 // in bytes; messages are smaller than 256 MB
		payloadBits  = 7 // in each byte of a varint
		payloadMask  = 1<<payloadBits - 1
		continuation = 1 << payloadBits
	)
	b = protowire.AppendTag(b, number, protowire.BytesType)
	start := len(b)
	b = content(append(b, make([]byte, lengthSize)...))
	length := len(b) - start - lengthSize
	for i := range lengthSize {
		b[start+i] = byte(length>>(payloadBits*i))&payloadMask | continuation
	}
	b[start+lengthSize-1] &= payloadMask // the last byte has no continuation bit
	return b
}

// field is a decoded field of a message.
type field struct {
	number protowire.Number
	value  uint64 // value of a varint or fixed-size field
	bytes  []byte // content of a bytes, string or message field
}

// forEachField calls f for each field of a message and stops at the first error. It returns ErrCorrupt if the message is
// not valid.
func forEachField(message []byte, f func(field) error) error {
	for len(message) > 0 {
		next, size := consumeField(message)
		if size < 0 {
			return ErrCorrupt
		}
		message = message[size:]
		if err := f(next); err != nil {
			return err
		}
	}
	return nil
}

// consumeField decodes the first field of a message. It returns the encoded size of the field, which is negative if the
// field is corrupt.
func consumeField(message []byte) (field, int) {
	number, kind, tagSize := protowire.ConsumeTag(message)
	if tagSize < 0 {
		return field{}, tagSize
	}
	decoded := field{number: number}
	rest := message[tagSize:]
	var size int
	switch kind {
	case protowire.VarintType:
		decoded.value, size = protowire.ConsumeVarint(rest)
	case protowire.Fixed64Type:
		decoded.value, size = protowire.ConsumeFixed64(rest)
	case protowire.BytesType:
		decoded.bytes, size = protowire.ConsumeBytes(rest)
	default:
		return field{}, -1
	}
	if size < 0 {
		return field{}, size
	}
	return decoded, tagSize + size
}
