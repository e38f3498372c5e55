// Package accounting keeps the accounts of reqs: each is opened once and closed once, into served, refused or failed,
// with a reason, and the figures of all always add up. It is a state machine without I/O, clock or goroutine: the
// same calls lead to the same book, and a book can be had again from a snapshot and the ops that followed it.
package accounting

// Figure is where a closed req is counted.
type Figure uint8

// The figures beside taken, and open, which is the difference.
const (
	Served  Figure = iota + 1 // answered with a result
	Refused                   // answered: it never ran
	Failed                    // answered as failed, or nobody could be answered
)

// Reason tells why a req was closed. The numbers stand in files: none is ever given another meaning.
type Reason uint8

// The reasons. None stands in the cells for the reqs taken.
const (
	None           Reason = 0
	Ran            Reason = 1
	Repeated       Reason = 2
	Shed           Reason = 8
	Aged           Reason = 9
	NotReady       Reason = 10
	Slots          Reason = 11
	Unprotected    Reason = 12
	StillReading   Reason = 13
	KeepFull       Reason = 14
	ComeAgain      Reason = 15
	Undecided      Reason = 3
	BadFields      Reason = 16
	NoHandler      Reason = 17
	NotWhole       Reason = 18
	Role           Reason = 19
	Stranger       Reason = 20
	RunFailed      Reason = 21
	RunStopped     Reason = 22
	NeverRan       Reason = 23
	GivenUp        Reason = 24
	CallFailed     Reason = 25
	ProcessorLost  Reason = 26
	Forerunner     Reason = 27
	Aborted        Reason = 28
	ConnectionLost Reason = 29
	Undelivered    Reason = 30
	CutByStop      Reason = 31
	CutByKill      Reason = 32
	InDoubt        Reason = 33
	BadSecret      Reason = 34
	KeptDoubt      Reason = 35
	KeptAged       Reason = 36
	KeptBlind      Reason = 37
	NotWritten     Reason = 38

	reasons = 39 // of a row of cells
)

// Meaning is a reason's figure, its word in reports, and what it says.
type Meaning struct {
	Figure Figure
	Word   string
	Text   string
}

// Meanings has an entry for each reason in use; the others have no word.
var Meanings = [reasons]Meaning{
	Ran:            {Served, "ran", "the result of its own run"},
	Repeated:       {Served, "repeated", "the result of the req that it repeats"},
	Shed:           {Refused, "shed", "turned away by the overload controller"},
	Aged:           {Refused, "aged", "older than its client timeout when it was read"},
	NotReady:       {Refused, "not-ready", "the processor was not up yet, or the process is about to end"},
	Slots:          {Refused, "slots", "more reqs open on its connection than the protocol allows"},
	Unprotected:    {Refused, "not-protected", "must not run twice, and the disk that keeps what ran has failed"},
	StillReading:   {Refused, "still-reading", "must not run twice, and what ran before is still being read from the disk"},
	KeepFull:       {Refused, "keep-full", "must not run twice, and there is no room to keep that it ran"},
	ComeAgain:      {Refused, "come-again", "repeats a req that is now proved never to have run"},
	Undecided:      {Refused, "undecided", "must not run twice, and too few boxes of its group could be asked"},
	BadFields:      {Failed, "bad-fields", "a field is missing, out of range or too long"},
	NoHandler:      {Failed, "no-handler", "its handler is not known here"},
	NotWhole:       {Failed, "not-whole", "it did not come whole in time"},
	Role:           {Failed, "role", "a role that is not spoken here"},
	Stranger:       {Failed, "stranger", "the processor knows no such req"},
	RunFailed:      {Failed, "run-failed", "its run ended badly"},
	RunStopped:     {Failed, "run-stopped", "its run was stopped, and ended so"},
	NeverRan:       {Failed, "never-ran", "the processor found nothing to run, or rejected its begin"},
	GivenUp:        {Failed, "given-up", "given up by the overload controller"},
	CallFailed:     {Failed, "call-failed", "given up after its call to the next tier failed"},
	ProcessorLost:  {Failed, "processor-lost", "the processor started anew or lost notices: its run can't be known"},
	Forerunner:     {Failed, "forerunner", "the req that it repeats ended badly"},
	Aborted:        {Failed, "aborted", "its caller took it back before it was answered"},
	ConnectionLost: {Failed, "connection-lost", "its connection ended before it was answered"},
	Undelivered:    {Failed, "undelivered", "answered, but its connection ended before the last byte was handed to the system"},
	CutByStop:      {Failed, "cut-by-stop", "still open when the process ended by itself"},
	CutByKill:      {Failed, "cut-by-kill", "still open when the process was ended or died"},
	KeptDoubt:      {Failed, "kept-in-doubt", "repeats a req that may have run before the process died"},
	KeptAged:       {Failed, "kept-aged", "repeats a req that ran, whose result is no longer kept"},
	KeptBlind:      {Failed, "kept-blind", "must not run twice, and records of what ran are lost"},
	NotWritten:     {Failed, "not-written", "ran, and the disk did not confirm its result within its client timeout"},
	BadSecret:      {Failed, "bad-secret", "it brought another secret than the front ends', or none"},
	InDoubt:        {Failed, "in-doubt", "the process died while its answer was being handed to the system"},
}

// Figure is where the reason counts, 0 for one that is not in use.
func (r Reason) Figure() Figure {
	if int(r) >= len(Meanings) {
		return 0
	}
	return Meanings[r].Figure
}

// String is the reason's word.
func (r Reason) String() string {
	if r.Figure() == 0 {
		return "none"
	}
	return Meanings[r].Word
}

// String is the figure's word.
func (f Figure) String() string {
	switch f {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	}
	return "none"
}

// Front is the side of the door a req came through. The numbers stand in files.
type Front uint8

// The fronts.
const (
	FastCGI Front = iota
	AJP
	TakenOver // from another box: nobody waits on a connection, the answer is for whoever asks again

	fronts = 3
)

// String is the front's word.
func (f Front) String() string {
	switch f {
	case FastCGI:
		return "fastcgi"
	case AJP:
		return "ajp"
	case TakenOver:
		return "taken-over"
	}
	return "none"
}

// Figures are the five figures. Taken is the sum of the others.
type Figures struct {
	Taken   int64 `json:"taken"`
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Open    int64 `json:"open"`
}

// Sum is what Taken must be.
func (f Figures) Sum() int64 { return f.Served + f.Refused + f.Failed + f.Open }

// Plus adds two.
func (f Figures) Plus(o Figures) Figures {
	return Figures{f.Taken + o.Taken, f.Served + o.Served, f.Refused + o.Refused, f.Failed + o.Failed, f.Open + o.Open}
}

// Add counts so many reqs that were closed for a reason, or for None were taken. Open is left as it is.
func (f *Figures) Add(why Reason, n int64) {
	switch why.Figure() {
	case Served:
		f.Served += n
	case Refused:
		f.Refused += n
	case Failed:
		f.Failed += n
	default:
		f.Taken += n
	}
}

// closed counts a req that was open.
func (f *Figures) closed(why Reason) {
	f.Add(why, 1)
	f.Open--
}

// opened counts a req that was taken.
func (f *Figures) opened() {
	f.Taken++
	f.Open++
}

// ReasonOf is the reason of that word, None if there is none.
func ReasonOf(word string) Reason {
	for r, m := range Meanings {
		if m.Figure != 0 && m.Word == word {
			return Reason(r)
		}
	}
	return None
}
