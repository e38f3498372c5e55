package backend

import (
	"frosthub/overload"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestParse: a configuration that can't be used is rejected with one line that names what is wrong.
func TestParse(t *testing.T) {
	const whole = `{"name":"n3","listen":"127.0.0.1:4100","processor":"127.0.0.1:6100","seed":"ff","stop_ms":3200.5,` +
		`"limits":{"cores":1.5,"memory_mb":192,"sockets":64},"settings":{"tickUs":1000,"later":[null]},"later":1}`
	c, err := Parse([]byte(whole))
	want := Config{
		Name: "n3", Listen: "127.0.0.1:4100", Processor: "127.0.0.1:6100", Seed: 255,
		StopTimeout: 3200500 * time.Microsecond, Limits: Limits{Cores: 1.5, MemoryMB: 192, Sockets: 64},
		Settings: overload.Settings{BatchInterval: time.Millisecond},
	}
	if diff := cmp.Diff(want, c); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for _, c := range []struct{ old, new, err string }{
		{whole, ``, "not understood: unexpected end of JSON input"},
		{whole, `[]`, "not understood: json: cannot unmarshal array"},
		{`"name":"n3",`, ``, `field "name" is missing`},
		{`"listen":"127.0.0.1:4100"`, `"listen":""`, `field "listen" is missing`},
		{`"processor":"127.0.0.1:6100",`, ``, `field "processor" is missing`},
		{`"settings":{"tickUs":1000,"later":[null]}`, `"settings":null`, `field "settings" is missing`},
		{`"settings":{"tickUs":1000,"later":[null]}`, `"settings":7`, `field "settings" is no object`},
		{`"seed":"ff"`, `"seed":"xyz"`, `field "seed" is no hexadecimal number`},
		{`"stop_ms":3200.5`, `"stop_ms":"soon"`, "not understood: json: cannot unmarshal string"},
		{`"sockets":64`, `"sockets":9`, "9 sockets are too few"},
	} {
		_, err := Parse([]byte(strings.Replace(whole, c.old, c.new, 1)))
		if err == nil || !strings.HasPrefix(strings.TrimPrefix(err.Error(), "limits: "), c.err) {
			t.Errorf("%s for %s: %v", c.new, c.old, err)
		}
	}
}
