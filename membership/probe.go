package membership

import (
	"slices"
	"time"
)

// probeStage is how far a probe has come.
//
//	from    to        when
//	direct  indirect  no ack within the probe timeout: askHelpers
//	any     (gone)    an ack arrived: receiveAck; the time is over: expireProbes; its target was forgotten
type probeStage uint8

const (
	directProbe   probeStage = iota // the target was pinged
	indirectProbe                   // so were helpers asked to ping it
	relayedProbe                    // the target was pinged on behalf of another node
)

// probe is a ping that was not yet answered.
type probe struct {
	target    string
	number    uint64
	startedAt time.Duration
	stage     probeStage

	// Of a relayed probe: who asked for it, and the number of its probe there.
	requester       string
	requesterNumber uint64
}

// probeDeadline returns when the present stage of a probe ends.
func (d *Detector) probeDeadline(p *probe) time.Duration {
	timeout := d.cfg.ProbeInterval
	if p.stage == directProbe {
		timeout = d.cfg.ProbeTimeout
	}
	return p.startedAt + d.scaleByLocalHealth(timeout)
}

// probeNext begins a probe of the next node of the round. Nodes that are not believed to run are pinged too, so that they are found when they
// are back, but no answer is expected of them.
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

// sendPing pings a node under a new number, which it returns.
func (d *Detector) sendPing(to string) uint64 {
	d.lastProbe++
	d.send(to, Message{Kind: Ping, Number: d.lastProbe})
	return d.lastProbe
}

// expireProbes has each probe whose deadline has passed go on to its next stage, or ends it.
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
			// That no ack came may be the fault of this node.
			d.adjustLocalHealth(1)
			d.suspect(now, p.target)
		case relayedProbe:
			// The requester has its own deadline.
		}
	}
	clear(d.probes[len(pending):])
	d.probes = pending
}

// askHelpers has other nodes ping the target of a probe.
func (d *Detector) sendPingRequests(p *probe) {
	p.stage = indirectProbe
	for _, relay := range d.pickRelays(p.target) {
		d.send(relay, Message{Kind: PingRequest, Number: p.number, Target: p.target})
	}
}

// pickHelpers draws nodes that are Alive to probe a target.
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

// relayProbe pings the target of a ping request on behalf of its sender.
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

// receiveAck ends the probe of that number, and passes the ack on if the probe was relayed.
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
