package accounting

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// periodRing counts requests by periods of equal length and keeps the latest closed periods.
//
// A period without entries is left out. The periods are in the order in which the node opened them. When the clock is
// set back by more than a period, the next period has an earlier start than the one before it; no sum depends on the
// order of the starts. A request counts as received in the period of its EntryOpen, and for its reason in the period in
// which it was closed.
//
// For each cell, expired + retained + current equals the count of the ledger.
type periodRing struct {
	capacity int           // closed periods that are kept; 0 disables counting by period
	length   time.Duration // length of a period
	first    uint64        // number of the oldest closed period that is kept
	next     uint64        // number of the current period
	encoded  [][]byte      // encoded closed periods; period n is at index n modulo capacity

	start    time.Duration // start of the current period; 0 if there is none yet
	current  []int64       // cells of the current period
	retained []int64       // sums of the cells of the closed periods in the ring
	expired  []int64       // sums of the cells of the periods removed from the ring
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

// add adds n to a cell of the current period.
func (p *periodRing) add(cell int, n int64) {
	if p.enabled() {
		p.current[cell] += n
	}
}

// advance closes the current period and begins another one if the given time is outside of it. When the clock is set
// back to at most one period before the start, the current period continues.
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
	p.start = max(1, at-at%p.length) // 0 would mean that there is no current period
}

// closeCurrent adds the current period to the ring with the given length. If the ring is full, the oldest period
// expires.
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

// expireOldest removes the oldest closed period from the ring and adds its counts to those of the expired ones.
func (p *periodRing) expireOldest() {
	// The errors are always nil: the periods in the ring were encoded by closeCurrent or checked by restore.
	oldest, _ := decodePeriod(p.encoded[p.slot(p.first)])
	_ = forEachCell(oldest.cells, func(cell int, n int64) error {
		p.retained[cell] -= n
		p.expired[cell] += n
		return nil
	})
	p.first++
}

// slot returns the index in the ring of the closed period with the given number.
func (p *periodRing) slot(number uint64) int { return int(number % uint64(p.capacity)) }

// Periods returns the numbers of the closed periods that are kept: from first up to, but not including, next.
func (l *Ledger) Periods() (first, next uint64) { return l.periods.first, l.periods.next }

// PeriodData returns the encoded closed period with the given number, which must be one of those that are kept. The
// slice is valid until the next entry.
func (l *Ledger) PeriodData(number uint64) []byte {
	return l.periods.encoded[l.periods.slot(number)]
}

// MaxPeriodSize returns the largest size of an encoded period in bytes.
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
	b = appendInt(b, periodLength, length)
	return appendCells(b, periodCells, cells)
}

// decodePeriod decodes a message Period. It returns ErrCorrupt if the message is not valid.
func decodePeriod(b []byte) (closedPeriod, error) {
	var period closedPeriod
	err := forEachField(b, func(f field) error {
		switch f.number {
		case periodStart:
			period.start = time.Duration(f.value)
		case periodLength:
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
	periodStart  protowire.Number = 1
	periodLength protowire.Number = 2
	periodCells  protowire.Number = 3
)
