// Package conn runs netpoll connections on a single goroutine, the event loop
// of their owner: an object with callbacks and one ring buffer per direction.
//
// Netpoll's goroutines only copy what they read into a ring and queue the
// connection. All callbacks run on the owner's goroutine, from [Loop.Dispatch].
// What the owner writes is sent once per iteration by [Loop.Flush], which never
// blocks. Netpoll's own flush waits for the peer, so this package writes to the
// descriptor directly and keeps what the peer does not take.
//
// # Closing
//
// A connection ends gracefully through [Conn.CloseGracefully]. A peer that has
// not seen the end keeps sending, so the request to close changes nothing at
// first: input is still read and delivered, and responses are written, until no
// response is pending and no received byte is undelivered. Then the sending
// side is shut down. What arrives after that crossed the shutdown on the wire;
// it is discarded until the peer closes as well or a time limit passes
// (lingering), and then the descriptor is closed. Closing over unread bytes
// would reset the connection and destroy responses that the peer has not read.
//
// [Conn.CloseAfterSend] ends a connection that was dialed here and whose peer
// expects nothing. [Conn.Abort] closes at once; it is for peers that violate
// the protocol, and where losing what is in flight is intended.
package conn

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// Errors that end a connection.
var (
	ErrPeerClosed    = errors.New("closed by the peer")
	ErrPeerStalled   = errors.New("peer does not read")
	ErrUnsentLimit   = errors.New("too many unsent bytes")
	ErrClosedLocally = errors.New("closed locally")
	ErrInputLimit    = errors.New("too many undelivered bytes")
	ErrDialTimeout   = errors.New("dial timed out")
)

// Default limits of a connection, in bytes.
const (
	// defaultMaxUnsent bounds what waits for a peer that does not read.
	defaultMaxUnsent = 256 << 10
	// defaultMaxUndelivered bounds what waits for the owner; regular traffic
	// stays far below.
	defaultMaxUndelivered = 1 << 20
)

// Conn is one connection. Its exported fields and methods belong to the
// goroutine of its owner, and its callbacks run there.
type Conn struct {
	// OnData receives each stretch of input; an error aborts the connection.
	OnData func(p []byte) error
	// OnClosed is called once, after the last OnData.
	OnClosed func(err error)
	// OnSent is called during a Flush that handed bytes to the system.
	OnSent func()
	// ResponsePending reports whether some input is unanswered or only partly
	// received, which delays a graceful close. Nil means never.
	ResponsePending func() bool
	// MaxUnsent bounds the bytes that wait for a peer that does not read; the
	// connection is aborted beyond it.
	MaxUnsent int

	loop         *Loop
	netConn      netpoll.Connection
	fd           int
	output       Ring
	sentTotal    int
	dirty        bool // listed in Loop.dirty
	state        closeState
	closeReason  error     // passed to OnClosed
	lingerUntil  time.Time // zero until the sending side is shut down
	stalledSince time.Time // when the peer stopped reading; zero while it reads

	mu             sync.Mutex // guards the fields below, and fd against being closed
	input          Ring
	maxUndelivered int  // limit of input, in bytes
	discardInput   bool // what arrives is dropped
	queued         bool // listed in Loop.queue
	overflowed     bool // closed since it exceeded maxUndelivered
	fdClosed       bool // the descriptor may be closed: no more writes
	closeReported  bool // OnClosed was called
	discarded      int  // bytes dropped unread; they got no response
}

func (l *Loop) newConn(netConn netpoll.Connection) *Conn {
	c := &Conn{
		loop:           l,
		netConn:        netConn,
		MaxUnsent:      defaultMaxUnsent,
		maxUndelivered: defaultMaxUndelivered,
	}
	if f, ok := netConn.(netpoll.Conn); ok {
		c.fd = f.Fd()
	}
	l.Open.Add(1)
	return c
}

// Write queues p to be sent by the next Flush. It is ignored once the sending
// side is closed.
func (c *Conn) Write(p []byte) {
	if c.state >= stateLingering {
		return
	}
	c.output.Write(p)
	c.markDirty()
}

// markDirty has the next Flush visit the connection.
func (c *Conn) markDirty() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

// SetInputLimit sets how many received bytes may wait for the owner. A peer
// that exceeds the limit is disconnected.
func (c *Conn) SetInputLimit(bytes int) {
	c.mu.Lock()
	c.maxUndelivered = bytes
	c.mu.Unlock()
}

// ReleaseBuffers frees the memory of buffers that are empty.
func (c *Conn) ReleaseBuffers() {
	c.output.Release()
	c.mu.Lock()
	c.input.Release()
	c.mu.Unlock()
}

// SentTotal returns how many bytes were handed to the system so far.
func (c *Conn) SentTotal() int { return c.sentTotal }

// QueuedTotal returns the value that SentTotal reaches once everything written
// so far is sent.
func (c *Conn) QueuedTotal() int { return c.sentTotal + c.output.Len() }

// Unsent returns how many bytes wait to be sent.
func (c *Conn) Unsent() int { return c.output.Len() }

// Discarded returns how many received bytes were dropped unread.
func (c *Conn) Discarded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discarded
}

// countDiscarded counts bytes that are dropped unread. Any goroutine may call it.
func (c *Conn) countDiscarded(bytes int) {
	c.mu.Lock()
	c.discarded += bytes
	c.mu.Unlock()
	c.loop.Discarded.Add(int64(bytes))
}
