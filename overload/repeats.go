package overload

import (
	"slices"
	"time"
)

// neverRanRetention is how long the controller keeps the record that an original never ran. It is longer than any
// Settings.BatchInterval, for repeats that wait in a batch while the adapter removes the entry of the original.
const neverRanRetention = 2 * time.Second

// repeatTable is the controller's view of the idempotency table, which the adapter maintains according to StoreEntry
// and RemoveEntry actions. A deduplicated request has an entry from its arrival until Handler.Window has
// passed. A read whose result may be shared has one too, as long as memory allows.
type repeatTable struct {
	reuseFor  time.Duration            // how long after its end the result of a read may be shared; 0 forbids it
	withEntry []*request               // requests with an entry
	neverRan  map[uint64]time.Duration // end times of originals that never ran, by ID; their repeats must run themselves
}

func newRepeatTable(reuseFor time.Duration) repeatTable {
	return repeatTable{reuseFor: reuseFor, neverRan: map[uint64]time.Duration{}}
}

// tryCoalesce makes a repeat wait for its original if possible, and reports whether it did.
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
	r.mayHaveRun = r.original == nil // an unknown original may have run, so repeats of this request must not run
	c.coalesce(now, r)
	return true
}

// requestEntry requests an idempotency entry for an admitted request if its repeats can be answered from it.
func (c *Controller) requestEntry(r *request, e *Event) {
	h := r.handler
	switch {
	case h.idempotency == Deduplicated:
		r.entryWantedUntil = r.arrivedAt + h.window + c.batchInterval + time.Millisecond
	case c.mayShareResult(r, e):
		r.entryWantedUntil = r.deadline + c.repeats.reuseFor
	default:
		return
	}
	c.requests.markDirty(r)
}

// mayShareResult reports whether other requests may be answered with the result of this one.
func (c *Controller) mayShareResult(r *request, e *Event) bool {
	return c.repeats.reuseFor > 0 &&
		e.Resource != "" &&
		!e.Write &&
		r.handler.idempotency != NonReplayable &&
		c.memory.underThreshold(c.memory.keySizeKB)
}

// releaseOriginal detaches a repeat that has ended from its original. The entry of an original that never ran is
// removed with its last repeat.
func (c *Controller) releaseOriginal(r *request) {
	original := r.original
	if original == nil {
		return
	}
	original.pendingRepeats--
	if original.state == stateEnded && !original.mayHaveRun && original.pendingRepeats == 0 {
		c.dropEntry(original)
	}
}

// recordNeverRan records that a deduplicated request ended without a run, so that a repeat runs itself.
func (c *Controller) recordNeverRan(now time.Duration, r *request) {
	if r.handler.idempotency != Deduplicated || r.mayHaveRun || r.original != nil {
		return
	}
	c.repeats.neverRan[r.id] = now
	if r.pendingRepeats == 0 {
		c.dropEntry(r)
	}
}

// dropEntry requests the removal of a request's entry.
func (c *Controller) dropEntry(r *request) {
	r.entryWantedUntil = 0
	c.requests.markDirty(r)
}

// expireEntries removes the entries and records whose time has passed, once per tick.
func (c *Controller) expireEntries(now time.Duration) {
	c.repeats.withEntry = slices.DeleteFunc(c.repeats.withEntry, func(r *request) bool {
		if r.entryExpiresAt > 0 && r.entryExpiresAt <= now {
			c.memory.usedKB -= c.memory.keySizeKB
			r.entryExpiresAt = 0
			r.entryWantedUntil = 0
		}
		return r.entryExpiresAt == 0
	})
	for id, at := range c.repeats.neverRan { // only removes elements: the order doesn't matter
		if now-at > neverRanRetention {
			delete(c.repeats.neverRan, id)
		}
	}
}

// appendEntryChange appends the action that stores, extends or removes a request's entry in the adapter's table.
func (c *Controller) appendEntryChange(actions []Action, now time.Duration, r *request) []Action {
	switch {
	case r.entryWantedUntil > r.entryExpiresAt && r.state != stateEnded:
		if r.entryExpiresAt == 0 {
			c.memory.usedKB += c.memory.keySizeKB
			c.repeats.withEntry = append(c.repeats.withEntry, r)
		}
		r.entryExpiresAt = r.entryWantedUntil
		return append(actions, Action{Kind: StoreEntry, ID: r.id, Duration: r.entryExpiresAt - now})
	case r.entryWantedUntil == 0 && r.entryExpiresAt > now:
		c.memory.usedKB -= c.memory.keySizeKB
		r.entryExpiresAt = 0
		return append(actions, Action{Kind: RemoveEntry, ID: r.id})
	}
	return actions
}
