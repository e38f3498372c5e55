package backend

import (
	"crypto/sha256"
	"frosthub/accounting"
	"frosthub/overload"
	"slices"
	"time"
)

const (
	resultCacheShare = 0.08                 // of the memory limit, for what is remembered for repeats
	rememberedBytes  = 400                  // of a remembered req beside its names and its result
	answerMost       = 4 << 10              // bytes of a result, by the protocol of the deployment
	askedMost        = 8                    // repeats of one whose ids are remembered
	windowMore       = 2 * time.Millisecond // to a window: starts are told in whole milliseconds, and so is the time
)

// cacheKey is what reqs must have in common so that one may be answered from another's result: that of a req that must
// run once is its idempotency key, which is its customer's own; a read's is what it is about and its body, since the
// result is made of both.
type cacheKey struct {
	handler     int
	owner, name string
	body        [sha256.Size]byte
}

// cacheEntry is a remembered req. Its result is there once its run has ended well.
type cacheEntry struct {
	id            uint64
	recentRepeats []uint64 // the last that repeated it
	key           cacheKey
	runsOnce      bool          // it must not run again: a repeat gets what came of it, be it nothing
	expiresAt     time.Duration // of a req that must run once: what came before is a repeat; of a read: what is read before
	ended         bool
	ok            bool
	result        []byte
	bytes         int
}

// resultCache is the table of remembered reqs. Reads are remembered as long as the module says and their result may be shared;
// what must run once from its arrival until all that came in its window was read.
type resultCache struct {
	backend     *Backend
	entries     map[cacheKey]*cacheEntry
	byID        map[uint64]*cacheEntry
	resultBytes int
	shareFor    time.Duration // how long after its end the result of a read may serve others
}

func (c *resultCache) init(b *Backend) {
	c.backend, c.entries, c.byID = b, map[cacheKey]*cacheEntry{}, map[uint64]*cacheEntry{}
	c.shareFor = b.cfg.Settings.Backend.ReuseFor
}

func (c *resultCache) keyOf(r *request, object, owner, once string) cacheKey {
	switch {
	case c.backend.handlers[r.handler].uniqued:
		return cacheKey{handler: r.handler, owner: owner, name: once}
	case object == "" || c.shareFor == 0:
		return cacheKey{}
	}
	return cacheKey{handler: r.handler, name: object, body: sha256.Sum256(r.body)}
}

// find gives what a req would repeat, nil if nothing.
func (c *resultCache) find(r *request) *cacheEntry {
	if e := c.entries[r.subject]; e != nil && (e.runsOnce && r.arrivedAt < e.expiresAt || !e.runsOnce && c.backend.now < e.expiresAt) {
		return e
	}
	return nil
}

// lookup has a req that the module is about to hear of repeat what is remembered about the same. One that must run once
// is remembered from then on, since its repeat may come in the same batch. It gives why the req can't be taken: there is no
// room to remember it, nobody could be asked whether the processor knows it, or its id is that of another try. Each try has its own, so somebody plays back what an edge node
// sent: the processor knows the id, and would not be asked to run what is answered from here.
func (c *resultCache) lookup(r *request) accounting.Reason {
	if r.subject.name == "" {
		return accounting.None // nothing by which a repeat could be known
	}
	if e := c.find(r); e != nil {
		if c.backend.canCancel && !r.verified {
			return accounting.NotReady // nobody could be asked whether it is an edge node's
		}
		if r.id == e.id || slices.Contains(e.recentRepeats, r.id) {
			return accounting.UnknownRequest
		}
		e.recentRepeats = append(e.recentRepeats[max(0, len(e.recentRepeats)-askedMost+1):], r.id)
		r.originalID = e.id
		r.arrival.RepeatOf = e.id
		return accounting.None
	}
	if c.backend.handlers[r.handler].uniqued && !c.add(r) {
		return accounting.StoreFull
	}
	return accounting.None
}

// add remembers a req and tells whether there was room, also for the result of one that must run once.
func (c *resultCache) add(r *request) bool {
	c.drop(c.entries[r.subject])
	h := &c.backend.handlers[r.handler]
	e := &cacheEntry{id: r.id, key: r.subject, runsOnce: h.uniqued, expiresAt: r.arrivedAt + h.window + windowMore}
	e.bytes = e.baseBytes()
	if e.runsOnce {
		e.bytes += answerMost
	}
	if float64(c.resultBytes+e.bytes) > c.backend.memoryShare(resultCacheShare) {
		return false
	}
	c.entries[r.subject], c.byID[r.id] = e, e
	c.resultBytes += e.bytes
	return true
}

// remember follows the module's word that repeats may be answered from a req; of a read it says for how long.
func (c *resultCache) remember(r *request, lifetime time.Duration) {
	if r.subject.name == "" || c.byID[r.id] == nil && !c.add(r) {
		return
	}
	if e := c.byID[r.id]; !e.runsOnce {
		e.expiresAt = c.backend.now + lifetime
	}
}

// baseBytes is what an entry takes without a result.
func (e *cacheEntry) baseBytes() int { return rememberedBytes + len(e.key.owner) + len(e.key.name) }

func (c *resultCache) drop(e *cacheEntry) {
	if e != nil {
		c.resultBytes -= e.bytes
		if c.entries[e.key] == e {
			delete(c.entries, e.key)
		}
		delete(c.byID, e.id)
	}
}

// join answers a repeat from its forerunner, now or when that ends. One that is no longer remembered never ran.
func (c *resultCache) join(r *request) {
	if f := c.backend.requests[r.originalID]; f != nil {
		r.state = stateJoined
		f.followers = append(f.followers, r)
		return
	}
	e := c.byID[r.originalID]
	c.answerFollower(r, e != nil, e != nil && e.ok, e.body())
}

func (e *cacheEntry) body() []byte {
	if e == nil {
		return nil
	}
	return e.result
}

// answerFollower ends a repeat as its forerunner ended.
func (c *resultCache) answerFollower(r *request, ran, ok bool, result []byte) {
	switch {
	case ok:
		c.backend.runEnded(r, overload.OK, accounting.Replayed, 0, result)
	case ran:
		c.backend.runEnded(r, overload.Failed, accounting.OriginalFailed, 0, nil)
	default:
		c.backend.runEnded(r, overload.Failed, accounting.RetryAllowed, 0, nil)
	}
}

// ended follows the end of a forerunner. A good result is kept for a while, and those that wait get the same. A read
// that came to nothing is forgotten, what must run once only if it never ran: else a repeat would be its second run.
func (c *resultCache) ended(f *request, how overload.Outcome, ran bool, result []byte) {
	ok := how == overload.OK
	if e := c.byID[f.id]; e != nil {
		e.ended, e.ok = true, ok
		c.resultBytes -= e.bytes
		e.bytes = e.baseBytes()
		if room := float64(c.resultBytes+e.bytes+len(result)) <= c.backend.memoryShare(resultCacheShare); ok && room {
			e.result = append([]byte(nil), result...)
			e.bytes += len(result)
		} else {
			e.ok = false
		}
		c.resultBytes += e.bytes
		if !e.runsOnce {
			e.expiresAt = min(e.expiresAt, c.backend.now+c.shareFor)
		}
		if !e.ok && !(e.runsOnce && ran) {
			c.drop(e)
		}
	}
	joins := f.followers
	f.followers = nil
	for _, r := range joins {
		if c.backend.requests[r.id] == r { // else given up meanwhile
			c.answerFollower(r, ran, ok, result)
		}
	}
}

// sweep drops what has expired. What must run once is kept until all that came in its window was read: what lay unread
// for longer than its client timeout is refused at the door.
func (c *resultCache) sweep() {
	for _, e := range c.byID { // only removal: the order does not matter
		till := e.expiresAt
		if e.runsOnce {
			till += c.backend.handlers[e.key.handler].timeout
		}
		if till <= c.backend.now && (e.ended || !e.runsOnce) {
			c.drop(e)
		}
	}
}
