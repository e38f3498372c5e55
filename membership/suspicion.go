package membership

import (
	"slices"
	"time"
)

// maxHealthScore bounds the local health multiplier: probes and suspicions take 1 + maxHealthScore times as long at most.
const maxHealthScore = 8

// LocalHealth returns Lifeguard's local health score, from 0 to 8: 0 means that the local node seems to be well. The timeouts of its probes
// and suspicions are multiplied by the score plus one, so that a node which is slow itself accuses others later.
func (d *Detector) LocalHealth() int { return d.healthScore }

// adjustLocalHealth worsens the score of the local node, or improves it by a negative delta.
func (d *Detector) adjustLocalHealth(delta int) {
	d.healthScore = min(max(d.healthScore+delta, 0), maxHealthScore)
}

// scaleByLocalHealth applies the local health multiplier to a timeout.
func (d *Detector) scaleByLocalHealth(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+d.healthScore)
}

// apply takes over an update if it supersedes what is known of the node. It is the one place where the state of a peer changes. A false one
// about the local node is refuted instead.
//
// Within one incarnation and refutation a node's state only ever rises:
//
//	from            to       when
//	Unknown         Alive    the first message from it: Observe
//	Alive           Suspect  neither direct nor indirect probes were answered: suspect
//	Suspect         Dead     the suspicion was not refuted in time: expireSuspicions
//	any lower       any      another node's update says so: Receive
//
// With a higher refutation, which only the node itself issues, or a higher incarnation any state may follow any other:
//
//	Suspect, Dead   Alive    the node refutes what is said of it
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

// refute answers an update on the local node that says it is not alive, by an Alive of a higher refutation. Updates on earlier incarnations,
// and those that were refuted already, need no answer; nor does any once the node has left.
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

// suspect marks a node that did not answer a probe, if it was Alive.
func (d *Detector) suspect(now time.Duration, name string) {
	u := d.peers[name].Update
	if u.State == Alive {
		u.State = Suspect
		d.apply(now, u)
	}
}

// startSuspicion gives a suspected node the time to refute.
func (d *Detector) startSuspicion(now time.Duration, p *peer) {
	intervals := d.scaleByClusterSize(d.cfg.SuspicionFactor)
	timeout := time.Duration(intervals * float64(d.cfg.ProbeInterval))
	p.suspicionEndsAt = now + d.scaleByLocalHealth(timeout)
	d.suspects = append(d.suspects, p)
}

// extendSuspicion gives a suspected node that has answered the time of one more probe interval. The answer does not clear it: only its own
// refutation convinces the other nodes.
func (d *Detector) extendSuspicion(now time.Duration, p *peer) {
	if p.State == Suspect {
		p.suspicionEndsAt = max(p.suspicionEndsAt, now+d.scaleByLocalHealth(d.cfg.ProbeInterval))
	}
}

// expireSuspicions declares those dead that did not refute in time.
func (d *Detector) expireSuspicions(now time.Duration) {
	for _, p := range slices.Clone(d.suspects) {
		if now >= p.suspicionEndsAt {
			u := p.Update
			u.State = Dead
			d.apply(now, u)
		}
	}
}

// removeSuspect takes a peer from the list of suspects, if it is there.
func (d *Detector) removeSuspect(p *peer) {
	d.suspects = slices.DeleteFunc(d.suspects, func(other *peer) bool { return other == p })
}
