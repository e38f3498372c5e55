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
	b     *Backend
	r     *loadbalance.Balancer
	pools map[*loadbalance.Target]*connPool
	calls map[uint64]*call
	wires int // connections, and those being dialled
}

// connPool is the connections to a peer.
type connPool struct {
	idle []*ajpConn // free ones, the last used at the end
}

// ajpConn is one connection to a peer.
type ajpConn struct {
	c    *conn.Conn
	p    *ajp.Client
	at   *loadbalance.Target
	k    *call         // in hand; nil idle
	pong time.Duration // asked whether anybody is there, and waiting until then; 0 not
	rest []byte        // of the body, still to be asked for
	used time.Duration
	sent int // bytes that had left or waited before the call
}

var dontRetryName = []byte("X-Dont-Retry")

var errNoPong = errors.New("nobody answers there")

func newAJPUpstream(b *Backend) *ajpUpstream {
	p := &ajpUpstream{b: b, pools: map[*loadbalance.Target]*connPool{}, calls: map[uint64]*call{}}
	cfg := b.cfg.AJPUpstream.Balancer
	cfg.Seed = b.cfg.Seed
	p.r = loadbalance.New(cfg)
	return p
}

func (p *ajpUpstream) reservedConns() int { return p.b.wireRoom() }
func (p *ajpUpstream) inFlight() int      { return len(p.calls) }
func (p *ajpUpstream) connections() int   { return p.wires }

func (p *ajpUpstream) invoke(r *request, after time.Duration) {
	k := p.b.callStarted(r, after)
	p.calls[r.id] = k
	p.place(k)
}

// place has a peer picked for a call, and gives it a connection there.
func (p *ajpUpstream) place(k *call) {
	b := p.b
	k.at = p.r.Pick(b.now, k.request.stickyRoute, k.tried...)
	if k.at == nil {
		p.end(k, cmp.Or(k.proved, overload.Overloaded))
		return
	}
	l := p.pool(k.at)
	if n := len(l.idle); n > 0 {
		w := l.idle[n-1]
		l.idle = l.idle[:n-1]
		p.give(w, k)
		return
	}
	if p.wires >= p.reservedConns() && !p.closeOldest() {
		p.done(k, loadbalance.Abandoned)
		p.end(k, overload.Overloaded)
		return
	}
	p.wires++
	at := k.at
	b.loop.Dial(at.Address, func(c *conn.Conn, err error) { p.dialled(at, k, c, err) })
}

func (p *ajpUpstream) pool(t *loadbalance.Target) *connPool {
	l := p.pools[t]
	if l == nil {
		l = &connPool{}
		p.pools[t] = l
	}
	return l
}

// closeOldest makes room by the connection that is idle for longest, and tells whether there is one.
func (p *ajpUpstream) closeOldest() bool {
	var oldest *ajpConn
	for _, l := range p.pools { // a minimum: among equals any will do
		if len(l.idle) > 0 && (oldest == nil || l.idle[0].used < oldest.used) {
			oldest = l.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.close(oldest)
	return true
}

func (p *ajpUpstream) dialled(at *loadbalance.Target, k *call, c *conn.Conn, err error) {
	b := p.b
	waits := k.request.call == k && k.at == at && k.ajpConn == nil
	if err != nil {
		p.wires--
		b.logLimited("next tier not reached", "peer", at.Address, "why", err)
		if waits {
			p.elsewhere(k, loadbalance.Fault, overload.NoConnection)
		}
		return
	}
	w := &ajpConn{c: c, p: ajp.NewClient(b.cfg.AJP.packet()), at: at, used: b.now}
	c.MaxUnsent = wireMost
	c.OnData = b.parseLogged("bad reply", func(text []byte) error {
		return w.p.Feed(text, func(a ajp.Reply) { p.answer(w, a) })
	})
	c.OnClosed = func(error) { p.closed(w) }
	if !waits {
		p.free(w)
		return
	}
	p.give(w, k)
}

// give has a connection carry a call. Where it was idle, or its peer is in doubt, it is asked first whether anybody is there.
func (p *ajpUpstream) give(w *ajpConn, k *call) {
	b := p.b
	w.k, k.ajpConn = k, w
	if b.now-w.used < trustIdle && !w.at.NeedsHealthCheck() {
		p.send(w)
		return
	}
	w.pong = b.now + pongWait
	b.wakeBy(w.pong)
	b.scratch = ajp.AppendCPing(b.scratch[:0])
	w.c.Write(b.scratch)
}

// done tells the router how a call ended at its peer, where it is no more.
func (p *ajpUpstream) done(k *call, how loadbalance.Outcome) {
	p.r.Done(p.b.now, k.at, how)
	k.at, k.ajpConn = nil, nil
}

// elsewhere follows the proof that a call never ran at its peer: another may have it.
func (p *ajpUpstream) elsewhere(k *call, how loadbalance.Outcome, proved overload.Outcome) {
	k.tried, k.proved = append(k.tried, k.at), proved
	p.done(k, how)
	if p.b.now >= k.deadline {
		p.end(k, proved)
		return
	}
	p.place(k)
}

// send writes the call of a connection.
func (p *ajpUpstream) send(w *ajpConn) {
	b, k := p.b, w.k
	r := k.request
	w.pong, w.used, w.sent = 0, b.now, w.c.QueuedTotal()
	w.p.AwaitingResponse = true
	left := max(1, (k.deadline - b.now).Milliseconds())
	f := ajp.ForwardRequest{Path: "/invoke/" + b.handlers[r.handler].name, Secret: b.cfg.AJPUpstream.Secret, Body: r.callBody, Headers: []ajp.Header{
		{Name: "X-Request-Id", Value: r.wireID},
		{Name: "X-Request-Start", Value: strconv.FormatInt(b.wall.Milliseconds(), 10)},
		{Name: "X-Timeout-Ms", Value: strconv.FormatInt(left, 10)},
		{Name: "X-Caller", Value: strconv.Itoa(r.arrival.Caller)},
		{Name: "X-Memory-Kb", Value: strconv.FormatFloat(r.arrival.Size, 'f', -1, 64)},
		{Name: "X-Rank", Value: strconv.FormatFloat(r.arrival.ValueRank, 'f', -1, 64)},
	}}
	most := b.cfg.AJP.packet()
	b.scratch = ajp.AppendForward(b.scratch[:0], &f, most)
	w.rest = r.callBody[min(len(r.callBody), ajp.MaxBodyChunk(most)):]
	w.c.Write(b.scratch)
}

func (p *ajpUpstream) answer(w *ajpConn, a ajp.Reply) {
	b, k := p.b, w.k
	switch a.Kind {
	case ajp.CPong:
		if w.pong > 0 {
			p.send(w)
		}
		return
	case ajp.GetBodyChunk:
		if k != nil {
			b.scratch, w.rest = ajp.AppendBodyChunk(b.scratch[:0], w.rest, min(b.cfg.AJP.packet(), a.MaxLength+ajp.BodyChunkOverhead))
			w.c.Write(b.scratch)
		}
		return
	}
	if k == nil {
		return // given up: the connection is being closed
	}
	w.k, k.ajpConn, w.used = nil, nil, b.now
	if a.Reuse {
		p.free(w)
	} else {
		p.close(w)
	}
	switch a.Status {
	case 200:
		p.done(k, loadbalance.Succeeded)
		b.processor.answer(k.request, a.Body)
		p.end(k, overload.OK)
	case 429, 503: // it never ran
		here := false
		a.Headers.Each(func(name, value []byte) {
			here = here || bytes.EqualFold(name, dontRetryName) && string(value) == "1"
		})
		if here {
			p.done(k, loadbalance.Overloaded)
			p.end(k, overload.Overloaded)
			return
		}
		p.elsewhere(k, loadbalance.Overloaded, overload.Overloaded)
	default:
		how := overload.Failed
		if a.Status == 504 {
			how = overload.TimedOut
		}
		p.done(k, loadbalance.Succeeded)
		p.end(k, how)
	}
}

// free has a connection wait for the next call.
func (p *ajpUpstream) free(w *ajpConn) {
	if w.at.Removed {
		p.close(w)
		return
	}
	l := p.pool(w.at)
	l.idle = append(l.idle, w)
}

// close ends a connection; what was in hand there is another's matter.
func (p *ajpUpstream) close(w *ajpConn) {
	if w.c == nil {
		return
	}
	l := p.pool(w.at)
	l.idle = slices.DeleteFunc(l.idle, func(o *ajpConn) bool { return o == w })
	if w.at.Removed && len(l.idle) == 0 {
		delete(p.pools, w.at)
	}
	c := w.c
	w.c = nil
	p.wires--
	c.CloseAfterSend(conn.ErrClosedLocally)
}

// closed follows the end of a connection. A call of which no byte had left, or that waited for a CPong, never ran; of
// another nothing is proved.
func (p *ajpUpstream) closed(w *ajpConn) {
	k, c := w.k, w.c
	if c == nil {
		return // closed here
	}
	w.k = nil
	p.close(w)
	switch {
	case k == nil:
	case w.pong > 0 || c.SentTotal() <= w.sent:
		p.elsewhere(k, loadbalance.Fault, overload.NoConnection)
	default:
		p.done(k, loadbalance.Fault)
		p.end(k, overload.BrokenOff)
	}
}

func (p *ajpUpstream) end(k *call, how overload.Outcome) {
	invariant.Check(k.at == nil, "a call that ends is at no peer")
	delete(p.calls, k.request.id)
	k.request.call, k.request.state = nil, stateAwaitingCall
	p.b.callEnded(k, how)
}

// drop takes a call from its peer, of which nothing is known, and ends its connection: AJP has no other abort.
func (p *ajpUpstream) drop(k *call, how loadbalance.Outcome) {
	w := k.ajpConn
	if k.at != nil {
		p.done(k, how)
	}
	if w != nil {
		w.k = nil
		p.close(w)
	}
}

func (p *ajpUpstream) cancel(r *request) {
	k := r.call
	if k == nil {
		return
	}
	p.drop(k, loadbalance.Abandoned)
	delete(p.calls, r.id)
	r.call, r.state = nil, stateAwaitingCall
}

// reconfigure has new calls go to other peers; what is in hand may finish.
func (p *ajpUpstream) reconfigure(cfg *Config) {
	r := cfg.AJPUpstream.Balancer
	r.Seed = p.b.cfg.Seed
	p.r.Update(r)
	for t, l := range p.pools { // each alike
		if t.Removed {
			for len(l.idle) > 0 {
				p.close(l.idle[len(l.idle)-1])
			}
		}
	}
}

// onTimer gives up the calls whose time has passed, peers that do not answer CPing, and idle connections.
func (p *ajpUpstream) onTimer() {
	b := p.b
	for _, id := range slices.Sorted(maps.Keys(p.calls)) {
		k := p.calls[id]
		if k == nil {
			continue // ended by one before it
		}
		switch w := k.ajpConn; {
		case b.now >= k.deadline+callGrace:
			how := loadbalance.TimedOut
			if w == nil || w.pong > 0 { // it never got that far
				how = loadbalance.Fault
			}
			p.drop(k, how)
			p.end(k, overload.TimedOut)
		case w != nil && w.pong > 0 && b.now >= w.pong:
			b.logLimited("next tier not reached", "peer", w.at.Address, "why", errNoPong)
			w.k = nil
			p.close(w)
			p.elsewhere(k, loadbalance.Fault, overload.NoConnection)
		default:
			b.wakeBy(k.deadline + callGrace)
			if w != nil && w.pong > 0 {
				b.wakeBy(w.pong)
			}
		}
	}
	for _, l := range p.pools { // each alike
		for len(l.idle) > 0 && b.now-l.idle[0].used >= peerIdle {
			p.close(l.idle[0])
		}
	}
}
