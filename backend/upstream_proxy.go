package backend

import (
	"errors"
	"frosthub/internal/conn"
	"frosthub/internal/upstreamproto"
	"frosthub/lifecycle"
	"frosthub/loadbalance"
	"frosthub/overload"
	"maps"
	"slices"
	"time"
)

const (
	callGrace  = 20 * time.Millisecond   // past a call's time-out: the far side should say so first
	wireIdle   = time.Second             // the far side closes idle ones at 10 s, some far sooner: it goes first
	idleCut    = 0.25                    // of the idle time after which the far side had forgotten a connection
	atOnce     = 2 * time.Millisecond    // a connection that breaks so soon was dead before: no call takes so little
	wireShare  = 0.125                   // of the descriptors, for connections to the next tier
	wireMost   = 256 << 10               // bytes of calls that may wait on a connection
	linkFinish = 1400 * time.Millisecond // for what is in hand on connections to addresses that are no more: they
	// are closed there after 1.5 s
)

// proxyUpstream makes calls to the next tier. As long as there is room for more connections each carries one call at a
// time: a spoilt reply, a reset or a reply that never comes then costs that call alone. What is in doubt is not
// used again. Covers any far side that breaks in one call; where it is sound it costs descriptors.
type proxyUpstream struct {
	b       *Backend
	address string
	safe    time.Duration // idle for so long a connection is still used: less once the far side forgot one sooner
	wires   map[*proxyConn]struct{}
	idle    []*proxyConn // free ones, the last used at the end
	queue   []*call      // wait for a connection, in order
	dialing int          // for those in the queue
	calls   map[uint64]*call
}

// proxyConn is one connection to the next tier.
type proxyConn struct {
	c      *conn.Conn
	calls  map[uint64]*call // in hand on it
	last   uint64           // whose call it carried last: a second copy of that reply may follow
	used   time.Duration
	doubt  bool          // takes no more calls
	finish time.Duration // closed then whatever is in hand; 0 not
}

// call is a call in hand.
type call struct {
	request   *request
	proxyConn *proxyConn // nil while it waits for one
	began     time.Duration
	deadline  time.Duration
	sent      time.Duration // when it was written
	idle      time.Duration // of the connection before
	mark      int           // bytes written there before

	at      *loadbalance.Target   // over AJP: its peer
	ajpConn *ajpConn              // and its connection; nil while that is dialled
	tried   []*loadbalance.Target // peers at which it is proved never to have run
	proved  overload.Outcome      // and what the last of them proved
}

func newProxyUpstream(b *Backend) *proxyUpstream {
	return &proxyUpstream{b: b, address: b.cfg.Upstream, safe: wireIdle, wires: map[*proxyConn]struct{}{}, calls: map[uint64]*call{}}
}

// reservedConns is how many connections it may hold.
func (t *proxyUpstream) reservedConns() int { return t.b.wireRoom() }

func (t *proxyUpstream) invoke(r *request, after time.Duration) {
	k := t.b.callStarted(r, after)
	t.calls[r.id] = k
	if t.address == "" {
		t.end(k, overload.NoConnection)
		return
	}
	t.place(k)
}

// place gives a call a connection: a free one, a new one, or where there is no room for more the one with the
// fewest calls.
func (t *proxyUpstream) place(k *call) {
	b := t.b
	for i := len(t.idle) - 1; i >= 0; i-- {
		w := t.idle[i]
		if w.last != k.request.id && b.now-w.used < t.safe {
			t.send(w, k)
			return
		}
	}
	if len(t.wires)+t.dialing < t.reservedConns() {
		t.queue = append(t.queue, k)
		t.dial()
		return
	}
	var least *proxyConn
	for w := range t.wires { // a minimum of one kind: which of its equals does not matter
		if !w.doubt && w.last != k.request.id && (least == nil || len(w.calls) < len(least.calls)) {
			least = w
		}
	}
	if least == nil {
		t.queue = append(t.queue, k) // all are being dialled or in doubt
		return
	}
	t.send(least, k)
}

func (t *proxyUpstream) dial() {
	t.dialing++
	address := t.address
	t.b.loop.Dial(address, func(c *conn.Conn, err error) { t.dialled(address, c, err) })
}

// dialMore dials where more wait than are dialled for.
func (t *proxyUpstream) dialMore() {
	if len(t.queue) > t.dialing {
		t.dial()
	}
}

func (t *proxyUpstream) dialled(address string, c *conn.Conn, err error) {
	b := t.b
	t.dialing--
	if address != t.address { // replaced meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
		t.dialMore()
		return
	}
	if err != nil {
		b.logLimited("next tier not reached", "why", err)
		if !errors.Is(err, conn.ErrDialTimeout) { // else its calls may wait for another dial as long as they last
			if k := t.first(); k != nil {
				t.end(k, overload.NoConnection)
			}
		}
		t.dialMore()
		return
	}
	w := &proxyConn{c: c, calls: map[uint64]*call{}, used: b.now}
	t.wires[w] = struct{}{}
	c.MaxUnsent = wireMost
	c.OnData = b.parseLogged("bad reply", upstreamproto.NewParser(func(p upstreamproto.Reply) { t.reply(w, p) }).Feed)
	c.OnClosed = func(error) { t.closed(w) }
	t.free(w)
}

// first takes the first of the queue that still waits.
func (t *proxyUpstream) first() *call {
	for len(t.queue) > 0 {
		k := t.queue[0]
		t.queue = t.queue[1:]
		if k.request.call == k {
			return k
		}
	}
	return nil
}

// free has a connection without calls take the next, or wait for one.
func (t *proxyUpstream) free(w *proxyConn) {
	if w.doubt {
		t.close(w)
		return
	}
	if k := t.first(); k != nil {
		t.send(w, k)
		return
	}
	t.idle = append(t.idle, w)
}

func (t *proxyUpstream) send(w *proxyConn, k *call) {
	b := t.b
	t.notIdle(w)
	k.sent, k.idle, k.mark = b.now, b.now-w.used, w.c.QueuedTotal()
	k.proxyConn, w.last, w.used = w, k.request.id, b.now
	w.calls[k.request.id] = k
	b.scratch = upstreamproto.AppendInvoke(b.scratch[:0], k.request.wireID, k.deadline-b.now, k.request.callBody)
	w.c.Write(b.scratch)
}

func (t *proxyUpstream) reply(w *proxyConn, p upstreamproto.Reply) {
	k := w.calls[p.ID]
	if k == nil {
		return // given up, a second copy, or none of ours
	}
	w.used = t.b.now
	if p.Outcome == overload.OK {
		t.b.processor.answer(k.request, p.Body)
	}
	t.end(k, p.Outcome)
	if len(w.calls) == 0 {
		t.free(w)
	}
}

// closed follows the end of a connection. A call of which no byte had left never ran and goes elsewhere; of the
// others nothing is proved. One that broke at once after a while of idleness had been forgotten by the far side: such
// connections are let go sooner from then on, as a new one costs less than a call. Harm: more dials.
func (t *proxyUpstream) closed(w *proxyConn) {
	t.forget(w)
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		k := w.calls[id]
		if w.c.SentTotal() <= k.mark {
			delete(w.calls, id)
			k.proxyConn = nil
			t.place(k)
			continue
		}
		if k.mark > 0 && t.b.now-k.sent <= atOnce {
			t.safe = min(t.safe, time.Duration(idleCut*float64(k.idle)))
		}
		t.end(k, overload.BrokenOff)
	}
	t.dialMore()
}

func (t *proxyUpstream) forget(w *proxyConn) {
	w.doubt = true
	delete(t.wires, w)
	t.notIdle(w)
}

func (t *proxyUpstream) notIdle(w *proxyConn) {
	t.idle = slices.DeleteFunc(t.idle, func(o *proxyConn) bool { return o == w })
}

// close ends a connection; what is in hand there is given up by it.
func (t *proxyUpstream) close(w *proxyConn) {
	t.forget(w)
	if len(w.calls) > 0 {
		w.c.Abort(conn.ErrClosedLocally)
	} else {
		w.c.CloseAfterSend(conn.ErrClosedLocally)
	}
}

func (t *proxyUpstream) end(k *call, how overload.Outcome) {
	b := t.b
	t.letGo(k)
	b.callEnded(k, how)
}

// wireRoom is how many connections to the next tier there may be.
func (b *Backend) wireRoom() int { return max(1, int(wireShare*float64(b.cfg.Limits.Sockets))) }

// callStarted has the run of a req wait for a call.
func (b *Backend) callStarted(r *request, after time.Duration) *call {
	b.stats.Calls++
	k := &call{request: r, began: b.now, deadline: b.now + after}
	r.state, r.call = stateCalling, k
	return k
}

// call makes the call of a req, if it may be made: one that was made before and may have had its effect is not made again where that does harm.
func (b *Backend) call(r *request, after time.Duration) {
	again := lifecycle.Command{Repeatable: b.handlers[r.handler].replayable, NeverRan: !r.callOutcomeUnknown, Wanted: b.isWanted(r)}
	if v := lifecycle.Repeat(again); v != lifecycle.Allowed {
		b.recordViolation("call", r, v)
		b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: overload.NoConnection})
		return
	}
	b.upstream.invoke(r, after)
}

// callEnded tells the module of the end of a call.
func (b *Backend) callEnded(k *call, how overload.Outcome) {
	r := k.request
	r.callFailed = how != overload.OK
	r.callOutcomeUnknown = how != overload.OK && how != overload.Overloaded && how != overload.NeverRan && how != overload.NoConnection
	if how == overload.OK {
		b.stats.CallsOK++
		r.state = stateRunning
	} else {
		b.stats.CallsFailed++
	}
	b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: how, Took: b.now - k.began})
}

func (t *proxyUpstream) letGo(k *call) {
	delete(t.calls, k.request.id)
	if k.proxyConn != nil {
		delete(k.proxyConn.calls, k.request.id)
	}
	k.request.call, k.request.state = nil, stateAwaitingCall
}

// cancel gives up the call of a req, if there is one. Its reply may be under way or never come, so its
// connection takes no more.
func (t *proxyUpstream) cancel(r *request) {
	k := r.call
	if k == nil {
		return
	}
	t.letGo(k)
	w := k.proxyConn
	if w == nil {
		return
	}
	w.doubt = true
	t.b.scratch = upstreamproto.AppendCancel(t.b.scratch[:0], r.wireID)
	w.c.Write(t.b.scratch)
	if len(w.calls) == 0 {
		t.forget(w)
		w.c.CloseAfterSend(conn.ErrClosedLocally)
	}
}

func (t *proxyUpstream) inFlight() int    { return len(t.calls) }
func (t *proxyUpstream) connections() int { return len(t.wires) }

// reconfigure has new calls go to another address; what is in hand may finish.
func (t *proxyUpstream) reconfigure(cfg *Config) {
	address := cfg.Upstream
	if address == t.address {
		return
	}
	t.address, t.safe = address, wireIdle
	for address == "" && len(t.queue) > 0 {
		if k := t.first(); k != nil {
			t.end(k, overload.NoConnection)
		}
	}
	for w := range t.wires { // each alike
		if w.doubt = true; w.finish == 0 {
			w.finish = t.b.now + linkFinish
		}
		if len(w.calls) == 0 {
			t.close(w)
		}
	}
}

// onTimer gives up the calls whose time has passed and closes connections that are idle or out of time.
func (t *proxyUpstream) onTimer() {
	b := t.b
	var late []uint64
	for id, k := range t.calls {
		if due := k.deadline + callGrace; b.now >= due {
			late = append(late, id)
		} else {
			b.wakeBy(due)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		k := t.calls[id]
		how := overload.TimedOut
		if k.proxyConn == nil {
			how = overload.NoConnection // it never left
		}
		t.cancel(k.request)
		t.end(k, how)
	}
	for len(t.idle) > 0 && b.now-t.idle[0].used >= t.safe {
		t.close(t.idle[0])
	}
	if len(t.idle) > 0 {
		b.wakeBy(t.idle[0].used + t.safe)
	}
	for w := range t.wires { // each alike
		if w.finish > 0 && b.now >= w.finish {
			t.close(w)
		} else if w.finish > 0 {
			b.wakeBy(w.finish)
		}
	}
}
