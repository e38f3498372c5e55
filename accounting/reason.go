// Package accounting keeps the accounts of reqs: each is opened once and closed once, into served, refused or failed,
// with a reason, and the figures of all always add up. It is a state machine without I/O, clock or goroutine: the
// same calls lead to the same book, and a book can be had again from a snapshot and the ops that followed it.
package accounting

// Category is where a closed req is counted.
type Category uint8

// The figures beside taken, and open, which is the difference.
const (
	Served   Category = iota + 1 // answered with a result
	Rejected                     // answered: it never ran
	Failed                       // answered as failed, or nobody could be answered
)

// Reason tells why a req was closed. The numbers stand in files: none is ever given another meaning.
type Reason uint8

// The reasons. None stands in the cells for the reqs taken.
const (
	None             Reason = 0
	Completed        Reason = 1
	Replayed         Reason = 2
	Shed             Reason = 8
	Expired          Reason = 9
	NotReady         Reason = 10
	TooManyOpen      Reason = 11
	StoreFailed      Reason = 12
	StoreLoading     Reason = 13
	StoreFull        Reason = 14
	RetryAllowed     Reason = 15
	NoQuorum         Reason = 3
	BadFields        Reason = 16
	UnknownHandler   Reason = 17
	Incomplete       Reason = 18
	UnsupportedRole  Reason = 19
	UnknownRequest   Reason = 20
	RunFailed        Reason = 21
	RunStopped       Reason = 22
	NeverRan         Reason = 23
	Cancelled        Reason = 24
	CallFailed       Reason = 25
	ProcessorLost    Reason = 26
	OriginalFailed   Reason = 27
	Aborted          Reason = 28
	ConnectionLost   Reason = 29
	Undelivered      Reason = 30
	OpenAtExit       Reason = 31
	OpenAtKill       Reason = 32
	DeliveryUnknown  Reason = 33
	BadSecret        Reason = 34
	OutcomeUnknown   Reason = 35
	ResultExpired    Reason = 36
	HistoryLost      Reason = 37
	ResultNotDurable Reason = 38

	reasonCount = 39 // of a row of cells
)

// ReasonInfo is a reason's figure, its word in reports, and what it says.
type ReasonInfo struct {
	Category Category
	Word     string
	Text     string
}

// ReasonTable has an entry for each reason in use; the others have no word.
var ReasonTable = [reasonCount]ReasonInfo{
	Completed:        {Served, "ran", "the result of its own run"},
	Replayed:         {Served, "repeated", "the result of the req that it repeats"},
	Shed:             {Rejected, "shed", "turned away by the overload controller"},
	Expired:          {Rejected, "aged", "older than its client timeout when it was read"},
	NotReady:         {Rejected, "not-ready", "the processor was not up yet, or the process is about to end"},
	TooManyOpen:      {Rejected, "slots", "more reqs open on its connection than the protocol allows"},
	StoreFailed:      {Rejected, "not-protected", "must not run twice, and the disk that keeps what ran has failed"},
	StoreLoading:     {Rejected, "still-reading", "must not run twice, and what ran before is still being read from the disk"},
	StoreFull:        {Rejected, "keep-full", "must not run twice, and there is no room to keep that it ran"},
	RetryAllowed:     {Rejected, "come-again", "repeats a req that is now proved never to have run"},
	NoQuorum:         {Rejected, "undecided", "must not run twice, and too few boxes of its group could be asked"},
	BadFields:        {Failed, "bad-fields", "a field is missing, out of range or too long"},
	UnknownHandler:   {Failed, "no-handler", "its handler is not known here"},
	Incomplete:       {Failed, "not-whole", "it did not come whole in time"},
	UnsupportedRole:  {Failed, "role", "a role that is not spoken here"},
	UnknownRequest:   {Failed, "stranger", "the processor knows no such req"},
	RunFailed:        {Failed, "run-failed", "its run ended badly"},
	RunStopped:       {Failed, "run-stopped", "its run was stopped, and ended so"},
	NeverRan:         {Failed, "never-ran", "the processor found nothing to run, or rejected its begin"},
	Cancelled:        {Failed, "given-up", "given up by the overload controller"},
	CallFailed:       {Failed, "call-failed", "given up after its call to the next tier failed"},
	ProcessorLost:    {Failed, "processor-lost", "the processor started anew or lost notices: its run can't be known"},
	OriginalFailed:   {Failed, "forerunner", "the req that it repeats ended badly"},
	Aborted:          {Failed, "aborted", "its caller took it back before it was answered"},
	ConnectionLost:   {Failed, "connection-lost", "its connection ended before it was answered"},
	Undelivered:      {Failed, "undelivered", "answered, but its connection ended before the last byte was handed to the system"},
	OpenAtExit:       {Failed, "cut-by-stop", "still open when the process ended by itself"},
	OpenAtKill:       {Failed, "cut-by-kill", "still open when the process was ended or died"},
	OutcomeUnknown:   {Failed, "kept-in-doubt", "repeats a req that may have run before the process died"},
	ResultExpired:    {Failed, "kept-aged", "repeats a req that ran, whose result is no longer kept"},
	HistoryLost:      {Failed, "kept-blind", "must not run twice, and records of what ran are lost"},
	ResultNotDurable: {Failed, "not-written", "ran, and the disk did not confirm its result within its client timeout"},
	BadSecret:        {Failed, "bad-secret", "it brought another secret than the front ends', or none"},
	DeliveryUnknown:  {Failed, "in-doubt", "the process died while its answer was being handed to the system"},
}

// Category is where the reason counts, 0 for one that is not in use.
func (r Reason) Category() Category {
	if int(r) >= len(ReasonTable) {
		return 0
	}
	return ReasonTable[r].Category
}

// String is the reason's word.
func (r Reason) String() string {
	if r.Category() == 0 {
		return "none"
	}
	return ReasonTable[r].Word
}

// String is the figure's word.
func (f Category) String() string {
	switch f {
	case Served:
		return "served"
	case Rejected:
		return "refused"
	case Failed:
		return "failed"
	}
	return "none"
}

// Frontend is the side of the door a req came through. The numbers stand in files.
type Frontend uint8

// The fronts.
const (
	FastCGI Frontend = iota
	AJP
	FailedOver // from another box: nobody waits on a connection, the answer is for whoever asks again

	frontendCount = 3
)

// String is the front's word.
func (f Frontend) String() string {
	switch f {
	case FastCGI:
		return "fastcgi"
	case AJP:
		return "ajp"
	case FailedOver:
		return "taken-over"
	}
	return "none"
}

// Counts are the five figures. Taken is the sum of the others.
type Counts struct {
	Received int64 `json:"taken"`
	Served   int64 `json:"served"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	Open     int64 `json:"open"`
}

// Sum is what Taken must be.
func (f Counts) Sum() int64 { return f.Served + f.Rejected + f.Failed + f.Open }

// Plus adds two.
func (f Counts) Plus(o Counts) Counts {
	return Counts{f.Received + o.Received, f.Served + o.Served, f.Rejected + o.Rejected, f.Failed + o.Failed, f.Open + o.Open}
}

// Add counts so many reqs that were closed for a reason, or for None were taken. Open is left as it is.
func (f *Counts) Add(why Reason, n int64) {
	switch why.Category() {
	case Served:
		f.Served += n
	case Rejected:
		f.Rejected += n
	case Failed:
		f.Failed += n
	default:
		f.Received += n
	}
}

// addClosed counts a req that was open.
func (f *Counts) addClosed(why Reason) {
	f.Add(why, 1)
	f.Open--
}

// addOpened counts a req that was taken.
func (f *Counts) addOpened() {
	f.Received++
	f.Open++
}

// ReasonOf is the reason of that word, None if there is none.
func ReasonOf(word string) Reason {
	for r, m := range ReasonTable {
		if m.Category != 0 && m.Word == word {
			return Reason(r)
		}
	}
	return None
}
