package accounting

import "time"

// periods is a ring of equal spans of the day in which anything happened, in the order in which they were lived
// through. A clock that goes back by more than a span opens a new one with an earlier label; sums don't care. A req counts
// as taken in the period in which it was taken, and by its reason in the one in which it was closed.
type periods struct {
	most, every int64 // how many are kept, and the span in nanoseconds
	first, next uint64
	start       time.Duration // of the present one; 0 none
	present     []int64       // its cells
	kept        []int64       // the sum of all closed ones in the ring
	before      []int64       // of those that have left it
	ring        [][]byte      // closed ones, encoded; number n stands at n modulo its length
}

func (p *periods) init(cfg Config, cells int) {
	p.most, p.every = int64(cfg.MaxPeriods), int64(cfg.PeriodLength)
	if p.most > 0 {
		p.present, p.kept, p.before = make([]int64, cells), make([]int64, cells), make([]int64, cells)
		p.ring = make([][]byte, p.most)
	}
}

func (p *periods) add(cell int, n int64) {
	if p.most > 0 {
		p.present[cell] += n
	}
}

// roll opens the period of that time if it is another one.
func (p *periods) roll(at time.Duration) {
	if p.most == 0 {
		return
	}
	every := time.Duration(p.every)
	if p.start != 0 && at < p.start+every && at >= p.start-every {
		return // a clock that was set back by less stays in the present one
	}
	if p.start != 0 {
		p.shut()
	}
	p.start = max(1, at-at%every)
}

// shut puts the present period into the ring, and the oldest of a full ring out of it.
func (p *periods) shut() {
	i := p.next % uint64(p.most)
	if p.next-p.first == uint64(p.most) {
		// What stands there was encoded here or proved when it was read.
		_ = eachCell(p.cellsOf(p.first), func(cell int, n int64) error {
			p.kept[cell] -= n
			p.before[cell] += n
			return nil
		})
		p.first++
	}
	p.ring[i] = appendPeriod(p.ring[i][:0], p.start, time.Duration(p.every), p.present)
	for c, n := range p.present {
		p.kept[c] += n
	}
	clear(p.present)
	p.next++
}

func (p *periods) cellsOf(number uint64) []byte {
	_, _, cells, _ := splitPeriod(p.ring[number%uint64(p.most)])
	return cells
}

// Periods is the range of the numbers of the closed periods that are kept, from first to before next.
func (b *Ledger) Periods() (first, next uint64) { return b.periods.first, b.periods.next }

// PeriodData is a closed period as it is recorded, valid until the next op.
func (b *Ledger) PeriodData(number uint64) []byte {
	return b.periods.ring[number%uint64(b.periods.most)]
}

// PeriodSize is how long a recorded period can be, in bytes.
func (b *Ledger) PeriodSize() int { return 32 + 14*len(b.cells) }
