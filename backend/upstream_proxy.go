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
	callGrace         = 20 * time.Millisecond   // past a call's time-out: the far side should say so first
	upstreamMaxIdle   = time.Second             // the far side closes idle ones at 10 s, some far sooner: it goes first
	idleCut           = 0.25                    // of the idle time after which the far side had forgotten a connection
	atOnce            = 2 * time.Millisecond    // a connection that breaks so soon was dead before: no call takes so little
	upstreamConnShare = 0.125                   // of the descriptors, for connections to the next tier
	maxUnsentCalls    = 256 << 10               // bytes of calls that may wait on a connection
	linkFinish        = 1400 * time.Millisecond // for what is in hand on connections to addresses that are no more: they
	// are closed there after 1.5 s
)

// proxyUpstream makes calls to the next tier. As long as there is room for more connections each carries one call at a
// time: a spoilt reply, a reset or a reply that never comes then costs that call alone. What is in doubt is not
// used again. Covers any far side that breaks in one call; where it is sound it costs descriptors.
type proxyUpstream struct {
	backend *Backend
	address string
	maxIdle time.Duration // idle for so long a connection is still used: less once the far side forgot one sooner
	conns   map[*proxyConn]struct{}
	idle    []*proxyConn // free ones, the last used at the end
	queue   []*call      // wait for a connection, in order
	dialing int          // for those in the queue
	calls   map[uint64]*call
}

// proxyConn is one connection to the next tier.
type proxyConn struct {
	conn        *conn.Conn
	calls       map[uint64]*call // in hand on it
	lastRequest uint64           // whose call it carried last: a second copy of that reply may follow
	usedAt      time.Duration
	retired     bool          // takes no more calls
	closeAt     time.Duration // closed then whatever is in hand; 0 not
}

// call is a call in hand.
type call struct {
	request   *request
	proxyConn *proxyConn // nil while it waits for one
	startedAt time.Duration
	deadline  time.Duration
	sentAt    time.Duration // when it was written
	connIdle  time.Duration // of the connection before
	sentMark  int           // bytes written there before

	target  *loadbalance.Target   // over AJP: its peer
	ajpConn *ajpConn              // and its connection; nil while that is dialled
	tried   []*loadbalance.Target // peers at which it is proved never to have run
	proved  overload.Outcome      // and what the last of them proved
}

func newProxyUpstream(b *Backend) *proxyUpstream {
	return &proxyUpstream{backend: b, address: b.cfg.Upstream, maxIdle: upstreamMaxIdle, conns: map[*proxyConn]struct{}{}, calls: map[uint64]*call{}}
}

// reservedConns is how many connections it may hold.
func (u *proxyUpstream) reservedConns() int { return u.backend.maxUpstreamConns() }

func (u *proxyUpstream) invoke(r *request, after time.Duration) {
	k := u.backend.callStarted(r, after)
	u.calls[r.id] = k
	if u.address == "" {
		u.end(k, overload.NoConnection)
		return
	}
	u.place(k)
}

// place gives a call a connection: a free one, a new one, or where there is no room for more the one with the
// fewest calls.
func (u *proxyUpstream) place(k *call) {
	b := u.backend
	for i := len(u.idle) - 1; i >= 0; i-- {
		w := u.idle[i]
		if w.lastRequest != k.request.id && b.now-w.usedAt < u.maxIdle {
			u.send(w, k)
			return
		}
	}
	if len(u.conns)+u.dialing < u.reservedConns() {
		u.queue = append(u.queue, k)
		u.dial()
		return
	}
	var least *proxyConn
	for w := range u.conns { // a minimum of one kind: which of its equals does not matter
		if !w.retired && w.lastRequest != k.request.id && (least == nil || len(w.calls) < len(least.calls)) {
			least = w
		}
	}
	if least == nil {
		u.queue = append(u.queue, k) // all are being dialled or in doubt
		return
	}
	u.send(least, k)
}

func (u *proxyUpstream) dial() {
	u.dialing++
	address := u.address
	u.backend.loop.Dial(address, func(c *conn.Conn, err error) { u.dialled(address, c, err) })
}

// dialMore dials where more wait than are dialled for.
func (u *proxyUpstream) dialMore() {
	if len(u.queue) > u.dialing {
		u.dial()
	}
}

func (u *proxyUpstream) dialled(address string, c *conn.Conn, err error) {
	b := u.backend
	u.dialing--
	if address != u.address { // replaced meanwhile
		if err == nil {
			c.CloseAfterSend(conn.ErrClosedLocally)
		}
		u.dialMore()
		return
	}
	if err != nil {
		b.logLimited("next tier not reached", "why", err)
		if !errors.Is(err, conn.ErrDialTimeout) { // else its calls may wait for another dial as long as they last
			if k := u.first(); k != nil {
				u.end(k, overload.NoConnection)
			}
		}
		u.dialMore()
		return
	}
	w := &proxyConn{conn: c, calls: map[uint64]*call{}, usedAt: b.now}
	u.conns[w] = struct{}{}
	c.MaxUnsent = maxUnsentCalls
	c.OnData = b.parseLogged("bad reply", upstreamproto.NewParser(func(p upstreamproto.Reply) { u.reply(w, p) }).Feed)
	c.OnClosed = func(error) { u.closed(w) }
	u.free(w)
}

// first takes the first of the queue that still waits.
func (u *proxyUpstream) first() *call {
	for len(u.queue) > 0 {
		k := u.queue[0]
		u.queue = u.queue[1:]
		if k.request.call == k {
			return k
		}
	}
	return nil
}

// free has a connection without calls take the next, or wait for one.
func (u *proxyUpstream) free(w *proxyConn) {
	if w.retired {
		u.close(w)
		return
	}
	if k := u.first(); k != nil {
		u.send(w, k)
		return
	}
	u.idle = append(u.idle, w)
}

func (u *proxyUpstream) send(w *proxyConn, k *call) {
	b := u.backend
	u.notIdle(w)
	k.sentAt, k.connIdle, k.sentMark = b.now, b.now-w.usedAt, w.conn.QueuedTotal()
	k.proxyConn, w.lastRequest, w.usedAt = w, k.request.id, b.now
	w.calls[k.request.id] = k
	b.scratch = upstreamproto.AppendInvoke(b.scratch[:0], k.request.wireID, k.deadline-b.now, k.request.callBody)
	w.conn.Write(b.scratch)
}

func (u *proxyUpstream) reply(w *proxyConn, p upstreamproto.Reply) {
	k := w.calls[p.ID]
	if k == nil {
		return // given up, a second copy, or none of ours
	}
	w.usedAt = u.backend.now
	if p.Outcome == overload.OK {
		u.backend.processor.answer(k.request, p.Body)
	}
	u.end(k, p.Outcome)
	if len(w.calls) == 0 {
		u.free(w)
	}
}

// closed follows the end of a connection. A call of which no byte had left never ran and goes elsewhere; of the
// others nothing is proved. One that broke at once after a while of idleness had been forgotten by the far side: such
// connections are let go sooner from then on, as a new one costs less than a call. Harm: more dials.
func (u *proxyUpstream) closed(w *proxyConn) {
	u.forget(w)
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		k := w.calls[id]
		if w.conn.SentTotal() <= k.sentMark {
			delete(w.calls, id)
			k.proxyConn = nil
			u.place(k)
			continue
		}
		if k.sentMark > 0 && u.backend.now-k.sentAt <= atOnce {
			u.maxIdle = min(u.maxIdle, time.Duration(idleCut*float64(k.connIdle)))
		}
		u.end(k, overload.BrokenOff)
	}
	u.dialMore()
}

func (u *proxyUpstream) forget(w *proxyConn) {
	w.retired = true
	delete(u.conns, w)
	u.notIdle(w)
}

func (u *proxyUpstream) notIdle(w *proxyConn) {
	u.idle = slices.DeleteFunc(u.idle, func(o *proxyConn) bool { return o == w })
}

// close ends a connection; what is in hand there is given up by it.
func (u *proxyUpstream) close(w *proxyConn) {
	u.forget(w)
	if len(w.calls) > 0 {
		w.conn.Abort(conn.ErrClosedLocally)
	} else {
		w.conn.CloseAfterSend(conn.ErrClosedLocally)
	}
}

func (u *proxyUpstream) end(k *call, how overload.Outcome) {
	b := u.backend
	u.letGo(k)
	b.callEnded(k, how)
}

// maxUpstreamConns is how many connections to the next tier there may be.
func (b *Backend) maxUpstreamConns() int {
	return max(1, int(upstreamConnShare*float64(b.cfg.Limits.Sockets)))
}

// callStarted has the run of a req wait for a call.
func (b *Backend) callStarted(r *request, after time.Duration) *call {
	b.stats.Calls++
	k := &call{request: r, startedAt: b.now, deadline: b.now + after}
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
	b.events = append(b.events, overload.Event{Kind: overload.CallEnded, ID: r.id, Outcome: how, Took: b.now - k.startedAt})
}

func (u *proxyUpstream) letGo(k *call) {
	delete(u.calls, k.request.id)
	if k.proxyConn != nil {
		delete(k.proxyConn.calls, k.request.id)
	}
	k.request.call, k.request.state = nil, stateAwaitingCall
}

// cancel gives up the call of a req, if there is one. Its reply may be under way or never come, so its
// connection takes no more.
func (u *proxyUpstream) cancel(r *request) {
	k := r.call
	if k == nil {
		return
	}
	u.letGo(k)
	w := k.proxyConn
	if w == nil {
		return
	}
	w.retired = true
	u.backend.scratch = upstreamproto.AppendCancel(u.backend.scratch[:0], r.wireID)
	w.conn.Write(u.backend.scratch)
	if len(w.calls) == 0 {
		u.forget(w)
		w.conn.CloseAfterSend(conn.ErrClosedLocally)
	}
}

func (u *proxyUpstream) inFlight() int    { return len(u.calls) }
func (u *proxyUpstream) connections() int { return len(u.conns) }

// reconfigure has new calls go to another address; what is in hand may finish.
func (u *proxyUpstream) reconfigure(cfg *Config) {
	address := cfg.Upstream
	if address == u.address {
		return
	}
	u.address, u.maxIdle = address, upstreamMaxIdle
	for address == "" && len(u.queue) > 0 {
		if k := u.first(); k != nil {
			u.end(k, overload.NoConnection)
		}
	}
	for w := range u.conns { // each alike
		if w.retired = true; w.closeAt == 0 {
			w.closeAt = u.backend.now + linkFinish
		}
		if len(w.calls) == 0 {
			u.close(w)
		}
	}
}

// onTimer gives up the calls whose time has passed and closes connections that are idle or out of time.
func (u *proxyUpstream) onTimer() {
	b := u.backend
	var late []uint64
	for id, k := range u.calls {
		if due := k.deadline + callGrace; b.now >= due {
			late = append(late, id)
		} else {
			b.wakeBy(due)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		k := u.calls[id]
		how := overload.TimedOut
		if k.proxyConn == nil {
			how = overload.NoConnection // it never left
		}
		u.cancel(k.request)
		u.end(k, how)
	}
	for len(u.idle) > 0 && b.now-u.idle[0].usedAt >= u.maxIdle {
		u.close(u.idle[0])
	}
	if len(u.idle) > 0 {
		b.wakeBy(u.idle[0].usedAt + u.maxIdle)
	}
	for w := range u.conns { // each alike
		if w.closeAt > 0 && b.now >= w.closeAt {
			u.close(w)
		} else if w.closeAt > 0 {
			b.wakeBy(w.closeAt)
		}
	}
}
