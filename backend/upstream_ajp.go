package backend

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"frosthub/internal/ajp"
	"frosthub/internal/invariant"
	"frosthub/loadbalance"
	"frosthub/overload"
)

// AJPUpstreamConfig configures an upstream tier of several servers that speak AJP. It is unused if Balancer has no
// peers.
type AJPUpstreamConfig struct {
	Balancer loadbalance.Config
	Secret   string // sent with each call; empty for none
}

// ajpUpstream makes calls over AJP to the targets that the load balancer picks. It retries a call at another target
// only if the call is proved never to have run. For a call that may have run, the overload controller decides about a
// retry.
type ajpUpstream struct {
	upstreamCalls
	balancer  *loadbalance.Balancer
	pools     map[*loadbalance.Target]*connPool
	openConns int // connections, including those being dialed
}

// dontRetryHeader is the response header with which a server states that other servers would reject the request too.
var dontRetryHeader = []byte("X-Dont-Retry")

func newAJPUpstream(b *Backend) *ajpUpstream {
	cfg := b.cfg.AJPUpstream.Balancer
	cfg.Seed = b.cfg.Seed
	return &ajpUpstream{
		upstreamCalls: newUpstreamCalls(b),
		balancer:      loadbalance.New(cfg),
		pools:         map[*loadbalance.Target]*connPool{},
	}
}

func (u *ajpUpstream) connectionCount() int { return u.openConns }

func (u *ajpUpstream) invoke(r *request, timeout time.Duration) { u.assignTarget(u.add(r, timeout)) }

// assignTarget picks a target for a call with the load balancer, and assigns the call a connection to it. It ends the
// call if there is no target or no room for another connection.
func (u *ajpUpstream) assignTarget(call *upstreamCall) {
	call.target = u.balancer.Pick(u.backend.now, call.request.stickyRoute, call.tried...)
	if call.target == nil {
		u.endCall(call, cmp.Or(call.provenOutcome, overload.Overloaded))
		return
	}
	if idleConn := u.takeIdle(call.target); idleConn != nil {
		u.assignConn(idleConn, call)
		return
	}
	if u.openConns >= u.connectionLimit() && !u.closeOldest() {
		u.releaseTarget(call, loadbalance.Abandoned)
		u.endCall(call, overload.Overloaded)
		return
	}
	u.dial(call)
}

// assignConn sends a call on a connection. If the connection was idle for cpingIdleThreshold or the target may be down,
// it sends a CPing first, and the call once the target has answered that.
func (u *ajpUpstream) assignConn(connection *ajpConn, call *upstreamCall) {
	b := u.backend
	connection.call = call
	call.ajpConn = connection
	if b.now-connection.usedAt < cpingIdleThreshold && !connection.target.NeedsHealthCheck() {
		u.send(connection)
		return
	}
	connection.cpongDeadline = b.now + cpongTimeout
	b.wakeBy(connection.cpongDeadline)
	b.scratch = ajp.AppendCPing(b.scratch[:0])
	connection.conn.Write(b.scratch)
}

// send writes the call that is assigned to a connection.
func (u *ajpUpstream) send(connection *ajpConn) {
	b := u.backend
	r := connection.call.request
	connection.cpongDeadline = 0
	connection.usedAt = b.now
	connection.queuedBefore = connection.conn.QueuedTotal()
	connection.parser.AwaitingResponse = true
	remaining := max(1, (connection.call.deadline - b.now).Milliseconds())
	forward := ajp.ForwardRequest{
		Path:   "/invoke/" + b.handlers[r.handler].name,
		Secret: b.cfg.AJPUpstream.Secret,
		Body:   r.callBody,
		Headers: []ajp.Header{
			{Name: "X-Request-Id", Value: r.wireID},
			{Name: "X-Request-Start", Value: strconv.FormatInt(b.wallTime.Milliseconds(), 10)},
			{Name: "X-Timeout-Ms", Value: strconv.FormatInt(remaining, 10)},
			{Name: "X-Caller", Value: strconv.Itoa(r.arrival.EdgeNode)},
			{Name: "X-Memory-Kb", Value: strconv.FormatFloat(r.arrival.SizeKB, 'f', -1, 64)},
			{Name: "X-Rank", Value: strconv.FormatFloat(r.arrival.ValueRank, 'f', -1, 64)},
		},
	}
	maxPacket := b.cfg.AJP.packet()
	b.scratch = ajp.AppendForward(b.scratch[:0], &forward, maxPacket)
	connection.unsentBody = r.callBody[min(len(r.callBody), ajp.MaxBodyChunk(maxPacket)):]
	connection.conn.Write(b.scratch)
}

// onReply handles a message from a server.
func (u *ajpUpstream) onReply(connection *ajpConn, reply ajp.Reply) {
	b := u.backend
	call := connection.call
	switch reply.Kind {
	case ajp.CPong:
		if connection.cpongDeadline > 0 {
			u.send(connection)
		}
		return
	case ajp.GetBodyChunk:
		if call != nil {
			maxPart := min(b.cfg.AJP.packet(), reply.MaxLength+ajp.BodyChunkOverhead)
			b.scratch, connection.unsentBody = ajp.AppendBodyChunk(b.scratch[:0], connection.unsentBody, maxPart)
			connection.conn.Write(b.scratch)
		}
		return
	}
	if call == nil {
		return // the call was abandoned: the connection is being closed
	}
	connection.call = nil
	connection.usedAt = b.now
	call.ajpConn = nil
	if reply.Reuse {
		u.release(connection)
	} else {
		u.close(connection)
	}
	u.handleStatus(call, &reply)
}

// handleStatus ends a call or retries it at another target, depending on the status of the reply.
func (u *ajpUpstream) handleStatus(call *upstreamCall, reply *ajp.Reply) {
	switch reply.Status {
	case 200:
		u.releaseTarget(call, loadbalance.Succeeded)
		u.backend.processor.replyToCall(call.request, reply.Body)
		u.endCall(call, overload.OK)
	case 429, 503: // it never ran
		if forbidsRetry(reply) {
			u.releaseTarget(call, loadbalance.Overloaded)
			u.endCall(call, overload.Overloaded)
			return
		}
		u.retryAtAnotherTarget(call, loadbalance.Overloaded, overload.Overloaded)
	case 504:
		u.releaseTarget(call, loadbalance.Succeeded)
		u.endCall(call, overload.TimedOut)
	default:
		u.releaseTarget(call, loadbalance.Succeeded)
		u.endCall(call, overload.Failed)
	}
}

// forbidsRetry reports whether a reply has the header dontRetryHeader with the value 1.
func forbidsRetry(reply *ajp.Reply) (forbidden bool) {
	reply.Headers.Each(func(name, value []byte) {
		if bytes.EqualFold(name, dontRetryHeader) && string(value) == "1" {
			forbidden = true
		}
	})
	return forbidden
}

// releaseTarget reports the outcome of a call at its target to the load balancer.
func (u *ajpUpstream) releaseTarget(call *upstreamCall, outcome loadbalance.Outcome) {
	u.balancer.Done(u.backend.now, call.target, outcome)
	call.target = nil
	call.ajpConn = nil
}

// retryAtAnotherTarget retries a call that is proved never to have run at its target. After the deadline it ends the
// call.
func (u *ajpUpstream) retryAtAnotherTarget(call *upstreamCall, outcome loadbalance.Outcome, proven overload.Outcome) {
	call.tried = append(call.tried, call.target)
	call.provenOutcome = proven
	u.releaseTarget(call, outcome)
	if u.backend.now >= call.deadline {
		u.endCall(call, proven)
		return
	}
	u.assignTarget(call)
}

// endCall removes a call and reports its end to the overload controller.
func (u *ajpUpstream) endCall(call *upstreamCall, outcome overload.Outcome) {
	invariant.Check(call.target == nil, "a call has released its target before it ends")
	u.remove(call)
	u.backend.reportCallEnd(call, outcome)
}

// abandonCall releases the target of a call whose outcome is unknown, and closes the connection: AJP has no other way
// to abort a call.
func (u *ajpUpstream) abandonCall(call *upstreamCall, outcome loadbalance.Outcome) {
	connection := call.ajpConn
	if call.target != nil {
		u.releaseTarget(call, outcome)
	}
	if connection != nil {
		connection.call = nil
		u.close(connection)
	}
}

func (u *ajpUpstream) cancel(r *request) {
	call := r.call
	if call == nil {
		return
	}
	u.abandonCall(call, loadbalance.Abandoned)
	u.remove(call)
}

func (u *ajpUpstream) reconfigure(cfg *Config) {
	balancer := cfg.AJPUpstream.Balancer
	balancer.Seed = u.backend.cfg.Seed
	u.balancer.Update(balancer)
	for target, pool := range u.pools { // the order does not matter
		if !target.Removed {
			continue
		}
		for len(pool.idle) > 0 {
			u.close(pool.idle[len(pool.idle)-1])
		}
	}
}

func (u *ajpUpstream) onTimer() {
	for _, id := range slices.Sorted(maps.Keys(u.calls)) {
		if call := u.calls[id]; call != nil { // nil if the end of an earlier call has ended it
			u.expireCall(call)
		}
	}
	u.closeIdle()
}

// expireCall ends a call whose deadline and callGrace have passed. If the target has not answered a CPing in time, it
// closes the connection and retries the call at another target.
func (u *ajpUpstream) expireCall(call *upstreamCall) {
	b := u.backend
	connection := call.ajpConn
	awaitsCPong := connection != nil && connection.cpongDeadline > 0
	switch {
	case b.now >= call.deadline+callGrace:
		outcome := loadbalance.TimedOut
		if connection == nil || awaitsCPong { // the call was never sent
			outcome = loadbalance.Fault
		}
		u.abandonCall(call, outcome)
		u.endCall(call, overload.TimedOut)
	case awaitsCPong && b.now >= connection.cpongDeadline:
		b.logLimited("upstream unreachable", "peer", connection.target.Address, "reason", errNoCPong)
		connection.call = nil
		u.close(connection)
		u.retryAtAnotherTarget(call, loadbalance.Fault, overload.NoConnection)
	default:
		b.wakeBy(call.deadline + callGrace)
		if awaitsCPong {
			b.wakeBy(connection.cpongDeadline)
		}
	}
}
