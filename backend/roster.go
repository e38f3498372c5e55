package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"frosthub/failover"
	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/internal/wal"
	"frosthub/membership"
	"frosthub/recovery"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"
)

const (
	rosterName  = "cluster.json" // in the folder of the store: the lists that this box goes by
	rosterAgain = time.Second    // between looks whether it may go by others
)

// clusterRoster are the boxes of a cluster as a box goes by them, with where they are. The record of them on the disk is newer than, or the same
// as, what the box acts on: what it begins with after a restart is what others may know of it.
type clusterRoster struct {
	Members  []ClusterMember `json:"members"`
	Previous []ClusterMember `json:"before,omitempty"`
	Since    time.Duration   `json:"since"` // nanoseconds since 1970; see takeover.Roster
}

// wanted are those of the operator's file.
func (c *ClusterConfig) wanted() clusterRoster {
	return clusterRoster{Members: c.Members, Previous: c.Previous}
}

func failoverMembers(list []ClusterMember) (out []failover.Member) {
	for _, m := range list {
		out = append(out, m.Member)
	}
	return out
}

func (l *clusterRoster) forFailover() failover.Roster {
	return failover.Roster{Members: failoverMembers(l.Members), Previous: failoverMembers(l.Previous), Since: l.Since}
}

func containsMember(list []ClusterMember, name string) bool {
	return slices.ContainsFunc(list, func(m ClusterMember) bool { return m.Name == name })
}

// all are those of both lists; where a box stands in both, as it stands in the new one.
func (l *clusterRoster) all() []ClusterMember {
	out := slices.Clone(l.Members)
	for _, m := range l.Previous {
		if !containsMember(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// readRoster gives what this box went by last, or what it is told to begin with; that is put on the disk then.
func readRoster(dir string, first clusterRoster) (clusterRoster, error) {
	text, err := os.ReadFile(filepath.Join(dir, rosterName))
	if errors.Is(err, fs.ErrNotExist) {
		return first, writeRosterFile(dir, first)
	}
	var l clusterRoster
	if err == nil {
		if err = json.Unmarshal(text, &l); err == nil && len(l.Members) == 0 {
			err = errors.New("no members")
		}
	}
	if err != nil {
		return l, fmt.Errorf("%s: %w", rosterName, err)
	}
	return l, nil
}

func writeRosterFile(dir string, l clusterRoster) error {
	text, err := json.MarshalIndent(l, "", " ")
	if err != nil {
		return err
	}
	return wal.WriteFile(wal.DirDisk(dir), rosterName, append(text, '\n'))
}

// reconfigure has the box go by the lists of another configuration as soon as it may.
func (c *cluster) reconfigure(cfg ClusterConfig) {
	if !c.enabled() || cfg.Name != c.backend.cfg.Cluster.Name {
		return
	}
	c.backend.cfg.Cluster.Members, c.backend.cfg.Cluster.Previous = cfg.Members, cfg.Previous
	c.changePending = true
	c.changeAt = c.backend.now
}

// tryReconfigure does so if it may, and finds out whether all others go by both lists.
func (c *cluster) tryReconfigure() {
	b := c.backend
	if c.writingRoster || !c.changePending && (len(c.roster.Previous) == 0 || c.roster.Since > 0) {
		return
	}
	if b.now < c.changeAt {
		b.wakeBy(c.changeAt)
		return
	}
	c.changeAt = b.now + rosterAgain
	b.wakeBy(c.changeAt)
	r := c.roster.forFailover()
	if len(r.Previous) > 0 && r.Since == 0 {
		behind := r.NotAdopted(b.cfg.Name, func(name string) []uint64 { return c.peerDigests[name] })
		if c.changeReason = ""; len(behind) == 0 {
			l := c.roster
			l.Since = b.guard.now()
			c.writeRoster(l)
			return
		}
		c.changeReason = fmt.Sprintf("%v: %s", failover.ErrNotAdopted, strings.Join(behind, ", "))
	}
	if !c.changePending {
		return
	}
	want := b.cfg.Cluster.wanted()
	next, err := r.Next(b.guard.now(), c.retryWindow(), want.forFailover())
	if err != nil {
		if c.changeReason == "" || !errors.Is(err, failover.ErrNotAdopted) {
			c.changeReason = err.Error()
		}
		b.logLimited("members not changed", "why", c.changeReason)
		return
	}
	want.Since, c.changeReason, c.changePending = next.Since, "", false
	if !reflect.DeepEqual(want, c.roster) {
		c.writeRoster(want)
	}
}

// retryWindow is how long after a req was read it may run or be asked for again.
func (c *cluster) retryWindow() time.Duration {
	longest := c.backend.cfg.Idempotency.Store.RetryHorizon
	for _, h := range c.backend.handlers {
		longest = max(longest, h.timeout)
	}
	return longest
}

// writeRoster has the box go by these lists once they are on the disk.
func (c *cluster) writeRoster(l clusterRoster) {
	b := c.backend
	c.writingRoster = true
	dir := b.cfg.Idempotency.Dir
	go func() { // the disk may be slow
		err := writeRosterFile(dir, l)
		b.loop.Post(func() {
			c.writingRoster = false
			if err != nil {
				c.changePending = true
				b.logLimited("members not changed", "why", err)
				return
			}
			c.adopt(l)
		})
	}()
}

// adopt has the box go by these lists from now on.
func (c *cluster) adopt(l clusterRoster) {
	b := c.backend
	if len(l.Previous) == 0 { // who was in the list before may still hold reqs, and have them noted
		for _, m := range c.roster.Previous {
			if !m.Removed && m.Name != b.cfg.Name && !containsMember(l.Members, m.Name) {
				c.departing = append(c.departing, m)
			}
		}
	}
	c.departing = slices.DeleteFunc(c.departing, func(m ClusterMember) bool { return containsMember(l.all(), m.Name) })
	c.roster = l
	r := l.forFailover()
	c.ownDigests = r.Digests()
	c.node.Reconfigure(b.guard.now(), r.Members, r.Previous)
	c.connect()
	c.recovery.SetOthers(c.witnesses())
	if r := c.refill.from; r != nil && !r.Done() {
		r.SetOthers(c.others())
	}
	for _, link := range c.links {
		if link.conn != nil {
			link.conn.Write(c.hello(false))
		}
	}
	b.log.Info("members", "now", len(l.Members), "before", len(l.Previous), "all_since", c.adoptedByAllSince())
}

// adoptedByAllSince is when all boxes went by both lists, as far as this one knows.
func (c *cluster) adoptedByAllSince() string {
	if c.roster.Since == 0 {
		return ""
	}
	return time.Unix(0, int64(c.roster.Since)).UTC().Format(time.RFC3339)
}

// connect has links be those to the boxes of the lists, at their addresses, and those boxes be the ones that are probed.
func (c *cluster) connect() {
	all := append(c.roster.all(), c.departing...)
	var names []string
	for _, m := range all {
		names = append(names, m.Name)
		if m.Name == c.backend.cfg.Name {
			continue
		}
		l := c.links[m.Name]
		if l == nil {
			l = &nodeLink{}
			c.links[m.Name] = l
		}
		if l.conn != nil && l.address != m.Address {
			l.conn.Abort(conn.ErrClosedLocally)
		}
		l.address, l.processor = m.Address, m.Processor
	}
	for name, l := range c.links {
		if containsMember(all, name) {
			continue
		}
		if delete(c.links, name); l.conn != nil {
			l.conn.Abort(conn.ErrClosedLocally)
		}
		delete(c.peerDigests, name)
	}
	if c.detector != nil {
		c.detector.SetOthers(names)
	}
}

// dropDeparted lets go of a box that is no member any more once it is taken for dead. One that leaves may still wait for the ends of its runs.
func (c *cluster) dropDeparted(x membership.Update) {
	if x.State == membership.Dead {
		n := len(c.departing)
		if c.departing = slices.DeleteFunc(c.departing, func(m ClusterMember) bool { return m.Name == x.Name }); len(c.departing) < n {
			c.connect()
		}
	}
}

// hello is what a connection to another box begins with, and what it is told when the lists change.
func (c *cluster) hello(ask bool) []byte {
	b := c.backend
	return peerproto.Append(nil, &peerproto.Batch{Hello: &peerproto.Hello{
		Cluster: b.cfg.Cluster.Name, From: b.cfg.Name, Incarnation: c.incarnation,
		Lists: c.ownDigests, Seq: c.store.LastSeq(), Mark: c.mark, QueryState: ask, Features: recovery.FeatureFences,
	}})
}
