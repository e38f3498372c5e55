package backend

// requestState is how far a request has come.
//
// The allowed transitions, and what makes them:
//
//	from              to                when
//	(new)             unverified        it was read, and its fields are good
//	(new)             held              it is taken over from another node of the cluster
//	unverified        held              the processor knows it, or nobody can tell; its group has answered
//	held              unverified        it must not run twice, and its group in the cluster is asked first
//	held              joined            the controller answers it from another request
//	held              awaiting intent   the controller starts it, and it must not run twice
//	held              awaiting result   another node of the cluster takes it over from one that leaves
//	held              running           the controller starts it
//	awaiting intent   running           the intent to run it is durable
//	running           awaiting call     the run asks for a call
//	awaiting call     calling           the controller lets the call be made
//	calling           awaiting call     the call has ended
//	awaiting call     running           the call has succeeded, and the run has its reply
//	running           awaiting result   the run of a guarded request has ended well
//	any               (gone)            it is answered or given up, and nothing of it runs
//
// The order of the constants matters: a run is in progress from stateRunning on, and what comes before
// stateAwaitingIntent never ran.
type requestState uint8

const (
	stateUnverified     requestState = iota // the processor or its group is asked about it; the controller has not heard of it
	stateHeld                               // the controller has heard of it and has not started it
	stateJoined                             // it waits for the result of another request
	stateAwaitingIntent                     // it waits until the intent to run it is durable, or for another request with its key
	stateAwaitingResult                     // its run has ended, and it waits until the result is durable
	stateRunning                            // its run is started, or will be once the link to the processor is up
	stateAwaitingCall                       // its run waits for a call that is not being made
	stateCalling                            // its run waits for a call in flight
)

var requestStateNames = [...]string{
	stateUnverified:     "unverified",
	stateHeld:           "held",
	stateJoined:         "joined",
	stateAwaitingIntent: "awaiting intent",
	stateAwaitingResult: "awaiting result",
	stateRunning:        "running",
	stateAwaitingCall:   "awaiting call",
	stateCalling:        "calling",
}

// String returns the state's name.
func (s requestState) String() string {
	if int(s) < len(requestStateNames) {
		return requestStateNames[s]
	}
	return "unknown state"
}

// runInProgress reports whether the run has been started and its end has not been heard of.
func (s requestState) runInProgress() bool { return s >= stateRunning }

// hold makes the transition to held: the controller is about to hear of the request.
func (r *request) hold() { r.state = stateHeld }

// run makes the transition to running, from held or from awaiting intent.
func (r *request) run() { r.state = stateRunning }

// unverify makes the transition to unverified, from held: the request's group in the cluster is asked first.
func (r *request) unverify() { r.state = stateUnverified }

// joinOriginal makes the transition to joined, from held.
func (r *request) joinOriginal() { r.state = stateJoined }

// awaitIntent makes the transition to awaiting intent, from held.
func (r *request) awaitIntent() { r.state = stateAwaitingIntent }

// awaitResult makes the transition to awaiting result, from running or, if another node takes the request over, from
// held.
func (r *request) awaitResult() { r.state = stateAwaitingResult }

// awaitCall makes the transition to awaiting call, from running or calling.
func (r *request) awaitCall() { r.state = stateAwaitingCall }

// startCall makes the transition to calling, from awaiting call.
func (r *request) startCall() { r.state = stateCalling }
