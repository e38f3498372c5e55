package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run executes a command and returns what it printed, without the directory's
// name in front of files.
func run(dir string, args ...string) (out, errOut string, err error) {
	var outBuffer, errBuffer bytes.Buffer
	c := rootCommand()
	c.SetOut(&outBuffer)
	c.SetErr(&errBuffer)
	c.SetArgs(args)
	err = c.Execute()
	withoutDir := func(b *bytes.Buffer) string { return strings.ReplaceAll(b.String(), dir+"/", "") }
	return withoutDir(&outBuffer), withoutDir(&errBuffer), err
}

// TestCheck checks that files of both kinds are checked, with one line each.
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
	if out != "good: good\n" || err == nil ||
		errOut != "bad:1:14: path \"x\": no absolute path, expected an absolute path on a disk of this machine\njson: field \"name\" is missing\n" {
		t.Error(out, errOut, err)
	}
}
