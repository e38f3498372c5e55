package backend

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/overload"

	"github.com/google/go-cmp/cmp"
)

// goodConfig is a valid configuration file that sets most fields and contains unknown ones.
const goodConfig = `{"name":"n3","listen":"127.0.0.1:4100","processor":"127.0.0.1:6100","seed":"ff","stop_ms":3200.5,` +
	`"limits":{"cores":1.5,"memory_mb":192,"sockets":64},"settings":{"tickUs":1000,"later":[null]},"later":1}`

// TestParse checks that ParseConfig reads the fields of a configuration and ignores unknown ones.
func TestParse(t *testing.T) {
	got, err := ParseConfig([]byte(goodConfig))
	want := Config{
		Name:        "n3",
		Listen:      "127.0.0.1:4100",
		Processor:   "127.0.0.1:6100",
		Seed:        255,
		StopTimeout: 3200500 * time.Microsecond,
		Limits:      Limits{Cores: 1.5, MemoryMB: 192, Sockets: 64},
		Settings:    overload.Settings{BatchInterval: time.Millisecond},
	}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
}

// TestParseErrors checks that ParseConfig rejects an invalid configuration with an error that names the fault.
func TestParseErrors(t *testing.T) {
	for _, test := range []struct{ name, old, new, err string }{
		{"empty", goodConfig, ``, "decoding JSON: unexpected end of JSON input"},
		{"no object", goodConfig, `[]`, "decoding JSON: json: cannot unmarshal array"},
		{"no name", `"name":"n3",`, ``, `field "name" is missing`},
		{"empty address", `"listen":"127.0.0.1:4100"`, `"listen":""`, `field "listen" is missing`},
		{"no processor", `"processor":"127.0.0.1:6100",`, ``, `field "processor" is missing`},
		{"null settings", `"settings":{"tickUs":1000,"later":[null]}`, `"settings":null`, `field "settings" is missing`},
		{"settings of the wrong type", `"settings":{"tickUs":1000,"later":[null]}`, `"settings":7`, `field "settings" is not an object`},
		{"seed of the wrong type", `"seed":"ff"`, `"seed":"xyz"`, `field "seed" is not a hexadecimal number`},
		{"time of the wrong type", `"stop_ms":3200.5`, `"stop_ms":"soon"`, "decoding JSON: json: cannot unmarshal string"},
		{"too few sockets", `"sockets":64`, `"sockets":9`, "limits: 9 sockets are too few"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseConfig([]byte(strings.Replace(goodConfig, test.old, test.new, 1)))
			if err == nil || !strings.HasPrefix(err.Error(), test.err) {
				t.Errorf("%s for %s: %v", test.new, test.old, err)
			}
		})
	}
}

// TestLoadErrors checks that a file that can't be read is distinguished from a missing or invalid one: only a failed
// read is retried.
func TestLoadErrors(t *testing.T) {
	t.Setenv(configPathVariable, "")
	if _, err := LoadConfig(); err == nil || isUnreadable(err) {
		t.Error("without a path:", err)
	}
	t.Setenv(configPathVariable, filepath.Join(t.TempDir(), "none.json"))
	if _, err := LoadConfig(); !errors.Is(err, fs.ErrNotExist) || isUnreadable(err) {
		t.Error("without a file:", err)
	}
	t.Setenv(configPathVariable, t.TempDir())
	if _, err := LoadConfig(); !isUnreadable(err) {
		t.Error("with a directory for a file:", err)
	}
}
