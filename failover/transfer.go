package failover

import (
	"slices"
	"time"

	"frosthub/idempotency"
)

// A node whose disk is older than the records of its peers cannot determine
// what it lacks, so it abstains in the groups of such keys. The other members
// of these groups have all of the missing records: a majority recorded every
// start, so at least one of the others did. They transfer the records page by
// page (BuildPage, ReceivePage). After all other members of a key's group have
// done so, the node has all the records of the key that it has lost.

// Cursor is the current position of a transfer.
type Cursor struct {
	Step     TransferStep
	Position uint64 // StepRecords: position in the store
	// End is the position at which StepRecords ends. The node receives later
	// records in the messages of the protocol.
	End     uint64
	Segment uint64 // StepExpired: segment of fingerprints
}

// TransferStep is one step of a transfer.
type TransferStep uint8

// The steps, in their order. The values are part of the wire format.
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

// PageRequest requests a page from a peer.
type PageRequest struct {
	Incarnation uint64 // incarnation of the requesting node
	From        Cursor
}

// Page is a part of the records that a peer transfers.
type Page struct {
	Incarnation uint64 // incarnation of the requesting node
	// Configuration is the digest of the peer's member lists. A node discards
	// pages from a peer with different lists; see Node.SameConfiguration.
	Configuration uint64
	From          Cursor
	Next          Cursor
	// Complete is set if the peer itself has lost no records.
	Complete bool
	// FencesSupported is set if all other nodes are known to support fences;
	// older versions do not.
	FencesSupported bool
	Records         []idempotency.Record
	InFlight        []InFlightRequest
	Expired         []idempotency.ExpiredKeys
}

// InFlightRequest is a started request without a recorded outcome.
type InFlightRequest struct {
	Key    idempotency.Key
	Ballot Ballot
	Made   time.Duration // when the client created the request, since the Unix epoch; 0 if not specified
	Left   time.Duration // remaining time until the client timeout
	Run    uint64        // ID of the request at the holder's processor; 0 if there is none
	Notice uint64        // sequence number of the last notice that the holder has read from its processor
}

// Limits of a page.
const (
	// maxPageRecords is the maximum number of records examined for a page,
	// which takes about a millisecond of hashing.
	maxPageRecords = 2000
	// maxPageBytes bounds the total size of the results, in bytes.
	maxPageBytes = 128 << 10
)

// BuildPage returns a page of this node's records for the keys whose groups it
// shares with a node that has lost records. If Fences has changed afterwards,
// the caller must make it durable and call MarkFencesDurable; until then no
// page is the last one.
func (n *Node) BuildPage(now time.Duration, to string, request PageRequest) Page {
	n.advance(now)
	page := Page{
		Incarnation:   request.Incarnation,
		Configuration: n.configurationDigest,
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
		case n.hasDurableFence(to, request.Incarnation) || disabledRule == ruleFencing:
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
			Made:   reservation.madeAt,
			Left:   reservation.deadline - n.now,
			Run:    reservation.runID,
			Notice: reservation.lastNotice,
		})
	}
	return requests
}

// SameConfiguration reports whether a page was sent by a node that uses the
// same member lists.
func (n *Node) SameConfiguration(page *Page) bool {
	return page.Configuration == n.configurationDigest
}

// ReceivePage records a page of a peer, and reports whether all of it was
// recorded. If not, the page must be requested again.
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

// receiveRecord records an outcome of a peer, and reports whether it was
// recorded.
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
				Made:    reservation.madeAt,
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
	return true // its outcome is already recorded
}

// receiveInFlight reserves a key whose start a peer has recorded, and reports
// whether it succeeded.
func (n *Node) receiveInFlight(request *InFlightRequest) bool {
	if existing := n.reservations.get(request.Key); existing != nil {
		if existing.transferred {
			existing.addBallot(request.Ballot)
		}
		return true // a reservation of this node itself is newer
	}
	switch n.store.PeekOutcome(n.now, request.Made, request.Key).Decision {
	case idempotency.Fresh, idempotency.HistoryLost:
		if !n.store.Merge(n.now, idempotency.Record{Key: request.Key}) {
			return false
		}
	case idempotency.OutcomeUnknown:
	default:
		return true // its outcome is already recorded
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
	created.madeAt = request.Made
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
// ballot becomes the ballot of the reservation.
func (r *reservation) addBallot(ballot Ballot) {
	if ballot == r.ballot || slices.Contains(r.otherBallots, ballot) {
		return
	}
	if ballot.compare(r.ballot) > 0 {
		ballot, r.ballot = r.ballot, ballot
	}
	r.otherBallots = append(r.otherBallots, ballot)
}

// GroupPeers returns the other nodes of a key's group, which may have records
// of the key that this node has lost.
func (n *Node) GroupPeers(key idempotency.Key) []string {
	return slices.DeleteFunc(n.membersOf(key), func(name string) bool { return name == n.cfg.Name })
}
