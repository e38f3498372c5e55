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

// AJPUpstreamConfig is an upstream tier of several servers that speak AJP. Without peers in Balancer there is none.
type AJPUpstreamConfig struct {
	Balancer loadbalance.Config
	Secret   string // sent with each call; empty: none
}

// ajpUpstream makes calls over AJP to the targets that the load balancer picks. A call is retried at another target
// only where it is proved never to have run. A call that may have run is the overload controller's to retry.
type ajpUpstream struct {
	upstreamCalls
	balancer *loadbalance.Balancer
	pools    map[*loadbalance.Target]*connPool
	open     int // connections, counting those being dialed
}

// dontRetryName is the header by which a server says that no other server would take the request either.
var dontRetryName = []byte("X-Dont-Retry")

func newAJPUpstream(b *Backend) *ajpUpstream {
	cfg := b.cfg.AJPUpstream.Balancer
	cfg.Seed = b.cfg.Seed
	return &ajpUpstream{
		upstreamCalls: newUpstreamCalls(b),
		balancer:      loadbalance.New(cfg),
		pools:         map[*loadbalance.Target]*connPool{},
	}
}

func (u *ajpUpstream) connections() int { return u.open }

func (u *ajpUpstream) invoke(r *request, after time.Duration) { u.place(u.add(r, after)) }

// place has the load balancer pick a target for a call and gives the call a connection there.
func (u *ajpUpstream) place(waiting *upstreamCall) {
	waiting.target = u.balancer.Pick(u.backend.now, waiting.request.stickyRoute, waiting.tried...)
	if waiting.target == nil {
		u.end(waiting, cmp.Or(waiting.proved, overload.Overloaded))
		return
	}
	if idle := u.takeIdle(waiting.target); idle != nil {
		u.assign(idle, waiting)
		return
	}
	if u.open >= u.connectionLimit() && !u.closeOldest() {
		u.leaveTarget(waiting, loadbalance.Abandoned)
		u.end(waiting, overload.Overloaded)
		return
	}
	u.dial(waiting)
}

// assign has a connection carry a call. Where it was idle for a while, or its target may be down, the target is asked
// first whether it is there.
func (u *ajpUpstream) assign(carrier *ajpConn, waiting *upstreamCall) {
	b := u.backend
	carrier.call = waiting
	waiting.ajpConn = carrier
	if b.now-carrier.usedAt < trustIdle && !carrier.target.NeedsHealthCheck() {
		u.send(carrier)
		return
	}
	carrier.pongBy = b.now + pongTimeout
	b.wakeBy(carrier.pongBy)
	b.scratch = ajp.AppendCPing(b.scratch[:0])
	carrier.conn.Write(b.scratch)
}

// send writes the call of a connection.
func (u *ajpUpstream) send(carrier *ajpConn) {
	b := u.backend
	r := carrier.call.request
	carrier.pongBy = 0
	carrier.usedAt = b.now
	carrier.sentMark = carrier.conn.QueuedTotal()
	carrier.parser.AwaitingResponse = true
	left := max(1, (carrier.call.deadline - b.now).Milliseconds())
	forward := ajp.ForwardRequest{
		Path:   "/invoke/" + b.handlers[r.handler].name,
		Secret: b.cfg.AJPUpstream.Secret,
		Body:   r.callBody,
		Headers: []ajp.Header{
			{Name: "X-Request-Id", Value: r.wireID},
			{Name: "X-Request-Start", Value: strconv.FormatInt(b.wallTime.Milliseconds(), 10)},
			{Name: "X-Timeout-Ms", Value: strconv.FormatInt(left, 10)},
			{Name: "X-Caller", Value: strconv.Itoa(r.arrival.EdgeNode)},
			{Name: "X-Memory-Kb", Value: strconv.FormatFloat(r.arrival.SizeKB, 'f', -1, 64)},
			{Name: "X-Rank", Value: strconv.FormatFloat(r.arrival.ValueRank, 'f', -1, 64)},
		},
	}
	maxPacket := b.cfg.AJP.packet()
	b.scratch = ajp.AppendForward(b.scratch[:0], &forward, maxPacket)
	carrier.unsentBody = r.callBody[min(len(r.callBody), ajp.MaxBodyChunk(maxPacket)):]
	carrier.conn.Write(b.scratch)
}

// onAnswer handles a message of a server.
func (u *ajpUpstream) onAnswer(from *ajpConn, answer ajp.Reply) {
	b := u.backend
	answered := from.call
	switch answer.Kind {
	case ajp.CPong:
		if from.pongBy > 0 {
			u.send(from)
		}
		return
	case ajp.GetBodyChunk:
		if answered != nil {
			maxPart := min(b.cfg.AJP.packet(), answer.MaxLength+ajp.BodyChunkOverhead)
			b.scratch, from.unsentBody = ajp.AppendBodyChunk(b.scratch[:0], from.unsentBody, maxPart)
			from.conn.Write(b.scratch)
		}
		return
	}
	if answered == nil {
		return // given up: the connection is being closed
	}
	from.call = nil
	from.usedAt = b.now
	answered.ajpConn = nil
	if answer.Reuse {
		u.release(from)
	} else {
		u.close(from)
	}
	u.endAnswered(answered, &answer)
}

// endAnswered ends a call, or retries it at another target, as the answer's status says.
func (u *ajpUpstream) endAnswered(answered *upstreamCall, answer *ajp.Reply) {
	switch answer.Status {
	case 200:
		u.leaveTarget(answered, loadbalance.Succeeded)
		u.backend.processor.replyToCall(answered.request, answer.Body)
		u.end(answered, overload.OK)
	case 429, 503: // it never ran
		if forbidsRetry(answer) {
			u.leaveTarget(answered, loadbalance.Overloaded)
			u.end(answered, overload.Overloaded)
			return
		}
		u.retryElsewhere(answered, loadbalance.Overloaded, overload.Overloaded)
	case 504:
		u.leaveTarget(answered, loadbalance.Succeeded)
		u.end(answered, overload.TimedOut)
	default:
		u.leaveTarget(answered, loadbalance.Succeeded)
		u.end(answered, overload.Failed)
	}
}

func forbidsRetry(answer *ajp.Reply) (forbidden bool) {
	answer.Headers.Each(func(name, value []byte) {
		if bytes.EqualFold(name, dontRetryName) && string(value) == "1" {
			forbidden = true
		}
	})
	return forbidden
}

// leaveTarget tells the load balancer how a call ended at its target.
func (u *ajpUpstream) leaveTarget(left *upstreamCall, outcome loadbalance.Outcome) {
	u.balancer.Done(u.backend.now, left.target, outcome)
	left.target = nil
	left.ajpConn = nil
}

// retryElsewhere follows the proof that a call never ran at its target: another target may have it.
func (u *ajpUpstream) retryElsewhere(failed *upstreamCall, outcome loadbalance.Outcome, proved overload.Outcome) {
	failed.tried = append(failed.tried, failed.target)
	failed.proved = proved
	u.leaveTarget(failed, outcome)
	if u.backend.now >= failed.deadline {
		u.end(failed, proved)
		return
	}
	u.place(failed)
}

func (u *ajpUpstream) end(ended *upstreamCall, outcome overload.Outcome) {
	invariant.Check(ended.target == nil, "a call that ends is at no target")
	u.remove(ended)
	u.backend.callEnded(ended, outcome)
}

// drop takes a call of which nothing is known from its target and closes its connection: AJP has no other way to abort
// a call.
func (u *ajpUpstream) drop(dropped *upstreamCall, outcome loadbalance.Outcome) {
	carrier := dropped.ajpConn
	if dropped.target != nil {
		u.leaveTarget(dropped, outcome)
	}
	if carrier != nil {
		carrier.call = nil
		u.close(carrier)
	}
}

func (u *ajpUpstream) cancel(r *request) {
	cancelled := r.call
	if cancelled == nil {
		return
	}
	u.drop(cancelled, loadbalance.Abandoned)
	u.remove(cancelled)
}

func (u *ajpUpstream) reconfigure(cfg *Config) {
	balancer := cfg.AJPUpstream.Balancer
	balancer.Seed = u.backend.cfg.Seed
	u.balancer.Update(balancer)
	for target, pool := range u.pools { // each by itself: the order doesn't matter
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
		if pending := u.calls[id]; pending != nil { // else ended by the end of an earlier one
			u.expireCall(pending)
		}
	}
	u.closeIdle()
}

// expireCall gives up a call whose time has passed, and the connection of a call whose target doesn't answer CPing.
func (u *ajpUpstream) expireCall(pending *upstreamCall) {
	b := u.backend
	carrier := pending.ajpConn
	awaitsPong := carrier != nil && carrier.pongBy > 0
	switch {
	case b.now >= pending.deadline+callGrace:
		outcome := loadbalance.TimedOut
		if carrier == nil || awaitsPong { // it was never sent
			outcome = loadbalance.Fault
		}
		u.drop(pending, outcome)
		u.end(pending, overload.TimedOut)
	case awaitsPong && b.now >= carrier.pongBy:
		b.logLimited("upstream unreachable", "peer", carrier.target.Address, "reason", errNoPong)
		carrier.call = nil
		u.close(carrier)
		u.retryElsewhere(pending, loadbalance.Fault, overload.NoConnection)
	default:
		b.wakeBy(pending.deadline + callGrace)
		if awaitsPong {
			b.wakeBy(carrier.pongBy)
		}
	}
}
