package backend

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/idempotency"
)

// guardState is the guard's state for a request that must not run twice, or for a replayable one that the cluster
// tracks.
type guardState struct {
	key            idempotency.Key
	createdAt      time.Duration     // since 1970; 0 if unknown
	answerDeadline time.Duration     // the request is answered by then even if its result is not durable
	claimedAt      time.Duration     // when the request was passed to the store or claimed in the cluster
	answerReason   accounting.Reason // accounting reason of the response; set when the run has ended
	endRecorded    bool              // the end was reported to the store or the failover node
	replayable     bool              // the request may run twice: the nodes of the cluster track it, the store does not
}

// hasRequiredKeyField reports whether a request has the key field that its handler requires, if any.
func (g *idempotencyGuard) hasRequiredKeyField(parsed *parsedRequest) bool {
	return !g.enabled() || len(parsed.guardKey) > 0 || !slices.Contains(g.keyParts[parsed.request.handler], KeyPartField)
}

// newState returns the guard's state for a new request, or nil if the request is not guarded.
func (g *idempotencyGuard) newState(parsed *parsedRequest) *guardState {
	if !g.enabled() {
		return nil
	}
	parts := g.keyParts[parsed.request.handler]
	replayable := false
	if parts == nil && g.backend.cluster.enabled() {
		parts = g.backend.cluster.keyParts[parsed.request.handler]
		replayable = true
	}
	if parts == nil || len(parsed.guardKey) == 0 && slices.Contains(parts, KeyPartField) {
		return nil
	}
	return &guardState{
		key:        g.keyOf(parsed, parts),
		createdAt:  time.Duration(parsed.createdAt * float64(time.Millisecond)),
		replayable: replayable,
	}
}

// keyOf returns the idempotency key of a request: the first bytes of a hash of its handler and the given parts. Each
// part is hashed with its number and length, so that two different lists of parts never produce the same input.
func (g *idempotencyGuard) keyOf(parsed *parsedRequest, parts []KeyPart) idempotency.Key {
	hash := sha256.New()
	add := func(part KeyPart, value []byte) {
		var header [9]byte
		header[0] = byte(part)
		binary.LittleEndian.PutUint64(header[1:], uint64(len(value)))
		_, _ = hash.Write(header[:]) // a hash never returns an error
		_, _ = hash.Write(value)
	}
	add(0, []byte(g.backend.handlers[parsed.request.handler].name))
	for _, part := range parts {
		switch part {
		case KeyPartID:
			add(part, []byte(parsed.request.wireID))
		case KeyPartCustomer:
			add(part, parsed.customerID)
		case KeyPartField:
			add(part, parsed.guardKey)
		case KeyPartBody:
			add(part, parsed.request.body)
		}
	}
	return idempotency.Key(hash.Sum(nil))
}
