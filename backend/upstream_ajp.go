package backend

import (
	"bytes"
	"cmp"
	"errors"
	"frosthub/internal/ajp"
	"frosthub/internal/conn"
	"frosthub/internal/invariant"
	"frosthub/loadbalance"
	"frosthub/overload"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	trustIdle = time.Second            // idle for longer a connection is asked whether anybody is there before a call
	pongWait  = 100 * time.Millisecond // for that answer: it needs no work
	peerIdle  = 30 * time.Second       // without a call a connection is closed
)

// AJPUpstreamConfig is a next tier of several servers that speak AJP. Without peers there is none.
type AJPUpstreamConfig struct {
	Balancer loadbalance.Config
	Secret   string // that each call brings; empty: none
}

// upstream makes calls. Which are made is the module's.
type upstream interface {
	reservedConns() int // connections it may hold
	invoke(r *request, after time.Duration)
	cancel(r *request) // gives up the call of a req, if there is one
	reconfigure(cfg *Config)
	onTimer()
	inFlight() int
	connections() int
}

// ajpUpstream makes calls over AJP to the peers that route picks. A call goes to another peer only where it is proved never to
// have run; one that may have run is the module's to make again.
type ajpUpstream struct {
	backend  *Backend
	balancer *loadbalance.Balancer
	pools    map[*loadbalance.Target]*connPool
	calls    map[uint64]*call
	open     int // connections, and those being dialled
}

// connPool is the connections to a peer.
type connPool struct {
	idle []*ajpConn // free ones, the last used at the end
}

// ajpConn is one connection to a peer.
type ajpConn struct {
	conn       *conn.Conn
	parser     *ajp.Client
	target     *loadbalance.Target
	call       *call         // in hand; nil idle
	pongBy     time.Duration // asked whether anybody is there, and waiting until then; 0 not
	unsentBody []byte        // of the body, still to be asked for
	usedAt     time.Duration
	sentMark   int // bytes that had left or waited before the call
}

var dontRetryName = []byte("X-Dont-Retry")

var errNoPong = errors.New("nobody answers there")

func newAJPUpstream(b *Backend) *ajpUpstream {
	p := &ajpUpstream{backend: b, pools: map[*loadbalance.Target]*connPool{}, calls: map[uint64]*call{}}
	cfg := b.cfg.AJPUpstream.Balancer
	cfg.Seed = b.cfg.Seed
	p.balancer = loadbalance.New(cfg)
	return p
}

func (u *ajpUpstream) reservedConns() int { return u.backend.maxUpstreamConns() }
func (u *ajpUpstream) inFlight() int      { return len(u.calls) }
func (u *ajpUpstream) connections() int   { return u.open }

func (u *ajpUpstream) invoke(r *request, after time.Duration) {
	k := u.backend.callStarted(r, after)
	u.calls[r.id] = k
	u.place(k)
}

// place has a peer picked for a call, and gives it a connection there.
func (u *ajpUpstream) place(k *call) {
	b := u.backend
	k.target = u.balancer.Pick(b.now, k.request.stickyRoute, k.tried...)
	if k.target == nil {
		u.end(k, cmp.Or(k.proved, overload.Overloaded))
		return
	}
	l := u.pool(k.target)
	if n := len(l.idle); n > 0 {
		w := l.idle[n-1]
		l.idle = l.idle[:n-1]
		u.give(w, k)
		return
	}
	if u.open >= u.reservedConns() && !u.closeOldest() {
		u.done(k, loadbalance.Abandoned)
		u.end(k, overload.Overloaded)
		return
	}
	u.open++
	at := k.target
	b.loop.Dial(at.Address, func(c *conn.Conn, err error) { u.dialled(at, k, c, err) })
}

func (u *ajpUpstream) pool(t *loadbalance.Target) *connPool {
	l := u.pools[t]
	if l == nil {
		l = &connPool{}
		u.pools[t] = l
	}
	return l
}

// closeOldest makes room by the connection that is idle for longest, and tells whether there is one.
func (u *ajpUpstream) closeOldest() bool {
	var oldest *ajpConn
	for _, l := range u.pools { // a minimum: among equals any will do
		if len(l.idle) > 0 && (oldest == nil || l.idle[0].usedAt < oldest.usedAt) {
			oldest = l.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	u.close(oldest)
	return true
}

func (u *ajpUpstream) dialled(at *loadbalance.Target, k *call, c *conn.Conn, err error) {
	b := u.backend
	waits := k.request.call == k && k.target == at && k.ajpConn == nil
	if err != nil {
		u.open--
		b.logLimited("next tier not reached", "peer", at.Address, "why", err)
		if waits {
			u.elsewhere(k, loadbalance.Fault, overload.NoConnection)
		}
		return
	}
	w := &ajpConn{conn: c, parser: ajp.NewClient(b.cfg.AJP.packet()), target: at, usedAt: b.now}
	c.MaxUnsent = maxUnsentCalls
	c.OnData = b.parseLogged("bad reply", func(text []byte) error {
		return w.parser.Feed(text, func(a ajp.Answer) { u.answer(w, a) })
	})
	c.OnClosed = func(error) { u.closed(w) }
	if !waits {
		u.free(w)
		return
	}
	u.give(w, k)
}

// give has a connection carry a call. Where it was idle, or its peer is in doubt, it is asked first whether anybody is there.
func (u *ajpUpstream) give(w *ajpConn, k *call) {
	b := u.backend
	w.call, k.ajpConn = k, w
	if b.now-w.usedAt < trustIdle && !w.target.NeedsHealthCheck() {
		u.send(w)
		return
	}
	w.pongBy = b.now + pongWait
	b.wakeBy(w.pongBy)
	b.scratch = ajp.AppendCPing(b.scratch[:0])
	w.conn.Write(b.scratch)
}

// done tells the router how a call ended at its peer, where it is no more.
func (u *ajpUpstream) done(k *call, how loadbalance.Outcome) {
	u.balancer.Done(u.backend.now, k.target, how)
	k.target, k.ajpConn = nil, nil
}

// elsewhere follows the proof that a call never ran at its peer: another may have it.
func (u *ajpUpstream) elsewhere(k *call, how loadbalance.Outcome, proved overload.Outcome) {
	k.tried, k.proved = append(k.tried, k.target), proved
	u.done(k, how)
	if u.backend.now >= k.deadline {
		u.end(k, proved)
		return
	}
	u.place(k)
}

// send writes the call of a connection.
func (u *ajpUpstream) send(w *ajpConn) {
	b, k := u.backend, w.call
	r := k.request
	w.pongBy, w.usedAt, w.sentMark = 0, b.now, w.conn.QueuedTotal()
	w.parser.Waiting = true
	left := max(1, (k.deadline - b.now).Milliseconds())
	f := ajp.Forward{Path: "/invoke/" + b.handlers[r.handler].name, Secret: b.cfg.AJPUpstream.Secret, Body: r.callBody, Fields: []ajp.Field{
		{Name: "X-Request-Id", Value: r.wireID},
		{Name: "X-Request-Start", Value: strconv.FormatInt(b.wall.Milliseconds(), 10)},
		{Name: "X-Timeout-Ms", Value: strconv.FormatInt(left, 10)},
		{Name: "X-Caller", Value: strconv.Itoa(r.arrival.Caller)},
		{Name: "X-Memory-Kb", Value: strconv.FormatFloat(r.arrival.Size, 'f', -1, 64)},
		{Name: "X-Rank", Value: strconv.FormatFloat(r.arrival.ValueRank, 'f', -1, 64)},
	}}
	most := b.cfg.AJP.packet()
	b.scratch = ajp.AppendForward(b.scratch[:0], &f, most)
	w.unsentBody = r.callBody[min(len(r.callBody), ajp.PartMost(most)):]
	w.conn.Write(b.scratch)
}

func (u *ajpUpstream) answer(w *ajpConn, a ajp.Answer) {
	b, k := u.backend, w.call
	switch a.Kind {
	case ajp.CPong:
		if w.pongBy > 0 {
			u.send(w)
		}
		return
	case ajp.Wants:
		if k != nil {
			b.scratch, w.unsentBody = ajp.AppendPart(b.scratch[:0], w.unsentBody, min(b.cfg.AJP.packet(), a.Room+ajp.PartAround))
			w.conn.Write(b.scratch)
		}
		return
	}
	if k == nil {
		return // given up: the connection is being closed
	}
	w.call, k.ajpConn, w.usedAt = nil, nil, b.now
	if a.Reuse {
		u.free(w)
	} else {
		u.close(w)
	}
	switch a.Status {
	case 200:
		u.done(k, loadbalance.Succeeded)
		b.processor.answer(k.request, a.Body)
		u.end(k, overload.OK)
	case 429, 503: // it never ran
		here := false
		a.Fields.Each(func(name, value []byte) {
			here = here || bytes.EqualFold(name, dontRetryName) && string(value) == "1"
		})
		if here {
			u.done(k, loadbalance.Overloaded)
			u.end(k, overload.Overloaded)
			return
		}
		u.elsewhere(k, loadbalance.Overloaded, overload.Overloaded)
	default:
		how := overload.Failed
		if a.Status == 504 {
			how = overload.TimedOut
		}
		u.done(k, loadbalance.Succeeded)
		u.end(k, how)
	}
}

// free has a connection wait for the next call.
func (u *ajpUpstream) free(w *ajpConn) {
	if w.target.Removed {
		u.close(w)
		return
	}
	l := u.pool(w.target)
	l.idle = append(l.idle, w)
}

// close ends a connection; what was in hand there is another's matter.
func (u *ajpUpstream) close(w *ajpConn) {
	if w.conn == nil {
		return
	}
	l := u.pool(w.target)
	l.idle = slices.DeleteFunc(l.idle, func(o *ajpConn) bool { return o == w })
	if w.target.Removed && len(l.idle) == 0 {
		delete(u.pools, w.target)
	}
	c := w.conn
	w.conn = nil
	u.open--
	c.CloseAfterSend(conn.ErrClosedLocally)
}

// closed follows the end of a connection. A call of which no byte had left, or that waited for a CPong, never ran; of
// another nothing is proved.
func (u *ajpUpstream) closed(w *ajpConn) {
	k, c := w.call, w.conn
	if c == nil {
		return // closed here
	}
	w.call = nil
	u.close(w)
	switch {
	case k == nil:
	case w.pongBy > 0 || c.SentTotal() <= w.sentMark:
		u.elsewhere(k, loadbalance.Fault, overload.NoConnection)
	default:
		u.done(k, loadbalance.Fault)
		u.end(k, overload.BrokenOff)
	}
}

func (u *ajpUpstream) end(k *call, how overload.Outcome) {
	invariant.Check(k.target == nil, "a call that ends is at no peer")
	delete(u.calls, k.request.id)
	k.request.call, k.request.state = nil, stateAwaitingCall
	u.backend.callEnded(k, how)
}

// drop takes a call from its peer, of which nothing is known, and ends its connection: AJP has no other abort.
func (u *ajpUpstream) drop(k *call, how loadbalance.Outcome) {
	w := k.ajpConn
	if k.target != nil {
		u.done(k, how)
	}
	if w != nil {
		w.call = nil
		u.close(w)
	}
}

func (u *ajpUpstream) cancel(r *request) {
	k := r.call
	if k == nil {
		return
	}
	u.drop(k, loadbalance.Abandoned)
	delete(u.calls, r.id)
	r.call, r.state = nil, stateAwaitingCall
}

// reconfigure has new calls go to other peers; what is in hand may finish.
func (u *ajpUpstream) reconfigure(cfg *Config) {
	r := cfg.AJPUpstream.Balancer
	r.Seed = u.backend.cfg.Seed
	u.balancer.Update(r)
	for t, l := range u.pools { // each alike
		if t.Removed {
			for len(l.idle) > 0 {
				u.close(l.idle[len(l.idle)-1])
			}
		}
	}
}

// onTimer gives up the calls whose time has passed, peers that do not answer CPing, and idle connections.
func (u *ajpUpstream) onTimer() {
	b := u.backend
	for _, id := range slices.Sorted(maps.Keys(u.calls)) {
		k := u.calls[id]
		if k == nil {
			continue // ended by one before it
		}
		switch w := k.ajpConn; {
		case b.now >= k.deadline+callGrace:
			how := loadbalance.TimedOut
			if w == nil || w.pongBy > 0 { // it never got that far
				how = loadbalance.Fault
			}
			u.drop(k, how)
			u.end(k, overload.TimedOut)
		case w != nil && w.pongBy > 0 && b.now >= w.pongBy:
			b.logLimited("next tier not reached", "peer", w.target.Address, "why", errNoPong)
			w.call = nil
			u.close(w)
			u.elsewhere(k, loadbalance.Fault, overload.NoConnection)
		default:
			b.wakeBy(k.deadline + callGrace)
			if w != nil && w.pongBy > 0 {
				b.wakeBy(w.pongBy)
			}
		}
	}
	for _, l := range u.pools { // each alike
		for len(l.idle) > 0 && b.now-l.idle[0].usedAt >= peerIdle {
			u.close(l.idle[0])
		}
	}
}
