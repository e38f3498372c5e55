package overload

import (
	"slices"
	"time"
)

// neverRanRetention is how long it is known of an original that it never ran: longer than any batch.
const neverRanRetention = 2 * time.Second

// repeatTable is the controller's side of the idempotency table, which the adapter keeps as it is told by Remember and
// Forget. A deduplicated request is remembered from its arrival until its window has passed. Reads whose results
// may be shared are remembered the same way, while memory allows.
type repeatTable struct {
	reuseFor   time.Duration            // after its end that the result of a read may be shared; 0 forbids it
	remembered []*request               // those with an entry
	neverRan   map[uint64]time.Duration // when originals ended without a run: repeats of these must run themselves
}

func newRepeatTable(reuseFor time.Duration) repeatTable {
	return repeatTable{reuseFor: reuseFor, neverRan: map[uint64]time.Duration{}}
}

// tryCoalesce has a repeat wait for its original where that is possible, and reports whether it is.
func (c *Controller) tryCoalesce(now time.Duration, r *request, originalID uint64) bool {
	if originalID == 0 || r.handler.idempotency == NonReplayable {
		return false
	}
	if _, never := c.repeats.neverRan[originalID]; never || c.dueBeforeNextTimer(now, r) {
		return false
	}
	r.original = c.requests.byID[originalID]
	if r.original != nil {
		r.original.pendingRepeats++
	}
	r.wasRun = r.original == nil // its original may have run, so repeats of this one must not
	c.coalesce(now, r)
	return true
}

// rememberArrival asks for an entry for an admitted request, if its repeats can be answered from it.
func (c *Controller) rememberArrival(r *request, e *Event) {
	h := r.handler
	switch {
	case h.idempotency == Deduplicated:
		r.rememberUntil = r.arrivedAt + h.window + c.batchInterval + time.Millisecond
	case c.mayShareResult(r, e):
		r.rememberUntil = r.deadline + c.repeats.reuseFor
	default:
		return
	}
	c.requests.markDirty(r)
}

// mayShareResult reports whether others may be answered with the result of a request.
func (c *Controller) mayShareResult(r *request, e *Event) bool {
	return c.repeats.reuseFor > 0 &&
		e.Resource != "" &&
		!e.Write &&
		r.handler.idempotency != NonReplayable &&
		c.memory.underThreshold(c.memory.keySizeKB)
}

// releaseOriginal follows the end of a repeat. The entry of an original that never ran goes with its last repeat.
func (c *Controller) releaseOriginal(r *request) {
	original := r.original
	if original == nil {
		return
	}
	original.pendingRepeats--
	if original.state == stateEnded && !original.wasRun && original.pendingRepeats == 0 {
		c.forget(original)
	}
}

// noteNeverRan follows the end of a deduplicated request. If nothing of it ran a repeat has to run itself.
func (c *Controller) noteNeverRan(now time.Duration, r *request) {
	if r.handler.idempotency != Deduplicated || r.wasRun || r.original != nil {
		return
	}
	c.repeats.neverRan[r.id] = now
	if r.pendingRepeats == 0 {
		c.forget(r)
	}
}

// forget asks for the end of a request's entry.
func (c *Controller) forget(r *request) {
	r.rememberUntil = 0
	c.requests.markDirty(r)
}

// expireRepeats removes entries whose time has come, once a tick.
func (c *Controller) expireRepeats(now time.Duration) {
	c.repeats.remembered = slices.DeleteFunc(c.repeats.remembered, func(r *request) bool {
		if r.rememberedTo > 0 && r.rememberedTo <= now {
			c.memory.usedKB -= c.memory.keySizeKB
			r.rememberedTo = 0
			r.rememberUntil = 0
		}
		return r.rememberedTo == 0
	})
	for id, at := range c.repeats.neverRan { // removals alone: the order doesn't matter
		if now-at > neverRanRetention {
			delete(c.repeats.neverRan, id)
		}
	}
}

// appendRemembering appends what the adapter's table has to learn about a request.
func (c *Controller) appendRemembering(actions []Action, now time.Duration, r *request) []Action {
	switch {
	case r.rememberUntil > r.rememberedTo && r.state != stateEnded:
		if r.rememberedTo == 0 {
			c.memory.usedKB += c.memory.keySizeKB
			c.repeats.remembered = append(c.repeats.remembered, r)
		}
		r.rememberedTo = r.rememberUntil
		return append(actions, Action{Kind: StoreEntry, ID: r.id, Duration: r.rememberedTo - now})
	case r.rememberUntil == 0 && r.rememberedTo > now:
		c.memory.usedKB -= c.memory.keySizeKB
		r.rememberedTo = 0
		return append(actions, Action{Kind: RemoveEntry, ID: r.id})
	}
	return actions
}
