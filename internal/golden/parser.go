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

// ParserFactory creates a parser and returns a function that feeds it with input. The parser's messages are passed to print.
type ParserFactory func(print func(format string, args ...any)) (feed func([]byte) error)

// CheckParser checks a parser against the traces of the package. Each input line is a sequence of Go string literals, which are concatenated.
// The parser must produce the same output whether it is fed with the whole input or with single bytes.
func CheckParser(t *testing.T, newParser ParserFactory) {
	t.Helper()
	CheckTraces(t, 1, func(t *testing.T, text string) string {
		t.Helper()
		return ReplaySteps(text, func(line string, _ int) []string {
			input := unquote(t, line)
			output := feedAll(newParser, input)
			singleBytes := make([][]byte, len(input))
			for i := range input {
				singleBytes[i] = input[i : i+1]
			}
			if diff := cmp.Diff(output, feedAll(newParser, singleBytes...)); diff != "" {
				t.Errorf("%s: output differs for single bytes: %s", line, diff)
			}
			return output
		})
	})
}

// FuzzParser checks that a parser produces the same output for arbitrary input as a whole and split in two. The seed corpus consists of the
// inputs of the traces.
func FuzzParser(f *testing.F, newParser ParserFactory) {
	f.Helper()
	addSeeds(f)
	f.Fuzz(func(t *testing.T, input []byte, cut uint16) {
		middle := int(cut) % (len(input) + 1)
		whole := feedAll(newParser, input)
		inTwo := feedAll(newParser, input[:middle], input[middle:])
		if diff := cmp.Diff(whole, inTwo); diff != "" {
			t.Error(diff)
		}
	})
}

func addSeeds(f *testing.F) {
	f.Helper()
	const cut = 9 // arbitrary split position
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

// feedAll returns the output of a new parser for consecutive pieces of input. An error ends it and is its last line.
func feedAll(newParser ParserFactory, pieces ...[]byte) []string {
	var output []string
	feed := newParser(func(format string, args ...any) {
		output = append(output, fmt.Sprintf(format, args...))
	})
	for _, piece := range pieces {
		if err := feed(piece); err != nil {
			return append(output, "error: "+err.Error())
		}
	}
	return output
}

// unquote returns the concatenated content of Go string literals that are separated by spaces.
func unquote(t testing.TB, literals string) []byte {
	t.Helper()
	var text []byte
	for literals != "" {
		literal, err := strconv.QuotedPrefix(literals)
		if err != nil {
			t.Fatal(literals, err)
		}
		unquoted, _ := strconv.Unquote(literal) // QuotedPrefix returns only valid literals
		text = append(text, unquoted...)
		literals = strings.TrimSpace(literals[len(literal):])
	}
	return text
}
