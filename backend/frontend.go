package backend

import (
	"errors"
	"frosthub/accounting"
	"math"
	"time"
)

const (
	sizeMost  = 2000.0                  // kilobytes booked for a req, by the protocol
	costMost  = 10                      // client timeouts that a told cost may be: past it nothing could come of the req
	startMost = math.MaxInt64 / 2 / 1e6 // milliseconds of a start that fit a span
	trialWait = time.Second             // for a deep health check: edge nodes wait no longer
	outMost   = 192 << 10               // bytes of answers that one edge node may leave: 32 of the longest are 140 KB
	partShare = 0.15                    // of the memory limit, for reqs that are not yet whole
	wholeMost = 2500 * time.Millisecond // from the connection, and from its begin, until a req is whole: 3 s are
	// owed to those that never send one
	idleMost  = 3 * time.Second        // between reqs: edge nodes close idle connections after some seconds, some never
	restIdle  = 300 * time.Millisecond // idle for so long a connection keeps no memory
	openUsual = 32                     // answers of a connection on their way: more were a burst
	badMost   = 8                      // bad reqs of a connection since the last good one that was run: then it is to end
	badCut    = 2 * badMost            // and then nothing more is read of it: it does not let it come to an end
)

var (
	errCrowded = errors.New("idle, and the place is needed")
	errIdle    = errors.New("idle")
	errLast    = errors.New("it was not to stay")
	errLeaving = errors.New("the process ends")
	errBad     = errors.New("it goes on with bad reqs")
	errPart    = errors.New("a req does not come whole")
	errParts   = errors.New("too much of reqs that are not whole")
)

// frontend is the side of those that ask, whatever protocol they speak: what becomes of a req that was read, what is owed
// to whom, and who is closed. It answers each req once, by the protocol of its connection.
type frontend struct {
	backend      *Backend
	clients      map[*clientConn]struct{}
	partialBytes int // bytes of reqs that are not yet whole, of all
	accepted     int // taken so far: they are numbered

	cgi, http map[string][]field // what a name means: as CGI has it, as HTTP has it in lower case
}

// protocol is what one way to ask has of its own: its parser, the slots of a connection, how an answer is cut.
type protocol interface {
	kind() accounting.Frontend
	feed(p []byte) error // what was read; it calls back the door's request, bad and others
	partialBytes() int   // bytes of reqs that are not whole
	midMessage() bool    // part of a message was read
	openSlots() int      // slots in use: reqs that are read, and those not yet answered
	discardPartial()     // forget what is being read and is not whole

	overdue(by time.Duration) (slot uint16, keep, any bool) // a req that was begun by then and is not whole
	answer(b []byte, slot uint16, keep bool, a *reply) []byte
}
