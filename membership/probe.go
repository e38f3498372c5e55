package membership

import (
	"slices"
	"time"
)

// probeStage is the stage of a pending probe.
//
//	from    to        when
//	direct  indirect  no ack arrived within the probe timeout: sendPingRequests
//	any     (gone)    an ack arrived: receiveAck; the last timeout passed: expireProbes; its target was removed: forget
type probeStage uint8

const (
	directProbe   probeStage = iota // the target was sent a ping
	indirectProbe                   // relays were sent ping requests as well
	relayedProbe                    // the target was sent a ping on behalf of another node
)

// probe is a pending probe: a ping without an ack so far.
type probe struct {
	target    string
	number    uint64
	startedAt time.Duration
	stage     probeStage

	// Only for a relayed probe: the node that requested it, and the number of the probe at that node.
	requester       string
	requesterNumber uint64
}

// probeDeadline returns when the current stage of a probe times out.
func (d *Detector) probeDeadline(p *probe) time.Duration {
	timeout := d.cfg.ProbeInterval
	if p.stage == directProbe {
		timeout = d.cfg.ProbeTimeout
	}
	return p.startedAt + d.scaleByLocalHealth(timeout)
}

// probeNext starts a probe of the next node of the round. Nodes that are not recorded as running are pinged too, so that their return is
// detected, but a missing ack has no consequence for them.
func (d *Detector) probeNext(now time.Duration) {
	if d.nextTarget == 0 {
		order := d.probeOrder
		d.randomSource.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	target := d.probeOrder[d.nextTarget]
	d.nextTarget = (d.nextTarget + 1) % len(d.probeOrder)
	number := d.sendPing(target)
	if d.Alive(target) {
		d.probes = append(d.probes, probe{target: target, number: number, startedAt: now})
	}
}

// sendPing sends a ping with a new probe number and returns the number.
func (d *Detector) sendPing(to string) uint64 {
	d.lastProbe++
	d.send(to, Message{Kind: Ping, Number: d.lastProbe})
	return d.lastProbe
}

// expireProbes moves each probe whose deadline has passed to its next stage, or ends it.
func (d *Detector) expireProbes(now time.Duration) {
	pending := d.probes[:0]
	for _, p := range d.probes {
		if now < d.probeDeadline(&p) {
			pending = append(pending, p)
			continue
		}
		switch p.stage {
		case directProbe:
			d.sendPingRequests(&p)
			pending = append(pending, p)
		case indirectProbe:
			// The ack may be missing because the local node is slow.
			d.adjustLocalHealth(1)
			d.suspect(now, p.target)
		case relayedProbe:
			// The requester applies its own deadline.
		}
	}
	clear(d.probes[len(pending):])
	d.probes = pending
}

// sendPingRequests starts the indirect stage of a probe: it requests relays to ping the target.
func (d *Detector) sendPingRequests(p *probe) {
	p.stage = indirectProbe
	for _, relay := range d.pickRelays(p.target) {
		d.send(relay, Message{Kind: PingRequest, Number: p.number, Target: p.target})
	}
}

// pickRelays selects random nodes that are Alive to ping a target.
func (d *Detector) pickRelays(target string) []string {
	var candidates []string
	for _, name := range d.probeOrder {
		if name != target && d.peers[name].State == Alive {
			candidates = append(candidates, name)
		}
	}
	count := min(d.cfg.IndirectProbes, len(candidates))
	for i := range count {
		k := i + d.randomSource.Intn(len(candidates)-i)
		candidates[i], candidates[k] = candidates[k], candidates[i]
	}
	return candidates[:count]
}

// relayProbe handles a ping request: it pings the target on behalf of the requester.
func (d *Detector) relayProbe(now time.Duration, requester string, m *Message) {
	if d.peers[m.Target] == nil {
		return
	}
	d.probes = append(d.probes, probe{
		target:          m.Target,
		number:          d.sendPing(m.Target),
		startedAt:       now,
		stage:           relayedProbe,
		requester:       requester,
		requesterNumber: m.Number,
	})
}

// receiveAck ends the probe with the given target and number. It forwards the ack to the requester of a relayed probe.
func (d *Detector) receiveAck(now time.Duration, target string, number uint64) {
	for i, p := range d.probes {
		if p.number != number || p.target != target {
			continue
		}
		d.probes = slices.Delete(d.probes, i, i+1)
		if p.stage == relayedProbe {
			d.send(p.requester, Message{Kind: Ack, Number: p.requesterNumber, Target: target})
			return
		}
		d.adjustLocalHealth(-1)
		d.extendSuspicion(now, d.peers[target])
		return
	}
}
