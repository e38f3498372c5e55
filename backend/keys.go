package backend

import (
	"time"

	"frosthub/account"
	"frosthub/overload"
)

const keptShare = 0.08 // of the memory limit, for results kept for repeats

// subject is what reads must have in common so that one may be answered from another's result.
type subject struct {
	h    int
	name string
}

// entry is a remembered req. Its result is there once its run has ended well.
type entry struct {
	id     uint64
	of     subject
	till   time.Duration
	ended  bool
	result []byte
}

// keys is the table of remembered reqs. Which are kept, and for how long, the module says.
type keys struct {
	b    *Backend
	of   map[subject]*entry
	byID map[uint64]*entry
	kept int
}

func (k *keys) init(b *Backend) { k.b, k.of, k.byID = b, map[subject]*entry{}, map[uint64]*entry{} }

// repeatOf gives the remembered req that one about the same would repeat, 0 if there is none.
func (k *keys) repeatOf(of subject) uint64 {
	if e := k.of[of]; e != nil && e.till > k.b.now {
		return e.id
	}
	return 0
}

// meet has a req that the module is about to hear of repeat what is remembered about the same.
func (k *keys) meet(r *req) {
	if r.ev.Subject != "" {
		r.fore = k.repeatOf(r.of)
		r.ev.RepeatOf = r.fore
	}
}

func (k *keys) remember(r *req, lifetime time.Duration) {
	if r.of.name == "" {
		return // nothing by which a repeat could be known
	}
	e := k.byID[r.id]
	if e == nil {
		k.drop(k.of[r.of])
		e = &entry{id: r.id, of: r.of}
		k.of[r.of], k.byID[r.id] = e, e
	}
	e.till = k.b.now + lifetime
}

func (k *keys) drop(e *entry) {
	if e != nil {
		k.kept -= len(e.result)
		delete(k.of, e.of)
		delete(k.byID, e.id)
	}
}

// join answers a repeat from its forerunner, now or when that ends.
func (k *keys) join(r *req) {
	if f := k.b.reqs[r.fore]; f != nil {
		r.at = joined
		f.joins = append(f.joins, r)
		return
	}
	if e := k.byID[r.fore]; e != nil && e.ended {
		k.b.ended(r, overload.OK, account.Repeated, 0, e.result)
		return
	}
	k.b.ended(r, overload.Errored, account.Forerunner, 0, nil)
}

// ended follows the end of a forerunner, also of one that never ran: a good result is kept, those that wait get
// the same.
func (k *keys) ended(f *req, how overload.Outcome, result []byte) {
	if e := k.byID[f.id]; e != nil {
		if how == overload.OK && float64(k.kept+len(result)) <= k.b.share(keptShare) {
			e.ended, e.result = true, append([]byte(nil), result...)
			k.kept += len(result)
		} else {
			k.drop(e)
		}
	}
	joins := f.joins
	f.joins = nil
	for _, r := range joins {
		if k.b.reqs[r.id] != r {
			continue // given up meanwhile
		}
		if how == overload.OK {
			k.b.ended(r, overload.OK, account.Repeated, 0, result)
		} else {
			k.b.ended(r, overload.Errored, account.Forerunner, 0, nil)
		}
	}
}

// tidy drops what has expired.
func (k *keys) tidy() {
	for _, e := range k.byID { // only removal: the order does not matter
		if e.till <= k.b.now {
			k.drop(e)
		}
	}
}
