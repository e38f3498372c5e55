package backend

import (
	"crypto/sha256"
	"frosthub/accounting"
	"frosthub/overload"
	"slices"
	"time"
)

const (
	keptShare       = 0.08                 // of the memory limit, for what is remembered for repeats
	rememberedBytes = 400                  // of a remembered req beside its names and its result
	answerMost      = 4 << 10              // bytes of a result, by the protocol of the deployment
	askedMost       = 8                    // repeats of one whose ids are remembered
	windowMore      = 2 * time.Millisecond // to a window: starts are told in whole milliseconds, and so is the time
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
	id        uint64
	asked     []uint64 // the last that repeated it
	key       cacheKey
	runsOnce  bool          // it must not run again: a repeat gets what came of it, be it nothing
	expiresAt time.Duration // of a req that must run once: what came before is a repeat; of a read: what is read before
	ended     bool
	ok        bool
	result    []byte
	bytes     int
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

func (k *resultCache) init(b *Backend) {
	k.backend, k.entries, k.byID = b, map[cacheKey]*cacheEntry{}, map[uint64]*cacheEntry{}
	k.shareFor = b.cfg.Settings.Backend.ReuseFor
}

func (k *resultCache) subjectOf(r *request, object, owner, once string) cacheKey {
	switch {
	case k.backend.handlers[r.handler].uniqued:
		return cacheKey{handler: r.handler, owner: owner, name: once}
	case object == "" || k.shareFor == 0:
		return cacheKey{}
	}
	return cacheKey{handler: r.handler, name: object, body: sha256.Sum256(r.body)}
}

// repeats gives what a req would repeat, nil if nothing.
func (k *resultCache) repeats(r *request) *cacheEntry {
	if e := k.entries[r.subject]; e != nil && (e.runsOnce && r.arrivedAt < e.expiresAt || !e.runsOnce && k.backend.now < e.expiresAt) {
		return e
	}
	return nil
}

// lookup has a req that the module is about to hear of repeat what is remembered about the same. One that must run once
// is remembered from then on, since its repeat may come in the same batch. It gives why the req can't be taken: there is no
// room to remember it, nobody could be asked whether the processor knows it, or its id is that of another try. Each try has its own, so somebody plays back what an edge node
// sent: the processor knows the id, and would not be asked to run what is answered from here.
func (k *resultCache) lookup(r *request) accounting.Reason {
	if r.subject.name == "" {
		return accounting.None // nothing by which a repeat could be known
	}
	if e := k.repeats(r); e != nil {
		if k.backend.canCancel && !r.verified {
			return accounting.NotReady // nobody could be asked whether it is an edge node's
		}
		if r.id == e.id || slices.Contains(e.asked, r.id) {
			return accounting.UnknownRequest
		}
		e.asked = append(e.asked[max(0, len(e.asked)-askedMost+1):], r.id)
		r.originalID = e.id
		r.arrival.RepeatOf = e.id
		return accounting.None
	}
	if k.backend.handlers[r.handler].uniqued && !k.add(r) {
		return accounting.StoreFull
	}
	return accounting.None
}

// add remembers a req and tells whether there was room, also for the result of one that must run once.
func (k *resultCache) add(r *request) bool {
	k.drop(k.entries[r.subject])
	h := &k.backend.handlers[r.handler]
	e := &cacheEntry{id: r.id, key: r.subject, runsOnce: h.uniqued, expiresAt: r.arrivedAt + h.window + windowMore}
	e.bytes = e.least()
	if e.runsOnce {
		e.bytes += answerMost
	}
	if float64(k.resultBytes+e.bytes) > k.backend.memoryShare(keptShare) {
		return false
	}
	k.entries[r.subject], k.byID[r.id] = e, e
	k.resultBytes += e.bytes
	return true
}

// remember follows the module's word that repeats may be answered from a req; of a read it says for how long.
func (k *resultCache) remember(r *request, lifetime time.Duration) {
	if r.subject.name == "" || k.byID[r.id] == nil && !k.add(r) {
		return
	}
	if e := k.byID[r.id]; !e.runsOnce {
		e.expiresAt = k.backend.now + lifetime
	}
}

// least is what an entry takes without a result.
func (e *cacheEntry) least() int { return rememberedBytes + len(e.key.owner) + len(e.key.name) }

func (k *resultCache) drop(e *cacheEntry) {
	if e != nil {
		k.resultBytes -= e.bytes
		if k.entries[e.key] == e {
			delete(k.entries, e.key)
		}
		delete(k.byID, e.id)
	}
}

// join answers a repeat from its forerunner, now or when that ends. One that is no longer remembered never ran.
func (k *resultCache) join(r *request) {
	if f := k.backend.requests[r.originalID]; f != nil {
		r.state = stateJoined
		f.followers = append(f.followers, r)
		return
	}
	e := k.byID[r.originalID]
	k.repeated(r, e != nil, e != nil && e.ok, e.body())
}

func (e *cacheEntry) body() []byte {
	if e == nil {
		return nil
	}
	return e.result
}

// repeated ends a repeat as its forerunner ended.
func (k *resultCache) repeated(r *request, ran, ok bool, result []byte) {
	switch {
	case ok:
		k.backend.runEnded(r, overload.OK, accounting.Replayed, 0, result)
	case ran:
		k.backend.runEnded(r, overload.Failed, accounting.OriginalFailed, 0, nil)
	default:
		k.backend.runEnded(r, overload.Failed, accounting.RetryAllowed, 0, nil)
	}
}

// ended follows the end of a forerunner. A good result is kept for a while, and those that wait get the same. A read
// that came to nothing is forgotten, what must run once only if it never ran: else a repeat would be its second run.
func (k *resultCache) ended(f *request, how overload.Outcome, ran bool, result []byte) {
	ok := how == overload.OK
	if e := k.byID[f.id]; e != nil {
		e.ended, e.ok = true, ok
		k.resultBytes -= e.bytes
		e.bytes = e.least()
		if room := float64(k.resultBytes+e.bytes+len(result)) <= k.backend.memoryShare(keptShare); ok && room {
			e.result = append([]byte(nil), result...)
			e.bytes += len(result)
		} else {
			e.ok = false
		}
		k.resultBytes += e.bytes
		if !e.runsOnce {
			e.expiresAt = min(e.expiresAt, k.backend.now+k.shareFor)
		}
		if !e.ok && !(e.runsOnce && ran) {
			k.drop(e)
		}
	}
	joins := f.followers
	f.followers = nil
	for _, r := range joins {
		if k.backend.requests[r.id] == r { // else given up meanwhile
			k.repeated(r, ran, ok, result)
		}
	}
}

// sweep drops what has expired. What must run once is kept until all that came in its window was read: what lay unread
// for longer than its client timeout is refused at the door.
func (k *resultCache) sweep() {
	for _, e := range k.byID { // only removal: the order does not matter
		till := e.expiresAt
		if e.runsOnce {
			till += k.backend.handlers[e.key.handler].timeout
		}
		if till <= k.backend.now && (e.ended || !e.runsOnce) {
			k.drop(e)
		}
	}
}
