package accounting

import "time"

// periodRing is a ring of equal spans of the day in which anything happened, in the order in which they were lived
// through. A clock that goes back by more than a span opens a new one with an earlier label; sums don't care. A req counts
// as taken in the period in which it was taken, and by its reason in the one in which it was closed.
type periodRing struct {
	capacity, length int64 // how many are kept, and the span in nanoseconds
	first, next      uint64
	start            time.Duration // of the present one; 0 none
	current          []int64       // its cells
	retained         []int64       // the sum of all closed ones in the ring
	expired          []int64       // of those that have left it
	encoded          [][]byte      // closed ones, encoded; number n stands at n modulo its length
}

func (p *periodRing) init(cfg Config, cells int) {
	p.capacity, p.length = int64(cfg.MaxPeriods), int64(cfg.PeriodLength)
	if p.capacity > 0 {
		p.current, p.retained, p.expired = make([]int64, cells), make([]int64, cells), make([]int64, cells)
		p.encoded = make([][]byte, p.capacity)
	}
}

func (p *periodRing) add(cell int, n int64) {
	if p.capacity > 0 {
		p.current[cell] += n
	}
}

// advance opens the period of that time if it is another one.
func (p *periodRing) advance(at time.Duration) {
	if p.capacity == 0 {
		return
	}
	every := time.Duration(p.length)
	if p.start != 0 && at < p.start+every && at >= p.start-every {
		return // a clock that was set back by less stays in the present one
	}
	if p.start != 0 {
		p.closeCurrent()
	}
	p.start = max(1, at-at%every)
}

// closeCurrent puts the present period into the ring, and the oldest of a full ring out of it.
func (p *periodRing) closeCurrent() {
	i := p.next % uint64(p.capacity)
	if p.next-p.first == uint64(p.capacity) {
		// What stands there was encoded here or proved when it was read.
		_ = forEachCell(p.closedCells(p.first), func(cell int, n int64) error {
			p.retained[cell] -= n
			p.expired[cell] += n
			return nil
		})
		p.first++
	}
	p.encoded[i] = appendPeriod(p.encoded[i][:0], p.start, time.Duration(p.length), p.current)
	for c, n := range p.current {
		p.retained[c] += n
	}
	clear(p.current)
	p.next++
}

func (p *periodRing) closedCells(number uint64) []byte {
	_, _, cells, _ := decodePeriod(p.encoded[number%uint64(p.capacity)])
	return cells
}

// Periods is the range of the numbers of the closed periods that are kept, from first to before next.
func (b *Ledger) Periods() (first, next uint64) { return b.periods.first, b.periods.next }

// PeriodData is a closed period as it is recorded, valid until the next op.
func (b *Ledger) PeriodData(number uint64) []byte {
	return b.periods.encoded[number%uint64(b.periods.capacity)]
}

// PeriodSize is how long a recorded period can be, in bytes.
func (b *Ledger) PeriodSize() int { return 32 + 14*len(b.cells) }
