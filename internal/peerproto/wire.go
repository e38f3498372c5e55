package peerproto

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// appendUint appends a varint field unless it is 0. Signed numbers are passed in two's complement.
func appendUint(b []byte, number fieldNumber, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), v)
}

// appendBool appends a bool field unless it is false.
func appendBool(b []byte, number fieldNumber, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, number, 1)
}

// appendFixed appends a fixed64 field unless it is 0.
func appendFixed(b []byte, number fieldNumber, v uint64) []byte {
	if v == 0 {
		return b
	}
	return appendFixedElement(b, number, v)
}

// appendFixedElement appends an element of a repeated fixed64 field, even if it is 0.
func appendFixedElement(b []byte, number fieldNumber, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), v)
}

// appendDouble appends a double field unless it is 0.
func appendDouble(b []byte, number fieldNumber, v float64) []byte {
	return appendFixed(b, number, math.Float64bits(v))
}

// appendBytes appends a string, bytes or message field unless it is empty.
func appendBytes[T ~string | ~[]byte](b []byte, number fieldNumber, v T) []byte {
	if len(v) == 0 {
		return b
	}
	return appendElement(b, number, v)
}

// appendElement appends a length-delimited field even if it is empty. It is for elements of repeated fields and for messages whose presence
// has a meaning.
func appendElement[T ~string | ~[]byte](b []byte, number fieldNumber, v T) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(v)))
	return append(b, v...)
}

// field is one decoded field of a message. Its wire type determines which of the values is set; the other is zero.
type field struct {
	number fieldNumber
	uint   uint64 // value of a varint or fixed64 field
	bytes  []byte // value of a length-delimited field, which shares memory with the input
}

// bool returns the value of a bool field.
func (f field) bool() bool { return f.uint == 1 }

// float returns the value of a double field.
func (f field) float() float64 { return math.Float64frombits(f.uint) }

// string returns a copy of the value of a string field.
func (f field) string() string { return string(f.bytes) }

// copy returns a copy of the value of a bytes field, nil if it is empty.
func (f field) copy() []byte { return append([]byte(nil), f.bytes...) }

// forEachField calls visit for each field of a message, until visit returns an error. It passes fields of other wire types without a value.
func forEachField(message []byte, visit func(field) error) error {
	for len(message) > 0 {
		number, wireType, size := protowire.ConsumeTag(message)
		if size < 0 {
			return ErrMalformed
		}
		message = message[size:]
		f := field{number: number}
		switch wireType {
		case protowire.VarintType:
			f.uint, size = protowire.ConsumeVarint(message)
		case protowire.Fixed64Type:
			f.uint, size = protowire.ConsumeFixed64(message)
		case protowire.BytesType:
			f.bytes, size = protowire.ConsumeBytes(message)
		default:
			size = protowire.ConsumeFieldValue(number, wireType, message)
		}
		if size < 0 {
			return ErrMalformed
		}
		message = message[size:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}
