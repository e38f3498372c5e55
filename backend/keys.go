package backend

import (
	"crypto/sha256"
	"slices"
	"time"

	"frosthub/accounting"
	"frosthub/overload"
)

const (
	keptShare       = 0.08                 // of the memory limit, for what is remembered for repeats
	rememberedBytes = 400                  // of a remembered req beside its names and its result
	answerMost      = 4 << 10              // bytes of a result, by the protocol of the deployment
	askedMost       = 8                    // repeats of one whose ids are remembered
	windowMore      = 2 * time.Millisecond // to a window: starts are told in whole milliseconds, and so is the time
)

// subject is what reqs must have in common so that one may be answered from another's result: that of a req that must
// run once is its idempotency key, which is its customer's own; a read's is what it is about and its body, since the
// result is made of both.
type subject struct {
	h           int
	owner, name string
	body        [sha256.Size]byte
}

// entry is a remembered req. Its result is there once its run has ended well.
type entry struct {
	id     uint64
	asked  []uint64 // the last that repeated it
	of     subject
	once   bool          // it must not run again: a repeat gets what came of it, be it nothing
	till   time.Duration // of a req that must run once: what came before is a repeat; of a read: what is read before
	ended  bool
	ok     bool
	result []byte
	bytes  int
}

// keys is the table of remembered reqs. Reads are remembered as long as the module says and their result may be shared;
// what must run once from its arrival until all that came in its window was read.
type keys struct {
	b        *Backend
	of       map[subject]*entry
	byID     map[uint64]*entry
	kept     int
	shareFor time.Duration // how long after its end the result of a read may serve others
}

func (k *keys) init(b *Backend) {
	k.b, k.of, k.byID = b, map[subject]*entry{}, map[uint64]*entry{}
	part, _ := b.cfg.Settings["backend"].(map[string]any)
	k.shareFor, _ = part["share_for"].(time.Duration)
}

func (k *keys) subjectOf(r *req, object, owner, once string) subject {
	switch {
	case k.b.handlers[r.h].uniqued:
		return subject{h: r.h, owner: owner, name: once}
	case object == "" || k.shareFor == 0:
		return subject{}
	}
	return subject{h: r.h, name: object, body: sha256.Sum256(r.body)}
}

// repeats gives what a req would repeat, nil if nothing.
func (k *keys) repeats(r *req) *entry {
	if e := k.of[r.of]; e != nil && (e.once && r.came < e.till || !e.once && k.b.now < e.till) {
		return e
	}
	return nil
}

// meet has a req that the module is about to hear of repeat what is remembered about the same. One that must run once
// is remembered from then on, since its repeat may come in the same batch. It gives why the req can't be taken: there is no
// room to remember it, nobody could be asked whether the processor knows it, or its id is that of another try. Each try has its own, so somebody plays back what an edge node
// sent: the processor knows the id, and would not be asked to run what is answered from here.
func (k *keys) meet(r *req) accounting.Reason {
	if r.of.name == "" {
		return accounting.None // nothing by which a repeat could be known
	}
	if e := k.repeats(r); e != nil {
		if k.b.canStop && !r.proved {
			return accounting.NotReady // nobody could be asked whether it is an edge node's
		}
		if r.id == e.id || slices.Contains(e.asked, r.id) {
			return accounting.UnknownRequest
		}
		e.asked = append(e.asked[max(0, len(e.asked)-askedMost+1):], r.id)
		r.fore = e.id
		r.ev.RepeatOf = e.id
		return accounting.None
	}
	if k.b.handlers[r.h].uniqued && !k.add(r) {
		return accounting.StoreFull
	}
	return accounting.None
}

// add remembers a req and tells whether there was room, also for the result of one that must run once.
func (k *keys) add(r *req) bool {
	k.drop(k.of[r.of])
	h := &k.b.handlers[r.h]
	e := &entry{id: r.id, of: r.of, once: h.uniqued, till: r.came + h.window + windowMore}
	e.bytes = e.least()
	if e.once {
		e.bytes += answerMost
	}
	if float64(k.kept+e.bytes) > k.b.share(keptShare) {
		return false
	}
	k.of[r.of], k.byID[r.id] = e, e
	k.kept += e.bytes
	return true
}

// remember follows the module's word that repeats may be answered from a req; of a read it says for how long.
func (k *keys) remember(r *req, lifetime time.Duration) {
	if r.of.name == "" || k.byID[r.id] == nil && !k.add(r) {
		return
	}
	if e := k.byID[r.id]; !e.once {
		e.till = k.b.now + lifetime
	}
}

// least is what an entry takes without a result.
func (e *entry) least() int { return rememberedBytes + len(e.of.owner) + len(e.of.name) }

func (k *keys) drop(e *entry) {
	if e != nil {
		k.kept -= e.bytes
		if k.of[e.of] == e {
			delete(k.of, e.of)
		}
		delete(k.byID, e.id)
	}
}

// join answers a repeat from its forerunner, now or when that ends. One that is no longer remembered never ran.
func (k *keys) join(r *req) {
	if f := k.b.reqs[r.fore]; f != nil {
		r.at = joined
		f.joins = append(f.joins, r)
		return
	}
	e := k.byID[r.fore]
	k.repeated(r, e != nil, e != nil && e.ok, e.body())
}

func (e *entry) body() []byte {
	if e == nil {
		return nil
	}
	return e.result
}

// repeated ends a repeat as its forerunner ended.
func (k *keys) repeated(r *req, ran, ok bool, result []byte) {
	switch {
	case ok:
		k.b.ended(r, overload.OK, accounting.Replayed, 0, result)
	case ran:
		k.b.ended(r, overload.Failed, accounting.OriginalFailed, 0, nil)
	default:
		k.b.ended(r, overload.Failed, accounting.RetryAllowed, 0, nil)
	}
}

// ended follows the end of a forerunner. A good result is kept for a while, and those that wait get the same. A read
// that came to nothing is forgotten, what must run once only if it never ran: else a repeat would be its second run.
func (k *keys) ended(f *req, how overload.Outcome, ran bool, result []byte) {
	ok := how == overload.OK
	if e := k.byID[f.id]; e != nil {
		e.ended, e.ok = true, ok
		k.kept -= e.bytes
		e.bytes = e.least()
		if room := float64(k.kept+e.bytes+len(result)) <= k.b.share(keptShare); ok && room {
			e.result = append([]byte(nil), result...)
			e.bytes += len(result)
		} else {
			e.ok = false
		}
		k.kept += e.bytes
		if !e.once {
			e.till = min(e.till, k.b.now+k.shareFor)
		}
		if !e.ok && !(e.once && ran) {
			k.drop(e)
		}
	}
	joins := f.joins
	f.joins = nil
	for _, r := range joins {
		if k.b.reqs[r.id] == r { // else given up meanwhile
			k.repeated(r, ran, ok, result)
		}
	}
}

// tidy drops what has expired. What must run once is kept until all that came in its window was read: what lay unread
// for longer than its client timeout is refused at the door.
func (k *keys) tidy() {
	for _, e := range k.byID { // only removal: the order does not matter
		till := e.till
		if e.once {
			till += k.b.handlers[e.of.h].timeout
		}
		if till <= k.b.now && (e.ended || !e.once) {
			k.drop(e)
		}
	}
}
