package backend

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/idempotency"
)

// guardState is what the guard keeps of a request that must not run twice.
type guardState struct {
	key            idempotency.Key
	createdAt      time.Duration     // since 1970; 0 unknown
	answerDeadline time.Duration     // when it is answered at the latest, whatever the disk does
	claimedAt      time.Duration     // when the store, or the group, was asked
	answerReason   accounting.Reason // of its answer, once its run has ended
	endRecorded    bool              // its end was reported to the store
	replayable     bool              // it may run twice: only the nodes of the cluster know of it
}

// hasRequiredKeyField reports whether a request has the field that its key is made of, if it needs one.
func (g *idempotencyGuard) hasRequiredKeyField(parsed *parsedRequest) bool {
	return !g.enabled() || len(parsed.guardKey) > 0 || !slices.Contains(g.keyParts[parsed.request.handler], KeyPartField)
}

// newState returns the guard's state for a new request, nil if the request is not guarded.
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

// keyOf returns the idempotency key of a request: the start of a hash of its handler and the given parts. Each part
// goes in with its number and length, so that no two different lists of parts make the same input.
func (g *idempotencyGuard) keyOf(parsed *parsedRequest, parts []KeyPart) idempotency.Key {
	hash := sha256.New()
	add := func(part KeyPart, value []byte) {
		var header [9]byte
		header[0] = byte(part)
		binary.LittleEndian.PutUint64(header[1:], uint64(len(value)))
		_, _ = hash.Write(header[:]) // never an error
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
