package accounting

import "time"

const (
	maxIncarnations = 64   // lives told one by one; earlier ones are summed
	maxUncertainIDs = 1024 // ids in doubt that are listed of a life; more are counted
)

// Ending tells how a life ended.
type Ending uint8

// The endings. The numbers stand in files.
const (
	Running  Ending = iota // or nothing is known of its end yet
	Exited                 // by itself, and said so
	Killed                 // without a word
	Rebooted               // without a word, and the machine has started since: what was not on the disk is lost
)

// String is the ending's word.
func (e Ending) String() string {
	return [...]string{"runs", "left", "killed", "rebooted"}[min(e, Rebooted)]
}

// Incarnation is one process of a node: its number, when it ran, how it ended, and what became of the requests it
// received. Times are spans since the start of 1970. The JSON keys are read by scripts: they stay as they are.
type Incarnation struct {
	Counts
	Number       uint64        `json:"Number"`
	Boot         time.Duration `json:"Boot"` // when the machine started, by its clock
	Started      time.Duration `json:"Started"`
	LastEntry    time.Duration `json:"Last"`
	Ending       Ending        `json:"Ending"`
	Uncertain    int64         `json:"Doubted"` // requests whose response may have been delivered or not
	UncertainIDs []uint64      `json:"Doubt"`   // the ids of the first uncertainMax of them
}

type incarnationList struct {
	list         []Incarnation
	earlier      Counts // of those no longer told one by one
	earlierCount uint64 // how many those are
}

// current is the figures of the present life.
func (l *incarnationList) current() *Counts {
	if len(l.list) == 0 {
		l.list = append(l.list, Incarnation{Number: l.earlierCount + 1})
	}
	return &l.list[len(l.list)-1].Counts
}

func (l *incarnationList) touch(at time.Duration) {
	l.current()
	l.list[len(l.list)-1].LastEntry = at
}

// Incarnations are those told one by one, the present one last, and the figures and number of all earlier ones.
func (b *Ledger) Incarnations() (list []Incarnation, earlier Counts, before uint64) {
	return b.incarnations.list, b.incarnations.earlier, b.incarnations.earlierCount
}

// StartIncarnation opens a new life. What the last one left open stays on its account: as in doubt where its answer was being handed
// over, else as cut.
func (b *Ledger) StartIncarnation(at, boot time.Duration) {
	l := &b.incarnations
	if n := len(l.list); n > 0 && l.list[n-1].Ending == Running {
		how := Killed
		if l.list[n-1].Rebooted(boot) {
			how = Rebooted
		}
		b.CloseAll(OpenAtKill, how)
	}
	number := l.earlierCount + uint64(len(l.list)) + 1
	if len(l.list) >= maxIncarnations {
		l.earlier = l.earlier.Plus(l.list[0].Counts)
		l.earlierCount++
		l.list = append(l.list[:0], l.list[1:]...)
	}
	l.list = append(l.list, Incarnation{Number: number, Boot: boot, Started: at, LastEntry: at})
}

// bootTolerance is how far the time of one boot may seem to move: it is worked out from a clock that is set at times.
const bootTolerance = time.Minute

// Rebooted tells whether the machine, which started at boot, has done so since the life.
func (l *Incarnation) Rebooted(boot time.Duration) bool {
	apart := boot - l.Boot
	return apart > bootTolerance || apart < -bootTolerance
}

// CloseAll closes all that is open, at the end of a life.
func (b *Ledger) CloseAll(why Reason, how Ending) {
	b.incarnations.current()
	life := &b.incarnations.list[len(b.incarnations.list)-1]
	for slot := range b.requests {
		e := &b.requests[slot]
		reason := why
		switch {
		case e.state == slotFree:
			continue
		case e.state == answered && b.flushing:
			reason = DeliveryUnknown
			life.Uncertain++
			if len(life.UncertainIDs) < maxUncertainIDs {
				life.UncertainIDs = append(life.UncertainIDs, e.id)
			}
		}
		b.commit(Entry{Kind: EntryClose, At: life.LastEntry, Slot: uint32(slot), Reason: reason})
	}
	b.Flush(life.LastEntry, false)
	life.Ending = how
}
