package conffile

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"frosthub/backend"
	"frosthub/idempotency"

	"github.com/google/go-cmp/cmp"
)

// TestParse checks the configurations parsed from valid files, and that the errors of
// others name the position, the problem and the valid text.
func TestParse(t *testing.T) {
	got, err := Parse("x.conf", "# all\n\nadmin listen 127.0.0.1:9180\r\n  figures file \"/var/lib/a b\" # here\n"+
		"figures trail 1024\nfigures periods 60 every 30s\nfigures customers 9\nfigures customer-field X-Customer")
	want := Config{Admin: "127.0.0.1:9180", Accounting: backend.AccountingConfig{
		File: "/var/lib/a b", Entries: 1024, MaxPeriods: 60,
		PeriodLength: 30 * time.Second, MaxCustomers: 9, CustomerField: "X-Customer",
	}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	got, err = Parse("x.conf", "keep dir /k\nkeep handler file-claim by field+body\nkeep handler other by id\nkeep key-field X-Claim\n"+
		"keep entries 1000\nkeep lifetime 2h\nkeep horizon 48h\n")
	want = Config{Idempotency: backend.IdempotencyConfig{
		Dir: "/k", KeyField: "X-Claim", Handlers: map[string][]backend.KeyPart{
			"file-claim": {backend.KeyPartField, backend.KeyPartBody}, "other": {backend.KeyPartID},
		},
		Store: idempotency.Config{MaxEntries: 1000, ResultTTL: 2 * time.Hour, RetryHorizon: 48 * time.Hour},
	}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if got, err = Parse("x.conf", ""); err != nil || !cmp.Equal(got, Config{}) {
		t.Error(got, err)
	}
	for text, want := range map[string]string{
		"figures":                                       `x.conf:1:1: unknown directive "figures", expected one of: figures file, figures trail, figures periods, figures customers, figures customer-field`,
		"\n\n  fig file /x":                             `x.conf:3:3: unknown directive "fig file", expected one of: admin listen, ajp listen, ajp secret file, ajp packet, next-tier ajp, next-tier secret file, route eject, route trial, route floor, route budget, keep dir, keep handler, keep key-field, keep made-field, keep entries, keep bytes, keep result, keep lifetime, keep horizon, keep gather, cluster name, cluster listen, cluster member, cluster former, cluster promise, cluster wait, cluster replay, figures file, figures trail, figures periods, figures customers, figures customer-field`,
		"figures file":                                  `x.conf:1:13: "figures file" is missing its path, expected an absolute path on a local disk`,
		"figures file x":                                `x.conf:1:14: path "x": not an absolute path, expected an absolute path on a local disk`,
		"figures file /x /y":                            `x.conf:1:17: unexpected "/y" after the arguments of "figures file", expected the end of the line`,
		"figures file /x\nfigures file /y":              `x.conf:2:1: duplicate directive "figures file", expected only the one on line 1`,
		"figures trail 1024":                            `x.conf:1:1: "figures trail" has no effect alone, expected also "figures file"`,
		"figures file /x\nfigures trail 1000":           `x.conf:2:15: number "1000": not a power of two, expected a number from 256 to 1048576, a power of two`,
		"figures periods 60 each 1m":                    `x.conf:1:20: unexpected "each" instead of "every", expected "every"`,
		"figures periods 60 every 1d":                   `x.conf:1:26: span "1d": not a duration, expected a duration from 1s to 1h, such as 1m`,
		"figures periods 60 every 1ms":                  `x.conf:1:26: span "1ms": out of range, expected a duration from 1s to 1h, such as 1m`,
		"next-tier ajp a:1 weight=0":                    `x.conf:1:19: weight "0": out of range, expected a number from 1 to 1000`,
		"next-tier ajp a:1 heavy=1":                     `x.conf:1:19: unexpected "heavy=1" after the arguments of "next-tier ajp", expected the end of the line`,
		"next-tier ajp a:1\nnext-tier ajp a:1":          `x.conf:2:15: address "a:1": already in the file, expected an address and a port, such as 127.0.0.1:8009`,
		"next-tier ajp a:1\nroute eject 3 for 5s to 1s": `x.conf:2:25: span "1s": out of range, expected a duration, not less than the first`,
		"next-tier ajp a:1\nroute floor half":           `x.conf:2:13: share "half": not a percentage, expected a percentage from 1% to 100%`,
		"route budget 10%":                              `x.conf:1:1: "route budget" has no effect alone, expected also "next-tier ajp"`,
		"keep dir /k":                                   `x.conf:1:1: "keep dir" has no effect alone, expected also "keep handler"`,
		"keep handler a by id":                          `x.conf:1:1: "keep handler" has no effect alone, expected also "keep dir"`,
		"keep dir /k\nkeep handler a by name":           `x.conf:2:19: parts "name": unknown or duplicate part, expected id, customer, field or body, joined by +, such as customer+body`,
		"keep dir /k\nkeep handler a by field":          `x.conf:2:1: "keep handler" a by field: no header is configured for the key, expected also "keep key-field"`,
		"keep dir /k\nkeep handler a by customer":       `x.conf:2:1: "keep handler" a by customer: no header is configured for the customer, only edge nodes are distinguished, expected also "figures customer-field"`,
		"keep dir /k\nkeep handler a by id\nkeep lifetime 2h\nkeep horizon 1h": `x.conf:3:1: "keep lifetime" is longer than the retry horizon, expected a duration of at most that of "keep horizon"`,
		"figures customers many":                          `x.conf:1:19: number "many": not a whole number, expected a number from 1 to 1024`,
		"figures customers 0":                             `x.conf:1:19: number "0": out of range, expected a number from 1 to 1024`,
		"admin listen 10.0.0.1:80":                        `x.conf:1:14: address "10.0.0.1:80": not a loopback address, expected a loopback address and a port, such as 127.0.0.1:9180`,
		"admin listen 127.0.0.1":                          `x.conf:1:14: address "127.0.0.1": not an address with a port, expected a loopback address and a port, such as 127.0.0.1:9180`,
		"figures file \"/x":                               `x.conf:1:14: syntax error: lexer: invalid input text "\"/x\n", expected words, or text in double quotes that ends on its line`,
		"figures customers 9\nfigures customer-field X:Y": `x.conf:2:24: header "X:Y": not a header name, expected the name of a header, such as X-Customer`,
	} {
		t.Run(text, func(t *testing.T) {
			_, err := Parse("x.conf", text)
			if err == nil || err.Error() != want {
				t.Errorf("%q:\n%v, not\n%v", text, err, want)
			}
		})
	}
}

// TestDeployed checks that the example file in deploy contains every directive as a
// comment, and that the directives are valid. A comment line without a space after
// the # counts as a directive.
func TestDeployed(t *testing.T) {
	const path = "../../deploy/frosthub.conf"
	if c, err := Load(path); err != nil || !cmp.Equal(c, Config{}) {
		t.Error(c, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	enabled := ""
	count := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		line = strings.ReplaceAll(line, "/etc/frosthub/ajp.secret", "/proc/sys/kernel/ostype") // stands for any file of one line
		if len(line) > 2 && line[0] == '#' && line[1] != ' ' {
			enabled += line[1:] + "\n"
			if !strings.HasPrefix(line, "#cluster member n2") && !strings.HasPrefix(line, "#cluster member n3") { // further lines of the same directive
				count++
			}
		}
	}
	if c, err := Parse(path, enabled); err != nil || cmp.Equal(c, Config{}) || count != len(directives) {
		t.Error(count, c, err)
	}
}

// FuzzParse checks that Parse either accepts a text or returns an *Error with a
// position.
func FuzzParse(f *testing.F) {
	f.Add("figures file /x\nfigures periods 60 every 1m # so\n\"\\\"\"")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("x", text)
		var at *Error
		if err != nil && (!errors.As(err, &at) || at.Line < 1 || at.Column < 1) {
			t.Errorf("%v", err)
		}
	})
}
