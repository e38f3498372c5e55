package lineproto

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestReader checks that lines and bodies are split correctly, and the limits of
// both. A line "body N" is followed by a body of N bytes.
func TestReader(t *testing.T) {
	for _, test := range []struct {
		name    string
		input   string
		want    string // lines and bodies, joined by a comma
		wantErr error
	}{
		{"lines", "one\r\ntwo\r\n", "one,two", nil},
		{"empty line", "\r\n", "", nil},
		{"part of a line", "one\r\ntw", "one", nil},
		{"body", "body 4\r\n\r\nab\r\nnext\r\n", "body 4,\r\nab,next", nil},
		{"empty body", "body 0\r\n\r\nnext\r\n", "body 0,,next", nil},
		{"line without CR", "one\n", "", ErrNoTerminator},
		{"body without a terminator", "body 1\r\nabc", "body 1", ErrNoTerminator},
		{"longest line", strings.Repeat("x", maxLineSize-2) + "\r\n", strings.Repeat("x", maxLineSize-2), nil},
		{"line too long", strings.Repeat("x", maxLineSize-1) + "\r\n", "", ErrTooLong},
		{"line without an end", strings.Repeat("x", maxLineSize+1), "", ErrTooLong},
		{"body too long", "body 65537\r\n", "body 65537", ErrTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, pieceSize := range []int{1, 2, 3, len(test.input)} {
				got, err := feed(test.input, pieceSize)
				if got != test.want || !errors.Is(err, test.wantErr) {
					t.Errorf("in pieces of %d: got %q, %v, want %q, %v", pieceSize, got, err, test.want, test.wantErr)
				}
			}
		})
	}
}

// feed passes the input to a reader in pieces, and returns the lines and bodies that
// the reader found.
func feed(input string, pieceSize int) (string, error) {
	var got []string
	reader := &Reader{
		OnLine: func(line []byte) (int, error) {
			got = append(got, string(line))
			words := NewWords(line)
			if string(words.Next()) != "body" {
				return NoBody, nil
			}
			return int(words.Uint()), nil
		},
		OnBody: func(body []byte) error {
			got = append(got, string(body))
			return nil
		},
	}
	for len(input) > 0 {
		n := min(pieceSize, len(input))
		if err := reader.Feed([]byte(input[:n])); err != nil {
			return strings.Join(got, ","), err
		}
		input = input[n:]
	}
	return strings.Join(got, ","), nil
}

// TestWords checks the values that words are parsed to, and that malformed words are
// detected.
func TestWords(t *testing.T) {
	words := NewWords([]byte("begin 7 00000000000000aa 1.5 all the rest"))
	if got := string(words.Next()); got != "begin" {
		t.Error(got)
	}
	if got := words.Uint(); got != 7 {
		t.Error(got)
	}
	if got := words.ID(); got != 0xaa {
		t.Error(got)
	}
	if got := words.Millis(); got != 1500*time.Microsecond {
		t.Error(got)
	}
	if got := string(words.Rest()); got != "all the rest" || !words.Empty() || words.Malformed() {
		t.Error(got, words.Empty(), words.Malformed())
	}
	for line, read := range map[string]func(*Words){
		"-1":                  func(w *Words) { w.Uint() },
		"":                    func(w *Words) { w.Uint() },
		"9223372036854775808": func(w *Words) { w.Uint() },
		"aa":                  func(w *Words) { w.ID() },
		"000000000000000g":    func(w *Words) { w.ID() },
		"-0.1":                func(w *Words) { w.Millis() },
		"NaN":                 func(w *Words) { w.Millis() },
		"2e12":                func(w *Words) { w.Millis() },
	} {
		t.Run(line, func(t *testing.T) {
			words := NewWords([]byte(line))
			read(&words)
			if !words.Malformed() {
				t.Error("the word is not malformed")
			}
		})
	}
}
