// Package conn runs netpoll connections on a single goroutine, the event loop
// of their owner. A [Conn] has callbacks and one ring buffer per direction.
//
// Netpoll's goroutines only copy received bytes into a ring and queue the
// connection. All callbacks run on the owner's goroutine, from [Loop.Dispatch].
// [Loop.Flush] sends the owner's output once per iteration and never blocks.
// Netpoll's own flush waits for the peer, so this package writes to the
// descriptor directly and keeps the bytes that the peer does not accept.
//
// # Closing
//
// [Conn.CloseGracefully] ends a connection without losing requests or
// responses. A peer that has not received the end of the stream keeps sending,
// so the connection first drains: it still delivers input and sends responses,
// until no response is pending and no received byte is undelivered. Then it
// shuts down the sending side and lingers: it discards input, which crossed the
// shutdown on the wire, until the peer closes as well or a time limit passes.
// Only then does it close the descriptor. Closing a descriptor with unread bytes
// would reset the connection and destroy responses that the peer has not read.
//
// [Conn.CloseAfterSend] ends a connection that was dialed by this process and
// whose peer expects no response. [Conn.Abort] closes at once. It is for peers
// that violate the protocol, and for cases in which data in flight is meant to
// be lost.
package conn

import (
	"errors"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// Errors that are passed to OnClosed, and ErrDialTimeout, which Dial passes to its
// callback.
var (
	ErrPeerClosed    = errors.New("connection closed by the peer")
	ErrPeerStalled   = errors.New("peer accepted no bytes for too long")
	ErrUnsentLimit   = errors.New("unsent bytes exceed the limit")
	ErrClosedLocally = errors.New("connection closed locally")
	ErrInputLimit    = errors.New("undelivered bytes exceed the limit")
	ErrDialTimeout   = errors.New("dial timed out")
)

// Default limits of a connection, in bytes.
const (
	// defaultMaxUnsent bounds the output that waits for a peer that does not read.
	defaultMaxUnsent = 256 << 10
	// defaultMaxUndelivered bounds the input that waits for the owner. Regular
	// traffic remains far below it.
	defaultMaxUndelivered = 1 << 20
)

// Conn is one connection. Only its owner's goroutine may use its exported fields
// and methods, and its callbacks run on that goroutine.
type Conn struct {
	// OnData receives the input piece by piece. An error aborts the connection.
	OnData func(p []byte) error
	// OnClosed is called once, after the last OnData, with the reason of the end.
	OnClosed func(err error)
	// OnSent is called during a Flush that passed bytes to the kernel.
	OnSent func()
	// ResponsePending reports whether some input is unanswered or only partly
	// received, which delays a graceful close. Nil means never.
	ResponsePending func() bool
	// MaxUnsent bounds the bytes that wait for a peer that does not read. The
	// connection is aborted beyond it.
	MaxUnsent int

	loop         *Loop
	netConn      netpoll.Connection
	fd           int
	output       Ring
	sentTotal    int
	dirty        bool // listed in Loop.dirty
	state        closeState
	closeReason  error     // argument of OnClosed
	lingerUntil  time.Time // zero until the sending side is shut down
	stalledSince time.Time // time at which the peer stopped reading; zero while it reads

	mu             sync.Mutex // guards the fields below, and fd against being closed
	input          Ring
	maxUndelivered int  // limit of input, in bytes
	discardInput   bool // input is dropped without being delivered
	queued         bool // listed in Loop.queue
	overflowed     bool // closed because it exceeded an input limit
	fdClosed       bool // the descriptor may be closed, so it must not be written to
	closeReported  bool // OnClosed was called
	discarded      int  // bytes dropped without being delivered; they got no response
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

// Write copies p to the output that the next Flush sends. It does nothing once
// the sending side is closed.
func (c *Conn) Write(p []byte) {
	if c.state >= stateLingering {
		return
	}
	c.output.Write(p)
	c.markDirty()
}

// markDirty lists the connection for the next Flush.
func (c *Conn) markDirty() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

// SetInputLimit sets the number of received bytes that may wait for the owner. A
// peer that exceeds the limit is disconnected.
func (c *Conn) SetInputLimit(bytes int) {
	c.mu.Lock()
	c.maxUndelivered = bytes
	c.mu.Unlock()
}

// ReleaseBuffers frees the memory of empty buffers.
func (c *Conn) ReleaseBuffers() {
	c.output.Release()
	c.mu.Lock()
	c.input.Release()
	c.mu.Unlock()
}

// SentTotal returns the number of bytes passed to the kernel so far.
func (c *Conn) SentTotal() int { return c.sentTotal }

// QueuedTotal returns the value that SentTotal reaches once all bytes written so
// far are sent.
func (c *Conn) QueuedTotal() int { return c.sentTotal + c.output.Len() }

// Unsent returns the number of bytes that wait to be sent.
func (c *Conn) Unsent() int { return c.output.Len() }

// Discarded returns the number of received bytes that were dropped without being
// delivered.
func (c *Conn) Discarded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discarded
}

// countDiscarded counts input bytes that are dropped without being delivered.
// Any goroutine may call it.
func (c *Conn) countDiscarded(bytes int) {
	c.mu.Lock()
	c.discarded += bytes
	c.mu.Unlock()
	c.loop.Discarded.Add(int64(bytes))
}
