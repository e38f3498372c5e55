package accounting

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// periodRing counts requests by periods of equal length, and keeps the latest of those that are closed.
//
// Periods without any entry are left out. They are in the order in which the node went through them: a clock that is set
// back by more than a period opens one with an earlier start, and no sum depends on the order of starts. A request counts as
// received in the period of its EntryOpen, and for its reason in the period in which it was closed.
//
// For each cell, expired + retained + current is the ledger's count.
type periodRing struct {
	capacity int           // closed periods that are kept; with 0 there are no periods at all
	length   time.Duration // of a period
	first    uint64        // number of the oldest closed period that is kept
	next     uint64        // number of the current period
	encoded  [][]byte      // closed periods; number n is at n modulo capacity

	start    time.Duration // of the current period; 0 if there is none yet
	current  []int64       // cells of the current period
	retained []int64       // sums of the cells of the closed periods in the ring
	expired  []int64       // sums of the cells of the periods that have left it
}

func newPeriodRing(cfg Config, cells int) periodRing {
	p := periodRing{capacity: cfg.MaxPeriods, length: cfg.PeriodLength}
	if p.enabled() {
		p.current = make([]int64, cells)
		p.retained = make([]int64, cells)
		p.expired = make([]int64, cells)
		p.encoded = make([][]byte, p.capacity)
	}
	return p
}

func (p *periodRing) enabled() bool { return p.capacity > 0 }

// add adds to a cell of the current period.
func (p *periodRing) add(cell int, n int64) {
	if p.enabled() {
		p.current[cell] += n
	}
}

// advance closes the current period and begins another one if the given time is outside of it. A clock that was set back
// by less than a period stays in the current one.
func (p *periodRing) advance(at time.Duration) {
	if !p.enabled() {
		return
	}
	if p.start != 0 && at < p.start+p.length && at >= p.start-p.length {
		return
	}
	if p.start != 0 {
		p.closeCurrent(p.length)
	}
	p.start = max(1, at-at%p.length) // 0 means none
}

// closeCurrent puts the current period into the ring as one of the given length. The oldest of a full ring leaves it.
func (p *periodRing) closeCurrent(length time.Duration) {
	if p.next-p.first == uint64(p.capacity) {
		p.expireOldest()
	}
	slot := p.slot(p.next)
	p.encoded[slot] = appendPeriod(p.encoded[slot][:0], p.start, length, p.current)
	for cell, n := range p.current {
		p.retained[cell] += n
	}
	clear(p.current)
	p.next++
}

// expireOldest moves the counts of the oldest closed period to those of the expired ones.
func (p *periodRing) expireOldest() {
	// What the ring holds was encoded here or checked when it was decoded: there is no error.
	oldest, _ := decodePeriod(p.encoded[p.slot(p.first)])
	_ = forEachCell(oldest.cells, func(cell int, n int64) error {
		p.retained[cell] -= n
		p.expired[cell] += n
		return nil
	})
	p.first++
}

// slot returns where the ring holds the closed period of that number.
func (p *periodRing) slot(number uint64) int { return int(number % uint64(p.capacity)) }

// Periods returns the range of the numbers of the closed periods that are kept, from first to before next.
func (l *Ledger) Periods() (first, next uint64) { return l.periods.first, l.periods.next }

// PeriodData returns a closed period that is kept, encoded. The slice is valid until the next entry.
func (l *Ledger) PeriodData(number uint64) []byte {
	return l.periods.encoded[l.periods.slot(number)]
}

// MaxPeriodSize returns how long an encoded period can be, in bytes.
func (l *Ledger) MaxPeriodSize() int {
	const startAndLength = 32
	return startAndLength + maxCellSize*len(l.cells)
}

// closedPeriod is a closed period whose cells are still encoded.
type closedPeriod struct {
	start  time.Duration
	length time.Duration
	cells  []byte // a message Cells
}

// appendPeriod appends a message Period.
func appendPeriod(b []byte, start, length time.Duration, cells []int64) []byte {
	b = appendInt(b, periodStart, start)
	b = appendInt(b, periodSpan, length)
	return appendCells(b, periodCells, cells)
}

// decodePeriod decodes a message Period.
func decodePeriod(b []byte) (closedPeriod, error) {
	var period closedPeriod
	err := forEachField(b, func(f field) error {
		switch f.number {
		case periodStart:
			period.start = time.Duration(f.value)
		case periodSpan:
			period.length = time.Duration(f.value)
		case periodCells:
			period.cells = f.bytes
		}
		return nil
	})
	if err == nil && (period.start <= 0 || period.length <= 0) {
		err = ErrCorrupt
	}
	return period, err
}

// Field numbers of message Period.
const (
	periodStart protowire.Number = 1
	periodSpan  protowire.Number = 2
	periodCells protowire.Number = 3
)
