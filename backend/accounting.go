package backend

import (
	"frosthub/accounting"
	"frosthub/internal/invariant"
	"frosthub/internal/statsfile"
	"time"
)

const (
	compareEvery = 10 * time.Second // between looks whether the book and the core take the same reqs for open
	startPatient = 2 * time.Second  // for a disk that keeps the figures file; then the box serves without it
)

// AccountingConfig says how the accounts are kept. The zero value keeps the figures of the process in memory.
type AccountingConfig struct {
	File          string        // that outlives the process; empty: none
	Entries       int           // ops that it holds; figures.OpsUsual if 0
	MaxPeriods    int           // kept of the past; 0 none
	PeriodLength  time.Duration // of a period
	MaxCustomers  int           // told apart
	CustomerField string        // the header that names a customer; empty: the edge node's number does
}

// openLedger makes the book of the accounts, with those of earlier lives where a file has them. Trouble with the file
// is told, and costs the file alone.
func (b *Backend) openLedger() error {
	cfg := accounting.Config{MaxCustomers: b.cfg.Accounting.MaxCustomers, MaxPeriods: b.cfg.Accounting.MaxPeriods, PeriodLength: b.cfg.Accounting.PeriodLength}
	for _, h := range b.handlers {
		cfg.Handlers = append(cfg.Handlers, h.name)
	}
	book, err := accounting.New(cfg)
	if err != nil {
		return err
	}
	b.clock()
	if b.cfg.Accounting.File == "" {
		book.StartIncarnation(b.wall, 0)
	} else {
		b.recorder = statsfile.NewRecorder(b.cfg.Accounting.File, b.cfg.Accounting.Entries, b.log)
		book = b.recorder.Open(book, cfg, b.wall, startPatient)
	}
	b.ledger = book
	for _, h := range b.handlers {
		b.ledgerRows = append(b.ledgerRows, book.Handler(h.name))
	}
	return nil
}

// rowOf is the handler's row in the book, that of none for one that is not known.
func (b *Backend) rowOf(h int) uint16 {
	if h < 0 {
		return 0
	}
	return b.ledgerRows[h]
}

// flush sends what was written, and has the record say before and after which answers may have left.
func (b *Backend) flush(t time.Time) time.Duration {
	if b.recorder == nil {
		return b.loop.Flush(t)
	}
	b.ledger.Flush(b.wall, true)
	b.recorder.Append(b.ledger, b.wall)
	again := b.loop.Flush(t)
	b.ledger.Flush(b.wall, false)
	b.recorder.Append(b.ledger, b.wall)
	return again
}

// audit has the book look whether its figures add up, and tells what does not.
func (b *Backend) audit() {
	b.ledger.Audit(b.wall)
	if b.now >= b.compareAt {
		b.compareAt = b.now + compareEvery
		b.compareLedger()
	}
	b.logMismatches()
}

// compareLedger holds the book against the core's own tables.
func (b *Backend) compareLedger() {
	b.ledger.Compare(b.wall, func(have func(accounting.Ticket, uint64)) {
		for _, r := range b.requests { // a sum: the order does not matter
			if b.hasClient(r) || r.takenOver && !r.accounted {
				have(r.ticket, r.id)
			}
		}
		for e := range b.frontend.clients {
			for _, a := range e.undelivered {
				have(a.ticket, a.id)
			}
		}
	})
}

func (b *Backend) logMismatches() {
	for _, d := range b.ledger.TakeMismatches() {
		b.log.Error("figures differ", "what", d.What, "one", d.Left, "other", d.Right, "trail", d.Trail)
		invariant.Check(false, "figures add up: "+d.What)
	}
}

// closeAccounts closes the accounts of a process that ends by itself.
func (b *Backend) closeAccounts() {
	b.ledger.CloseAll(accounting.OpenAtExit, accounting.Exited)
	if b.recorder != nil {
		b.recorder.Close(b.ledger, b.wall)
	}
}

// Accounting gives the accounts of all reqs, while Serve runs and after it.
func (b *Backend) Accounting() accounting.Report {
	var out accounting.Report
	b.onOwner(func() {
		if b.ledger != nil { // Serve got that far
			out = b.ledger.Report(false)
		}
	})
	return out
}

// AccountingRecorded tells whether the figures are being recorded, or need not be.
func (b *Backend) AccountingRecorded() bool {
	up := true
	b.onOwner(func() { up = b.recorder == nil || b.recorder.Recording() })
	return up
}
