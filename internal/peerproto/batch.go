package peerproto

import (
	"fmt"

	"frosthub/failover"
	"frosthub/membership"
	"frosthub/recovery"
)

// maxLists bounds the digests of a Hello that are kept; two are in use.
const maxLists = 8

// Hello says who sends.
type Hello struct {
	Cluster       string
	From          string
	Incarnation   uint64
	RosterDigests []uint64 // digests of the member lists that the node has adopted
	Seq           uint64   // its last durable record
	Mark          uint64   // random number of its process
	QueryState    bool     // it asks what the receiver remembers of it
	Features      uint64   // feature level of its program: see recovery.FeatureFences
}

// Batch is what one frame carries: what a node has to say to another at a time.
type Batch struct {
	Hello       *Hello
	Members     []membership.Message
	Claims      []failover.Message
	PeerState   *recovery.Answer      // answers a Hello with QueryState
	PageRequest *failover.PageRequest // asks for a page of a refill
	Page        *failover.Page        // answers a PageRequest
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

// Parse decodes a batch, without the length of its frame. The result shares no memory with b. Errors wrap ErrMalformed.
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
		return describe("hello", err)
	case batchMember:
		message, err := parseMember(f.bytes)
		batch.Members = append(batch.Members, message)
		return describe("member", err)
	case batchClaim:
		message, err := parseClaim(f.bytes)
		batch.Claims = append(batch.Claims, message)
		return describe("claim", err)
	case batchPeerState:
		answer, err := parsePeerState(f.bytes)
		batch.PeerState = &answer
		return describe("peer state", err)
	case batchPageRequest:
		request, err := parsePageRequest(f.bytes)
		batch.PageRequest = &request
		return describe("page request", err)
	case batchPage:
		page, err := parsePage(f.bytes)
		batch.Page = &page
		return describe("page", err)
	}
	return nil
}

// describe says in an error, if there is one, which part of a batch it was found in.
func describe(part string, err error) error {
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
		b = appendFixedElement(b, helloList, digest)
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
		case helloList:
			if len(hello.RosterDigests) < maxLists {
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
