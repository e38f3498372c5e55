package accounting

import "time"

const (
	maxIncarnations = 64   // incarnations that are kept individually; the counts of earlier ones are summed
	maxUncertainIDs = 1024 // ids kept per incarnation of requests of uncertain delivery; further ones are only counted
)

// bootTolerance is the difference up to which two boot times are taken for the same boot. The boot time is computed from
// the system clock, which is adjusted at times.
const bootTolerance = time.Minute

// IncarnationState is whether an incarnation runs or how it ended. The numbers are stored.
type IncarnationState uint8

// The states of an incarnation.
const (
	Running  IncarnationState = iota // the process runs, or its end has not been determined yet
	Exited                           // the process shut down in order and recorded its end
	Killed                           // the process ended without recording its end
	Rebooted                         // like Killed, and the machine has rebooted since; changes that were not on disk are lost
)

// incarnationStateNames are the names of the states in reports.
var incarnationStateNames = [...]string{
	Running:  "runs",
	Exited:   "left",
	Killed:   "killed",
	Rebooted: "rebooted",
}

// String returns the name of the state.
func (s IncarnationState) String() string { return incarnationStateNames[min(s, Rebooted)] }

// Incarnation describes one process of a node: its number, when it ran, how it ended, and the counts of the requests
// that it received. Scripts read the JSON keys, so the keys must not change.
type Incarnation struct {
	Counts
	Number       uint64           `json:"Number"`
	Boot         time.Duration    `json:"Boot"` // boot time of the machine, by its clock
	Started      time.Duration    `json:"Started"`
	LastEntry    time.Duration    `json:"Last"`
	State        IncarnationState `json:"Ending"`
	Uncertain    int64            `json:"Doubted"` // requests for which it is unknown whether the response was delivered
	UncertainIDs []uint64         `json:"Doubt"`   // ids of the first maxUncertainIDs of these requests
}

// Rebooted reports whether the machine has rebooted since the incarnation ran. boot is the current boot time of the
// machine.
func (i *Incarnation) Rebooted(boot time.Duration) bool {
	return (boot - i.Boot).Abs() > bootTolerance
}

// addUncertain records a request for which it is unknown whether the response was delivered.
func (i *Incarnation) addUncertain(id uint64) {
	i.Uncertain++
	if len(i.UncertainIDs) < maxUncertainIDs {
		i.UncertainIDs = append(i.UncertainIDs, id)
	}
}

// incarnationList holds the latest incarnations and the summed counts of all earlier ones.
type incarnationList struct {
	list         []Incarnation // oldest first, the current one last
	earlier      Counts        // sum over the incarnations before the list
	earlierCount uint64        // number of the incarnations before the list
}

// last returns the last incarnation, or nil if there is none.
func (il *incarnationList) last() *Incarnation {
	if len(il.list) == 0 {
		return nil
	}
	return &il.list[len(il.list)-1]
}

// current returns the current incarnation. It adds one if there is none.
func (il *incarnationList) current() *Incarnation {
	if len(il.list) == 0 {
		il.list = append(il.list, Incarnation{Number: il.earlierCount + 1})
	}
	return il.last()
}

// running reports whether the last incarnation has not ended.
func (il *incarnationList) running() bool {
	last := il.last()
	return last != nil && last.State == Running
}

// add appends a new incarnation. If the list is full, the oldest incarnation moves to the earlier ones.
func (il *incarnationList) add(at, boot time.Duration) {
	number := il.earlierCount + uint64(len(il.list)) + 1
	if len(il.list) >= maxIncarnations {
		il.earlier = il.earlier.Plus(il.list[0].Counts)
		il.earlierCount++
		il.list = append(il.list[:0], il.list[1:]...)
	}
	il.list = append(il.list, Incarnation{Number: number, Boot: boot, Started: at, LastEntry: at})
}

// Incarnations returns the latest incarnations, the current one last, the summed counts of all earlier ones, and the
// number of the earlier ones. The list belongs to the ledger; callers must not change it.
func (l *Ledger) Incarnations() (list []Incarnation, earlier Counts, earlierCount uint64) {
	return l.incarnations.list, l.incarnations.earlier, l.incarnations.earlierCount
}

// StartIncarnation begins a new incarnation at the given time. boot is the boot time of the machine. If the last
// incarnation has not ended, StartIncarnation first ends it as Killed or Rebooted and closes its open requests as
// OpenAtKill or DeliveryUnknown.
func (l *Ledger) StartIncarnation(at, boot time.Duration) {
	if l.incarnations.running() {
		state := Killed
		if l.incarnations.last().Rebooted(boot) {
			state = Rebooted
		}
		l.EndIncarnation(OpenAtKill, state)
	}
	l.incarnations.add(at, boot)
}

// EndIncarnation ends the current incarnation with the given state. It closes the open requests whose response was being
// handed over as DeliveryUnknown, and all others for the given reason.
func (l *Ledger) EndIncarnation(reason Reason, state IncarnationState) {
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
	incarnation.State = state
}
