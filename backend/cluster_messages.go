package backend

import (
	"errors"
	"fmt"

	"frosthub/failover"
	"frosthub/internal/conn"
	"frosthub/internal/peerproto"
	"frosthub/recovery"
)

// maxHelloBytes is the maximum number of bytes to buffer from a peer that has not identified itself.
const maxHelloBytes = 4 << 10

var (
	errNotMember = errors.New("the sender is not a member of this cluster")
	errNoHello   = errors.New("the sender has not identified itself with a hello message")
)

// peerConn is an incoming connection, on which a peer sends its messages.
type peerConn struct {
	cluster     *cluster
	name        string // name of the peer; empty until its hello arrives
	incarnation uint64
}

// accept starts reading from an incoming connection of a peer.
func (c *cluster) accept(accepted *conn.Conn) {
	peer := &peerConn{cluster: c}
	parser := peerproto.NewParser(peer.receive)
	accepted.OnData = c.backend.parseLogged("peer protocol error", func(text []byte) error {
		err := parser.Feed(text)
		if err == nil && peer.name == "" && parser.Buffered() > maxHelloBytes {
			return errNoHello
		}
		return err
	})
	accepted.OnClosed = func(error) {}
}

// receive handles a batch of messages. If it returns an error, the connection is closed.
func (p *peerConn) receive(batch *peerproto.Batch) error {
	c := p.cluster
	if c.recovery == nil && batch.Hello == nil {
		return nil // the store is not loaded yet: the peer retries
	}
	if hello := batch.Hello; hello != nil && (p.name == "" || p.name == hello.From) {
		if err := p.identify(hello); err != nil {
			return err
		}
	}
	if p.name != "" && batch.PeerState != nil && c.recovery != nil {
		c.recovery.Receive(c.backend.now, p.name, *batch.PeerState)
	}
	switch {
	case p.name == "":
		return errNoHello
	case c.node == nil:
		return nil
	case c.links[p.name] == nil:
		return fmt.Errorf("%w: %s", errNotMember, p.name)
	}
	p.dispatch(batch)
	return nil
}

// identify handles a hello message. It returns an error if the sender is not a member of the cluster.
func (p *peerConn) identify(hello *peerproto.Hello) error {
	c := p.cluster
	isMember := c.links[hello.From] != nil || c.recovery == nil // the roster is not known before the store is loaded
	if hello.Cluster != c.backend.cfg.Cluster.Name || !isMember {
		return fmt.Errorf("%w: %s of %s", errNotMember, hello.From, hello.Cluster)
	}
	p.name = hello.From
	p.incarnation = hello.Incarnation
	c.peerDigests[p.name] = hello.RosterDigests
	c.onHello(hello)
	return nil
}

// dispatch passes the messages of a member to the components that handle them.
func (p *peerConn) dispatch(batch *peerproto.Batch) {
	c := p.cluster
	b := c.backend
	if batch.PageRequest != nil {
		c.sendPage(p.name, p.incarnation, batch.PageRequest)
	}
	if batch.Page != nil {
		c.onPage(p.name, p.incarnation, batch.Page)
	}
	if len(batch.Members) == 0 {
		c.detector.Observe(b.now, p.name, p.incarnation)
	}
	for i := range batch.Members {
		c.detector.Receive(b.now, p.name, p.incarnation, &batch.Members[i])
	}
	if len(batch.Claims) > 0 && !failover.Compatible(c.peerDigests[p.name], c.ownDigests) {
		b.logLimited("peer messages dropped: no common member list", "node", p.name)
		return
	}
	for i := range batch.Claims {
		c.node.Receive(b.guard.now(), p.name, p.incarnation, &batch.Claims[i])
	}
}

// onHello records the state that a peer reports in its hello message, and answers its query.
func (c *cluster) onHello(hello *peerproto.Hello) {
	if c.recovery == nil {
		return // the store is not loaded yet: the peer retries
	}
	if hello.QueryState {
		answer := c.peerStates.Answer(hello.From, hello.Mark)
		c.links[hello.From].batch.PeerState = &answer
	}
	if c.peerStates.MarkReturned(hello.From) {
		c.backend.log.Warn("recovery", "returned_node", hello.From, "consequence", "recovery waits for its answer again")
		c.recovery.SetOthers(c.recoveryPeers())
	}
	c.peerStates.Update(hello.From, hello.Mark, recovery.PeerState{Incarnation: hello.Incarnation, Seq: hello.Seq})
	c.peerStates.SetFeatures(hello.From, hello.Features)
}
