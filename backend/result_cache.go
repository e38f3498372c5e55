package backend

import (
	"crypto/sha256"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// Limits of the cache of results.
const (
	// resultCacheShare is the part of the memory limit that the cache may take.
	resultCacheShare = 0.08
	// cacheEntryBytes is what an entry takes beside its names and its result.
	entryOverheadBytes = 400
	// maxCachedResult is the size of the largest result in bytes, as the protocol of the deployment has it.
	maxCachedResult = 4 << 10
	// maxRecentRepeats is how many ids of the repeats of an entry are kept.
	maxRecentRepeats = 8
	// windowMargin is added to a window: both the start of a request and the time come in whole milliseconds.
	windowMargin = 2 * time.Millisecond
)

// cacheKey is what requests must have in common so that one may be answered with another's result. For a request that
// must run once it is the idempotency key, which is its customer's own. For a read it is the object read and the body,
// since the result is made of both. A key without a name is none.
type cacheKey struct {
	handler        int
	customer, name string
	body           [sha256.Size]byte
}

// cacheEntry is a cached request. It has a result once the run of the request has succeeded.
type cacheEntry struct {
	id            uint64
	recentRepeats []uint64 // ids of the last requests that repeated it
	key           cacheKey
	runsOnce      bool          // it must not run again: a repeat gets what came of it, even if that is nothing
	expiresAt     time.Duration // if it must run once, what arrived before is a repeat; if it is a read, what is read before
	ended         bool
	succeeded     bool
	result        []byte
	bytes         int
}

// resultCache holds requests that others may repeat. Reads are kept as long as the overload controller says, and their
// results may be shared. Requests that must run once are kept from their arrival until all that arrived within their
// window was read.
//
// Its methods are called by the goroutine that owns the backend.
type resultCache struct {
	backend           *Backend
	entries           map[cacheKey]*cacheEntry
	byID              map[uint64]*cacheEntry
	usedBytes         int
	readShareDuration time.Duration // how long after its end the result of a read may be shared
}

func (c *resultCache) init(b *Backend) {
	c.backend = b
	c.entries = map[cacheKey]*cacheEntry{}
	c.byID = map[uint64]*cacheEntry{}
	c.readShareDuration = b.cfg.Settings.Backend.ReuseFor
}

// keyOf returns the cache key of a request for an object; once is its idempotency key.
func (c *resultCache) keyOf(r *request, resource, customer, idempotencyKey string) cacheKey {
	switch {
	case c.backend.handlers[r.handler].deduplicated:
		return cacheKey{handler: r.handler, customer: customer, name: idempotencyKey}
	case resource == "" || c.readShareDuration == 0:
		return cacheKey{}
	}
	return cacheKey{handler: r.handler, name: resource, body: sha256.Sum256(r.body)}
}

// find returns the entry that a request repeats, nil if there is none.
func (c *resultCache) find(r *request) *cacheEntry {
	entry := c.entries[r.cacheKey]
	if entry == nil {
		return nil
	}
	at := c.backend.now
	if entry.runsOnce {
		at = r.arrivedAt
	}
	if at >= entry.expiresAt {
		return nil
	}
	return entry
}

// checkRepeat marks a request that is about to be submitted to the overload controller as a repeat of the cached one, if
// there is one. A request that must run once is cached from then on, since its repeat may come in the same batch.
//
// It returns why the request can't be admitted, or accounting.None. There may be no room to cache it, or nobody could
// be asked whether the processor knows it, or its id is that of an earlier attempt. Each attempt has an id of its own:
// somebody replays what an edge node sent, and the processor, which knows the id, would not be asked to run what is
// answered from the cache.
func (c *resultCache) checkRepeat(r *request) accounting.Reason {
	if r.cacheKey.name == "" {
		return accounting.NoReason // nothing by which a repeat could be known
	}
	if entry := c.find(r); entry != nil {
		return c.linkRepeat(r, entry)
	}
	if c.backend.handlers[r.handler].deduplicated && !c.add(r) {
		return accounting.StoreFull
	}
	return accounting.NoReason
}

// linkRepeat marks r as a repeat of a cached request.
func (c *resultCache) linkRepeat(r *request, entry *cacheEntry) accounting.Reason {
	if c.backend.canCancel && !r.verified {
		return accounting.NotReady // nobody could be asked whether it is an edge node's
	}
	if r.id == entry.id || slices.Contains(entry.recentRepeats, r.id) {
		return accounting.UnknownRequest
	}
	excess := max(0, len(entry.recentRepeats)-maxRecentRepeats+1)
	entry.recentRepeats = append(entry.recentRepeats[excess:], r.id)
	r.originalID = entry.id
	r.arrival.RepeatOf = entry.id
	return accounting.NoReason
}

// add caches a request and reports whether there was room, also for the result of one that must run once.
func (c *resultCache) add(r *request) bool {
	c.drop(c.entries[r.cacheKey])
	handler := &c.backend.handlers[r.handler]
	entry := &cacheEntry{
		id:        r.id,
		key:       r.cacheKey,
		runsOnce:  handler.deduplicated,
		expiresAt: r.arrivedAt + handler.repeatWindow + windowMargin,
	}
	entry.bytes = entry.baseBytes()
	if entry.runsOnce {
		entry.bytes += maxCachedResult
	}
	if !c.hasRoom(entry.bytes) {
		return false
	}
	c.entries[r.cacheKey] = entry
	c.byID[r.id] = entry
	c.usedBytes += entry.bytes
	return true
}

func (c *resultCache) hasRoom(bytes int) bool {
	return float64(c.usedBytes+bytes) <= c.backend.memoryShare(resultCacheShare)
}

// remember follows the overload controller's decision that repeats of r may be answered with its result; for a read it
// says for how long.
func (c *resultCache) storeEntry(r *request, lifetime time.Duration) {
	if r.cacheKey.name == "" || c.byID[r.id] == nil && !c.add(r) {
		return
	}
	if entry := c.byID[r.id]; !entry.runsOnce {
		entry.expiresAt = c.backend.now + lifetime
	}
}

// baseBytes is what an entry takes without a result.
func (e *cacheEntry) baseBytes() int {
	return entryOverheadBytes + len(e.key.customer) + len(e.key.name)
}

func (c *resultCache) drop(entry *cacheEntry) {
	if entry == nil {
		return
	}
	c.usedBytes -= entry.bytes
	if c.entries[entry.key] == entry {
		delete(c.entries, entry.key)
	}
	delete(c.byID, entry.id)
}

// join answers a repeat like the original request, now or when that ends. An original that is no longer cached never
// ran.
func (c *resultCache) join(r *request) {
	if original := c.backend.requests[r.originalID]; original != nil {
		r.joinOriginal()
		original.followers = append(original.followers, r)
		return
	}
	end := requestEnd{outcome: overload.Failed}
	if entry := c.byID[r.originalID]; entry != nil {
		end.mayHaveRun = true
		if entry.succeeded {
			end.outcome = overload.OK
			end.result = entry.result
		}
	}
	c.answerFollower(r, end)
}

// answerFollower ends a repeat as the original request has ended.
func (c *resultCache) answerFollower(r *request, original requestEnd) {
	switch {
	case original.outcome == overload.OK:
		c.backend.runEnded(r, overload.OK, accounting.Replayed, 0, original.result)
	case original.mayHaveRun:
		c.backend.runEnded(r, overload.Failed, accounting.OriginalFailed, 0, nil)
	default:
		c.backend.runEnded(r, overload.Failed, accounting.RetryAllowed, 0, nil)
	}
}

// requestWithdrawn implements requestObserver.
func (c *resultCache) requestWithdrawn(original *request) {
	c.requestEnded(original, requestEnd{outcome: overload.Failed})
}

// requestEnded implements requestObserver. The result of an original request is kept for a while if it succeeded, and
// its followers are answered alike.
func (c *resultCache) requestEnded(original *request, end requestEnd) {
	if entry := c.byID[original.id]; entry != nil {
		c.recordEnd(entry, end)
	}
	followers := original.followers
	original.followers = nil
	for _, follower := range followers {
		if c.backend.requests[follower.id] == follower { // else given up meanwhile
			c.answerFollower(follower, end)
		}
	}
}

// storeEnd records in an entry how its request has ended. A read without a result is dropped. A request that must run
// once is dropped only if it never ran: otherwise a repeat would be its second run.
func (c *resultCache) recordEnd(entry *cacheEntry, end requestEnd) {
	entry.ended = true
	c.usedBytes -= entry.bytes
	entry.bytes = entry.baseBytes()
	entry.succeeded = end.outcome == overload.OK && c.hasRoom(entry.bytes+len(end.result))
	if entry.succeeded {
		entry.result = append([]byte(nil), end.result...)
		entry.bytes += len(end.result)
	}
	c.usedBytes += entry.bytes
	if !entry.runsOnce {
		entry.expiresAt = min(entry.expiresAt, c.backend.now+c.readShareDuration)
	}
	mustStay := entry.runsOnce && end.mayHaveRun
	if !entry.succeeded && !mustStay {
		c.drop(entry)
	}
}

// sweep drops the entries that have expired. A request that must run once stays until all that arrived within its
// window was read: what lay unread for longer than its client's timeout is rejected on arrival.
func (c *resultCache) sweep() {
	for _, entry := range c.byID { // only removals: the order doesn't matter
		expiresAt := entry.expiresAt
		if entry.runsOnce {
			expiresAt += c.backend.handlers[entry.key.handler].clientTimeout
		}
		if expiresAt <= c.backend.now && (entry.ended || !entry.runsOnce) {
			c.drop(entry)
		}
	}
}
