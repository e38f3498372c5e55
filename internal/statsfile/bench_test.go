package statsfile

import (
	"io"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"frosthub/accounting"
)

// benchmarkLedger opens a ledger and a recorder for a benchmark.
func benchmarkLedger(b *testing.B, cfg accounting.Config) (*accounting.Ledger, *Recorder) {
	b.Helper()
	fresh, err := accounting.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	recorder := NewRecorder(filepath.Join(b.TempDir(), "figures"), 0, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ledger := recorder.Open(fresh, cfg, noon, openTimeout)
	b.Cleanup(func() { recorder.Close(ledger, noon) })
	return ledger, recorder
}

// BenchmarkAppend measures the cost of recording a batch of one hundred requests.
func BenchmarkAppend(b *testing.B) {
	ledger, recorder := benchmarkLedger(b, testConfig)
	at := noon
	b.ReportAllocs()
	for i := range b.N {
		at += 10 * time.Millisecond
		for k := range 100 {
			ticket := openRequest(ledger, at, uint64(i*100+k))
			ledger.ResponseWritten(at, ticket, accounting.Completed)
			ledger.ResponseSent(at, ticket)
		}
		recorder.Append(ledger, at)
	}
}

// BenchmarkTurns measures the cost of recording each transition of a request in a batch of its own, with new customers
// arriving all the time.
func BenchmarkTurns(b *testing.B) {
	cfg := testConfig
	cfg.MaxCustomers = 64
	ledger, recorder := benchmarkLedger(b, cfg)
	at := noon
	b.ReportAllocs()
	for i := range b.N {
		at += 500 * time.Microsecond
		customer := accounting.NewCustomerName([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		ticket := ledger.Open(at, uint64(i), 1, accounting.FastCGI, customer)
		recorder.Append(ledger, at)
		ledger.ResponseWritten(at, ticket, accounting.Completed)
		ledger.SetFlushing(at, true)
		recorder.Append(ledger, at)
		ledger.ResponseSent(at, ticket)
		ledger.SetFlushing(at, false)
		recorder.Append(ledger, at)
	}
}
