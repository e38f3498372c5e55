package backend

import (
	"errors"
	"fmt"

	"frosthub/failover"
	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/recovery"
)

// maxHelloBytes is how many bytes are taken of a node that has not said who it is.
const maxHelloBytes = 4 << 10

var (
	errStranger = errors.New("not of this cluster")
	errNoHello  = errors.New("it does not say who it is")
)

// peerConn is a connection that another node has opened to send on.
type peerConn struct {
	cluster     *cluster
	node        string // its name; empty until it has said who it is
	incarnation uint64
}

// accept takes the connection of another node.
func (c *cluster) accept(accepted *conn.Conn) {
	peer := &peerConn{cluster: c}
	parser := peerproto.NewParser(peer.receive)
	accepted.OnData = c.backend.parseLogged("bad node", func(text []byte) error {
		err := parser.Feed(text)
		if err == nil && peer.node == "" && parser.Buffered() > maxHelloBytes {
			return errNoHello
		}
		return err
	})
	accepted.OnClosed = func(error) {}
}

// receive handles a batch of messages. An error closes the connection.
func (p *peerConn) receive(batch *peerproto.Batch) error {
	c := p.cluster
	if c.recovery == nil && batch.Hello == nil {
		return nil // the store is not loaded yet: the other node retries
	}
	if hello := batch.Hello; hello != nil && (p.node == "" || p.node == hello.From) {
		if err := p.identify(hello); err != nil {
			return err
		}
	}
	if p.node != "" && batch.PeerState != nil && c.recovery != nil {
		c.recovery.Receive(c.backend.now, p.node, *batch.PeerState)
	}
	switch {
	case p.node == "":
		return errNoHello
	case c.node == nil:
		return nil
	case c.links[p.node] == nil:
		return fmt.Errorf("%w: %s", errStranger, p.node)
	}
	p.dispatch(batch)
	return nil
}

// identify takes a hello.
func (p *peerConn) identify(hello *peerproto.Hello) error {
	c := p.cluster
	isMember := c.links[hello.From] != nil || c.recovery == nil // the members are not known before the store is loaded
	if hello.Cluster != c.backend.cfg.Cluster.Name || !isMember {
		return fmt.Errorf("%w: %s of %s", errStranger, hello.From, hello.Cluster)
	}
	p.node = hello.From
	p.incarnation = hello.Incarnation
	c.peerDigests[p.node] = hello.RosterDigests
	c.onHello(hello)
	return nil
}

// dispatch hands the messages of a member to those that they are for.
func (p *peerConn) dispatch(batch *peerproto.Batch) {
	c := p.cluster
	b := c.backend
	if batch.PageRequest != nil {
		c.sendPage(p.node, p.incarnation, batch.PageRequest)
	}
	if batch.Page != nil {
		c.onPage(p.node, p.incarnation, batch.Page)
	}
	if len(batch.Members) == 0 {
		c.detector.Observe(b.now, p.node, p.incarnation)
	}
	for i := range batch.Members {
		c.detector.Receive(b.now, p.node, p.incarnation, &batch.Members[i])
	}
	if len(batch.Claims) > 0 && !failover.Compatible(c.peerDigests[p.node], c.ownDigests) {
		b.logLimited("member lists differ", "node", p.node)
		return
	}
	for i := range batch.Claims {
		c.node.Receive(b.guard.now(), p.node, p.incarnation, &batch.Claims[i])
	}
}

// onHello takes what a node says of itself, and answers what it asks.
func (c *cluster) onHello(hello *peerproto.Hello) {
	if c.recovery == nil {
		return // the store is not loaded yet: the other node retries
	}
	if hello.QueryState {
		answer := c.peerStates.Answer(hello.From, hello.Mark)
		c.links[hello.From].batch.PeerState = &answer
	}
	if c.peerStates.MarkReturned(hello.From) {
		c.backend.log.Warn("recovery", "back", hello.From, "so", "it is waited for again")
		c.recovery.SetOthers(c.recoveryPeers())
	}
	c.peerStates.Update(hello.From, hello.Mark, recovery.PeerState{Incarnation: hello.Incarnation, Seq: hello.Seq})
	c.peerStates.SetFeatures(hello.From, hello.Features)
}
