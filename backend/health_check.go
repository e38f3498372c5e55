package backend

import (
	"slices"
	"strings"
	"time"
)

// deepCheck is a health check that waits for the processor's answer.
type deepCheck struct {
	tag      uint64        // tag of the query to the processor
	deadline time.Duration // when the check is answered as unhealthy
	keepOpen bool
}

// handleHealthCheck answers a health check. A deep check queries the processor, unless the overload controller has made
// deep checks shallow or reports the node as unhealthy.
func (f *frontend) handleHealthCheck(from exchange, query string) {
	b := f.backend
	b.stats.Checks++
	deep := slices.Contains(strings.Split(query, "&"), "deep=1")
	if !deep || b.advice.shallowChecks || !b.advice.healthy {
		f.respondToCheck(from, b.advice.healthy)
		return
	}
	if from.client.deepChecks == nil {
		from.client.deepChecks = map[uint16]deepCheck{}
	}
	from.client.deepChecks[from.slot] = deepCheck{
		tag:      b.processor.startDeepCheck(),
		deadline: b.now + deepCheckTimeout,
		keepOpen: from.keepOpen,
	}
}

// finishDeepCheck answers the deep check that waits for the query with the given tag.
func (f *frontend) finishDeepCheck(tag uint64, healthy bool) {
	for client := range f.clients {
		for slot, check := range client.deepChecks {
			if check.tag == tag {
				f.respondToDeepCheck(client, slot, check, healthy)
			}
		}
	}
}

// expireDeepChecks answers the deep checks of a connection whose deadline is at or before the given time as unhealthy.
func (f *frontend) expireDeepChecks(client *clientConn, by time.Duration) {
	for slot, check := range client.deepChecks {
		if by >= check.deadline {
			f.respondToDeepCheck(client, slot, check, false)
		}
	}
}

// respondToDeepCheck answers a deep check and removes it from the pending ones.
func (f *frontend) respondToDeepCheck(client *clientConn, slot uint16, check deepCheck, healthy bool) {
	delete(client.deepChecks, slot)
	f.respondToCheck(exchange{client: client, slot: slot, keepOpen: check.keepOpen}, healthy)
}

// respondToCheck answers a health check.
func (f *frontend) respondToCheck(to exchange, healthy bool) {
	status := 503
	if healthy {
		status = 200
	}
	f.writeResponse(to, &response{status: status})
}
