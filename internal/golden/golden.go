// Package golden supports golden-file tests, which compare their output with traces: text files in the repository whose changes are
// reviewed.
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

var update = flag.Bool("update", false, "rewrite the traces; review the changes before committing them")

// CheckTraces runs a subtest for each trace of the package. replay returns the text of a trace with the output that the code produces now. A
// machine that stalls for longer than a trace tolerates can change the output of a test in real time. A trace whose output differs is
// therefore replayed, up to the given number of attempts in total; a fault in the code differs in each of them.
func CheckTraces(t *testing.T, attempts int, replay func(t *testing.T, text string) string) {
	t.Helper()
	files, err := filepath.Glob(traceFiles)
	if err != nil || len(files) == 0 {
		t.Fatal("no traces found:", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			t.Parallel()
			checkTrace(t, file, attempts, replay)
		})
	}
}

func checkTrace(t *testing.T, file string, attempts int, replay func(t *testing.T, text string) string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := string(text)
	got := replay(t, want)
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
		t.Log("trace differs, replaying it:", cmp.Diff(want, got))
		got = replay(t, want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// UnknownOutputLines is the number of output lines that Steps passes while traces are rewritten.
const UnknownOutputLines = -1

// ReplaySteps replays a trace in which each line is an input and the indented lines below it are its output. It calls step for each input with
// the line, without its comment, and the number of its output lines in the trace, or UnknownOutputLines. It returns the trace with the
// output of step.
func ReplaySteps(text string, step func(line string, outputLines int) []string) string {
	var out strings.Builder
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, line := range lines {
		if isOutput(line) {
			continue // step produces the new output
		}
		out.WriteString(line + "\n")
		input, _, _ := strings.Cut(line, "#")
		input = strings.TrimSpace(input)
		if input == "" {
			continue
		}
		outputLines := UnknownOutputLines
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

// countOutput returns the number of output lines before the next input.
func countOutput(lines []string) int {
	n := 0
	for n < len(lines) && isOutput(lines[n]) {
		n++
	}
	return n
}

// FixSeeds makes property tests draw the same values in each run. It must be called in the init function of a test package; flags on the
// command line override it.
func FixSeeds() {
	// If the package rapid is not linked in, these flags do not exist and the errors are ignored.
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.nofailfile", "true")
}
