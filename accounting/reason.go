package accounting

// Category is the category in which a closed request is counted.
type Category uint8

// The categories. The zero Category belongs to NoReason and to numbers that are not in use.
const (
	Served   Category = iota + 1 // the response carries a result
	Rejected                     // rejected without having run; the client may retry
	Failed                       // the response reports a failure, or no client was left to respond to
)

// categoryNames are the names of the categories in reports and metrics.
var categoryNames = [...]string{
	"none",
	Served:   "served",
	Rejected: "refused",
	Failed:   "failed",
}

// String returns the name of the category, or "none" if it is not valid.
func (c Category) String() string {
	if int(c) < len(categoryNames) {
		return categoryNames[c]
	}
	return categoryNames[0]
}

// Reason is the reason for which a request was closed. The numbers are stored, so a number must never get another
// meaning.
type Reason uint8

// NoReason is the zero Reason. In the counts by reason it stands for the requests received.
const NoReason Reason = 0

// Reasons of served requests.
const (
	Completed Reason = 1
	Replayed  Reason = 2
)

// Reasons of rejected requests.
const (
	NoQuorum     Reason = 3
	Shed         Reason = 8
	Expired      Reason = 9
	NotReady     Reason = 10
	TooManyOpen  Reason = 11
	StoreFailed  Reason = 12
	StoreLoading Reason = 13
	StoreFull    Reason = 14
	RetryAllowed Reason = 15
)

// Reasons of failed requests.
const (
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

	reasonCount = 39 // number of reasons, including unused numbers; the number of cells in a row
)

// reasonInfo describes a reason.
type reasonInfo struct {
	Category Category
	Word     string // name of the reason in reports and metrics; must not change
	Text     string // description of the reason
}

// reasonTable describes each reason in use. The other numbers have an empty entry.
var reasonTable = [reasonCount]reasonInfo{
	Completed: {Served, "ran", "the result of its own run"},
	Replayed:  {Served, "repeated", "the stored result of the request that it retries"},

	NoQuorum:     {Rejected, "undecided", "must not run twice, and too few nodes of its group could be queried"},
	Shed:         {Rejected, "shed", "load shedding: rejected by the overload controller"},
	Expired:      {Rejected, "aged", "older than its client timeout when it was read"},
	NotReady:     {Rejected, "not-ready", "the processor is not ready yet, or the process is about to exit"},
	TooManyOpen:  {Rejected, "slots", "more requests open on its connection than the protocol allows"},
	StoreFailed:  {Rejected, "not-protected", "must not run twice, and the disk of the idempotency store has failed"},
	StoreLoading: {Rejected, "still-reading", "must not run twice, and the idempotency store is still being read"},
	StoreFull:    {Rejected, "keep-full", "must not run twice, and the idempotency store has no room for its result"},
	RetryAllowed: {Rejected, "come-again", "retries a request that provably never ran"},

	BadFields:        {Failed, "bad-fields", "a field is missing, out of range or too long"},
	UnknownHandler:   {Failed, "no-handler", "its handler is unknown to the node"},
	Incomplete:       {Failed, "not-whole", "it was not received completely in time"},
	UnsupportedRole:  {Failed, "role", "its FastCGI role is not supported"},
	UnknownRequest:   {Failed, "stranger", "the processor has no such request"},
	RunFailed:        {Failed, "run-failed", "its run failed"},
	RunStopped:       {Failed, "run-stopped", "its run was stopped before it completed"},
	NeverRan:         {Failed, "never-ran", "the processor found nothing to run, or rejected its begin"},
	Cancelled:        {Failed, "given-up", "cancelled by the overload controller"},
	CallFailed:       {Failed, "call-failed", "cancelled after its call to the next tier failed"},
	ProcessorLost:    {Failed, "processor-lost", "the processor restarted or lost notices: the outcome of its run is unknown"},
	OriginalFailed:   {Failed, "forerunner", "the request that it retries failed"},
	Aborted:          {Failed, "aborted", "aborted by its client before it got a response"},
	ConnectionLost:   {Failed, "connection-lost", "its connection ended before it got a response"},
	Undelivered:      {Failed, "undelivered", "its connection ended before its response was handed over completely"},
	OpenAtExit:       {Failed, "cut-by-stop", "still open when the process exited"},
	OpenAtKill:       {Failed, "cut-by-kill", "still open when the process was killed or crashed"},
	DeliveryUnknown:  {Failed, "in-doubt", "the process ended while its response was being handed over"},
	BadSecret:        {Failed, "bad-secret", "it has no secret, or one that differs from the secret of the front ends"},
	OutcomeUnknown:   {Failed, "kept-in-doubt", "retries a request that may have run before the process ended"},
	ResultExpired:    {Failed, "kept-aged", "retries a request that ran and whose result has expired"},
	HistoryLost:      {Failed, "kept-blind", "must not run twice, and records of earlier requests are lost"},
	ResultNotDurable: {Failed, "not-written", "ran, and its result was not durable within its client timeout"},
}

// Category returns the category of requests closed for the reason, or 0 for NoReason and for numbers that are not in
// use.
func (r Reason) Category() Category {
	if r >= reasonCount {
		return 0
	}
	return reasonTable[r].Category
}

// String returns the name of the reason, or "none" for NoReason and for numbers that are not in use.
func (r Reason) String() string {
	if r.Category() == 0 {
		return "none"
	}
	return reasonTable[r].Word
}

// ParseReason returns the reason with the given name, or NoReason if there is none.
func ParseReason(name string) Reason {
	for reason, info := range reasonTable {
		if info.Category != 0 && info.Word == name {
			return Reason(reason)
		}
	}
	return NoReason
}
