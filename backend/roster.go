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

// lists are the boxes of a cluster as a box goes by them, with where they are. The record of them on the disk is newer than, or the same
// as, what the box acts on: what it begins with after a restart is what others may know of it.
type lists struct {
	Members []ClusterMember `json:"members"`
	Before  []ClusterMember `json:"before,omitempty"`
	Since   time.Duration   `json:"since"` // nanoseconds since 1970; see takeover.Roster
}

// wanted are those of the operator's file.
func (c *ClusterConfig) wanted() lists { return lists{Members: c.Members, Before: c.Previous} }

func plain(list []ClusterMember) (out []failover.Member) {
	for _, m := range list {
		out = append(out, m.Member)
	}
	return out
}

func (l *lists) roster() failover.Roster {
	return failover.Roster{Members: plain(l.Members), Previous: plain(l.Before), Since: l.Since}
}

func has(list []ClusterMember, name string) bool {
	return slices.ContainsFunc(list, func(m ClusterMember) bool { return m.Name == name })
}

// all are those of both lists; where a box stands in both, as it stands in the new one.
func (l *lists) all() []ClusterMember {
	out := slices.Clone(l.Members)
	for _, m := range l.Before {
		if !has(out, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// readLists gives what this box went by last, or what it is told to begin with; that is put on the disk then.
func readLists(dir string, first lists) (lists, error) {
	text, err := os.ReadFile(filepath.Join(dir, rosterName))
	if errors.Is(err, fs.ErrNotExist) {
		return first, writeLists(dir, first)
	}
	var l lists
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

func writeLists(dir string, l lists) error {
	text, err := json.MarshalIndent(l, "", " ")
	if err != nil {
		return err
	}
	return wal.WriteFile(wal.DirDisk(dir), rosterName, append(text, '\n'))
}

// change has the box go by the lists of another configuration as soon as it may.
func (c *cluster) change(cfg ClusterConfig) {
	if !c.enabled() || cfg.Name != c.backend.cfg.Cluster.Name {
		return
	}
	c.backend.cfg.Cluster.Members, c.backend.cfg.Cluster.Previous = cfg.Members, cfg.Previous
	c.pending = true
	c.tryAt = c.backend.now
}

// tryChange does so if it may, and finds out whether all others go by both lists.
func (c *cluster) tryChange() {
	b := c.backend
	if c.recording || !c.pending && (len(c.lists.Before) == 0 || c.lists.Since > 0) {
		return
	}
	if b.now < c.tryAt {
		b.wakeBy(c.tryAt)
		return
	}
	c.tryAt = b.now + rosterAgain
	b.wakeBy(c.tryAt)
	r := c.lists.roster()
	if len(r.Previous) > 0 && r.Since == 0 {
		behind := r.NotAdopted(b.cfg.Name, func(name string) []uint64 { return c.adopted[name] })
		if c.why = ""; len(behind) == 0 {
			l := c.lists
			l.Since = b.guard.now()
			c.record(l)
			return
		}
		c.why = fmt.Sprintf("%v: %s", failover.ErrNotAdopted, strings.Join(behind, ", "))
	}
	if !c.pending {
		return
	}
	want := b.cfg.Cluster.wanted()
	next, err := r.Next(b.guard.now(), c.wait(), want.roster())
	if err != nil {
		if c.why == "" || !errors.Is(err, failover.ErrNotAdopted) {
			c.why = err.Error()
		}
		b.logLimited("members not changed", "why", c.why)
		return
	}
	want.Since, c.why, c.pending = next.Since, "", false
	if !reflect.DeepEqual(want, c.lists) {
		c.record(want)
	}
}

// wait is how long after a req was read it may run or be asked for again.
func (c *cluster) wait() time.Duration {
	longest := c.backend.cfg.Idempotency.Store.RetryHorizon
	for _, h := range c.backend.handlers {
		longest = max(longest, h.timeout)
	}
	return longest
}

// record has the box go by these lists once they are on the disk.
func (c *cluster) record(l lists) {
	b := c.backend
	c.recording = true
	dir := b.cfg.Idempotency.Dir
	go func() { // the disk may be slow
		err := writeLists(dir, l)
		b.loop.Post(func() {
			c.recording = false
			if err != nil {
				c.pending = true
				b.logLimited("members not changed", "why", err)
				return
			}
			c.goBy(l)
		})
	}()
}

// goBy has the box go by these lists from now on.
func (c *cluster) goBy(l lists) {
	b := c.backend
	if len(l.Before) == 0 { // who was in the list before may still hold reqs, and have them noted
		for _, m := range c.lists.Before {
			if !m.Removed && m.Name != b.cfg.Name && !has(l.Members, m.Name) {
				c.leavers = append(c.leavers, m)
			}
		}
	}
	c.leavers = slices.DeleteFunc(c.leavers, func(m ClusterMember) bool { return has(l.all(), m.Name) })
	c.lists = l
	r := l.roster()
	c.goes = r.Digests()
	c.node.Reconfigure(b.guard.now(), r.Members, r.Previous)
	c.connect()
	c.recovery.SetOthers(c.witnesses())
	if r := c.refill.from; r != nil && !r.Done() {
		r.SetOthers(c.others())
	}
	for _, link := range c.links {
		if link.c != nil {
			link.c.Write(c.hello(false))
		}
	}
	b.log.Info("members", "now", len(l.Members), "before", len(l.Before), "all_since", c.allSince())
}

// allSince is when all boxes went by both lists, as far as this one knows.
func (c *cluster) allSince() string {
	if c.lists.Since == 0 {
		return ""
	}
	return time.Unix(0, int64(c.lists.Since)).UTC().Format(time.RFC3339)
}

// connect has links be those to the boxes of the lists, at their addresses, and those boxes be the ones that are probed.
func (c *cluster) connect() {
	all := append(c.lists.all(), c.leavers...)
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
		if l.c != nil && l.address != m.Address {
			l.c.Abort(conn.ErrClosedLocally)
		}
		l.address, l.processor = m.Address, m.Processor
	}
	for name, l := range c.links {
		if has(all, name) {
			continue
		}
		if delete(c.links, name); l.c != nil {
			l.c.Abort(conn.ErrClosedLocally)
		}
		delete(c.adopted, name)
	}
	if c.list != nil {
		c.list.SetOthers(names)
	}
}

// forget lets go of a box that is no member any more once it is taken for dead. One that leaves may still wait for the ends of its runs.
func (c *cluster) forget(x membership.Update) {
	if x.State == membership.Dead {
		n := len(c.leavers)
		if c.leavers = slices.DeleteFunc(c.leavers, func(m ClusterMember) bool { return m.Name == x.Name }); len(c.leavers) < n {
			c.connect()
		}
	}
}

// hello is what a connection to another box begins with, and what it is told when the lists change.
func (c *cluster) hello(ask bool) []byte {
	b := c.backend
	return peerproto.Append(nil, &peerproto.Batch{Hello: &peerproto.Hello{
		Cluster: b.cfg.Cluster.Name, From: b.cfg.Name, Incarnation: c.incarnation,
		Lists: c.goes, Seq: c.store.LastSeq(), Mark: c.mark, QueryState: ask, Features: recovery.FeatureFences,
	}})
}
