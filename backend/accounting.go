package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/internal/statsfile"
)

const (
	ledgerComparisonInterval = 10 * time.Second // between two comparisons of the ledger with the requests of the backend
	statsFileOpenTimeout     = 2 * time.Second  // for opening the statistics file; after that the node serves without it
)

// AccountingConfig configures the accounts of the requests. The zero value keeps the accounts of this process in
// memory.
type AccountingConfig struct {
	File          string        // the statistics file, which persists across restarts; empty for none
	Entries       int           // the number of entries in the file; 0 for the default of package statsfile
	MaxPeriods    int           // the number of past periods that are kept
	PeriodLength  time.Duration // the length of each period
	MaxCustomers  int           // the number of customers with accounts of their own
	CustomerField string        // the header that names the customer; if empty, the number of the calling edge node is used
}

// requestAccounting keeps the accounts of all requests. An account is opened when its request is read, and closed
// exactly once.
type requestAccounting struct {
	ledger         *accounting.Ledger  // nil until Serve
	ledgerRows     []uint16            // row of each handler in the ledger
	recorder       *statsfile.Recorder // nil without a statistics file
	nextComparison time.Duration       // when the ledger is next compared with the requests of the backend
}

// ledgerRow returns the row of a handler in the ledger. A negative index stands for no handler; its row is 0.
func (a *requestAccounting) ledgerRow(handler int) uint16 {
	if handler < 0 {
		return 0
	}
	return a.ledgerRows[handler]
}

// openLedger creates the ledger, with the accounts of earlier processes if the statistics file has them. An error of
// the file is logged, and the backend serves without the file.
func (b *Backend) openLedger() error {
	cfg := accounting.Config{
		MaxCustomers: b.cfg.Accounting.MaxCustomers,
		MaxPeriods:   b.cfg.Accounting.MaxPeriods,
		PeriodLength: b.cfg.Accounting.PeriodLength,
	}
	for _, h := range b.handlers {
		cfg.Handlers = append(cfg.Handlers, h.name)
	}
	ledger, err := accounting.New(cfg)
	if err != nil {
		return err
	}
	b.readClocks()
	if b.cfg.Accounting.File == "" {
		ledger.StartIncarnation(b.wallTime, 0)
	} else {
		b.recorder = statsfile.NewRecorder(b.cfg.Accounting.File, b.cfg.Accounting.Entries, b.log)
		ledger = b.recorder.Open(ledger, cfg, b.wallTime, statsFileOpenTimeout)
	}
	b.ledger = ledger
	for _, h := range b.handlers {
		b.ledgerRows = append(b.ledgerRows, ledger.HandlerIndex(h.name))
	}
	return nil
}

// flush sends the output that was buffered in the turn that began at the given time. It appends a mark to the
// statistics file before and after that, which shows the next process which output may have been sent. It returns after
// which time to retry output that a peer did not accept, or 0 if all was sent.
func (b *Backend) flush(turn time.Time) (retryAfter time.Duration) {
	if b.recorder == nil {
		return b.loop.Flush(turn)
	}
	b.recordFlush(true)
	retryAfter = b.loop.Flush(turn)
	b.recordFlush(false)
	return retryAfter
}

// recordFlush appends the mark that stands before or after a flush to the statistics file.
func (b *Backend) recordFlush(before bool) {
	b.ledger.SetFlushing(b.wallTime, before)
	b.recorder.Append(b.ledger, b.wallTime)
}

// closeAccounts closes the accounts at the end of the last turn.
func (b *Backend) closeAccounts() {
	b.ledger.EndIncarnation(accounting.OpenAtExit, accounting.Exited)
	if b.recorder != nil {
		b.recorder.Close(b.ledger, b.wallTime)
	}
}

// Accounting returns the accounts of all requests, including those of earlier processes if a statistics file has them.
// It may be called from any goroutine while Serve runs and after it has returned.
func (b *Backend) Accounting() accounting.Report {
	var report accounting.Report
	b.runOnOwner(func() {
		if b.ledger != nil { // Serve has opened it
			report = b.ledger.Report(false)
		}
	})
	return report
}

// AccountingRecorded reports whether the accounts are being written to the statistics file, or true if none is
// configured. It may be called from any goroutine while Serve runs and after it has returned.
func (b *Backend) AccountingRecorded() bool {
	recorded := true
	b.runOnOwner(func() { recorded = b.recorder == nil || b.recorder.Recording() })
	return recorded
}
