package fastcgi

import "encoding/binary"

// EachParam calls f for each name-value pair of encoded parameters, in order. It
// returns false if they end in the middle of a pair.
func EachParam(encoded []byte, f func(name, value []byte)) bool {
	rest := encoded
	for len(rest) > 0 {
		var nameLength, valueLength int
		var ok bool
		if nameLength, rest, ok = cutLength(rest); !ok {
			return false
		}
		if valueLength, rest, ok = cutLength(rest); !ok {
			return false
		}
		if nameLength > len(rest) || valueLength > len(rest)-nameLength {
			return false
		}
		end := nameLength + valueLength
		f(rest[:nameLength], rest[nameLength:end])
		rest = rest[end:]
	}
	return true
}

// cutLength reads the length of a name or value, which is encoded in one byte or,
// if the highest bit is set, in four bytes. It returns the bytes that follow.
func cutLength(b []byte) (length int, rest []byte, ok bool) {
	const (
		longSize = 4
		longFlag = 0x80
		longMask = 0x7fffffff
	)
	if len(b) == 0 {
		return 0, nil, false
	}
	if b[0] < longFlag {
		return int(b[0]), b[1:], true
	}
	if len(b) < longSize {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(b) & longMask), b[longSize:], true
}
