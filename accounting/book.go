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
	Handlers  []string      // names, each once
	Customers int           // told apart by name, the others in one; 0 none
	Periods   int           // kept; 0 none
	Every     time.Duration // of a period; a minute if zero
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
	front    Front
	reason   Reason // answering: of its answer
	state    state
}

// Book is the accounts of one box. Make it with New, or Restore.
type Book struct {
	cfg      Config
	handlers []string
	cells    []int64   // by handler, front and reason; of None: taken
	rows     []Figures // by handler and front
	total    Figures
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
	ops     []Op // since the last Drain
	trail   [trailLen]Op
	found   []Difference
	known   map[string]int64 // differences that were told
	round   uint32           // of comparisons
}

// New returns an empty book.
func New(cfg Config) (*Book, error) {
	if cfg.Every == 0 {
		cfg.Every = time.Minute
	}
	switch {
	case len(cfg.Handlers) > handlersMost-2:
		return nil, fmt.Errorf("%d handlers are too many for the figures, %d at most", len(cfg.Handlers), handlersMost-2)
	case cfg.Customers < 0 || cfg.Customers > customersMost:
		return nil, fmt.Errorf("%d customers are too many for the figures, %d at most", cfg.Customers, customersMost)
	case cfg.Periods < 0 || cfg.Periods > periodsMost:
		return nil, fmt.Errorf("%d periods are too many for the figures, %d at most", cfg.Periods, periodsMost)
	case cfg.Every < time.Second || cfg.Every > everyMost:
		return nil, fmt.Errorf("a period of %s: it has 1s to %s", cfg.Every, everyMost)
	}
	b := &Book{cfg: cfg, handlers: append([]string{noHandler}, cfg.Handlers...), known: map[string]int64{}}
	b.lay()
	b.customers.init(cfg.Customers)
	b.periods.init(cfg, len(b.cells))
	return b, nil
}

func (b *Book) lay() {
	b.cells = make([]int64, len(b.handlers)*fronts*reasons)
	b.rows = make([]Figures, len(b.handlers)*fronts)
}

func row(handler uint16, front Front) int { return int(handler)*fronts + int(front) }

// KeepOps has the book keep its ops until they are drained: something records them.
func (b *Book) KeepOps(keep bool) {
	b.keepOps = keep
	if !keep {
		b.ops = nil
	}
}

// Drain hands the ops since the last one to f and forgets them.
func (b *Book) Drain(f func(ops []Op)) {
	if len(b.ops) > 0 {
		f(b.ops)
		b.ops = b.ops[:0]
	}
}

// Undrained tells whether there are ops since the last Drain.
func (b *Book) Undrained() bool { return len(b.ops) > 0 }

// Redo has the next Drain hand over ops that were drained and not recorded.
func (b *Book) Redo(ops []Op) { b.ops = append(slices.Clone(ops), b.ops...) }

// Seq is the number of the last op.
func (b *Book) Seq() uint64 { return b.seq }

// Handler is the number of a handler's row, that of no handler if there is none of that name.
func (b *Book) Handler(name string) uint16 { return uint16(max(0, slices.Index(b.handlers, name))) }

// Total has the five figures of all.
func (b *Book) Total() Figures { return b.total }

// Differences is how often figures were found that do not add up.
func (b *Book) Differences() int64 { return b.differs }

// Open takes a req; at is the time of day.
func (b *Book) Open(at time.Duration, id uint64, handler uint16, front Front, customer Name) Ticket {
	slot := uint32(len(b.entries))
	if n := len(b.unused); n > 0 {
		slot = b.unused[n-1]
		b.unused = b.unused[:n-1]
	}
	b.do(Op{Kind: OpOpen, At: at, ID: id, Slot: slot, Handler: handler, Front: front, Customer: customer})
	return Ticket{slot, b.entries[slot].gen}
}

// Answer says that the final answer is written, for that reason.
func (b *Book) Answer(at time.Duration, t Ticket, why Reason) bool {
	return b.move(at, t, OpAnswer, why, waits)
}

// Sent says that the last byte of an answer was handed to the system: the req is closed.
func (b *Book) Sent(at time.Duration, t Ticket) bool {
	return b.move(at, t, OpSent, None, answering)
}

// Close closes a req whose answer was not handed over, or that got none.
func (b *Book) Close(at time.Duration, t Ticket, why Reason) bool {
	return b.move(at, t, OpClose, why, free)
}

// move makes an op of an open req. One that is not open, or not in that state, is a difference and changes nothing.
func (b *Book) move(at time.Duration, t Ticket, kind OpKind, why Reason, from state) bool {
	if !t.Valid() || int(t.slot) >= len(b.entries) {
		b.differ(at, "a move of a req that was never taken", int64(kind), 0)
		return false
	}
	e := &b.entries[t.slot]
	if e.gen != t.gen || e.state == free || from != free && e.state != from || kind != OpSent && why.Figure() == 0 {
		b.differ(at, "a move that is not allowed: "+kind.String()+" for reason "+why.String(), int64(t.slot), int64(e.state))
		return false
	}
	b.do(Op{Kind: kind, At: at, Slot: t.slot, Reason: why})
	return true
}

// String is the op's word.
func (k OpKind) String() string {
	if int(k) < len(opWords) {
		return opWords[k]
	}
	return "none"
}

var opWords = [...]string{"none", "open", "answer", "sent", "close", "flush", "differ"}

// Flush says that answers are being handed to the system from now on, or that what was is done. It costs an op only
// where peers have left some: an answer that is written is taken for on its way until then.
func (b *Book) Flush(at time.Duration, begins bool) {
	if begins == b.flushing || b.answering == 0 {
		return
	}
	op := Op{Kind: OpFlush, At: at}
	if begins {
		op.Slot = 1
	}
	b.do(op)
}

func (b *Book) do(op Op) {
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
	ErrOrder = errors.New("an op out of its order")
	ErrOp    = errors.New("an op that does not fit the book")
)

// Apply follows one op. It is how all changes are made, and how a book is had again from what was recorded.
func (b *Book) Apply(op Op) error {
	if op.Seq != b.seq+1 {
		return ErrOrder
	}
	var e *entry
	if op.Kind >= OpAnswer && op.Kind <= OpClose {
		if int(op.Slot) >= len(b.entries) || b.entries[op.Slot].state == free {
			return ErrOp
		}
		e = &b.entries[op.Slot]
	}
	switch op.Kind {
	case OpOpen:
		if int(op.Handler) >= len(b.handlers) || op.Front >= fronts || op.Slot >= openMost {
			return ErrOp
		}
		for int(op.Slot) >= len(b.entries) {
			b.entries = append(b.entries, entry{})
		}
		if e = &b.entries[op.Slot]; e.state != free {
			return ErrOp
		}
	case OpAnswer:
		if e.state != waits || op.Reason.Figure() == 0 {
			return ErrOp
		}
	case OpSent:
		if e.state != answering {
			return ErrOp
		}
	case OpClose:
		if op.Reason.Figure() == 0 {
			return ErrOp
		}
	case OpFlush, OpDiffer:
	default:
		return ErrOp
	}
	b.seq = op.Seq
	b.trail[op.Seq%trailLen] = op
	b.periods.roll(op.At)
	b.lives.seen(op.At)
	switch op.Kind {
	case OpOpen:
		*e = entry{id: op.ID, at: op.At, gen: max(1, e.gen+1), handler: op.Handler, front: op.Front,
			customer: b.customers.find(op.Customer), state: waits}
		b.opened(e)
	case OpAnswer:
		e.state, e.reason = answering, op.Reason
		b.answering++
		b.flushing = true
	case OpSent:
		b.closed(op.Slot, e.reason, op.At)
	case OpClose:
		b.closed(op.Slot, op.Reason, op.At)
	case OpFlush:
		b.flushing = op.Slot == 1
	case OpDiffer:
		b.differs++
	}
	return nil
}

func (b *Book) opened(e *entry) {
	r := row(e.handler, e.front)
	b.cells[r*reasons]++
	b.periods.add(r*reasons, 1)
	b.total.opened()
	b.rows[r].opened()
	b.customers.list[e.customer].opened()
	b.lives.now().opened()
}

func (b *Book) closed(slot uint32, why Reason, at time.Duration) {
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
	if b.total.Taken != b.total.Sum() || b.rows[r].Taken != b.rows[r].Sum() || c.Taken != c.Sum() {
		b.sums(at)
	}
}
