package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run executes a command and returns its standard output, its error output and its
// error. It removes the directory from file names in the output.
func run(dir string, args ...string) (out, errOut string, err error) {
	var outBuffer, errBuffer bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&outBuffer)
	cmd.SetErr(&errBuffer)
	cmd.SetArgs(args)
	err = cmd.Execute()
	withoutDir := func(b *bytes.Buffer) string { return strings.ReplaceAll(b.String(), dir+"/", "") }
	return withoutDir(&outBuffer), withoutDir(&errBuffer), err
}

// TestCheck checks that the check command validates operator's files and platform
// configurations and prints one line for each.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out, errOut, err := run(dir, "check", write("good", "figures file /x\n"), write("bad", "figures file x\n"), write("json", "{}"))
	if out != "good: valid\n" || err == nil ||
		errOut != "bad:1:14: path \"x\": not an absolute path, expected an absolute path on a local disk\njson: field \"name\" is missing\n" {
		t.Error(out, errOut, err)
	}
}
