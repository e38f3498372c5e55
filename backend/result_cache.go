package backend

import (
	"crypto/sha256"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

// Limits of the result cache.
const (
	// resultCacheShare is the share of the memory limit that the cache may use.
	resultCacheShare = 0.08
	// entryOverheadBytes is the memory that an entry takes in addition to its names and its result.
	entryOverheadBytes = 400
	// maxCachedResult is the size in bytes of the largest result that the protocol of the deployment allows.
	maxCachedResult = 4 << 10
	// maxRecentRepeats is the number of ids of recent repeats that are kept for an entry.
	maxRecentRepeats = 8
	// windowMargin is added to a repeat window, since the start time of a request and the wall clock have a resolution
	// of 1 ms.
	windowMargin = 2 * time.Millisecond
)

// cacheKey identifies requests that may be answered with each other's results. For a request that must run only once it
// consists of the idempotency key and the customer to whom that belongs. For a read it consists of the resource and the
// hash of the body, since the result depends on both. A request whose key has no name is not cached.
type cacheKey struct {
	handler        int
	customer, name string
	body           [sha256.Size]byte
}

// cacheEntry is a cached request. It has a result once the request has succeeded.
type cacheEntry struct {
	id            uint64
	recentRepeats []uint64 // ids of its most recent repeats
	key           cacheKey
	runsOnce      bool          // it must not run again: a repeat gets its outcome, even if it has no result
	expiresAt     time.Duration // a repeat must arrive (if runsOnce) or be read (otherwise) before this
	ended         bool
	succeeded     bool
	result        []byte
	bytes         int
}

// resultCache holds requests and their results, with which it answers repeats. The overload controller decides how long
// a read is kept. A request that must run only once is kept from its arrival until every request that arrived within
// its repeat window was read.
//
// Its methods must be called by the owner goroutine of the backend.
type resultCache struct {
	backend           *Backend
	entries           map[cacheKey]*cacheEntry
	byID              map[uint64]*cacheEntry
	usedBytes         int
	readShareDuration time.Duration // how long after a read has ended its result may be reused; 0 disables reuse
}

func (c *resultCache) init(b *Backend) {
	c.backend = b
	c.entries = map[cacheKey]*cacheEntry{}
	c.byID = map[uint64]*cacheEntry{}
	c.readShareDuration = b.cfg.Settings.Backend.ReuseFor
}

// keyOf returns the cache key of a request. The arguments after r are from its header and may be empty.
func (c *resultCache) keyOf(r *request, resource, customer, idempotencyKey string) cacheKey {
	switch {
	case c.backend.handlers[r.handler].deduplicated:
		return cacheKey{handler: r.handler, customer: customer, name: idempotencyKey}
	case resource == "" || c.readShareDuration == 0:
		return cacheKey{}
	}
	return cacheKey{handler: r.handler, name: resource, body: sha256.Sum256(r.body)}
}

// find returns the entry that a request repeats, or nil if there is none.
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

// checkRepeat marks a request that is about to be submitted to the overload controller as a repeat of a cached request,
// if there is one. Otherwise it caches the request if that must run only once, since its repeat may arrive in the same
// batch.
//
// It returns the reason why the request can't be admitted, or accounting.NoReason: there is no room to cache it, the
// processor has not confirmed its id, or its id is that of an earlier attempt. Each attempt has an id of its own, so a
// request with a known id is a replay of an edge node's message. The processor rejects known ids, but does not see
// requests that are answered from the cache.
func (c *resultCache) checkRepeat(r *request) accounting.Reason {
	if r.cacheKey.name == "" {
		return accounting.NoReason // without a key no repeat can be recognized
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
		return accounting.NotReady // the processor has not confirmed that the request came from an edge node
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

// add caches a request and reports whether there was room. For a request that must run only once it reserves the room
// for a result of maxCachedResult bytes.
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

// hasRoom reports whether the cache stays within its share of the memory limit with the given number of bytes more.
func (c *resultCache) hasRoom(bytes int) bool {
	return float64(c.usedBytes+bytes) <= c.backend.memoryShare(resultCacheShare)
}

// storeEntry carries out the overload controller's decision that repeats of r may be answered with its result, for a
// read during the given lifetime.
func (c *resultCache) storeEntry(r *request, lifetime time.Duration) {
	if r.cacheKey.name == "" || c.byID[r.id] == nil && !c.add(r) {
		return
	}
	if entry := c.byID[r.id]; !entry.runsOnce {
		entry.expiresAt = c.backend.now + lifetime
	}
}

// baseBytes returns the size of an entry without its result.
func (e *cacheEntry) baseBytes() int {
	return entryOverheadBytes + len(e.key.customer) + len(e.key.name)
}

// drop removes an entry; a nil entry is ignored.
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

// join answers a repeat like its original request, at once or when the original ends. An original that is neither in
// flight nor cached never ran.
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

// answerFollower ends a repeat with the outcome of its original request.
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

// requestEnded implements requestObserver. It records the outcome of an original request and ends its followers with
// the same outcome.
func (c *resultCache) requestEnded(original *request, end requestEnd) {
	if entry := c.byID[original.id]; entry != nil {
		c.recordEnd(entry, end)
	}
	followers := original.followers
	original.followers = nil
	for _, follower := range followers {
		if c.backend.requests[follower.id] == follower { // else it has ended meanwhile
			c.answerFollower(follower, end)
		}
	}
}

// recordEnd records in an entry how its request has ended. It drops a read without a result. It drops a request that
// must run only once if that never ran; in any other case a repeat would be a second run.
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

// sweep drops the entries that have expired. A request that must run only once stays until every request that arrived
// within its repeat window was read: a request that was unread for longer than the client timeout is rejected when
// read.
func (c *resultCache) sweep() {
	for _, entry := range c.byID { // only removes entries: the order does not matter
		expiresAt := entry.expiresAt
		if entry.runsOnce {
			expiresAt += c.backend.handlers[entry.key.handler].clientTimeout
		}
		if expiresAt <= c.backend.now && (entry.ended || !entry.runsOnce) {
			c.drop(entry)
		}
	}
}
