package conn

import (
	"bytes"
	"context"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"frosthub/internal/logthrottle"

	"github.com/cloudwego/netpoll"
)

// Starting netpoll's poller, which fails while the system has no descriptor: a
// node has 30 s to become ready.
const (
	pollerTimeout       = 10 * time.Second
	pollerRetryInterval = 20 * time.Millisecond
)

// receiveBufferSize is what the system's receive buffer of an accepted
// connection takes, in bytes: all requests that may be open on one.
const receiveBufferSize = 64 << 10

// Prepare sets netpoll up for the whole process. It must be called before any
// connection is made, and blocks until the poller has started or a time limit
// passes. Netpoll's own log lines, for instance when descriptors run out, are
// logged at most once a second.
//
// Netpoll's poller never waits while bytes keep coming: where one thread runs
// everything it would keep reading for milliseconds before any other goroutine
// runs. So it yields whenever it hands something over.
func Prepare(log *slog.Logger) {
	_ = netpoll.Configure(netpoll.Config{ // it fails only on settings that aren't made here
		LoggerOutput: &logWriter{log: log},
		Runner: func(_ context.Context, f func()) {
			go f()
			runtime.Gosched()
		},
	})
	deadline := time.Now().Add(pollerTimeout)
	for !startPollers() && time.Now().Before(deadline) {
		time.Sleep(pollerRetryInterval)
	}
}

// startPollers has netpoll create its poller now, and reports whether it did.
// On its own netpoll would create it with the first connection, and where the
// system has no descriptor at that moment the process would panic on a nil
// pointer, then or at any later connection.
func startPollers() (started bool) {
	defer func() {
		started = recover() == nil
		if !started { // netpoll has dropped its load balancer: set it up again
			_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoadBalance: netpoll.RoundRobin})
		}
	}()
	netpoll.Initialize()
	return true
}

// logWriter logs what netpoll prints. Any goroutine may write to it.
type logWriter struct {
	log *slog.Logger

	mu      sync.Mutex // guards limiter
	limiter logthrottle.Limiter
}

func (w *logWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if suppressed, ok := w.limiter.Allow(); ok {
		w.log.Warn("netpoll", "line", string(bytes.TrimSpace(p)), "left_out", suppressed)
	}
	return len(p), nil
}

// onReadable copies what netpoll has read into the ring. It never waits for the
// owner, since netpoll would keep reading meanwhile and buffer everything: a
// peer that sends more than may wait is disconnected.
func (c *Conn) onReadable(_ context.Context, netConn netpoll.Connection) error {
	for n := netConn.Reader().Len(); n > 0; n = netConn.Reader().Len() {
		if err := c.receive(netConn, n); err != nil {
			return err
		}
	}
	return nil
}

// receive takes n bytes from netpoll and queues the connection for its owner,
// or closes it where too much waits already. An error ends the reading.
func (c *Conn) receive(netConn netpoll.Connection, n int) error {
	c.mu.Lock()
	if c.discardInput {
		c.mu.Unlock()
		return c.skip(netConn, n)
	}
	if c.exceedsInputLimit(n) {
		c.overflowed = true
		c.mu.Unlock()
		_ = netConn.Close()
		return ErrInputLimit
	}
	read, err := netConn.Read(c.input.Space(n))
	c.input.Commit(read)
	c.loop.undelivered.Add(int64(read))
	c.unlockAndQueue()
	return err
}

// skip drops n bytes that netpoll has read.
func (c *Conn) skip(netConn netpoll.Connection, n int) error {
	c.countDiscarded(n)
	if err := netConn.Reader().Skip(n); err != nil {
		return err
	}
	_ = netConn.Reader().Release()
	return nil
}

// exceedsInputLimit reports whether n more bytes may not wait for the owner. The
// limit over all connections ends only those that have more waiting than the
// system would buffer. The caller holds c.mu.
func (c *Conn) exceedsInputLimit(n int) bool {
	undelivered := c.input.Len() + n
	if undelivered > c.maxUndelivered {
		return true
	}
	return undelivered > receiveBufferSize && c.loop.undelivered.Load()+int64(n) > c.loop.MaxUnread
}

// unlockAndQueue unlocks c.mu and queues the connection for its owner unless it
// is queued already.
func (c *Conn) unlockAndQueue() {
	push := !c.queued
	c.queued = true
	c.mu.Unlock()
	if push {
		c.loop.push(c)
	}
}

// onClose runs before netpoll closes the descriptor; nothing writes to it
// afterwards.
func (c *Conn) onClose(netpoll.Connection) error {
	c.mu.Lock()
	first := !c.fdClosed
	c.fdClosed = true
	push := !c.queued
	c.queued = true
	c.mu.Unlock()
	if first {
		c.loop.Open.Add(-1)
	}
	if push {
		c.loop.push(c)
	}
	return nil
}
