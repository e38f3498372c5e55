package conn

import (
	"math"
	"sync"
	"sync/atomic"
)

// Loop is the event queue of an owner. It holds connections with events, and
// functions posted from other goroutines. Any goroutine may use Post, Idle and
// the atomic counters, but only the owner's goroutine may use the rest.
type Loop struct {
	// Wake holds a token while something is queued.
	Wake chan struct{}
	// Open counts the connections that hold a descriptor.
	Open atomic.Int64
	// Discarded counts received bytes that were dropped without being delivered,
	// over all connections.
	Discarded atomic.Int64

	// MaxUnsent bounds the unsent bytes of all stalled connections. Beyond it the
	// connection with the most unsent bytes is aborted.
	MaxUnsent int
	// MaxUndelivered bounds the received bytes of all connections that wait for the
	// owner. Beyond it peers that send a lot are disconnected.
	MaxUndelivered int64
	// MaxLingering bounds the connections that linger. Beyond it the oldest is closed.
	MaxLingering int

	undelivered atomic.Int64 // received bytes that wait for the owner, over all connections

	// newConns counts accepted connections until the owner has completed the
	// iteration in which it handled them; newConnsSeen counts those handled in
	// the current iteration.
	newConns     atomic.Int64
	newConnsSeen int64

	mu    sync.Mutex // guards queue
	queue []any      // *Conn or func()
	spare []any      // backing array for the next queue

	dirty     []*Conn // have new output since the last Flush
	stalled   []*Conn // their peers did not accept all of their output
	draining  []*Conn // in stateDraining
	lingering []*Conn // in stateLingering, oldest first
}

// NewLoop returns an empty event queue whose limits are not set.
func NewLoop() *Loop {
	return &Loop{
		Wake:           make(chan struct{}, 1),
		MaxUnsent:      math.MaxInt,
		MaxUndelivered: math.MaxInt64,
		MaxLingering:   math.MaxInt,
	}
}

// Post queues f to be called by Dispatch. Any goroutine may call Post.
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

// Idle reports whether the queue is empty.
func (l *Loop) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// Dispatch calls the posted functions and delivers the input of connections, in
// the order in which they were queued. Events queued meanwhile wait for the next
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

// deliver passes the waiting input to OnData, and reports the end of the
// connection once all input is delivered.
func (c *Conn) deliver() {
	for {
		c.mu.Lock()
		p := c.input.Peek()
		if c.overflowed {
			c.markOverflowed()
		}
		if len(p) == 0 {
			c.queued = false
			// A connection without callbacks was not passed to the owner yet. Its
			// end is reported by another call, after it has callbacks.
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
