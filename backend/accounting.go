package backend

import (
	"time"

	"frosthub/accounting"
	"frosthub/internal/statsfile"
)

const (
	ledgerComparisonInterval = 10 * time.Second // between two comparisons of the ledger with the requests that are known here
	statsFileOpenTimeout     = 2 * time.Second  // for the disk that keeps the statistics file; the node serves without it after that
)

// AccountingConfig says how accounts of the requests are kept. The zero value keeps those of this process in memory.
type AccountingConfig struct {
	File          string        // the statistics file, which outlives the process; empty for none
	Entries       int           // how many entries the file holds; 0 for the default of package statsfile
	MaxPeriods    int           // how many past periods are kept
	PeriodLength  time.Duration // of each
	MaxCustomers  int           // how many customers are distinguished
	CustomerField string        // the header that names a customer; if empty, the number of the calling front end does
}

// requestAccounting keeps the accounts of all requests: each is opened when the request is read, and closed once.
type requestAccounting struct {
	ledger         *accounting.Ledger  // nil until Serve
	ledgerRows     []uint16            // rows in the ledger, by handler
	recorder       *statsfile.Recorder // nil without a statistics file
	nextComparison time.Duration       // when the ledger is compared next with what the backend knows
}

// ledgerRow returns the row of a handler in the ledger, that of no handler for a negative index.
func (a *requestAccounting) ledgerRow(handler int) uint16 {
	if handler < 0 {
		return 0
	}
	return a.ledgerRows[handler]
}

// openLedger makes the ledger, with the accounts of earlier processes where the statistics file has them. Trouble with
// the file is logged and costs no more than the file.
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

// flush sends what was written in the turn that began at that time. The statistics file has
// a mark before and after it, by which the next process knows what may have left. It returns when to retry what a peer
// did not take, 0 for nothing left.
func (b *Backend) flush(turn time.Time) (retryAfter time.Duration) {
	if b.recorder == nil {
		return b.loop.Flush(turn)
	}
	b.recordFlush(true)
	retryAfter = b.loop.Flush(turn)
	b.recordFlush(false)
	return retryAfter
}

func (b *Backend) recordFlush(before bool) {
	b.ledger.SetFlushing(b.wallTime, before)
	b.recorder.Append(b.ledger, b.wallTime)
}

// closeAccounts closes the accounts of a process that exits by itself.
func (b *Backend) closeAccounts() {
	b.ledger.EndIncarnation(accounting.OpenAtExit, accounting.Exited)
	if b.recorder != nil {
		b.recorder.Close(b.ledger, b.wallTime)
	}
}

// Accounting returns the accounts of all requests, those of earlier processes included where a statistics file has
// them. It may be called from any goroutine while Serve runs and after that.
func (b *Backend) Accounting() accounting.Report {
	var report accounting.Report
	b.runOnOwner(func() {
		if b.ledger != nil { // Serve got that far
			report = b.ledger.Report(false)
		}
	})
	return report
}

// AccountingRecorded reports whether the accounts are being recorded, or need not be. It may be called from any
// goroutine while Serve runs and after that.
func (b *Backend) AccountingRecorded() bool {
	recorded := true
	b.runOnOwner(func() { recorded = b.recorder == nil || b.recorder.Recording() })
	return recorded
}
