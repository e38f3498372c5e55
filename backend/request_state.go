package backend

// requestState is the state of a request in its life cycle.
//
// The allowed transitions and their causes:
//
//	from              to                cause
//	(new)             unverified        the request was read and its fields are valid
//	(new)             held              the request is taken over from another node of the cluster
//	unverified        held              the processor confirmed it or can't be queried; the cluster answered its claim
//	held              unverified        the request is guarded, and its key is claimed in the cluster first
//	held              joined            the controller coalesces the request with another one
//	held              awaiting intent   the controller starts a guarded request
//	held              awaiting result   this node is shutting down, and another node of the cluster takes the request over
//	held              running           the controller starts the request
//	awaiting intent   running           the intent to run the request is durable
//	running           awaiting call     the run requested a call
//	awaiting call     calling           the controller allowed the call
//	calling           awaiting call     the call has ended
//	awaiting call     running           the call succeeded, and its reply was sent to the run
//	running           awaiting result   the run of a guarded request succeeded
//	any               (removed)         the request was answered or its client is gone, and no run is in progress
//
// The order of the constants matters: a run is in progress from stateRunning on, and a request in a state before
// stateAwaitingIntent never ran.
type requestState uint8

const (
	stateUnverified     requestState = iota // the processor or the cluster is queried; the request is not submitted to the controller yet
	stateHeld                               // submitted to the controller and not started
	stateJoined                             // waits for the result of another request
	stateAwaitingIntent                     // waits for its intent to become durable, or for another request with the same key
	stateAwaitingResult                     // the run has ended and its result is not durable yet, or another node takes the request over
	stateRunning                            // the run was started, or will be when the link to the processor is up
	stateAwaitingCall                       // the run waits for a call that is not in flight
	stateCalling                            // the run waits for a call in flight
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

// runInProgress reports whether the run was started and its end was not reported yet.
func (s requestState) runInProgress() bool { return s >= stateRunning }

// hold makes the transition to held; the caller then submits the request to the controller.
func (r *request) hold() { r.state = stateHeld }

// run makes the transition to running, from held, awaiting intent or awaiting call.
func (r *request) run() { r.state = stateRunning }

// unverify makes the transition to unverified, from held; the caller then claims the request's key in the cluster.
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
