package backend

import (
	"time"

	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/recovery"
)

const (
	// peerRedialInterval is the time between attempts to connect to a peer.
	peerRedialInterval = 200 * time.Millisecond
	// maxUnsentToPeer is the maximum number of unsent bytes for a peer that does not read. Beyond it, the connection is
	// closed.
	maxUnsentToPeer = 4 << 20
)

// peerLink is the outgoing connection to a peer. This node only sends on it; the peer's messages arrive on the
// connection that the peer has opened, a peerConn.
type peerLink struct {
	address    string
	processor  string
	conn       *conn.Conn // nil while not connected
	dialing    bool
	redialAt   time.Duration
	batch      peerproto.Batch // messages of this turn
	queryState bool            // the next hello queries the state of this node that the peer has recorded
}

// hasPending reports whether the link has anything to send.
func (l *peerLink) hasPending() bool {
	batch := &l.batch
	messages := len(batch.Members) + len(batch.Claims)
	return messages > 0 || batch.PeerState != nil || batch.PageRequest != nil || batch.Page != nil || l.queryState
}

// abort closes the connection of the link, if there is one.
func (l *peerLink) abort() {
	if l.conn != nil {
		l.conn.Abort(conn.ErrClosedLocally)
	}
}

// updateLinks adds, removes and readdresses links so that there is one to each other node of the roster and to each
// departing node. It also sets the nodes that the failure detector probes.
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

// sendBatches writes the messages of this turn, one batch for each peer.
func (c *cluster) sendBatches() {
	for _, link := range c.links { // the order does not matter: each link has its own connection
		c.flush(link)
	}
}

// flush writes this turn's batch to a peer. Without a connection the batch is dropped, and the senders of its messages
// retry; flush then starts to connect.
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

// dialed starts using the connection to a peer that was dialed. If err is set, a later flush dials again.
func (c *cluster) dialed(link *peerLink, address string, opened *conn.Conn, err error) {
	link.dialing = false
	link.redialAt = c.backend.now + peerRedialInterval
	if err != nil {
		return
	}
	if link.address != address { // the address has changed in the meantime
		opened.CloseAfterSend(conn.ErrClosedLocally)
		return
	}
	link.conn = opened
	opened.MaxUnsent = maxUnsentToPeer
	opened.OnData = func([]byte) error { return nil }
	opened.OnClosed = func(error) {
		if link.conn == opened {
			link.conn = nil
		}
	}
	opened.Write(c.helloMessage(link.queryState))
	link.queryState = false
}

// helloMessage returns the first message on a connection to a peer. It is sent again when the roster changes, and when
// this node's log has grown.
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
