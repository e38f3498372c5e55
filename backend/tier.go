package backend

import (
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/nexttier"
	"frosthub/overload"
)

const (
	callGrace = 20 * time.Millisecond // past a call's time-out: the far side should say so first
	tierIdle  = 8 * time.Second       // the far side closes at 10 s: closing first, no call meets that
	tierMost  = 4 << 20               // bytes of calls that may wait
)

// tier is the connection to the next tier.
type tier struct {
	b       *Backend
	c       *conn.Conn
	dialing bool
	calls   map[uint64]*call
	used    time.Duration
}

// call is a call in hand.
type call struct {
	r     *req
	began time.Duration
	till  time.Duration
	sent  bool
}

func (t *tier) init(b *Backend) { t.b, t.calls = b, map[uint64]*call{} }

func (t *tier) invoke(r *req, after time.Duration) {
	b := t.b
	b.count.Calls++
	k := &call{r: r, began: b.now, till: b.now + after}
	r.at, r.call = calling, k
	t.calls[r.id] = k
	t.used = b.now
	if b.cfg.NextTier == "" {
		t.end(k, overload.NoConnection)
		return
	}
	if t.c != nil {
		t.send(k)
	} else if !t.dialing {
		t.dialing = true
		b.box.Dial(b.cfg.NextTier, t.dialled)
	}
}

func (t *tier) send(k *call) {
	b := t.b
	k.sent = true
	b.scratch = nexttier.AppendInvoke(b.scratch[:0], k.r.name, k.till-b.now, k.r.ask)
	t.c.Write(b.scratch)
}

func (t *tier) dialled(c *conn.Conn, err error) {
	b := t.b
	t.dialing = false
	if err != nil {
		b.note("next tier not reached", "why", err)
		t.endAll(overload.NoConnection)
		return
	}
	t.c, t.used = c, b.now
	c.Most = tierMost
	c.Data = b.noting("bad reply", nexttier.NewParser(t.reply).Feed)
	c.Closed = func(err error) {
		if t.c != c {
			return
		}
		t.c = nil
		t.endAll(overload.BrokenOff)
	}
	for _, r := range b.known() {
		if k := r.call; k != nil && !k.sent {
			t.send(k)
		}
	}
}

// endAll ends the calls of a connection that is no more; what was never sent never ran.
func (t *tier) endAll(how overload.Outcome) {
	for _, r := range t.b.known() {
		if k := r.call; k != nil {
			if !k.sent {
				t.end(k, overload.NoConnection)
			} else {
				t.end(k, how)
			}
		}
	}
}

func (t *tier) reply(p nexttier.Reply) {
	t.used = t.b.now
	k := t.calls[p.ID]
	if k == nil {
		return // given up
	}
	if p.Outcome == overload.OK {
		t.b.link.answer(k.r, p.Body)
	}
	t.end(k, p.Outcome)
}

func (t *tier) end(k *call, how overload.Outcome) {
	b := t.b
	r := k.r
	delete(t.calls, r.id)
	r.call = nil
	if how == overload.OK {
		b.count.CallsOK++
		r.at = running
	} else {
		b.count.CallsFailed++
		r.at = asking
	}
	b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: how, Took: b.now - k.began})
}

// cancel gives up the call of a req, if there is one.
func (t *tier) cancel(r *req) {
	k := r.call
	if k == nil {
		return
	}
	delete(t.calls, r.id)
	r.call, r.at = nil, asking
	if k.sent && t.c != nil {
		t.b.scratch = nexttier.AppendCancel(t.b.scratch[:0], r.name)
		t.c.Write(t.b.scratch)
	}
}

// timeOut gives up the calls whose time has passed.
func (t *tier) timeOut() {
	for _, r := range t.b.known() {
		if k := r.call; k != nil && t.b.now >= k.till+callGrace {
			t.cancel(r)
			t.end(k, overload.TimedOut)
		}
	}
}

func (t *tier) lookAtTime() {
	b := t.b
	if len(t.calls) > 0 {
		due := false
		for _, k := range t.calls { // a minimum: the order does not matter
			b.at(k.till + callGrace)
			due = due || b.now >= k.till+callGrace
		}
		if due {
			t.timeOut()
		}
		return
	}
	if t.c != nil {
		if b.now-t.used >= tierIdle {
			c := t.c
			t.c = nil
			c.Close(conn.ErrDone)
			return
		}
		b.at(t.used + tierIdle)
	}
}
