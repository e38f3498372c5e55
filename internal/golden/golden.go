// Package golden is for tests that compare what they print with traces: text files
// in the repository, which people read when they change.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	traceFiles    = "testdata/*.trace"
	traceFileMode = 0o644
)

var update = flag.Bool("update", false, "write the traces anew, to be read before they are committed")

// Files runs a subtest for each trace of the package: play returns the text of a
// trace as the code makes it now. Tests in real time may run on a machine that
// stands still for longer than their trace tolerates, so a trace that differs is
// played again, up to the given number of attempts: a real fault differs each time.
func Files(t *testing.T, attempts int, play func(t *testing.T, text string) string) {
	t.Helper()
	files, err := filepath.Glob(traceFiles)
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			t.Parallel()
			playFile(t, file, attempts, play)
		})
	}
}

func playFile(t *testing.T, file string, attempts int, play func(t *testing.T, text string) string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := string(text)
	got := play(t, want)
	if *update {
		if err := os.WriteFile(file, []byte(got), traceFileMode); err != nil {
			t.Fatal(err)
		}
		return
	}
	for range attempts - 1 {
		if got == want {
			return
		}
		t.Log("played again:", cmp.Diff(want, got))
		got = play(t, want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// RewrittenLines is the number of output lines that Steps passes while traces are
// written anew.
const RewrittenLines = -1

// Steps plays a text in which each line is an input and the indented lines below it
// are its output. It calls step for each input, without its comment, with the
// number of its output lines or RewrittenLines, and returns the text with the
// output that step returns.
func Steps(text string, step func(line string, outputLines int) []string) string {
	var out strings.Builder
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, line := range lines {
		if isOutput(line) {
			continue // it is made anew
		}
		out.WriteString(line + "\n")
		input, _, _ := strings.Cut(line, "#")
		input = strings.TrimSpace(input)
		if input == "" {
			continue
		}
		outputLines := RewrittenLines
		if !*update {
			outputLines = countOutput(lines[i+1:])
		}
		for _, output := range step(input, outputLines) {
			out.WriteString("    " + output + "\n")
		}
	}
	return out.String()
}

func isOutput(line string) bool { return strings.HasPrefix(line, " ") }

// countOutput returns how many of the lines are output before the next input.
func countOutput(lines []string) int {
	n := 0
	for n < len(lines) && isOutput(lines[n]) {
		n++
	}
	return n
}

// SameDraws has property tests draw the same values in each run. It is for the init
// function of their package; flags of the command line override it.
func SameDraws() {
	// Where rapid is not linked there are no such flags, and nothing to set.
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.nofailfile", "true")
}
