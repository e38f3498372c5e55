package backend

import (
	"slices"
	"strings"
	"time"
)

// deepCheck is a health check that waits for the processor.
type deepCheck struct {
	trial    uint64        // of the trial at the processor
	deadline time.Duration // it is answered by then
	keepOpen bool
}

// healthCheck answers a health check. Deep checks ask the processor for a trial, unless the overload controller wants
// them cheap or takes the node for unhealthy anyway.
func (f *frontend) healthCheck(from exchange, query string) {
	b := f.backend
	b.stats.Checks++
	deep := slices.Contains(strings.Split(query, "&"), "deep=1")
	if !deep || b.advice.shallowChecks || !b.advice.healthy {
		f.answerCheck(from, b.advice.healthy)
		return
	}
	if from.client.checks == nil {
		from.client.checks = map[uint16]deepCheck{}
	}
	from.client.checks[from.slot] = deepCheck{
		trial:    b.processor.startCheck(),
		deadline: b.now + deepCheckTimeout,
		keepOpen: from.keepOpen,
	}
}

// checkDone answers the deep check that waits for a trial.
func (f *frontend) checkDone(tag uint64, healthy bool) {
	for client := range f.clients {
		for slot, check := range client.checks {
			if check.trial == tag {
				f.finishCheck(client, slot, check, healthy)
			}
		}
	}
}

// expireChecks answers the deep checks of a connection whose deadline has passed by then as unhealthy.
func (f *frontend) expireChecks(client *clientConn, by time.Duration) {
	for slot, check := range client.checks {
		if by >= check.deadline {
			f.finishCheck(client, slot, check, false)
		}
	}
}

func (f *frontend) finishCheck(client *clientConn, slot uint16, check deepCheck, healthy bool) {
	delete(client.checks, slot)
	f.answerCheck(exchange{client: client, slot: slot, keepOpen: check.keepOpen}, healthy)
}

func (f *frontend) answerCheck(to exchange, healthy bool) {
	status := 503
	if healthy {
		status = 200
	}
	f.answer(to, &response{status: status})
}
