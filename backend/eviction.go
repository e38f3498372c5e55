package backend

import (
	"cmp"
	"slices"
	"time"

	"frosthub/accounting"
)

// sweep closes connections that have been idle for too long, or the longest idle ones where places run short. It
// rejects requests that take too long to be complete, and answers deep health checks that the processor did not answer.
func (f *frontend) sweep() {
	idleTimeout := min(maxIdle, cmp.Or(f.backend.advice.idleTimeout, maxIdle))
	for client := range f.clients {
		f.expireDeepChecks(client, f.backend.now)
		f.sweepConnection(client, idleTimeout)
	}
	f.evict()
}

func (f *frontend) sweepConnection(client *clientConn, idleTimeout time.Duration) {
	b := f.backend
	idleTime := b.now - client.lastUsed
	partial, overdue := client.protocol.overdue(b.now - partialTimeout)
	switch {
	case client.readStopped:
	case !client.hasSentRequest && b.now-client.acceptedAt >= partialTimeout:
		f.terminateConnection(client, errIncomplete)
	case overdue: // its other requests may be good
		f.rejectMalformed(partial, f.openAccountWithoutID(client), 0, accounting.Incomplete, errIncomplete.Error())
		f.updatePartialBytes(client)
	case !client.idle():
	case client.conn.Closing():
		if idleTime >= idleTimeout+partialTimeout { // part of a message keeps it from its end
			f.terminateConnection(client, errIncomplete)
		}
	case idleTime >= idleTimeout:
		b.stats.ConnsEvicted++
		client.conn.CloseGracefully(errIdle)
	case !client.buffersReleased && idleTime >= bufferReleaseDelay:
		client.buffersReleased = true
		client.conn.ReleaseBuffers()
	}
}

// evictionThreshold returns how many connections there may be before the longest idle ones are closed.
func (f *frontend) evictionThreshold() int { return int(evictionShare * float64(f.connectionLimit())) }

// evict closes the longest idle connections where there are more than there should be. It is called for each new
// connection and not only by sweep: a flood of silent clients takes all places between two sweeps, and other clients
// would find none.
func (f *frontend) evict() {
	var idle []*clientConn
	excess := -f.evictionThreshold()
	for client := range f.clients {
		if client.conn.Closing() {
			continue
		}
		excess++
		if !client.readStopped && client.idle() {
			idle = append(idle, client)
		}
	}
	if excess <= 0 {
		return
	}
	slices.SortFunc(idle, func(x, y *clientConn) int { return cmp.Compare(x.lastUsed, y.lastUsed) })
	for _, client := range idle[:min(len(idle), excess)] {
		f.backend.stats.ConnsEvicted++
		if !client.hasSentRequest && client.protocol.midMessage() { // a client that never sent a complete message would stay for seconds
			f.stopReading(client)
		}
		client.conn.CloseGracefully(errEvicted)
	}
}

// closeAllWhenIdle closes all connections, each as soon as nothing is open on it.
func (f *frontend) closeAllWhenIdle() {
	for client := range f.clients {
		client.conn.CloseGracefully(errShuttingDown)
	}
}

// closeAllRejectingPartials closes all connections like closeAll, and does not wait for the rest of what was partly read: requests are
// rejected, and what is only part of a message is discarded.
func (f *frontend) closeAllRejectingPartials() {
	for client := range f.clients {
		f.rejectPartials(client)
		if !client.busy() && client.protocol.midMessage() {
			f.stopReading(client)
		}
		client.conn.CloseGracefully(errShuttingDown)
	}
}

// rejectPartials rejects all requests of a connection that are partly read.
func (f *frontend) rejectPartials(client *clientConn) {
	for {
		partial, found := client.protocol.overdue(f.backend.now)
		if !found {
			return
		}
		f.rejectPartial(partial)
	}
}
