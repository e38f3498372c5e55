package cli

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosthub/accounting"
	"frosthub/internal/statsfile"

	"github.com/google/go-cmp/cmp"
)

// writeFigures writes the figures file of a node with two incarnations. The second
// one was killed with one response that may or may not have been sent.
func writeFigures(t *testing.T, path string, at time.Duration) *accounting.Ledger {
	t.Helper()
	config := accounting.Config{
		Handlers:     []string{"status", "file-claim"},
		MaxCustomers: 2,
		MaxPeriods:   3,
		PeriodLength: time.Minute,
	}
	var ledger *accounting.Ledger
	for incarnation := range 2 {
		now := at + time.Duration(incarnation)*time.Hour
		empty, err := accounting.New(config)
		if err != nil {
			t.Fatal(err)
		}
		recorder := statsfile.NewRecorder(path, 0, slog.New(slog.DiscardHandler))
		ledger = recorder.Open(empty, config, at, 5*time.Second)
		for i, reason := range []accounting.Reason{accounting.Completed, accounting.Shed, accounting.RunFailed} {
			id := uint64(16*incarnation + i + 1)
			ticket := ledger.Open(now, id, uint16(1+i%2), accounting.FastCGI, accounting.NewCustomerName([]byte("4")))
			ledger.ResponseWritten(now, ticket, reason)
			if i < 2 || incarnation == 0 {
				ledger.ResponseSent(now, ticket)
			}
		}
		recorder.Append(ledger, now)
		if incarnation == 0 {
			ledger.EndIncarnation(accounting.OpenAtExit, accounting.Exited)
			recorder.Close(ledger, at)
		} else {
			recorder.Abandon()
		}
	}
	return ledger
}

// TestFigures checks that the figures command prints, sums and checks the figures of
// nodes, and that a tally settles requests whose outcome is unknown.
func TestFigures(t *testing.T) {
	dir := t.TempDir()
	const at = 500_000 * time.Hour
	one := filepath.Join(dir, "one")
	two := filepath.Join(dir, "two")
	writeFigures(t, one, at)
	writeFigures(t, two, at)
	out, errOut, err := run(dir, "figures", one, two)
	want := `one: no process uses it, 2 incarnations, taken 6 = served 2 + refused 2 + failed 2 + open 0
one: 1 requests with unknown outcome after kills, 0 settled by the tally
one: request 0000000000000013: outcome unknown
two: no process uses it, 2 incarnations, taken 6 = served 2 + refused 2 + failed 2 + open 0
two: 1 requests with unknown outcome after kills, 0 settled by the tally
two: request 0000000000000013: outcome unknown
     handler  taken  served  refused  failed  open
  file-claim      4       0        4       0     0
      status      8       4        0       4     0
         sum     12       4        4       4     0
`
	if diff := cmp.Diff(want, out); diff != "" || errOut != "" || err != nil {
		t.Error(diff, errOut, err)
	}
	tally := filepath.Join(dir, "tally")
	if err := os.WriteFile(tally, []byte("0000000000000013 served\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, _, err = run(dir, "figures", "--by", "reason", "--csv", "--tally", tally, one)
	want = "key,taken,served,refused,failed,open\nin-doubt,1,0,0,1,0\nran,2,2,0,0,0\nrun-failed,1,0,0,1,0\nshed,2,0,2,0,0\n"
	if diff := cmp.Diff(want, out); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if out, _, err = run(dir, "figures", "--tally", tally, one); err != nil ||
		!strings.HasPrefix(out, "one: no process uses it, 2 incarnations, taken 6 = served 3 + refused 2 + failed 1 + open 0\none: 1 requests with unknown outcome after kills, 1 settled") {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "figures", "--since", "2027-01-15T08:30:00Z", one); err != nil || !strings.Contains(out, "sum      3") {
		t.Error(out, err)
	}
	if out, _, err = run(dir, "figures", "--trail", one); err != nil || !strings.Contains(out, ":open(0,0000000000000011)") {
		t.Error(out, err)
	}
	data, err := os.ReadFile(two)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(two, data[:len(data)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	_, errOut, err = run(dir, "figures", one, two)
	if err == nil || !strings.HasPrefix(errOut, "two: a damaged figures file") {
		t.Error(errOut, err)
	}
	for _, args := range [][]string{
		{"figures"},
		{"figures", "--by", "day", one},
		{"figures", "--since", "soon", one},
		{"figures", "--since", "1h", "--by", "life", one},
		{"figures", "--json", "--csv", one},
		{"none-such"},
		{"figures", dir + "/none"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			if _, _, err := run(dir, args...); err == nil {
				t.Error("the command succeeds")
			}
		})
	}
}
