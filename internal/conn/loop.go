package conn

import (
	"math"
	"sync"
	"sync/atomic"
)

// Loop is the event queue of an owner: connections with news, and calls posted
// from other goroutines. Post, Idle and the atomic counters may be used from
// any goroutine, everything else only from the owner's.
type Loop struct {
	// Wake holds a token while something is queued.
	Wake chan struct{}
	// Open counts the connections that hold a descriptor.
	Open atomic.Int64
	// Discarded counts received bytes that were dropped unread, over all connections.
	Discarded atomic.Int64

	// MaxUnsent bounds the bytes that wait for all peers that do not read;
	// beyond it the connection with the most is aborted.
	MaxUnsent int
	// MaxUndelivered bounds the received bytes of all connections that wait for the
	// owner; beyond it peers that send a lot are disconnected.
	MaxUndelivered int64
	// MaxLingering bounds the connections that linger; beyond it the oldest is closed.
	MaxLingering int

	undelivered atomic.Int64 // received bytes that wait for the owner, of all connections

	// Accepted connections that no iteration of the owner has handled to its
	// end, and how many of them the present iteration has seen.
	newConns     atomic.Int64
	newConnsSeen int64

	mu    sync.Mutex // guards queue
	queue []any      // *Conn or func()
	spare []any      // the backing array for the next queue

	dirty     []*Conn // with output since the last Flush
	stalled   []*Conn // whose peers did not take all of their output
	draining  []*Conn // in stateDraining
	lingering []*Conn // in stateLingering, oldest first
}

// NewLoop returns an empty event queue without limits.
func NewLoop() *Loop {
	return &Loop{
		Wake:           make(chan struct{}, 1),
		MaxUnsent:      math.MaxInt,
		MaxUndelivered: math.MaxInt64,
		MaxLingering:   math.MaxInt,
	}
}

// Post has f called by Dispatch. Any goroutine may call it.
func (l *Loop) Post(f func()) { l.push(f) }

func (l *Loop) push(item any) {
	l.mu.Lock()
	l.queue = append(l.queue, item)
	l.mu.Unlock()
	select {
	case l.Wake <- struct{}{}:
	default:
	}
}

// Idle reports whether nothing is queued.
func (l *Loop) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// Dispatch makes the posted calls and delivers the input of connections, in the
// order in which they were queued. What is queued meanwhile waits for the next
// call.
func (l *Loop) Dispatch() {
	l.mu.Lock()
	items := l.queue
	l.queue = l.spare[:0]
	l.mu.Unlock()
	for _, item := range items {
		switch item := item.(type) {
		case func():
			item()
		case *Conn:
			item.deliver()
		}
	}
	clear(items)
	l.spare = items
}

// deliver calls back with the input that waits, and with the end of the
// connection once there is no more.
func (c *Conn) deliver() {
	for {
		c.mu.Lock()
		p := c.input.Peek()
		if c.overflowed {
			c.rejectOverflow()
		}
		if len(p) == 0 {
			c.queued = false
			// A connection without callbacks was not handed to the owner yet; it
			// is delivered again then.
			ended := c.fdClosed && !c.closeReported && c.OnClosed != nil
			c.closeReported = c.closeReported || ended
			c.mu.Unlock()
			if ended {
				c.reportClosed()
			}
			return
		}
		c.mu.Unlock()
		c.deliverData(p)
		c.mu.Lock()
		c.input.Skip(len(p))
		c.loop.undelivered.Add(int64(-len(p)))
		c.mu.Unlock()
	}
}

func (c *Conn) deliverData(p []byte) {
	if c.state >= stateLingering || c.OnData == nil || c.discardsInput() {
		c.countDiscarded(len(p))
		return
	}
	if err := c.OnData(p); err != nil {
		c.Abort(err)
	}
}
