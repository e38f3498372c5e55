package backend

import (
	"cmp"
	"slices"
	"time"

	"frosthub/accounting"
)

// sweep closes connections that have been idle for too long, and the longest idle ones if there are too many
// connections. It rejects requests that stay incomplete for too long, and answers deep health checks to which the
// processor has not responded in time.
func (f *frontend) sweep() {
	idleTimeout := min(maxIdle, cmp.Or(f.backend.advice.idleTimeout, maxIdle))
	for client := range f.clients {
		f.expireDeepChecks(client, f.backend.now)
		f.sweepConnection(client, idleTimeout)
	}
	f.evict()
}

// sweepConnection applies the timeouts to one connection.
func (f *frontend) sweepConnection(client *clientConn, idleTimeout time.Duration) {
	b := f.backend
	idleTime := b.now - client.lastUsed
	partial, overdue := client.protocol.overdue(b.now - partialTimeout)
	switch {
	case client.readStopped:
	case !client.hasSentRequest && b.now-client.acceptedAt >= partialTimeout:
		f.terminateConnection(client, errIncomplete)
	case overdue: // rejects one request: the others of the connection may be valid
		f.rejectMalformed(partial, f.openAccountWithoutID(client), 0, accounting.Incomplete, errIncomplete.Error())
		f.updatePartialBytes(client)
	case !client.idle():
	case client.conn.Closing():
		if idleTime >= idleTimeout+partialTimeout { // a partial message prevents the graceful close
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

// evictionThreshold returns the number of connections above which the longest idle ones are closed.
func (f *frontend) evictionThreshold() int { return int(evictionShare * float64(f.connectionLimit())) }

// evict closes the longest idle connections while there are more connections than evictionThreshold. It is called for
// each new connection and not only by sweep: between two sweeps a flood of silent clients could use up all connections
// and lock out other clients.
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
		if !client.hasSentRequest && client.protocol.midMessage() { // else its partial message delays the close for seconds
			f.stopReading(client)
		}
		client.conn.CloseGracefully(errEvicted)
	}
}

// closeAllWhenIdle closes each connection as soon as no request is open on it.
func (f *frontend) closeAllWhenIdle() {
	for client := range f.clients {
		client.conn.CloseGracefully(errShuttingDown)
	}
}

// closeAllRejectingPartials closes all connections like closeAllWhenIdle, but without waiting for the rest of a message:
// it rejects incomplete requests and discards partial messages.
func (f *frontend) closeAllRejectingPartials() {
	for client := range f.clients {
		f.rejectPartials(client)
		if !client.busy() && client.protocol.midMessage() {
			f.stopReading(client)
		}
		client.conn.CloseGracefully(errShuttingDown)
	}
}

// rejectPartials rejects all incomplete requests of a connection.
func (f *frontend) rejectPartials(client *clientConn) {
	for {
		partial, found := client.protocol.overdue(f.backend.now)
		if !found {
			return
		}
		f.rejectPartial(partial)
	}
}
