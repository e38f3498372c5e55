package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Open returns a function that feeds a new parser, whose messages are printed.
type Open func(print func(format string, args ...any)) (feed func([]byte) error)

// Parser plays traces of a parser. Each line is its input as Go string literals,
// which are joined. The parser must print the same for the whole input and for
// single bytes.
func Parser(t *testing.T, open Open) {
	t.Helper()
	Files(t, 1, func(t *testing.T, text string) string {
		t.Helper()
		return Steps(text, func(line string, _ int) []string {
			input := unquote(t, line)
			output := feedAll(open, input)
			singleBytes := make([][]byte, len(input))
			for i := range input {
				singleBytes[i] = input[i : i+1]
			}
			if diff := cmp.Diff(output, feedAll(open, singleBytes...)); diff != "" {
				t.Errorf("%s: cut at each byte: %s", line, diff)
			}
			return output
		})
	})
}

// Fuzz feeds a parser with any bytes, whole and cut in two. The seeds are the inputs
// of the traces.
func Fuzz(f *testing.F, open Open) {
	f.Helper()
	addSeeds(f)
	f.Fuzz(func(t *testing.T, input []byte, cut uint16) {
		middle := int(cut) % (len(input) + 1)
		whole := feedAll(open, input)
		inTwo := feedAll(open, input[:middle], input[middle:])
		if diff := cmp.Diff(whole, inTwo); diff != "" {
			t.Error(diff)
		}
	})
}

func addSeeds(f *testing.F) {
	f.Helper()
	const cut = 9 // any
	files, _ := filepath.Glob(traceFiles)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if !strings.HasPrefix(line, `"`) {
				continue
			}
			input, _, _ := strings.Cut(line, "#")
			f.Add(unquote(f, strings.TrimSpace(input)), uint16(cut))
		}
	}
}

// feedAll returns what a new parser prints for the pieces of a stream, with its
// error as the last line.
func feedAll(open Open, pieces ...[]byte) []string {
	var output []string
	feed := open(func(format string, args ...any) {
		output = append(output, fmt.Sprintf(format, args...))
	})
	for _, piece := range pieces {
		if err := feed(piece); err != nil {
			return append(output, "error: "+err.Error())
		}
	}
	return output
}

// unquote returns the text of Go string literals with spaces between them.
func unquote(t testing.TB, literals string) []byte {
	t.Helper()
	var text []byte
	for literals != "" {
		literal, err := strconv.QuotedPrefix(literals)
		if err != nil {
			t.Fatal(literals, err)
		}
		unquoted, _ := strconv.Unquote(literal) // QuotedPrefix has checked it
		text = append(text, unquoted...)
		literals = strings.TrimSpace(literals[len(literal):])
	}
	return text
}
