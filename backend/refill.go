package backend

import (
	"slices"

	"frosthub/failover"
	"frosthub/idempotency"
	"frosthub/recovery"
)

// maxUnknownKeys is the maximum number of keys with an unknown outcome that are queried at a start. It covers as many
// as can have been in flight.
const maxUnknownKeys = 4096

// refillState is what this node still queries from its peers: the history that its disk lacks, and the outcomes of runs
// whose end it has not recorded.
type refillState struct {
	history         *recovery.Refill[failover.Cursor] // nil while the history is complete
	unknownOutcomes *recovery.UnknownOutcomes
}

// startRefill starts the transfer of the history that the store lacks, if any, and the queries for keys with an unknown
// outcome.
func (c *cluster) startRefill() {
	var keys [][16]byte
	for _, key := range c.store.KeysWithUnknownOutcome(maxUnknownKeys) {
		keys = append(keys, key)
	}
	c.refill = refillState{unknownOutcomes: recovery.NewUnknownOutcomes(keys)}
	if c.store.HistoryComplete() {
		return
	}
	refill := recovery.NewRefill[failover.Cursor](recovery.RefillConfig{Incarnation: c.incarnation, Others: c.others()}, c.mark)
	for _, name := range c.others() {
		if c.peerStates.Forgotten(name) {
			refill.Exclude(name)
		}
	}
	c.refill.history = refill
	c.store.SetRefillCheck(func(key idempotency.Key) bool { return refill.Covers(c.node.GroupPeers(key)) })
	c.finishRefill() // done at once if an operator has confirmed that no other node returns
}

// others returns the names of all other nodes of the roster.
func (c *cluster) others() (names []string) {
	for _, member := range c.roster.allMembers() {
		if member.Name != c.backend.cfg.Name {
			names = append(names, member.Name)
		}
	}
	return names
}

// refillTick sends the queries that are due.
func (c *cluster) refillTick() {
	c.queryUnknownOutcomes()
	refill := c.refill.history
	if refill == nil || refill.Done() {
		return
	}
	for _, query := range refill.Tick(c.backend.now, c.Alive) {
		if link := c.links[query.To]; link != nil {
			link.batch.PageRequest = &failover.PageRequest{Incarnation: c.incarnation, From: query.From}
		}
	}
}

// queryUnknownOutcomes queries the outcomes that are still unknown and due.
func (c *cluster) queryUnknownOutcomes() {
	now := c.backend.guard.now()
	isUnknown := func(key [16]byte) bool {
		return c.store.PeekOutcome(now, 0, key).Decision == idempotency.OutcomeUnknown
	}
	var keys []idempotency.Key
	for _, key := range c.refill.unknownOutcomes.Tick(now, isUnknown) {
		keys = append(keys, key)
	}
	c.node.ResolveUnknown(now, keys)
}

// sendPage answers the page request of a node that has lost part of its history.
func (c *cluster) sendPage(to string, incarnation uint64, request *failover.PageRequest) {
	if request.Incarnation != incarnation || incarnation < c.Incarnation(to) {
		return
	}
	page := c.node.BuildPage(c.backend.guard.now(), to, *request)
	others := slices.DeleteFunc(c.others(), func(name string) bool { return name == to })
	page.FencesSupported = c.peerStates.AllSupport(others, recovery.FeatureFences)
	c.links[to].batch.Page = &page
	for _, fence := range c.node.Fences() {
		c.peerStates.AddFence(fence.Node, fence.Incarnation)
	}
}

// onPage handles a page of the history that this node has lost.
func (c *cluster) onPage(from string, incarnation uint64, page *failover.Page) {
	b := c.backend
	refill := c.refill.history
	info := recovery.PageInfo[failover.Cursor]{
		Incarnation: page.Incarnation,
		From:        page.From,
		Next:        page.Next,
		Keys:        len(page.Records) + len(page.InFlight),
		Last:        page.Next.Step == failover.StepDone,
		Complete:    page.Complete && page.FencesSupported,
	}
	if refill == nil || refill.Done() || !c.node.SameConfiguration(page) || !refill.Expects(from, incarnation, &info) {
		return
	}
	refill.PageReceived(b.now, from, &info, c.node.ReceivePage(b.guard.now(), page))
	if info.Last {
		b.log.Info("refill pass from peer ended", "source", from, "source_complete", page.Complete, "fences_supported", page.FencesSupported)
	}
	c.finishRefill()
}

// finishRefill ends the refill if all other nodes have sent their records.
func (c *cluster) finishRefill() {
	b := c.backend
	if c.refill.history == nil || !c.refill.history.Done() {
		return
	}
	kept := c.store.MarkRefilled(b.guard.now())
	b.log.Info("refill completed", "source", "all others", "applies_to_later_incarnations", kept)
	c.recovery.MarkComplete()
	c.runRecovery()
}
