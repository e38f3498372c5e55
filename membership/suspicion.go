package membership

import (
	"slices"
	"time"
)

// maxHealthScore limits the local health multiplier: the probe interval and the timeouts of probes and suspicions grow to at most
// 1 + maxHealthScore times their configured values.
const maxHealthScore = 8

// LocalHealth returns Lifeguard's local health score, from 0 to 8; 0 means that the local node appears to be healthy. Its probe interval
// and the timeouts of its probes and suspicions are multiplied by the score plus one, so that a node that is slow itself suspects others later.
func (d *Detector) LocalHealth() int { return d.healthScore }

// adjustLocalHealth adds delta to the health score of the local node, within its bounds. A positive delta makes it less healthy.
func (d *Detector) adjustLocalHealth(delta int) {
	d.healthScore = min(max(d.healthScore+delta, 0), maxHealthScore)
}

// scaleByLocalHealth multiplies an interval or a timeout by the local health multiplier.
func (d *Detector) scaleByLocalHealth(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+d.healthScore)
}

// apply records an update if it supersedes the recorded one. It is the only place where the state of a peer changes. A false update on the
// local node is refuted instead.
//
// Within one incarnation and refutation, the state of a node only increases:
//
//	from            to       when
//	Unknown         Alive    the first message from it: Observe
//	Alive           Suspect  neither direct nor indirect probes were answered: suspect
//	Suspect         Dead     the suspicion was not refuted in time: expireSuspicions
//	any lower       any      another node's update reports it: Receive
//
// With a higher refutation, which only the node itself issues, or a higher incarnation, any state may follow any other:
//
//	Suspect, Dead   Alive    the node refutes the suspicion
//	any             Alive    the node has restarted
func (d *Detector) apply(now time.Duration, u Update) {
	if u.Name == d.cfg.Name {
		d.refute(u)
		return
	}
	p := d.peers[u.Name]
	if p == nil || !u.supersedes(p.Update) {
		return
	}
	previous := p.Update
	p.Update = u
	d.gossip.enqueue(u.Name)
	d.removeSuspect(p)
	if u.State == Suspect {
		d.startSuspicion(now, p)
	}
	d.changes = append(d.changes, Change{Update: u, Previous: previous})
}

// refute handles an update that reports the local node as suspected, dead or left: it disseminates an Alive update with a higher
// refutation. Updates on earlier incarnations and updates that were refuted already are ignored, and so is any update after the local node
// has left.
func (d *Detector) refute(u Update) {
	if d.self.State == Left || u.State <= Alive {
		return
	}
	if u.Incarnation != d.self.Incarnation || u.Refutation < d.self.Refutation {
		return
	}
	d.self.Refutation = u.Refutation + 1
	d.adjustLocalHealth(1)
	d.gossip.enqueue(d.cfg.Name)
}

// suspect marks a node that did not answer a probe as Suspect, if it was Alive.
func (d *Detector) suspect(now time.Duration, name string) {
	u := d.peers[name].Update
	if u.State == Alive {
		u.State = Suspect
		d.apply(now, u)
	}
}

// startSuspicion sets the time by which a suspected node must refute the suspicion.
func (d *Detector) startSuspicion(now time.Duration, p *peer) {
	intervals := d.scaleByClusterSize(d.cfg.SuspicionFactor)
	timeout := time.Duration(intervals * float64(d.cfg.ProbeInterval))
	p.suspicionEndsAt = now + d.scaleByLocalHealth(timeout)
	d.suspects = append(d.suspects, p)
}

// extendSuspicion keeps a node that answered while suspected from being declared dead for at least one more probe interval. The answer
// alone does not end the suspicion: the other nodes clear it only after a refutation by the node itself.
func (d *Detector) extendSuspicion(now time.Duration, p *peer) {
	if p.State == Suspect {
		p.suspicionEndsAt = max(p.suspicionEndsAt, now+d.scaleByLocalHealth(d.cfg.ProbeInterval))
	}
}

// expireSuspicions declares suspected nodes dead that did not refute the suspicion in time.
func (d *Detector) expireSuspicions(now time.Duration) {
	for _, p := range slices.Clone(d.suspects) {
		if now >= p.suspicionEndsAt {
			u := p.Update
			u.State = Dead
			d.apply(now, u)
		}
	}
}

// removeSuspect removes a peer from the list of suspects, if it is there.
func (d *Detector) removeSuspect(p *peer) {
	d.suspects = slices.DeleteFunc(d.suspects, func(other *peer) bool { return other == p })
}
