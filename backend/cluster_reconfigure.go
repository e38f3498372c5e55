package backend

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"frosthub/failover"
	"frosthub/membership"
)

// reconfigureRetryInterval is the time between attempts to adopt another roster.
const reconfigureRetryInterval = time.Second

// rosterChange is the progress of a change to another roster.
type rosterChange struct {
	pending bool          // the configured roster is not adopted yet
	retryAt time.Duration // time of the next attempt
	reason  string        // why the configured roster is not adopted yet
	writing bool          // a roster is being written; it is adopted once it is durable
}

// reconfigure makes the node adopt the roster of another configuration as soon as that is safe.
func (c *cluster) reconfigure(cfg ClusterConfig) {
	if !c.enabled() || cfg.Name != c.backend.cfg.Cluster.Name {
		return
	}
	c.backend.cfg.Cluster.Members = cfg.Members
	c.backend.cfg.Cluster.Previous = cfg.Previous
	c.change.pending = true
	c.change.retryAt = c.backend.now
}

// tryReconfigure adopts the configured roster if that is safe. While the members change, it also checks whether all
// other nodes have adopted both lists.
func (c *cluster) tryReconfigure() {
	b := c.backend
	awaitsOthers := len(c.roster.Previous) > 0 && c.roster.Since <= 0
	if c.change.writing || !c.change.pending && !awaitsOthers {
		return
	}
	if b.now < c.change.retryAt {
		b.wakeBy(c.change.retryAt)
		return
	}
	c.change.retryAt = b.now + reconfigureRetryInterval
	b.wakeBy(c.change.retryAt)
	roster := c.roster.forFailover()
	if len(roster.Previous) > 0 && roster.Since == 0 && c.recordAdoptedByAll(&roster) {
		return
	}
	if c.change.pending {
		c.adoptConfigured(&roster)
	}
}

// recordAdoptedByAll reports whether all other nodes have adopted both lists, and if so stores the current time as the
// roster's Since.
func (c *cluster) recordAdoptedByAll(roster *failover.Roster) bool {
	b := c.backend
	notAdopted := roster.NotAdopted(b.cfg.Name, func(name string) []uint64 { return c.peerDigests[name] })
	if len(notAdopted) > 0 {
		c.change.reason = fmt.Sprintf("%v: %s", failover.ErrNotAdopted, strings.Join(notAdopted, ", "))
		return false
	}
	c.change.reason = ""
	updated := c.roster
	updated.Since = b.guard.now()
	c.writeRoster(updated)
	return true
}

// adoptConfigured adopts the configured roster if the rules allow it to follow the current one.
func (c *cluster) adoptConfigured(roster *failover.Roster) {
	b := c.backend
	configured := b.cfg.Cluster.roster()
	next, err := roster.Next(b.guard.now(), c.retryWindow(), configured.forFailover())
	if err != nil {
		if c.change.reason == "" || !errors.Is(err, failover.ErrNotAdopted) {
			c.change.reason = err.Error()
		}
		b.logLimited("membership change postponed", "reason", c.change.reason)
		return
	}
	configured.Since = next.Since
	c.change.reason = ""
	c.change.pending = false
	if !reflect.DeepEqual(configured, c.roster) {
		c.writeRoster(configured)
	}
}

// retryWindow returns how long after a request was read it may still run or be retried.
func (c *cluster) retryWindow() time.Duration {
	longest := c.backend.cfg.Idempotency.Store.RetryHorizon
	for _, handler := range c.backend.handlers {
		longest = max(longest, handler.clientTimeout)
	}
	return longest
}

// writeRoster writes a roster to disk and then adopts it.
func (c *cluster) writeRoster(roster clusterRoster) {
	b := c.backend
	c.change.writing = true
	dir := b.cfg.Idempotency.Dir
	go func() { // the disk may be slow
		err := writeRosterFile(dir, roster)
		b.loop.Post(func() {
			c.change.writing = false
			if err != nil {
				c.change.pending = true
				b.logLimited("membership change postponed", "reason", err)
				return
			}
			c.adopt(roster)
		})
	}()
}

// adopt makes the node use a roster from now on, and announces the roster to the other nodes.
func (c *cluster) adopt(roster clusterRoster) {
	b := c.backend
	c.keepDeparting(&roster)
	c.roster = roster
	members := roster.forFailover()
	c.ownDigests = members.Digests()
	c.node.Reconfigure(b.guard.now(), members.Members, members.Previous)
	c.updateLinks()
	c.recovery.SetOthers(c.recoveryPeers())
	if refill := c.refill.history; refill != nil && !refill.Done() {
		refill.SetOthers(c.others())
	}
	c.sendHelloToAll()
	b.log.Info("membership changed", "members", len(roster.Members), "previous_members", len(roster.Previous),
		"adopted_by_all_since", c.adoptedByAllSince())
}

// keepDeparting keeps the links to the nodes that leave with a new roster: they may still have requests in flight and
// need this node to note the outcomes.
func (c *cluster) keepDeparting(next *clusterRoster) {
	if len(next.Previous) == 0 {
		for _, member := range c.roster.Previous {
			if !member.Removed && member.Name != c.backend.cfg.Name && !containsMember(next.Members, member.Name) {
				c.departing = append(c.departing, member)
			}
		}
	}
	c.departing = slices.DeleteFunc(c.departing, func(member ClusterMember) bool {
		return containsMember(next.allMembers(), member.Name)
	})
}

// sendHelloToAll sends a hello message to all connected peers.
func (c *cluster) sendHelloToAll() {
	for _, link := range c.links {
		if link.conn != nil {
			link.conn.Write(c.helloMessage(false))
		}
	}
}

// adoptedByAllSince returns the time since which all nodes are known to have adopted both lists, in RFC 3339 format. It
// returns "" if some are not known to.
func (c *cluster) adoptedByAllSince() string {
	if c.roster.Since == 0 {
		return ""
	}
	return time.Unix(0, int64(c.roster.Since)).UTC().Format(time.RFC3339)
}

// unlinkDeparted closes the link to a departing node once the node is considered dead. A node that has left may still
// wait for the outcomes of its runs.
func (c *cluster) unlinkDeparted(update membership.Update) {
	if update.State != membership.Dead {
		return
	}
	before := len(c.departing)
	c.departing = slices.DeleteFunc(c.departing, func(member ClusterMember) bool { return member.Name == update.Name })
	if len(c.departing) < before {
		c.updateLinks()
	}
}
