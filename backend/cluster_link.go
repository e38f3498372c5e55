package backend

import (
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/recovery"
)

const (
	// nodeRedialWait is the time between tries to reach a node.
	nodeRedialWait = 200 * time.Millisecond
	// maxUnsentToNode is how many bytes may wait for a node that takes none. Then the connection is closed.
	maxUnsentToNode = 4 << 20
)

// peerLink is the connection on which this node sends to another one. What the other sends comes on a connection that
// it has opened; see peerConn.
type peerLink struct {
	address    string
	processor  string
	conn       *conn.Conn // nil while there is none
	dialing    bool
	redialAt   time.Duration
	batch      peerproto.Batch // of this turn
	queryState bool            // the node is to be asked what it remembers of this one
}

// hasPending reports whether a link has something to send.
func (l *peerLink) hasPending() bool {
	batch := &l.batch
	messages := len(batch.Members) + len(batch.Claims)
	return messages > 0 || batch.PeerState != nil || batch.PageRequest != nil || batch.Page != nil || l.queryState
}

// abort closes the connection of a link, if there is one.
func (l *peerLink) abort() {
	if l.conn != nil {
		l.conn.Abort(conn.ErrClosedLocally)
	}
}

// updateLinks makes the links those to the nodes of the roster, at their addresses, and has the failure detector probe
// those nodes.
func (c *cluster) updateLinks() {
	nodes := append(c.roster.allMembers(), c.departing...)
	var names []string
	for _, node := range nodes {
		names = append(names, node.Name)
		if node.Name == c.backend.cfg.Name {
			continue
		}
		link := c.links[node.Name]
		if link == nil {
			link = &peerLink{}
			c.links[node.Name] = link
		}
		if link.address != node.Address {
			link.abort()
		}
		link.address = node.Address
		link.processor = node.Processor
	}
	for name, link := range c.links {
		if !containsMember(nodes, name) {
			delete(c.links, name)
			link.abort()
			delete(c.peerDigests, name)
		}
	}
	if c.detector != nil {
		c.detector.SetOthers(names)
	}
}

// sendBatches writes what has come together in a turn, one batch a node.
func (c *cluster) sendBatches() {
	for _, link := range c.links { // each has its own connection: the order doesn't matter
		c.flush(link)
	}
}

// flush writes a turn's batch to a node. What can't be sent is lost; its sender retries.
func (c *cluster) flush(link *peerLink) {
	if !link.hasPending() {
		return
	}
	b := c.backend
	if link.conn != nil {
		if link.queryState {
			link.queryState = false
			link.conn.Write(c.helloMessage(true))
		}
		b.scratch = peerproto.Append(b.scratch[:0], &link.batch)
		link.conn.Write(b.scratch)
	} else if !link.dialing && b.now >= link.redialAt {
		link.dialing = true
		address := link.address
		b.loop.Dial(address, func(opened *conn.Conn, err error) { c.dialed(link, address, opened, err) })
	}
	link.batch = peerproto.Batch{}
}

func (c *cluster) dialed(link *peerLink, address string, opened *conn.Conn, err error) {
	link.dialing = false
	link.redialAt = c.backend.now + nodeRedialWait
	if err != nil {
		return
	}
	if link.address != address { // it has moved meanwhile
		opened.CloseAfterSend(conn.ErrClosedLocally)
		return
	}
	link.conn = opened
	opened.MaxUnsent = maxUnsentToNode
	opened.OnData = func([]byte) error { return nil }
	opened.OnClosed = func(error) {
		if link.conn == opened {
			link.conn = nil
		}
	}
	opened.Write(c.helloMessage(link.queryState))
	link.queryState = false
}

// helloMessage is the first message on a connection to another node. It is sent again when the roster changes, and when this
// node's log has grown.
func (c *cluster) helloMessage(queryState bool) []byte {
	b := c.backend
	return peerproto.Append(nil, &peerproto.Batch{Hello: &peerproto.Hello{
		Cluster:       b.cfg.Cluster.Name,
		From:          b.cfg.Name,
		Incarnation:   c.incarnation,
		RosterDigests: c.ownDigests,
		Seq:           c.store.DurableSeq(),
		Mark:          c.mark,
		QueryState:    queryState,
		Features:      recovery.FeatureFences,
	}})
}
