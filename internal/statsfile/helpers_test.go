package statsfile

import (
	"bytes"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"frosthub/accounting"
)

// testConfig is the configuration of the ledgers in these tests.
var testConfig = accounting.Config{
	Handlers:     []string{"status", "file-claim"},
	MaxCustomers: 3,
	MaxPeriods:   5,
	PeriodLength: time.Second,
}

const (
	noon        = 500_000 * time.Hour
	openTimeout = 5 * time.Second
	waitTimeout = 10 * time.Second // for background tasks
)

// openLedger opens a ledger with testConfig and a recorder on a file. It returns the ledger, the recorder and the
// recorder's log.
func openLedger(t testing.TB, path string) (*accounting.Ledger, *Recorder, *bytes.Buffer) {
	t.Helper()
	return openLedgerWith(t, path, testConfig)
}

// openLedgerWith is like openLedger with another configuration.
func openLedgerWith(t testing.TB, path string, cfg accounting.Config) (*accounting.Ledger, *Recorder, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	recorder := NewRecorder(path, MinEntries, slog.New(slog.NewTextHandler(&log, nil)))
	fresh, err := accounting.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return recorder.Open(fresh, cfg, noon, openTimeout), recorder, &log
}

// step applies the i-th change of a fixed sequence to the ledger: requests are opened, and their responses are written
// and sent, or the requests are aborted, over several seconds. It returns the tickets of the open requests.
func step(ledger *accounting.Ledger, i int, open []accounting.Ticket) []accounting.Ticket {
	at := noon + time.Duration(i)*70*time.Millisecond
	switch i % 5 {
	case 0, 1:
		customer := accounting.NewCustomerName([]byte{byte(i % 7)})
		open = append(open, ledger.Open(at, uint64(i), uint16(i%3), accounting.Frontend(i%2), customer))
	case 2:
		ledger.ResponseWritten(at, open[0], accounting.Completed)
		ledger.SetFlushing(at, true)
	case 3:
		ledger.ResponseSent(at, open[0])
		ledger.SetFlushing(at, false)
		open = open[1:]
	case 4:
		last := len(open) - 1
		ledger.Close(at, open[last], accounting.Aborted)
		open = open[:last]
	}
	return open
}

// openRequest opens a request for handler 1 without a customer.
func openRequest(ledger *accounting.Ledger, at time.Duration, id uint64) accounting.Ticket {
	return ledger.Open(at, id, 1, accounting.FastCGI, accounting.CustomerName{})
}

// replaceAllocate replaces the reservation of disk space until the end of the test.
func replaceAllocate(t *testing.T, allocate func() error) {
	allocateOverride.Store(&allocate)
	t.Cleanup(func() { allocateOverride.Store(nil) })
}

func glob(t *testing.T, pattern string) []string {
	t.Helper()
	names, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	return names
}
