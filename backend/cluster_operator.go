package backend

import (
	"errors"

	"frosthub/recovery"
)

// Errors of what an operator says to a running node.
var (
	ErrNoCluster       = errors.New("no cluster here, or its store is still being loaded")
	ErrUnknownNode     = errors.New("no other node of the cluster has that name")
	ErrNodeAlive       = errors.New("that node seems to be alive")
	ErrHistoryComplete = errors.New("nothing of this node's disk is in doubt")
)

// Trust accepts the operator's assurance that this node's disk is all that there is. What it may lack is not asked for
// any more, and may run twice. The store records it. Trust returns ErrNoCluster or ErrNothingUnknown where it doesn't
// apply. It may be called from any goroutine.
func (b *Backend) Trust() (err error) {
	b.runOnOwner(func() { err = b.cluster.trustDisk() })
	return err
}

func (c *cluster) trustDisk() error {
	b := c.backend
	switch {
	case c.recovery == nil:
		return ErrNoCluster
	case c.store.HistoryComplete() && c.recovery.Phase() != recovery.Querying:
		return ErrHistoryComplete
	}
	b.log.Warn("recovery", "said", "an operator answers for the disk")
	c.store.AcceptHistory(b.guard.now())
	c.refill.history = nil
	c.recovery.TrustDisk()
	c.runRecovery()
	b.guard.flushEntries()
	return nil
}

// Forget accepts the operator's assurance that a node of the cluster never comes back: nobody here waits for what it
// may know. It is recorded beside the store, and ends when that node sends a message after all. Forget returns
// ErrNoCluster, ErrUnknownNode or ErrNodeAlive where it doesn't apply. It may be called from any goroutine.
func (b *Backend) Forget(name string) (err error) {
	b.runOnOwner(func() { err = b.cluster.forgetNode(name) })
	return err
}

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
	b.log.Warn("recovery", "said", "a node never comes back", "node", name)
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
