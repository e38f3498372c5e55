package accounting

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	maxHandlerRows  = 64        // rows of handlers, those of earlier lives included: more than any service has
	maxOpenSlots    = 1 << 20   // places of open reqs: far beyond what a box can hold
	maxCustomers    = 1024      // customers told apart: each newcomer may look at all
	maxPeriods      = 1 << 14   // periods kept: eleven days of minutes
	maxPeriodLength = time.Hour // of a period
	trailLength     = 16        // last ops shown with a difference
	maxUnreported   = 16        // differences that wait to be read: more are only counted
	unknownHandler  = "-"       // the row of reqs that named none that is known
	formerHandlers  = "(former)"
	otherCustomers  = "(others)"
)

// Config is what a book is made for.
type Config struct {
	Handlers     []string      // names, each once
	MaxCustomers int           // told apart by name, the others in one; 0 none
	MaxPeriods   int           // kept; 0 none
	PeriodLength time.Duration // of a period; a minute if zero
}

// Ticket is the right to close one req. The zero Ticket is none.
type Ticket struct{ slot, generation uint32 }

// Valid tells whether there is a req to it, open or not.
func (t Ticket) Valid() bool { return t.generation != 0 }

type requestState uint8

const (
	slotFree requestState = iota
	awaitingAnswer
	answered // its final answer is written
)

// openRequest is the place of one open req.
type openRequest struct {
	id         uint64
	openedAt   time.Duration
	generation uint32
	comparison uint32 // by the last comparison
	handler    uint16
	customer   uint16
	frontend   Frontend
	reason     Reason // answering: of its answer
	state      requestState
}

// Ledger is the accounts of one box. Make it with New, or Restore.
type Ledger struct {
	cfg        Config
	handlers   []string
	cells      []int64  // by handler, front and reason; of None: taken
	rows       []Counts // by handler and front
	total      Counts
	mismatches int64

	requests      []openRequest
	freeSlots     []uint32
	answeredCount int
	flushing      bool

	customers    customerTable
	periods      periodRing
	incarnations incarnationList

	seq        uint64
	recording  bool
	pending    []Entry // since the last Drain
	trail      [trailLength]Entry
	unreported []Mismatch
	knownGaps  map[string]int64 // differences that were told
	comparison uint32           // of comparisons
}

// New returns an empty book.
func New(cfg Config) (*Ledger, error) {
	if cfg.PeriodLength == 0 {
		cfg.PeriodLength = time.Minute
	}
	switch {
	case len(cfg.Handlers) > maxHandlerRows-2:
		return nil, fmt.Errorf("%d handlers are too many for the figures, %d at most", len(cfg.Handlers), maxHandlerRows-2)
	case cfg.MaxCustomers < 0 || cfg.MaxCustomers > maxCustomers:
		return nil, fmt.Errorf("%d customers are too many for the figures, %d at most", cfg.MaxCustomers, maxCustomers)
	case cfg.MaxPeriods < 0 || cfg.MaxPeriods > maxPeriods:
		return nil, fmt.Errorf("%d periods are too many for the figures, %d at most", cfg.MaxPeriods, maxPeriods)
	case cfg.PeriodLength < time.Second || cfg.PeriodLength > maxPeriodLength:
		return nil, fmt.Errorf("a period of %s: it has 1s to %s", cfg.PeriodLength, maxPeriodLength)
	}
	b := &Ledger{cfg: cfg, handlers: append([]string{unknownHandler}, cfg.Handlers...), knownGaps: map[string]int64{}}
	b.allocateRows()
	b.customers.init(cfg.MaxCustomers)
	b.periods.init(cfg, len(b.cells))
	return b, nil
}

func (b *Ledger) allocateRows() {
	b.cells = make([]int64, len(b.handlers)*frontendCount*reasonCount)
	b.rows = make([]Counts, len(b.handlers)*frontendCount)
}

func rowIndex(handler uint16, front Frontend) int { return int(handler)*frontendCount + int(front) }

// RecordEntries has the book keep its ops until they are drained: something records them.
func (b *Ledger) RecordEntries(keep bool) {
	b.recording = keep
	if !keep {
		b.pending = nil
	}
}

// TakeEntries hands the ops since the last one to f and forgets them.
func (b *Ledger) TakeEntries(f func(ops []Entry)) {
	if len(b.pending) > 0 {
		f(b.pending)
		b.pending = b.pending[:0]
	}
}

// HasPendingEntries tells whether there are ops since the last Drain.
func (b *Ledger) HasPendingEntries() bool { return len(b.pending) > 0 }

// RequeueEntries has the next Drain hand over ops that were drained and not recorded.
func (b *Ledger) RequeueEntries(ops []Entry) { b.pending = append(slices.Clone(ops), b.pending...) }

// Seq is the number of the last op.
func (b *Ledger) Seq() uint64 { return b.seq }

// Handler is the number of a handler's row, that of no handler if there is none of that name.
func (b *Ledger) Handler(name string) uint16 { return uint16(max(0, slices.Index(b.handlers, name))) }

// Total has the five figures of all.
func (b *Ledger) Total() Counts { return b.total }

// Mismatches is how often figures were found that do not add up.
func (b *Ledger) Mismatches() int64 { return b.mismatches }

// Open takes a req; at is the time of day.
func (b *Ledger) Open(at time.Duration, id uint64, handler uint16, front Frontend, customer CustomerName) Ticket {
	slot := uint32(len(b.requests))
	if n := len(b.freeSlots); n > 0 {
		slot = b.freeSlots[n-1]
		b.freeSlots = b.freeSlots[:n-1]
	}
	b.commit(Entry{Kind: EntryOpen, At: at, ID: id, Slot: slot, Handler: handler, Front: front, Customer: customer})
	return Ticket{slot, b.requests[slot].generation}
}

// Answer says that the final answer is written, for that reason.
func (b *Ledger) Answer(at time.Duration, t Ticket, why Reason) bool {
	return b.transition(at, t, EntryAnswer, why, awaitingAnswer)
}

// Sent says that the last byte of an answer was handed to the system: the req is closed.
func (b *Ledger) Sent(at time.Duration, t Ticket) bool {
	return b.transition(at, t, EntrySent, None, answered)
}

// Close closes a req whose answer was not handed over, or that got none.
func (b *Ledger) Close(at time.Duration, t Ticket, why Reason) bool {
	return b.transition(at, t, EntryClose, why, slotFree)
}

// transition makes an op of an open req. One that is not open, or not in that state, is a difference and changes nothing.
func (b *Ledger) transition(at time.Duration, t Ticket, kind EntryKind, why Reason, from requestState) bool {
	if !t.Valid() || int(t.slot) >= len(b.requests) {
		b.recordMismatch(at, "a move of a req that was never taken", int64(kind), 0)
		return false
	}
	e := &b.requests[t.slot]
	if e.generation != t.generation || e.state == slotFree || from != slotFree && e.state != from || kind != EntrySent && why.Category() == 0 {
		b.recordMismatch(at, "a move that is not allowed: "+kind.String()+" for reason "+why.String(), int64(t.slot), int64(e.state))
		return false
	}
	b.commit(Entry{Kind: kind, At: at, Slot: t.slot, Reason: why})
	return true
}

// String is the op's word.
func (k EntryKind) String() string {
	if int(k) < len(entryKindNames) {
		return entryKindNames[k]
	}
	return "none"
}

var entryKindNames = [...]string{"none", "open", "answer", "sent", "close", "flush", "differ"}

// Flush says that answers are being handed to the system from now on, or that what was is done. It costs an op only
// where peers have left some: an answer that is written is taken for on its way until then.
func (b *Ledger) Flush(at time.Duration, begins bool) {
	if begins == b.flushing || b.answeredCount == 0 {
		return
	}
	op := Entry{Kind: EntryFlush, At: at}
	if begins {
		op.Slot = 1
	}
	b.commit(op)
}

func (b *Ledger) commit(op Entry) {
	op.Seq = b.seq + 1
	if err := b.Apply(op); err != nil { // its maker looked: none of these happen
		b.recordMismatch(op.At, err.Error(), int64(op.Kind), int64(op.Slot))
		return
	}
	if b.recording {
		b.pending = append(b.pending, op)
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
	var e *openRequest
	if op.Kind >= EntryAnswer && op.Kind <= EntryClose {
		if int(op.Slot) >= len(b.requests) || b.requests[op.Slot].state == slotFree {
			return ErrInvalidEntry
		}
		e = &b.requests[op.Slot]
	}
	switch op.Kind {
	case EntryOpen:
		if int(op.Handler) >= len(b.handlers) || op.Front >= frontendCount || op.Slot >= maxOpenSlots {
			return ErrInvalidEntry
		}
		for int(op.Slot) >= len(b.requests) {
			b.requests = append(b.requests, openRequest{})
		}
		if e = &b.requests[op.Slot]; e.state != slotFree {
			return ErrInvalidEntry
		}
	case EntryAnswer:
		if e.state != awaitingAnswer || op.Reason.Category() == 0 {
			return ErrInvalidEntry
		}
	case EntrySent:
		if e.state != answered {
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
	b.trail[op.Seq%trailLength] = op
	b.periods.advance(op.At)
	b.incarnations.touch(op.At)
	switch op.Kind {
	case EntryOpen:
		*e = openRequest{
			id: op.ID, openedAt: op.At, generation: max(1, e.generation+1), handler: op.Handler, frontend: op.Front,
			customer: b.customers.find(op.Customer), state: awaitingAnswer,
		}
		b.countOpened(e)
	case EntryAnswer:
		e.state, e.reason = answered, op.Reason
		b.answeredCount++
		b.flushing = true
	case EntrySent:
		b.closeSlot(op.Slot, e.reason, op.At)
	case EntryClose:
		b.closeSlot(op.Slot, op.Reason, op.At)
	case EntryFlush:
		b.flushing = op.Slot == 1
	case EntryMismatch:
		b.mismatches++
	}
	return nil
}

func (b *Ledger) countOpened(e *openRequest) {
	r := rowIndex(e.handler, e.frontend)
	b.cells[r*reasonCount]++
	b.periods.add(r*reasonCount, 1)
	b.total.addOpened()
	b.rows[r].addOpened()
	b.customers.list[e.customer].addOpened()
	b.incarnations.current().addOpened()
}

func (b *Ledger) closeSlot(slot uint32, why Reason, at time.Duration) {
	e := &b.requests[slot]
	if e.state == answered {
		b.answeredCount--
	}
	e.state = slotFree
	b.freeSlots = append(b.freeSlots, slot)
	r := rowIndex(e.handler, e.frontend)
	b.cells[r*reasonCount+int(why)]++
	b.periods.add(r*reasonCount+int(why), 1)
	b.total.addClosed(why)
	b.rows[r].addClosed(why)
	c := &b.customers.list[e.customer]
	c.addClosed(why)
	b.incarnations.current().addClosed(why)
	if b.total.Received != b.total.Sum() || b.rows[r].Received != b.rows[r].Sum() || c.Received != c.Sum() {
		b.auditTotals(at)
	}
}
