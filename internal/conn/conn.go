// Package conn puts connections of netpoll before one owner: an object with callbacks, a ring each way.
// Netpoll's goroutines only copy what was read into a ring and queue the connection; all callbacks run on the
// owner, from Turn. What the owner writes goes out once a turn, by Flush, which never waits: netpoll's own
// flush waits for the peer, so the descriptor is written to directly and what it does not take stays here.
//
// A connection ends in one orderly way, End. A peer that has seen no end goes on sending, so the wish to end changes nothing for what
// comes: it is read and handed over, and answers are written, until nothing is owed (Owes) and nothing that has come is unread. Then the
// sending side is closed; what still comes has crossed that, and is dropped, until the peer has closed too or a bound is reached; then the
// descriptor is closed. A close over unread bytes would reset the connection and take answers with it that the peer has not read yet.
// Quit ends a connection that was made here and whose far side has nothing to expect. Abort closes at once; it is for those who break
// the protocol, and where the loss of what is in hand is meant.
package conn

import (
	"bytes"
	"context"
	"errors"
	"frosthub/internal/faultinject"
	"frosthub/internal/logthrottle"
	"log/slog"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	outMost      = 256 << 10              // bytes that may wait for a peer, where nothing else is said
	kernelMost   = 64 << 10               // bytes the system takes in for a connection accepted: all that is open on one
	unreadMost   = 1 << 20                // bytes of a connection that may wait for the owner: far past that
	retryAfter   = 5 * time.Millisecond   // until a peer that took no bytes is tried again
	stallMost    = 15 * time.Second       // a peer that takes nothing for so long has lost its answers anyway
	dialFor      = 500 * time.Millisecond // a peer on the same machine or next to it answers far sooner
	pollersFor   = 10 * time.Second       // tries to make the poller at the start: a node has 30 s to be ready
	pollersAgain = 20 * time.Millisecond  // between them
	lingerFor    = 200 * time.Millisecond // after the sending side is closed, for the peer's close: many round trips
)

// Errors that end a connection.
var (
	ErrPeerClosed    = errors.New("closed by the peer")
	ErrPeerStalled   = errors.New("the peer takes nothing")
	ErrUnsentLimit   = errors.New("too much waits to be sent")
	ErrClosedLocally = errors.New("closed here")
	ErrInputLimit    = errors.New("it sends more than is handled")
	ErrDialTimeout   = errors.New("a dial that nobody answered in time")
)

// Conn is one connection. Its methods and callbacks belong to the owner.
type Conn struct {
	OnData          func(p []byte) error // each stretch that was read; an error closes the connection
	OnClosed        func(err error)      // once, after the last Data
	OnSent          func()               // during a Flush in which bytes were handed to the system
	ResponsePending func() bool          // whether something that was read is not answered yet, or half read; nil: never
	MaxUnsent       int                  // bytes that may wait for a peer that takes none; more closes the connection

	box     *Loop
	nc      netpoll.Connection
	fd      int
	out     Ring
	sent    int
	dirty   bool
	ending  error     // why it is to end, once nothing is owed
	until   time.Time // its sending side is closed, it lingers until then; zero before
	stalled time.Time // since when the peer took nothing, zero if it does
	why     error     // why the owner closed it

	mu     sync.Mutex // guards what follows, and fd against its closing
	in     Ring
	unread int  // bytes of it that may wait for the owner; more closes it
	deaf   bool // what comes is dropped
	queued bool
	flood  bool // closed as it sent too much
	dead   bool // the descriptor may be closed: no more writes
	told   bool // Closed was called

	dropped int // bytes that came and were thrown away unread: what was in them got no answer
}

// Loop is what waits for the owner: connections with news, and calls from elsewhere.
type Loop struct {
	Wake      chan struct{} // holds a token while something waits
	Open      atomic.Int64  // connections that hold a descriptor
	MaxUnsent int           // bytes that may wait for all peers that take none; more closes the worst

	MaxUnread int64 // bytes of all that may wait for the owner; with more who sends much is closed

	MaxLingering int // connections that may linger; more closes the oldest

	Discarded atomic.Int64 // bytes that were thrown away unread, over all connections

	in        atomic.Int64 // and how many do
	unseen    atomic.Int64 // connections accepted that no turn of the owner has ended with
	seen      int64        // of these, in this turn
	mu        sync.Mutex
	queue     []any // *Conn or func()
	spare     []any
	dirty     []*Conn
	stalled   []*Conn
	ending    []*Conn // that are to end, and whose sending side is open
	lingering []*Conn // in order
}

// NewLoop returns an empty inbox.
func NewLoop() *Loop {
	return &Loop{Wake: make(chan struct{}, 1), MaxUnsent: math.MaxInt, MaxUnread: math.MaxInt64, MaxLingering: math.MaxInt}
}

// Post has f called on the owner.
func (b *Loop) Post(f func()) { b.push(f) }

func (b *Loop) push(item any) {
	b.mu.Lock()
	b.queue = append(b.queue, item)
	b.mu.Unlock()
	select {
	case b.Wake <- struct{}{}:
	default:
	}
}

// Idle tells whether nothing waits for the owner.
func (b *Loop) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) == 0
}

// Dispatch calls back for all that waits.
func (b *Loop) Dispatch() {
	b.mu.Lock()
	items := b.queue
	b.queue = b.spare[:0]
	b.mu.Unlock()
	for _, item := range items {
		switch item := item.(type) {
		case func():
			item()
		case *Conn:
			item.turn()
		}
	}
	clear(items)
	b.spare = items
}

func (c *Conn) turn() {
	for {
		c.mu.Lock()
		p := c.in.Peek()
		if c.flood && c.why == nil {
			c.why = ErrInputLimit
		}
		if len(p) == 0 {
			c.queued = false
			end := c.dead && !c.told && c.OnClosed != nil // not yet handed over: turned again then
			c.told = c.told || end
			c.mu.Unlock()
			if end {
				switch {
				case c.why != nil:
				case c.SendClosed():
					c.why = c.ending
				default:
					c.why = ErrPeerClosed
				}
				c.OnClosed(c.why)
			}
			return
		}
		c.mu.Unlock()
		if c.why == nil && !c.SendClosed() && c.OnData != nil && !c.isDeaf() {
			if err := c.OnData(p); err != nil {
				c.Abort(err)
			}
		} else {
			c.drop(len(p))
		}
		c.mu.Lock()
		c.in.Skip(len(p))
		c.box.in.Add(int64(-len(p)))
		c.mu.Unlock()
	}
}

// drop counts bytes that are thrown away unread.
func (c *Conn) drop(bytes int) {
	c.mu.Lock()
	c.dropped += bytes
	c.mu.Unlock()
	c.box.Discarded.Add(int64(bytes))
}

// Discarded is how many bytes of the connection were thrown away unread.
func (c *Conn) Discarded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// Write queues p to be sent by the next Flush.
func (c *Conn) Write(p []byte) {
	if c.why != nil || c.SendClosed() {
		return
	}
	c.out.Write(p)
	c.soil()
}

// soil has the next Flush look at the connection.
func (c *Conn) soil() {
	if !c.dirty {
		c.dirty = true
		c.box.dirty = append(c.box.dirty, c)
	}
}

// SetInputLimit lets so many bytes of a connection wait for the owner.
func (c *Conn) SetInputLimit(bytes int) {
	c.mu.Lock()
	c.unread = bytes
	c.mu.Unlock()
}

// ReleaseBuffers lets go of the memory of an idle connection.
func (c *Conn) ReleaseBuffers() {
	c.out.Release()
	c.mu.Lock()
	c.in.Release()
	c.mu.Unlock()
}

// SentTotal is how many bytes have left here, Mark how many will have before what is written next.
func (c *Conn) SentTotal() int   { return c.sent }
func (c *Conn) QueuedTotal() int { return c.sent + c.out.Len() }

// Unsent tells how many bytes wait to be sent.
func (c *Conn) Unsent() int { return c.out.Len() }

// Abort closes the connection at once, with all that was not sent; Closed follows.
func (c *Conn) Abort(why error) {
	if c.why != nil {
		return
	}
	c.why = why
	_ = c.nc.Close() // its callback marks the connection and queues it
}

// DiscardInput has all that comes from now on be dropped unread.
func (c *Conn) DiscardInput() {
	c.mu.Lock()
	c.deaf = true
	c.mu.Unlock()
}

func (c *Conn) isDeaf() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deaf
}

// CloseGracefully has the connection end in the orderly way, as soon as nothing is owed on it and nothing that has come is unread; Closed follows.
func (c *Conn) CloseGracefully(why error) {
	if c.why != nil || c.ending != nil {
		return
	}
	c.ending = why
	c.box.ending = append(c.box.ending, c)
}

// CloseAfterSend ends a connection whose far side has nothing to expect: what comes is dropped, what was written is sent.
func (c *Conn) CloseAfterSend(why error) {
	c.DiscardInput()
	c.CloseGracefully(why)
}

// SendClosed tells whether the sending side was closed here.
func (c *Conn) SendClosed() bool { return !c.until.IsZero() }

// Unread tells whether bytes have come that were not handed over: in the ring, with netpoll, or with the system.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	fds := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLIN}}
	if n, err := unix.Poll(fds, 0); err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0 {
		return true // first: what is read meanwhile is found behind
	}
	return c.nc.Reader().Len() > 0 || c.in.Len() > 0
}

// finish closes the sending side if nothing stands against it, and tells whether it did or need not.
func (c *Conn) finish(now time.Time) bool {
	if c.why != nil || c.SendClosed() {
		return true
	}
	if c.out.Len() > 0 || c.ResponsePending != nil && c.ResponsePending() || !c.isDeaf() && c.Unread() {
		return false
	}
	c.mu.Lock()
	if !c.dead {
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR) // where it fails the peer has gone, and its end follows
	}
	c.deaf = true
	c.mu.Unlock()
	c.until = now.Add(lingerFor)
	c.box.lingering = append(c.box.lingering, c)
	return true
}

// Closing tells whether the connection was ended or aborted here.
func (c *Conn) Closing() bool { return c.ending != nil || c.why != nil }

// Flush sends what was written since the last, as far as the peers take it. It returns how long until it
// should be called again for those that did not, 0 if there are none.
func (b *Loop) Flush(now time.Time) time.Duration {
	dirty := b.dirty
	b.dirty = b.dirty[:0]
	keep := b.stalled[:0]
	for _, c := range b.stalled {
		if c.flush(now) {
			keep = append(keep, c)
		}
	}
	for _, c := range dirty {
		if c.dirty && c.flush(now) { // a stalled one was sent above
			keep = append(keep, c)
		}
	}
	clear(dirty)
	b.stalled = keep
	all, worst := 0, (*Conn)(nil)
	for _, c := range keep {
		all += c.out.Len()
		if worst == nil || c.out.Len() > worst.out.Len() {
			worst = c
		}
	}
	if all > b.MaxUnsent {
		worst.Abort(ErrUnsentLimit)
	}
	waits := b.finish(now)
	again := b.linger(now)
	if waits && (again == 0 || again > retryAfter) {
		again = retryAfter
	}
	b.unseen.Add(-b.seen)
	b.seen = 0
	if len(keep) > 0 {
		return retryAfter
	}
	return again
}

// finish closes the sending side of the connections that are to end and may, and tells whether one waits for what only a look can tell.
func (b *Loop) finish(now time.Time) (waits bool) {
	b.ending = slices.DeleteFunc(b.ending, func(c *Conn) bool {
		if c.finish(now) {
			return true
		}
		waits = waits || c.ResponsePending == nil || !c.ResponsePending()
		return false
	})
	return waits
}

// linger closes the connections that have lingered for long enough, and gives the time to the next.
func (b *Loop) linger(now time.Time) time.Duration {
	n := 0
	for _, c := range b.lingering {
		c.mu.Lock()
		dead := c.dead
		c.mu.Unlock()
		if !dead {
			b.lingering[n] = c
			n++
		}
	}
	clear(b.lingering[n:])
	b.lingering = b.lingering[:n]
	over := 0
	for over < n && (n-over > b.MaxLingering || !now.Before(b.lingering[over].until)) {
		b.lingering[over].Abort(b.lingering[over].ending)
		over++
	}
	b.lingering = slices.Delete(b.lingering, 0, over)
	if len(b.lingering) == 0 {
		return 0
	}
	return max(time.Millisecond, b.lingering[0].until.Sub(now))
}

// Lingering is the number of connections whose sending side is closed and which wait for the peer's close.
func (b *Loop) Lingering() int { return len(b.lingering) }

// Stalled is the number of peers that left something of what was sent.
func (b *Loop) Stalled() int { return len(b.stalled) }

func (c *Conn) flush(now time.Time) (left bool) {
	before := c.sent
	left = c.send(now)
	if c.sent > before && c.OnSent != nil {
		c.OnSent()
	}
	return left
}

// send writes to the descriptor, and tells whether the peer left something.
func (c *Conn) send(now time.Time) bool {
	c.dirty = false
	for c.why == nil && c.out.Len() > 0 {
		c.mu.Lock()
		if c.dead {
			c.mu.Unlock()
			return false
		}
		n, err := 0, faultinject.Error(faultinject.Write)
		if err == nil {
			n, err = syscall.Write(c.fd, c.out.Peek())
		}
		c.mu.Unlock()
		switch {
		case n > 0:
			c.out.Skip(n)
			c.sent += n
			c.stalled = time.Time{}
		case errors.Is(err, syscall.EINTR):
		case !lost(err): // the peer takes nothing, or the system has no room for a while
			if c.stalled.IsZero() {
				c.stalled = now
			}
			if c.out.Len() > c.MaxUnsent {
				c.Abort(ErrUnsentLimit)
				return false
			}
			if now.Sub(c.stalled) > stallMost {
				c.Abort(ErrPeerStalled)
				return false
			}
			return true
		case lost(err):
			c.Abort(err)
			return false
		}
	}
	return false
}

// lostBy are the errors of a write after which a connection can't go on. Others may pass: a system that is out of buffers or memory for a
// moment takes no answers with it.
var lostBy = []error{
	syscall.EPIPE, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.ENOTCONN, syscall.EBADF, syscall.ENOTSOCK,
	syscall.EINVAL, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EDESTADDRREQ,
}

func lost(err error) bool {
	return slices.ContainsFunc(lostBy, func(e error) bool { return errors.Is(err, e) })
}

// ---- netpoll's side ----

// Prepare sets netpoll up, for the whole process and before any connection is made. Its own lines, as of descriptors
// that ran out, are logged at most once a second. Its poller never waits while bytes keep coming: where one thread
// runs all it would read on for milliseconds before anybody else does, so it stands back when it hands something over.
func Prepare(log *slog.Logger) {
	netpoll.SetLoggerOutput(&logWriter{log: log})
	netpoll.SetRunner(func(_ context.Context, f func()) {
		go f()
		runtime.Gosched()
	})
	for end := time.Now().Add(pollersFor); !startPollers() && time.Now().Before(end); {
		time.Sleep(pollersAgain)
	}
}

// startPollers has netpoll make its poller now, and tells whether it did. By itself it would make it with the first connection, and where the
// system gives no descriptor in that moment the process would end by a nil pointer then, or at any later one.
func startPollers() (made bool) {
	defer func() {
		if made = recover() == nil; !made {
			_ = netpoll.SetLoadBalance(netpoll.RoundRobin) // it has let go of its own
			_ = netpoll.SetNumLoops(1)
		}
	}()
	netpoll.Initialize()
	return true
}

type logWriter struct {
	log *slog.Logger

	mu   sync.Mutex
	line logthrottle.Limiter
}

func (w *logWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leftOut, ok := w.line.Allow(); ok {
		w.log.Warn("netpoll", "line", string(bytes.TrimSpace(p)), "left_out", leftOut)
	}
	return len(p), nil
}

type ctxKey struct{}

func (b *Loop) adopt(nc netpoll.Connection) *Conn {
	c := &Conn{box: b, nc: nc, MaxUnsent: outMost, unread: unreadMost}
	if f, ok := nc.(netpoll.Conn); ok {
		c.fd = f.Fd()
	}
	b.Open.Add(1)
	return c
}

// read copies what netpoll has read into the ring. It never waits for the owner: netpoll would go on reading and
// keep it all. A peer that sends more than is handled is closed.
func (c *Conn) read(_ context.Context, nc netpoll.Connection) error {
	for n := nc.Reader().Len(); n > 0; n = nc.Reader().Len() {
		c.mu.Lock()
		if c.deaf {
			c.mu.Unlock()
			c.drop(n)
			if err := nc.Reader().Skip(n); err != nil {
				return err
			}
			_ = nc.Reader().Release()
			continue
		}
		waits := c.in.Len() + n
		if waits > c.unread || waits > kernelMost && c.box.in.Load()+int64(n) > c.box.MaxUnread {
			c.flood = true
			c.mu.Unlock()
			return nc.Close()
		}
		k, err := nc.Read(c.in.Space(n))
		c.in.Commit(k)
		c.box.in.Add(int64(k))
		push := !c.queued
		c.queued = true
		c.mu.Unlock()
		if push {
			c.box.push(c)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// closed runs before netpoll closes the descriptor: after it nothing writes there.
func (c *Conn) closed(netpoll.Connection) error {
	c.mu.Lock()
	first := !c.dead
	c.dead = true
	push := !c.queued
	c.queued = true
	c.mu.Unlock()
	if first {
		c.box.Open.Add(-1)
	}
	if push {
		c.box.push(c)
	}
	return nil
}

// Dial connects in the background and has done called on the owner with a connection or an error: ErrSilent where the far
// side said neither yes nor no.
func (b *Loop) Dial(address string, done func(*Conn, error)) {
	go func() {
		start := time.Now()
		var nc netpoll.Connection
		err := faultinject.Error(faultinject.Connect)
		if err == nil {
			nc, err = netpoll.DialConnection("tcp", address, dialFor)
		}
		if err != nil {
			if time.Since(start) >= dialFor {
				err = ErrDialTimeout
			}
			b.Post(func() { done(nil, err) })
			return
		}
		c := b.adopt(nc)
		_ = nc.AddCloseCallback(c.closed)
		b.Post(func() {
			done(c, nil)
			c.turn() // it may have ended before
		})
		_ = nc.SetOnRequest(c.read)
		if !nc.IsActive() { // it ended before the callbacks stood
			_ = nc.Close()
		}
	}()
}
