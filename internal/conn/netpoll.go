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

// Limits of the attempts to start netpoll's poller, which fail while no file
// descriptor is available. A node has 30 s to become ready.
const (
	pollerTimeout       = 10 * time.Second
	pollerRetryInterval = 20 * time.Millisecond
)

// receiveBufferSize is the size of the kernel's receive buffer of an accepted
// connection, in bytes. It holds all requests that may be open on a connection.
const receiveBufferSize = 64 << 10

// Prepare configures netpoll for the whole process. It must be called before any
// connection is made, and blocks until the poller has started or a time limit
// passes. Netpoll's own log lines, for instance when descriptors run out, are
// logged at most once a second.
//
// Netpoll's poller does not block while it receives bytes: on a single thread it
// would read for milliseconds before any other goroutine runs. The runner set
// here therefore yields after it starts a callback.
func Prepare(log *slog.Logger) {
	_ = netpoll.Configure(netpoll.Config{ // fails only for settings that are not used here
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

// startPollers makes netpoll create its poller, and reports whether that
// succeeded. By default netpoll creates it with the first connection; if no file
// descriptor is available at that moment, the process panics on a nil pointer,
// either then or at a later connection.
func startPollers() (started bool) {
	defer func() {
		started = recover() == nil
		if !started { // netpoll has dropped its load balancer, so configure it again
			_ = netpoll.Configure(netpoll.Config{PollerNum: 1, LoadBalance: netpoll.RoundRobin})
		}
	}()
	netpoll.Initialize()
	return true
}

// logWriter forwards netpoll's log lines to a logger. Any goroutine may write to
// it.
type logWriter struct {
	log *slog.Logger

	mu      sync.Mutex // guards limiter
	limiter logthrottle.Limiter
}

func (w *logWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if suppressed, ok := w.limiter.Allow(); ok {
		w.log.Warn("netpoll", "line", string(bytes.TrimSpace(p)), "suppressed", suppressed)
	}
	return len(p), nil
}

// onReadable copies the bytes that netpoll has read into the ring. It never
// waits for the owner, because netpoll would meanwhile read on and buffer without
// a limit. Instead it disconnects a peer that exceeds the input limit.
func (c *Conn) onReadable(_ context.Context, netConn netpoll.Connection) error {
	for n := netConn.Reader().Len(); n > 0; n = netConn.Reader().Len() {
		if err := c.receive(netConn, n); err != nil {
			return err
		}
	}
	return nil
}

// receive reads up to n bytes from netpoll and queues the connection for its
// owner, or closes it if the input limit is exceeded. An error ends the reading.
func (c *Conn) receive(netConn netpoll.Connection, n int) error {
	c.mu.Lock()
	if c.discardInput {
		c.mu.Unlock()
		return c.discard(netConn, n)
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

// discard drops n bytes that netpoll has read.
func (c *Conn) discard(netConn netpoll.Connection, n int) error {
	c.countDiscarded(n)
	if err := netConn.Reader().Skip(n); err != nil {
		return err
	}
	_ = netConn.Reader().Release()
	return nil
}

// exceedsInputLimit reports whether n more bytes would exceed the limit of the
// connection or that of all connections. The latter applies only to connections
// with more undelivered bytes than the kernel would buffer. The caller holds
// c.mu.
func (c *Conn) exceedsInputLimit(n int) bool {
	undelivered := c.input.Len() + n
	if undelivered > c.maxUndelivered {
		return true
	}
	return undelivered > receiveBufferSize && c.loop.undelivered.Load()+int64(n) > c.loop.MaxUndelivered
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

// onClose is netpoll's callback before it closes the descriptor. It prevents
// further writes to the descriptor and queues the connection for its owner.
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
