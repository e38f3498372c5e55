package peerproto

import (
	"fmt"

	"frosthub/failover"
	"frosthub/membership"
	"frosthub/recovery"
)

// maxRosterDigests bounds the digests that are kept of a received Hello. A node sends one, or two during a
// membership change.
const maxRosterDigests = 8

// Hello identifies the sending node and reports its state.
type Hello struct {
	Cluster       string   // name of the cluster
	From          string   // name of the node
	Incarnation   uint64   // incarnation of the node
	RosterDigests []uint64 // digests of the rosters that the node has adopted
	Seq           uint64   // sequence number of the node's last durable record
	Mark          uint64   // random number of the node's process
	QueryState    bool     // requests the peer state that the receiver keeps of the node
	Features      uint64   // feature level of the node's program, see recovery.FeatureFences
}

// Batch is the content of one frame: all messages that a node sends to another at a time.
type Batch struct {
	Hello       *Hello
	Members     []membership.Message
	Claims      []failover.Message
	PeerState   *recovery.Answer      // reply to a Hello with QueryState
	PageRequest *failover.PageRequest // requests a page of a refill
	Page        *failover.Page        // reply to a PageRequest
}

// appendBatch appends the encoding of a batch.
func appendBatch(b []byte, batch *Batch) []byte {
	if batch.Hello != nil {
		b = appendElement(b, batchHello, appendHello(nil, batch.Hello))
	}
	var scratch [512]byte // enough for most messages
	for i := range batch.Members {
		b = appendElement(b, batchMember, appendMember(scratch[:0], &batch.Members[i]))
	}
	for i := range batch.Claims {
		b = appendElement(b, batchClaim, appendClaim(scratch[:0], &batch.Claims[i]))
	}
	if batch.PeerState != nil {
		b = appendElement(b, batchPeerState, appendPeerState(nil, batch.PeerState))
	}
	if batch.PageRequest != nil {
		b = appendElement(b, batchPageRequest, appendPageRequest(nil, batch.PageRequest))
	}
	if batch.Page != nil {
		b = appendElement(b, batchPage, appendPage(nil, batch.Page))
	}
	return b
}

// Parse decodes a batch from a frame without its length. The result shares no memory with b. Errors wrap ErrMalformed.
func Parse(b []byte) (*Batch, error) {
	batch := &Batch{}
	err := forEachField(b, func(f field) error { return batch.parseField(f) })
	if err != nil {
		return nil, err
	}
	return batch, nil
}

// parseField decodes one field of a batch.
func (batch *Batch) parseField(f field) error {
	switch f.number {
	case batchHello:
		hello, err := parseHello(f.bytes)
		batch.Hello = &hello
		return wrapPart("hello", err)
	case batchMember:
		message, err := parseMember(f.bytes)
		batch.Members = append(batch.Members, message)
		return wrapPart("member", err)
	case batchClaim:
		message, err := parseClaim(f.bytes)
		batch.Claims = append(batch.Claims, message)
		return wrapPart("claim", err)
	case batchPeerState:
		answer, err := parsePeerState(f.bytes)
		batch.PeerState = &answer
		return wrapPart("peer state", err)
	case batchPageRequest:
		request, err := parsePageRequest(f.bytes)
		batch.PageRequest = &request
		return wrapPart("page request", err)
	case batchPage:
		page, err := parsePage(f.bytes)
		batch.Page = &page
		return wrapPart("page", err)
	}
	return nil
}

// wrapPart adds to an error the name of the part of a batch in which it occurred. It returns nil for a nil error.
func wrapPart(part string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", part, err)
	}
	return nil
}

func appendHello(b []byte, hello *Hello) []byte {
	b = appendBytes(b, helloCluster, hello.Cluster)
	b = appendBytes(b, helloFrom, hello.From)
	b = appendUint(b, helloIncarnation, hello.Incarnation)
	for _, digest := range hello.RosterDigests {
		b = appendFixedElement(b, helloRosterDigests, digest)
	}
	b = appendUint(b, helloSeq, hello.Seq)
	b = appendFixed(b, helloMark, hello.Mark)
	b = appendBool(b, helloQueryState, hello.QueryState)
	b = appendUint(b, helloFeatures, hello.Features)
	return b
}

func parseHello(b []byte) (Hello, error) {
	var hello Hello
	err := forEachField(b, func(f field) error {
		switch f.number {
		case helloCluster:
			hello.Cluster = f.string()
		case helloFrom:
			hello.From = f.string()
		case helloIncarnation:
			hello.Incarnation = f.uint
		case helloRosterDigests:
			if len(hello.RosterDigests) < maxRosterDigests {
				hello.RosterDigests = append(hello.RosterDigests, f.uint)
			}
		case helloSeq:
			hello.Seq = f.uint
		case helloMark:
			hello.Mark = f.uint
		case helloQueryState:
			hello.QueryState = f.bool()
		case helloFeatures:
			hello.Features = f.uint
		}
		return nil
	})
	return hello, err
}

func appendPeerState(b []byte, answer *recovery.Answer) []byte {
	b = appendUint(b, peerStateIncarnation, answer.Incarnation)
	b = appendUint(b, peerStateSeq, answer.Seq)
	b = appendBool(b, peerStateEmpty, answer.Empty)
	b = appendFixed(b, peerStateMark, answer.Mark)
	return b
}

func parsePeerState(b []byte) (recovery.Answer, error) {
	var answer recovery.Answer
	err := forEachField(b, func(f field) error {
		switch f.number {
		case peerStateIncarnation:
			answer.Incarnation = f.uint
		case peerStateSeq:
			answer.Seq = f.uint
		case peerStateEmpty:
			answer.Empty = f.bool()
		case peerStateMark:
			answer.Mark = f.uint
		}
		return nil
	})
	return answer, err
}
