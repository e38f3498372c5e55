// Package accounting implements the ledger of all requests of a node. Every request that was received is either open or
// closed. A closed request is counted in one of the categories served, rejected and failed, with a reason. The counts by
// handler, front end, reason, customer, period and incarnation always add up to the total; the ledger audits this
// itself.
//
// A Ledger is a deterministic state machine that does no I/O, reads no clock and starts no goroutine. Each change is an
// entry: the same entries in the same order lead to the same ledger, and a ledger can be restored from a snapshot and
// the entries that followed it. Package statsfile stores both, so that the ledger survives the end of the process.
//
// All times in the package are wall-clock times of the node, as durations since the start of 1970.
package accounting

import (
	"fmt"
	"slices"
	"time"
)

// Limits of a configuration.
const (
	maxHandlerRows  = 64      // handlers, including those of earlier incarnations; more than any service has
	maxCustomers    = 1024    // customers counted by name; adding a customer may scan all of them
	maxPeriods      = 1 << 14 // closed periods that are kept; eleven days of one-minute periods
	maxPeriodLength = time.Hour
	minPeriodLength = time.Second

	defaultPeriodLength = time.Minute
)

// Names of rows that count more than one handler. They are stored.
const (
	unknownHandler = "-"        // requests without a handler, or for one that is not configured; always index 0
	formerHandlers = "(former)" // handlers of earlier incarnations for which no row is left
	reservedRows   = 2          // number of these rows
)

// Config is the configuration of a ledger.
type Config struct {
	Handlers     []string      // names of the configured handlers, without duplicates
	MaxCustomers int           // customers that are counted by name, all others in one row; 0 means none
	MaxPeriods   int           // closed periods that are kept; 0 disables counting by period
	PeriodLength time.Duration // length of a period; 0 means one minute
}

// validate returns an error if the configuration exceeds the limits of a ledger.
func (c *Config) validate() error {
	switch {
	case len(c.Handlers) > maxHandlerRows-reservedRows:
		return fmt.Errorf("configuring the ledger: %d handlers exceed the limit of %d",
			len(c.Handlers), maxHandlerRows-reservedRows)
	case c.MaxCustomers < 0 || c.MaxCustomers > maxCustomers:
		return fmt.Errorf("configuring the ledger: %d customers exceed the limit of %d", c.MaxCustomers, maxCustomers)
	case c.MaxPeriods < 0 || c.MaxPeriods > maxPeriods:
		return fmt.Errorf("configuring the ledger: %d periods exceed the limit of %d", c.MaxPeriods, maxPeriods)
	case c.PeriodLength < minPeriodLength || c.PeriodLength > maxPeriodLength:
		return fmt.Errorf("configuring the ledger: period length %s is outside 1s to %s", c.PeriodLength, maxPeriodLength)
	}
	return nil
}

// Ledger holds the counts of one node. New, Restore and Restart create ledgers. A Ledger is not safe for concurrent use:
// only the goroutine that owns the state of the node may call its methods.
type Ledger struct {
	cfg        Config
	handlers   []string // names by index
	cells      []int64  // requests by handler, front end and reason, see cellIndex
	rows       []Counts // by handler and front end, see rowIndex
	total      Counts
	mismatches int64 // number of mismatches recorded in all incarnations

	requests             []openRequest // by slot
	freeSlots            []uint32
	responseWrittenCount int  // requests in state responseWritten
	flushing             bool // written responses are being handed to the operating system

	customers    customerTable
	periods      periodRing
	incarnations incarnationList

	seq       uint64 // sequence number of the last entry
	recording bool
	pending   []Entry // entries since the last TakeEntries
	trail     [trailLength]Entry

	comparison          uint32           // number of the last call of CompareOpenRequests
	unreported          []Mismatch       // mismatches recorded since the last TakeMismatches
	recordedDifferences map[string]int64 // last recorded difference between the two numbers, by Mismatch.What
}

// New returns an empty ledger. It returns an error if the configuration exceeds the limits of a ledger.
func New(cfg Config) (*Ledger, error) {
	if cfg.PeriodLength == 0 {
		cfg.PeriodLength = defaultPeriodLength
	}
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	l := &Ledger{
		cfg:                 cfg,
		handlers:            append([]string{unknownHandler}, cfg.Handlers...),
		recordedDifferences: map[string]int64{},
		customers:           newCustomerTable(cfg.MaxCustomers),
	}
	l.allocateRows()
	return l, nil
}

// allocateRows allocates empty counts for the handlers of the ledger.
func (l *Ledger) allocateRows() {
	l.cells = make([]int64, len(l.handlers)*frontendCount*reasonCount)
	l.rows = make([]Counts, len(l.handlers)*frontendCount)
	l.periods = newPeriodRing(l.cfg, len(l.cells))
}

// HandlerIndex returns the index of the handler with the given name. All unknown names share one index.
func (l *Ledger) HandlerIndex(name string) uint16 {
	return uint16(max(0, slices.Index(l.handlers, name)))
}

// Total returns the counts of all requests.
func (l *Ledger) Total() Counts { return l.total }

// MismatchCount returns the number of mismatches recorded in all incarnations that the ledger covers.
func (l *Ledger) MismatchCount() int64 { return l.mismatches }

// Seq returns the sequence number of the last entry.
func (l *Ledger) Seq() uint64 { return l.seq }

// SetRecording sets whether the ledger keeps its entries until TakeEntries takes them. Disabling it drops the pending
// entries.
func (l *Ledger) SetRecording(enabled bool) {
	l.recording = enabled
	if !enabled {
		l.pending = nil
	}
}

// TakeEntries passes the entries since the last call to f and clears them. It does not call f if there are none. f must
// not retain the slice.
func (l *Ledger) TakeEntries(f func(entries []Entry)) {
	if len(l.pending) > 0 {
		f(l.pending)
		l.pending = l.pending[:0]
	}
}

// HasPendingEntries reports whether the ledger keeps entries that TakeEntries has not taken yet.
func (l *Ledger) HasPendingEntries() bool { return len(l.pending) > 0 }

// RequeueEntries puts back entries that were taken but not stored. The next TakeEntries passes them first.
func (l *Ledger) RequeueEntries(entries []Entry) {
	l.pending = append(slices.Clone(entries), l.pending...)
}
