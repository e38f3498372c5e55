// Package accounting is the ledger of all requests of a node. Every request that is received is in exactly one place: open,
// or closed into one of the categories served, rejected or failed, with a reason. The counts by handler, front end, reason,
// customer, period and process always add up to the total, and the ledger checks by itself that they do.
//
// A Ledger is a deterministic state machine without I/O, clock or goroutine. All its changes are entries: the same entries
// in the same order lead to the same ledger, and a ledger can be restored from a snapshot and the entries that followed it.
// Package statsfile stores both so that the ledger outlives the process.
//
// All times of the package are times of day by the node's clock, as spans since the start of 1970.
package accounting

import (
	"fmt"
	"slices"
	"time"
)

// Limits of a configuration.
const (
	maxHandlerRows  = 64        // handlers, those of earlier processes included: more than any service has
	maxCustomers    = 1024      // customers counted by name: a new one may have to be compared with all of them
	maxPeriods      = 1 << 14   // closed periods that are kept: eleven days of minutes
	maxPeriodLength = time.Hour // of a period
	minPeriodLength = time.Second

	defaultPeriodLength = time.Minute
)

// Names of rows that stand for more than one handler. They are stored.
const (
	unknownHandler = "-"        // requests that named no handler, or one that is not configured; always number 0
	formerHandlers = "(former)" // handlers of earlier processes for which there is no row left
	reservedRows   = 2          // those two
)

// Config is what a ledger is made for.
type Config struct {
	Handlers     []string      // names of the configured handlers, each once
	MaxCustomers int           // customers that are counted by name, the others together; 0 means none
	MaxPeriods   int           // closed periods that are kept; 0 means none
	PeriodLength time.Duration // length of a period, a minute if 0
}

// validate reports a configuration that is beyond the limits of a ledger.
func (c *Config) validate() error {
	switch {
	case len(c.Handlers) > maxHandlerRows-reservedRows:
		return fmt.Errorf("%d handlers are too many for the figures, %d at most",
			len(c.Handlers), maxHandlerRows-reservedRows)
	case c.MaxCustomers < 0 || c.MaxCustomers > maxCustomers:
		return fmt.Errorf("%d customers are too many for the figures, %d at most", c.MaxCustomers, maxCustomers)
	case c.MaxPeriods < 0 || c.MaxPeriods > maxPeriods:
		return fmt.Errorf("%d periods are too many for the figures, %d at most", c.MaxPeriods, maxPeriods)
	case c.PeriodLength < minPeriodLength || c.PeriodLength > maxPeriodLength:
		return fmt.Errorf("a period of %s: it has 1s to %s", c.PeriodLength, maxPeriodLength)
	}
	return nil
}

// Ledger holds the accounts of one node. It is made by New, Restore or Restart, and is not safe for concurrent use: all
// methods belong to the goroutine that owns the node's state.
type Ledger struct {
	cfg        Config
	handlers   []string // names by number
	cells      []int64  // requests by handler, front end and reason, see cellIndex
	rows       []Counts // by handler and front end, see rowIndex
	total      Counts
	mismatches int64 // recorded in all processes

	requests      []openRequest // by slot
	freeSlots     []uint32
	answeredCount int  // requests in state answered
	flushing      bool // responses that are written are being handed to the operating system

	customers    customerTable
	periods      periodRing
	incarnations incarnationList

	seq       uint64 // of the last entry
	recording bool
	pending   []Entry // entries since the last TakeEntries
	trail     [trailLength]Entry

	comparison uint32           // number of the last comparison by Compare
	unreported []Mismatch       // since the last TakeMismatches
	knownGaps  map[string]int64 // last gap that was recorded, by what was compared
}

// New returns an empty ledger. It fails if the configuration is beyond the package's limits.
func New(cfg Config) (*Ledger, error) {
	if cfg.PeriodLength == 0 {
		cfg.PeriodLength = defaultPeriodLength
	}
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	l := &Ledger{
		cfg:       cfg,
		handlers:  append([]string{unknownHandler}, cfg.Handlers...),
		knownGaps: map[string]int64{},
		customers: newCustomerTable(cfg.MaxCustomers),
	}
	l.allocateRows()
	return l, nil
}

// allocateRows makes empty counts for the ledger's handlers.
func (l *Ledger) allocateRows() {
	l.cells = make([]int64, len(l.handlers)*frontendCount*reasonCount)
	l.rows = make([]Counts, len(l.handlers)*frontendCount)
	l.periods = newPeriodRing(l.cfg, len(l.cells))
}

// HandlerIndex returns the number of the handler of that name. Unknown names share one number.
func (l *Ledger) HandlerIndex(name string) uint16 {
	return uint16(max(0, slices.Index(l.handlers, name)))
}

// Total returns the counts of all requests.
func (l *Ledger) Total() Counts { return l.total }

// MismatchCount returns how often counts were found that do not add up, in all processes that the ledger knows.
func (l *Ledger) MismatchCount() int64 { return l.mismatches }

// Seq returns the sequence number of the last entry.
func (l *Ledger) Seq() uint64 { return l.seq }

// SetRecording sets whether the ledger retains its entries until they are taken. Turning it off drops those it retains.
func (l *Ledger) SetRecording(keep bool) {
	l.recording = keep
	if !keep {
		l.pending = nil
	}
}

// TakeEntries passes the entries since the last call to f, which must not retain them, and forgets them. It does not call
// f if there are none.
func (l *Ledger) TakeEntries(f func(entries []Entry)) {
	if len(l.pending) > 0 {
		f(l.pending)
		l.pending = l.pending[:0]
	}
}

// HasPendingEntries reports whether there are entries since the last TakeEntries.
func (l *Ledger) HasPendingEntries() bool { return len(l.pending) > 0 }

// RequeueEntries puts back entries that were taken and not stored: the next TakeEntries passes them first.
func (l *Ledger) RequeueEntries(entries []Entry) {
	l.pending = append(slices.Clone(entries), l.pending...)
}
