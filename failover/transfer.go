package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// A node whose disk is older than what its peers know doesn't know what it
// lacks, so it counts for neither side in the groups of such keys. The other members of
// these groups have all of it: whatever started was recorded by a majority, so
// by one of the others at least. They transfer it page by page (BuildPage,
// ReceivePage). Once all others of a key's group have done so, the node knows of
// the key what it ever knew.

// Cursor is the position that a transfer has come to.
type Cursor struct {
	Step     TransferStep
	Position uint64 // in the store (StepRecords)
	// End is where StepRecords ends: what came later is in the messages
	// of the protocol.
	End     uint64
	Segment uint64 // of fingerprints (StepExpired)
}

// TransferStep is a part of a transfer.
type TransferStep uint8

// The steps, in their order. The numbers stand on the wire.
const (
	// StepInFlight transfers started requests without an outcome.
	StepInFlight TransferStep = 0
	// StepRecords transfers outcomes.
	StepRecords TransferStep = 1
	// StepExpired transfers fingerprints of expired keys.
	StepExpired TransferStep = 2
	// StepDone ends the transfer.
	StepDone TransferStep = 3
)

// PageRequest asks a peer for a page.
type PageRequest struct {
	Incarnation uint64 // of the asking node
	From        Cursor
}

// Page is a part of what a peer transfers.
type Page struct {
	Incarnation uint64 // of the asking node
	// Configuration is the digest of the peer's member lists. Pages of a peer
	// that uses others are useless: see Node.SameConfiguration.
	Configuration uint64
	From          Cursor
	Next          Cursor
	// Complete is set if the peer has lost no records itself.
	Complete bool
	// FencesSupported is set if all other nodes are known to heed fences;
	// older versions don't.
	FencesSupported bool
	Records         []idempotency.Record
	InFlight        []InFlightRequest
	Expired         []idempotency.ExpiredKeys
}

// InFlightRequest is a request that may be running.
type InFlightRequest struct {
	Key    idempotency.Key
	Ballot Ballot
	Made   time.Duration // see Message
	Left   time.Duration // for which its caller still waits
	Run    uint64        // see Message
	Notice uint64        // see Message
}

// Limits of a page.
const (
	// maxPageRecords is the number of records looked at: about a millisecond
	// of hashing.
	maxPageRecords = 2000
	// maxPageBytes bounds the results, in bytes.
	maxPageBytes = 128 << 10
)

// BuildPage returns a part of what this node has recorded of keys whose groups it
// shares with a node that has lost records. If Fences has changed afterwards the
// caller must make it durable and call AddFences: before that no page is the
// last.
func (n *Node) BuildPage(now time.Duration, to string, request PageRequest) Page {
	n.advance(now)
	page := Page{
		Incarnation:   request.Incarnation,
		Configuration: n.configuration,
		From:          request.From,
		Next:          request.From,
		Complete:      n.store.HistoryComplete() || disabledRule == ruleCompleteSource,
	}
	shares := func(key idempotency.Key) bool { return slices.Contains(n.membersOf(key), to) }
	switch request.From.Step {
	case StepInFlight:
		n.raiseFence(to, request.Incarnation)
		page.InFlight = n.inFlight(shares)
		_, position, end := n.store.Export(0, 0, 0, shares)
		page.Next = Cursor{Step: StepRecords, Position: position, End: end}
	case StepRecords:
		from, end := request.From.Position, request.From.End
		page.Records, page.Next.Position, _ = n.store.Export(from, min(from+maxPageRecords, end), maxPageBytes, shares)
		if page.Next.Position >= end {
			page.Next = Cursor{Step: StepExpired}
		}
	case StepExpired:
		expired, segment, ok := n.store.NextExpired(request.From.Segment)
		switch {
		case ok && disabledRule != ruleTransferExpired:
			page.Expired = []idempotency.ExpiredKeys{expired}
			page.Next.Segment = segment
		case n.fencedDurably(to, request.Incarnation) || disabledRule == ruleFencing:
			page.Next.Step = StepDone
		}
	}
	return page
}

// inFlight returns the started requests whose keys satisfy the condition.
func (n *Node) inFlight(satisfies func(idempotency.Key) bool) (requests []InFlightRequest) {
	if disabledRule == ruleTransferInFlight {
		return nil
	}
	for _, reservation := range n.reservations.order {
		if !n.reservations.contains(reservation) || !reservation.started || !satisfies(reservation.key) {
			continue
		}
		requests = append(requests, InFlightRequest{
			Key:    reservation.key,
			Ballot: reservation.ballot,
			Made:   reservation.made,
			Left:   reservation.deadline - n.now,
			Run:    reservation.runID,
			Notice: reservation.lastNotice,
		})
	}
	return requests
}

// SameConfiguration reports whether a page comes from a node that uses the same
// member lists.
func (n *Node) SameConfiguration(page *Page) bool {
	return page.Configuration == n.configuration
}

// ReceivePage takes what a peer transfers, and reports whether all of it could be
// recorded. If not, the page must be asked for again.
func (n *Node) ReceivePage(now time.Duration, page *Page) bool {
	n.advance(now)
	for i := range page.InFlight {
		if !n.receiveInFlight(&page.InFlight[i]) {
			return false
		}
	}
	for _, record := range page.Records {
		if !n.receiveRecord(record) {
			return false
		}
	}
	for _, expired := range page.Expired {
		n.store.MergeExpired(expired)
	}
	return true
}

// receiveRecord takes the record of an outcome, and reports whether it could.
func (n *Node) receiveRecord(record idempotency.Record) bool {
	reservation := n.reservations.get(record.Key)
	if reservation != nil && !reservation.replayable && record.Kind != 0 {
		if reservation.started { // transferred as in flight, or recorded since
			n.handleFinish(n.cfg.Name, &Message{
				Kind:    MsgFinish,
				Key:     record.Key,
				Ballot:  reservation.ballot,
				Outcome: record.Kind,
				Result:  record.Result,
				Made:    reservation.made,
			})
		}
		return true
	}
	switch n.store.PeekOutcome(n.now, 0, record.Key).Decision {
	case idempotency.Fresh, idempotency.HistoryLost:
		return n.store.Merge(n.now, record)
	case idempotency.OutcomeUnknown:
		return n.store.Merge(n.now, record) || record.Kind == 0
	}
	return true // its outcome is known here
}

// receiveInFlight reserves a key that a peer has recorded as started, and reports
// whether it could.
func (n *Node) receiveInFlight(request *InFlightRequest) bool {
	if existing := n.reservations.get(request.Key); existing != nil {
		if existing.transferred {
			existing.addBallot(request.Ballot)
		}
		return true // otherwise what is recorded of it is newer
	}
	switch n.store.PeekOutcome(n.now, request.Made, request.Key).Decision {
	case idempotency.Fresh, idempotency.HistoryLost:
		if !n.store.Merge(n.now, idempotency.Record{Key: request.Key}) {
			return false
		}
	case idempotency.OutcomeUnknown:
	default:
		return true // its outcome is known here
	}
	n.reserveTransferred(request)
	return true
}

// reserveTransferred reserves a key whose start is in the store.
func (n *Node) reserveTransferred(request *InFlightRequest) {
	created := n.reservations.add(request.Key)
	created.transferred = true
	created.started = true
	created.startDurable = true
	created.ballot = request.Ballot
	created.made = request.Made
	created.deadline = n.now + request.Left
	created.runID = request.Run
	created.lastNotice = request.Notice
	created.intentID = n.nextIntentID()
	n.store.Resume(request.Key, created.intentID)
	n.reservations.byIntent[created.intentID] = created
	if request.Run != 0 {
		n.reservations.byRun[created.processorRun()] = created
	}
}

// addBallot adds a ballot whose start another peer has recorded. The highest
// becomes that of the reservation.
func (r *reservation) addBallot(ballot Ballot) {
	if ballot == r.ballot || slices.Contains(r.otherBallots, ballot) {
		return
	}
	if ballot.compare(r.ballot) > 0 {
		ballot, r.ballot = r.ballot, ballot
	}
	r.otherBallots = append(r.otherBallots, ballot)
}

// GroupPeers returns the other nodes of a key's group: those that may know what
// this one has lost of it.
func (n *Node) GroupPeers(key idempotency.Key) []string {
	return slices.DeleteFunc(n.membersOf(key), func(name string) bool { return name == n.cfg.Name })
}
