package lineproto

import (
	"bytes"
	"strconv"
	"time"
)

// Words parses the words of a line from left to right. A word that is not as
// expected yields the zero value and marks the line as malformed, so that a parser
// needs only one check at the end of the line.
type Words struct {
	rest      []byte
	malformed bool
}

// NewWords returns the words of a line.
func NewWords(line []byte) Words { return Words{rest: line} }

// Next returns the next word, empty if there is none.
func (w *Words) Next() []byte {
	word, rest := NextWord(w.rest)
	w.rest = rest
	return word
}

// Rest returns the unread rest of the line.
func (w *Words) Rest() []byte {
	rest := w.rest
	w.rest = nil
	return rest
}

// Empty reports whether no word is left.
func (w *Words) Empty() bool { return len(w.rest) == 0 }

// Uint returns the next word as a decimal number without a sign.
func (w *Words) Uint() uint64 {
	n, ok := ParseUint(w.Next())
	w.Expect(ok)
	return n
}

// ID returns the next word as 16 hexadecimal digits.
func (w *Words) ID() uint64 {
	n, ok := ParseID(w.Next())
	w.Expect(ok)
	return n
}

// Millis returns the next word as a duration in milliseconds.
func (w *Words) Millis() time.Duration {
	d, ok := ParseMillis(w.Next())
	w.Expect(ok)
	return d
}

// Expect marks the line as malformed unless the condition holds.
func (w *Words) Expect(condition bool) {
	if !condition {
		w.malformed = true
	}
}

// Malformed reports whether a word was not as expected.
func (w *Words) Malformed() bool { return w.malformed }

// NextWord returns the first word of a line and the rest of the line after the space.
func NextWord(line []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(line, []byte{' '})
	return word, rest
}

// ParseUint parses a decimal number without a sign, below 2^63.
func ParseUint(word []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(word), 10, 63)
	return n, err == nil
}

// ParseID parses 16 hexadecimal digits.
func ParseID(word []byte) (uint64, bool) {
	const digits = 16
	if len(word) != digits {
		return 0, false
	}
	n, err := strconv.ParseUint(string(word), 16, 64)
	return n, err == nil
}

// ParseMillis parses a duration in milliseconds, with or without decimals.
func ParseMillis(word []byte) (time.Duration, bool) {
	const maxMillis = 1e12 // some 30 years
	millis, err := strconv.ParseFloat(string(word), 64)
	if err != nil || !(millis >= 0 && millis <= maxMillis) { // the comparisons are false for NaN
		return 0, false
	}
	return time.Duration(millis * float64(time.Millisecond)), true
}
