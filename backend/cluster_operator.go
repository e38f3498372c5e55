package backend

import (
	"errors"

	"frosthub/recovery"
)

// Errors of an operator's requests to a running node.
var (
	ErrNoCluster       = errors.New("the node belongs to no cluster, or its store is still loading")
	ErrUnknownNode     = errors.New("no other node of the cluster has that name")
	ErrNodeAlive       = errors.New("the failure detector considers that node alive")
	ErrHistoryComplete = errors.New("the history in this node's store is already complete")
)

// Trust accepts the operator's assurance that this node's disk is complete. The node stops querying its peers for
// missing history; a request that is missing on the disk may run twice. The store records the assurance. Trust returns
// ErrNoCluster without a loaded store of a cluster, and ErrHistoryComplete if the history is complete already. It may
// be called from any goroutine.
func (b *Backend) Trust() (err error) {
	b.runOnOwner(func() { err = b.cluster.trustDisk() })
	return err
}

// trustDisk carries out Trust on the owner goroutine.
func (c *cluster) trustDisk() error {
	b := c.backend
	switch {
	case c.recovery == nil:
		return ErrNoCluster
	case c.store.HistoryComplete() && c.recovery.Phase() != recovery.Querying:
		return ErrHistoryComplete
	}
	b.log.Warn("recovery", "event", "an operator has confirmed that the store is complete")
	c.store.AcceptHistory(b.guard.now())
	c.refill.history = nil
	c.recovery.TrustDisk()
	c.runRecovery()
	b.guard.flushEntries()
	return nil
}

// Forget accepts the operator's assurance that another node of the cluster never returns: this node no longer waits for
// the history and the recorded states of that node. The assurance is stored beside the store, and ends when that node
// sends a message after all. Forget returns ErrNoCluster without a loaded store of a cluster, ErrUnknownNode if name is
// not another node of the cluster, and ErrNodeAlive if that node seems to be alive. It may be called from any
// goroutine.
func (b *Backend) Forget(name string) (err error) {
	b.runOnOwner(func() { err = b.cluster.forgetNode(name) })
	return err
}

// forgetNode carries out Forget on the owner goroutine.
func (c *cluster) forgetNode(name string) error {
	b := c.backend
	switch {
	case c.recovery == nil:
		return ErrNoCluster
	case c.links[name] == nil:
		return ErrUnknownNode
	case c.node != nil && c.Alive(name):
		return ErrNodeAlive
	}
	b.log.Warn("recovery", "event", "an operator has confirmed that a node never returns", "node", name)
	c.peerStates.Forget(name, b.guard.now())
	c.recovery.SetOthers(c.recoveryPeers())
	c.recovery.Tick(b.now)
	if c.refill.history != nil {
		c.refill.history.Exclude(name)
		c.finishRefill()
	}
	c.runRecovery()
	return nil
}
