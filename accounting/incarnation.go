package accounting

import "time"

const (
	maxIncarnations = 64   // incarnations that are kept one by one; earlier ones are summed
	maxUncertainIDs = 1024 // ids of uncertain delivery that are kept of an incarnation; more are only counted
)

// bootTolerance is how far the time of one boot may seem to move: it is derived from a clock that is adjusted at times.
const bootTolerance = time.Minute

// IncarnationState tells how an incarnation ended. The numbers are stored.
type IncarnationState uint8

// The endings.
const (
	Running  IncarnationState = iota // it runs, or nothing is known of its end yet
	Exited                           // it exited in order and recorded that
	Killed                           // it ended without recording it
	Rebooted                         // the same, and the machine has restarted since: what was not on disk is lost
)

// endingNames are the words of the endings in reports.
var endingNames = [...]string{
	Running:  "runs",
	Exited:   "left",
	Killed:   "killed",
	Rebooted: "rebooted",
}

// String returns the ending's word.
func (e IncarnationState) String() string { return endingNames[min(e, Rebooted)] }

// Incarnation is one process of a node: its number, when it ran, how it ended, and what became of the requests it
// received. The JSON keys are read by scripts: they stay as they are.
type Incarnation struct {
	Counts
	Number       uint64           `json:"Number"`
	Boot         time.Duration    `json:"Boot"` // when the machine started, by its clock
	Started      time.Duration    `json:"Started"`
	LastEntry    time.Duration    `json:"Last"`
	State        IncarnationState `json:"Ending"`
	Uncertain    int64            `json:"Doubted"` // requests whose response may have been delivered or not
	UncertainIDs []uint64         `json:"Doubt"`   // the ids of the first maxUncertainIDs of them
}

// Rebooted reports whether the machine, which started at boot, has restarted since the incarnation ran.
func (i *Incarnation) Rebooted(boot time.Duration) bool {
	return (boot - i.Boot).Abs() > bootTolerance
}

// addUncertain notes a request whose response may have been delivered or not.
func (i *Incarnation) addUncertain(id uint64) {
	i.Uncertain++
	if len(i.UncertainIDs) < maxUncertainIDs {
		i.UncertainIDs = append(i.UncertainIDs, id)
	}
}

// incarnationList holds the latest incarnations and the sum of all earlier ones.
type incarnationList struct {
	list         []Incarnation // in order, the present one last
	earlier      Counts        // of those before the list
	earlierCount uint64        // how many those are
}

// last returns the last incarnation, nil if there is none.
func (il *incarnationList) last() *Incarnation {
	if len(il.list) == 0 {
		return nil
	}
	return &il.list[len(il.list)-1]
}

// current returns the present incarnation, and makes one if there is none.
func (il *incarnationList) current() *Incarnation {
	if len(il.list) == 0 {
		il.list = append(il.list, Incarnation{Number: il.earlierCount + 1})
	}
	return il.last()
}

// running reports whether the last incarnation has not been ended.
func (il *incarnationList) running() bool {
	last := il.last()
	return last != nil && last.State == Running
}

// add appends a new incarnation. The oldest one makes room for it if necessary.
func (il *incarnationList) add(at, boot time.Duration) {
	number := il.earlierCount + uint64(len(il.list)) + 1
	if len(il.list) >= maxIncarnations {
		il.earlier = il.earlier.Plus(il.list[0].Counts)
		il.earlierCount++
		il.list = append(il.list[:0], il.list[1:]...)
	}
	il.list = append(il.list, Incarnation{Number: number, Boot: boot, Started: at, LastEntry: at})
}

// Incarnations returns the latest incarnations, the present one last, the sum of the counts of all earlier ones, and how
// many those are. The list belongs to the ledger.
func (l *Ledger) Incarnations() (list []Incarnation, earlier Counts, before uint64) {
	return l.incarnations.list, l.incarnations.earlier, l.incarnations.earlierCount
}

// StartIncarnation begins a new incarnation at the given time, on a machine that started at boot. What the last one left
// open is closed on its account first.
func (l *Ledger) StartIncarnation(at, boot time.Duration) {
	if l.incarnations.running() {
		ending := Killed
		if l.incarnations.last().Rebooted(boot) {
			ending = Rebooted
		}
		l.EndIncarnation(OpenAtKill, ending)
	}
	l.incarnations.add(at, boot)
}

// EndIncarnation ends the present incarnation: it closes all open requests, those whose response was being handed over as
// DeliveryUnknown, the others for the given reason.
func (l *Ledger) EndIncarnation(reason Reason, ending IncarnationState) {
	incarnation := l.incarnations.current()
	for slot := range l.requests {
		request := &l.requests[slot]
		if request.state == slotFree {
			continue
		}
		entry := Entry{
			Kind:   EntryClose,
			At:     incarnation.LastEntry,
			Slot:   uint32(slot),
			Reason: reason,
		}
		if l.beingDelivered(request) {
			entry.Reason = DeliveryUnknown
			incarnation.addUncertain(request.id)
		}
		l.commit(entry)
	}
	l.SetFlushing(incarnation.LastEntry, false)
	incarnation.State = ending
}
