package accounting

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	handlersMost  = 64        // rows of handlers, those of earlier lives included: more than any service has
	openMost      = 1 << 20   // places of open reqs: far beyond what a box can hold
	customersMost = 1024      // customers told apart: each newcomer may look at all
	periodsMost   = 1 << 14   // periods kept: eleven days of minutes
	everyMost     = time.Hour // of a period
	trailLen      = 16        // last ops shown with a difference
	foundMost     = 16        // differences that wait to be read: more are only counted
	noHandler     = "-"       // the row of reqs that named none that is known
	former        = "(former)"
	others        = "(others)"
)

// Config is what a book is made for.
type Config struct {
	Handlers     []string      // names, each once
	MaxCustomers int           // told apart by name, the others in one; 0 none
	MaxPeriods   int           // kept; 0 none
	PeriodLength time.Duration // of a period; a minute if zero
}

// Ticket is the right to close one req. The zero Ticket is none.
type Ticket struct{ slot, gen uint32 }

// Valid tells whether there is a req to it, open or not.
func (t Ticket) Valid() bool { return t.gen != 0 }

type state uint8

const (
	free state = iota
	waits
	answering // its final answer is written
)

// entry is the place of one open req.
type entry struct {
	id       uint64
	at       time.Duration
	gen      uint32
	seen     uint32 // by the last comparison
	handler  uint16
	customer uint16
	front    Frontend
	reason   Reason // answering: of its answer
	state    state
}

// Ledger is the accounts of one box. Make it with New, or Restore.
type Ledger struct {
	cfg      Config
	handlers []string
	cells    []int64  // by handler, front and reason; of None: taken
	rows     []Counts // by handler and front
	total    Counts
	differs  int64

	entries   []entry
	unused    []uint32
	answering int
	flushing  bool

	customers customers
	periods   periods
	lives     lives

	seq     uint64
	keepOps bool
	ops     []Entry // since the last Drain
	trail   [trailLen]Entry
	found   []Mismatch
	known   map[string]int64 // differences that were told
	round   uint32           // of comparisons
}

// New returns an empty book.
func New(cfg Config) (*Ledger, error) {
	if cfg.PeriodLength == 0 {
		cfg.PeriodLength = time.Minute
	}
	switch {
	case len(cfg.Handlers) > handlersMost-2:
		return nil, fmt.Errorf("%d handlers are too many for the figures, %d at most", len(cfg.Handlers), handlersMost-2)
	case cfg.MaxCustomers < 0 || cfg.MaxCustomers > customersMost:
		return nil, fmt.Errorf("%d customers are too many for the figures, %d at most", cfg.MaxCustomers, customersMost)
	case cfg.MaxPeriods < 0 || cfg.MaxPeriods > periodsMost:
		return nil, fmt.Errorf("%d periods are too many for the figures, %d at most", cfg.MaxPeriods, periodsMost)
	case cfg.PeriodLength < time.Second || cfg.PeriodLength > everyMost:
		return nil, fmt.Errorf("a period of %s: it has 1s to %s", cfg.PeriodLength, everyMost)
	}
	b := &Ledger{cfg: cfg, handlers: append([]string{noHandler}, cfg.Handlers...), known: map[string]int64{}}
	b.lay()
	b.customers.init(cfg.MaxCustomers)
	b.periods.init(cfg, len(b.cells))
	return b, nil
}

func (b *Ledger) lay() {
	b.cells = make([]int64, len(b.handlers)*fronts*reasons)
	b.rows = make([]Counts, len(b.handlers)*fronts)
}

func row(handler uint16, front Frontend) int { return int(handler)*fronts + int(front) }

// RecordEntries has the book keep its ops until they are drained: something records them.
func (b *Ledger) RecordEntries(keep bool) {
	b.keepOps = keep
	if !keep {
		b.ops = nil
	}
}

// TakeEntries hands the ops since the last one to f and forgets them.
func (b *Ledger) TakeEntries(f func(ops []Entry)) {
	if len(b.ops) > 0 {
		f(b.ops)
		b.ops = b.ops[:0]
	}
}

// HasPendingEntries tells whether there are ops since the last Drain.
func (b *Ledger) HasPendingEntries() bool { return len(b.ops) > 0 }

// RequeueEntries has the next Drain hand over ops that were drained and not recorded.
func (b *Ledger) RequeueEntries(ops []Entry) { b.ops = append(slices.Clone(ops), b.ops...) }

// Seq is the number of the last op.
func (b *Ledger) Seq() uint64 { return b.seq }

// Handler is the number of a handler's row, that of no handler if there is none of that name.
func (b *Ledger) Handler(name string) uint16 { return uint16(max(0, slices.Index(b.handlers, name))) }

// Total has the five figures of all.
func (b *Ledger) Total() Counts { return b.total }

// Mismatches is how often figures were found that do not add up.
func (b *Ledger) Mismatches() int64 { return b.differs }

// Open takes a req; at is the time of day.
func (b *Ledger) Open(at time.Duration, id uint64, handler uint16, front Frontend, customer CustomerName) Ticket {
	slot := uint32(len(b.entries))
	if n := len(b.unused); n > 0 {
		slot = b.unused[n-1]
		b.unused = b.unused[:n-1]
	}
	b.do(Entry{Kind: EntryOpen, At: at, ID: id, Slot: slot, Handler: handler, Front: front, Customer: customer})
	return Ticket{slot, b.entries[slot].gen}
}

// Answer says that the final answer is written, for that reason.
func (b *Ledger) Answer(at time.Duration, t Ticket, why Reason) bool {
	return b.move(at, t, EntryAnswer, why, waits)
}

// Sent says that the last byte of an answer was handed to the system: the req is closed.
func (b *Ledger) Sent(at time.Duration, t Ticket) bool {
	return b.move(at, t, EntrySent, None, answering)
}

// Close closes a req whose answer was not handed over, or that got none.
func (b *Ledger) Close(at time.Duration, t Ticket, why Reason) bool {
	return b.move(at, t, EntryClose, why, free)
}

// move makes an op of an open req. One that is not open, or not in that state, is a difference and changes nothing.
func (b *Ledger) move(at time.Duration, t Ticket, kind EntryKind, why Reason, from state) bool {
	if !t.Valid() || int(t.slot) >= len(b.entries) {
		b.differ(at, "a move of a req that was never taken", int64(kind), 0)
		return false
	}
	e := &b.entries[t.slot]
	if e.gen != t.gen || e.state == free || from != free && e.state != from || kind != EntrySent && why.Category() == 0 {
		b.differ(at, "a move that is not allowed: "+kind.String()+" for reason "+why.String(), int64(t.slot), int64(e.state))
		return false
	}
	b.do(Entry{Kind: kind, At: at, Slot: t.slot, Reason: why})
	return true
}

// String is the op's word.
func (k EntryKind) String() string {
	if int(k) < len(opWords) {
		return opWords[k]
	}
	return "none"
}

var opWords = [...]string{"none", "open", "answer", "sent", "close", "flush", "differ"}

// Flush says that answers are being handed to the system from now on, or that what was is done. It costs an op only
// where peers have left some: an answer that is written is taken for on its way until then.
func (b *Ledger) Flush(at time.Duration, begins bool) {
	if begins == b.flushing || b.answering == 0 {
		return
	}
	op := Entry{Kind: EntryFlush, At: at}
	if begins {
		op.Slot = 1
	}
	b.do(op)
}

func (b *Ledger) do(op Entry) {
	op.Seq = b.seq + 1
	if err := b.Apply(op); err != nil { // its maker looked: none of these happen
		b.differ(op.At, err.Error(), int64(op.Kind), int64(op.Slot))
		return
	}
	if b.keepOps {
		b.ops = append(b.ops, op)
	}
}

// Errors of ops that can't follow.
var (
	ErrEntryOrder   = errors.New("an op out of its order")
	ErrInvalidEntry = errors.New("an op that does not fit the book")
)

// Apply follows one op. It is how all changes are made, and how a book is had again from what was recorded.
func (b *Ledger) Apply(op Entry) error {
	if op.Seq != b.seq+1 {
		return ErrEntryOrder
	}
	var e *entry
	if op.Kind >= EntryAnswer && op.Kind <= EntryClose {
		if int(op.Slot) >= len(b.entries) || b.entries[op.Slot].state == free {
			return ErrInvalidEntry
		}
		e = &b.entries[op.Slot]
	}
	switch op.Kind {
	case EntryOpen:
		if int(op.Handler) >= len(b.handlers) || op.Front >= fronts || op.Slot >= openMost {
			return ErrInvalidEntry
		}
		for int(op.Slot) >= len(b.entries) {
			b.entries = append(b.entries, entry{})
		}
		if e = &b.entries[op.Slot]; e.state != free {
			return ErrInvalidEntry
		}
	case EntryAnswer:
		if e.state != waits || op.Reason.Category() == 0 {
			return ErrInvalidEntry
		}
	case EntrySent:
		if e.state != answering {
			return ErrInvalidEntry
		}
	case EntryClose:
		if op.Reason.Category() == 0 {
			return ErrInvalidEntry
		}
	case EntryFlush, EntryMismatch:
	default:
		return ErrInvalidEntry
	}
	b.seq = op.Seq
	b.trail[op.Seq%trailLen] = op
	b.periods.roll(op.At)
	b.lives.seen(op.At)
	switch op.Kind {
	case EntryOpen:
		*e = entry{
			id: op.ID, at: op.At, gen: max(1, e.gen+1), handler: op.Handler, front: op.Front,
			customer: b.customers.find(op.Customer), state: waits,
		}
		b.opened(e)
	case EntryAnswer:
		e.state, e.reason = answering, op.Reason
		b.answering++
		b.flushing = true
	case EntrySent:
		b.closed(op.Slot, e.reason, op.At)
	case EntryClose:
		b.closed(op.Slot, op.Reason, op.At)
	case EntryFlush:
		b.flushing = op.Slot == 1
	case EntryMismatch:
		b.differs++
	}
	return nil
}

func (b *Ledger) opened(e *entry) {
	r := row(e.handler, e.front)
	b.cells[r*reasons]++
	b.periods.add(r*reasons, 1)
	b.total.opened()
	b.rows[r].opened()
	b.customers.list[e.customer].opened()
	b.lives.now().opened()
}

func (b *Ledger) closed(slot uint32, why Reason, at time.Duration) {
	e := &b.entries[slot]
	if e.state == answering {
		b.answering--
	}
	e.state = free
	b.unused = append(b.unused, slot)
	r := row(e.handler, e.front)
	b.cells[r*reasons+int(why)]++
	b.periods.add(r*reasons+int(why), 1)
	b.total.closed(why)
	b.rows[r].closed(why)
	c := &b.customers.list[e.customer]
	c.closed(why)
	b.lives.now().closed(why)
	if b.total.Received != b.total.Sum() || b.rows[r].Received != b.rows[r].Sum() || c.Received != c.Sum() {
		b.sums(at)
	}
}
